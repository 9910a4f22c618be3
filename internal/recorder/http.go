package recorder

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strings"

	"github.com/gin-gonic/gin"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/cluster"
	"github.com/covelink/covelink/internal/httperr"
)

// The paths that an operator may read.
const (
	PathTrace   = "/debug/trace"
	PathExplain = "/debug/explain/"
)

// contentType is that of JSON lines.
const contentType = "application/jsonl"

// completionPrefixes stand before the request ID in the IDs of answers.
var completionPrefixes = []string{"chatcmpl-", "cmpl-"}

// ViewSource gives the current view.
type ViewSource interface {
	Current() *cluster.View
}

// Deployment is the first line of /debug/trace: what the node knows of the deployment.
type Deployment struct {
	Node         string                `json:"node"`
	Zone         string                `json:"zone"`
	Revision     uint64                `json:"revision"`
	Zones        []DeployedZone        `json:"zones"`
	Pools        []DeployedPool        `json:"pools"`
	Trainers     []DeployedTrainer     `json:"trainers"`
	Applications []DeployedApplication `json:"applications"`
}

// DeployedZone is a zone with the nodes known.
type DeployedZone struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	Nodes  int    `json:"nodes"`
}

// DeployedPool is a pool with its engines by zone.
type DeployedPool struct {
	Name string      `json:"name"`
	Spec v1.PoolSpec `json:"spec"`
	// Engines counts the engines known in each zone.
	Engines map[string]int `json:"engines"`
}

// DeployedTrainer is a trainer's terms.
type DeployedTrainer struct {
	Name           string `json:"name"`
	Pool           string `json:"pool"`
	StalenessBound int64  `json:"stalenessBound"`
	MaxInFlight    int    `json:"maxInFlight"`
}

// DeployedApplication is an application with its pools.
type DeployedApplication struct {
	Name  string   `json:"name"`
	Pools []string `json:"pools"`
}

// Handlers serve a Recorder over HTTP.
type Handlers struct {
	Recorder *Recorder
	Self     cluster.Node
	Source   ViewSource
}

// Routes adds the routes behind the given checks of the caller.
func (h Handlers) Routes(router gin.IRouter, checks ...gin.HandlerFunc) {
	group := router.Group("", checks...)
	group.GET(PathTrace, h.trace)
	group.GET(PathExplain+"*id", h.explain)
}

// trace writes the deployment and every record as JSON lines.
func (h Handlers) trace(c *gin.Context) {
	c.Header("Content-Type", contentType)
	c.Status(http.StatusOK)
	encoder := json.NewEncoder(c.Writer)
	if encoder.Encode(h.deployment()) != nil {
		return
	}
	for _, record := range h.Recorder.Records() {
		if encoder.Encode(record) != nil {
			return
		}
	}
}

// Explanation is the answer of /debug/explain.
type Explanation struct {
	Node     string   `json:"node"`
	Attempts []Record `json:"attempts"`
}

func (h Handlers) explain(c *gin.Context) {
	id := strings.TrimPrefix(c.Param("id"), "/")
	for _, prefix := range completionPrefixes {
		id = strings.TrimPrefix(id, prefix)
	}
	records := h.Recorder.Explain(id)
	if len(records) == 0 {
		httperr.Write(c, v1.Errorf(v1.CodeNotFound, "node %s remembers no such request or sample", h.Self.Name))
		return
	}
	c.JSON(http.StatusOK, Explanation{Node: h.Self.Name, Attempts: records})
}

// deployment describes the current view in a fixed order.
func (h Handlers) deployment() Deployment {
	view := h.Source.Current()
	described := Deployment{Node: h.Self.Name, Zone: h.Self.Zone, Revision: view.Revision}
	for _, name := range slices.Sorted(maps.Keys(view.Zones)) {
		described.Zones = append(described.Zones, DeployedZone{
			Name: name, Region: view.Zones[name].Spec.Region, Nodes: countNodes(view, name),
		})
	}
	for _, name := range slices.Sorted(maps.Keys(view.Pools)) {
		described.Pools = append(described.Pools, DeployedPool{
			Name: name, Spec: view.Pools[name].Spec, Engines: countEngines(view, name),
		})
	}
	for _, name := range slices.Sorted(maps.Keys(view.Trainers)) {
		spec := view.Trainers[name].Spec
		described.Trainers = append(described.Trainers, DeployedTrainer{
			Name: name, Pool: spec.Pool, StalenessBound: spec.StalenessBound, MaxInFlight: spec.MaxInFlight,
		})
	}
	for _, name := range slices.Sorted(maps.Keys(view.Applications)) {
		described.Applications = append(described.Applications, DeployedApplication{Name: name, Pools: view.Applications[name].Spec.Pools})
	}
	return described
}

func countNodes(view *cluster.View, zone string) int {
	count := 0
	for _, node := range view.Nodes {
		if node.Zone == zone {
			count++
		}
	}
	return count
}

func countEngines(view *cluster.View, pool string) map[string]int {
	counts := map[string]int{}
	for _, engine := range view.Engines {
		if engine.Pool == pool {
			counts[engine.Zone]++
		}
	}
	return counts
}
