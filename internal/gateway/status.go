package gateway

import (
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/covelink/covelink/internal/cluster"
)

// StatusReport is the answer of GET /debug/status.
type StatusReport struct {
	Node             string `json:"node"`
	Zone             string `json:"zone"`
	Revision         uint64 `json:"revision"`
	Serving          bool   `json:"serving"`
	NotServingReason string `json:"notServingReason,omitempty"`
	Ready            bool   `json:"ready"`
	NotReadyReason   string `json:"notReadyReason,omitempty"`
	Draining         bool   `json:"draining"`
	InFlight         int    `json:"inFlight"`
	// Background counts the streams that engines produce, with or without their callers.
	Background int `json:"background"`
	Engines    int `json:"engines"`
	Nodes      int `json:"nodes"`
}

func (g *Gateway) health(c *gin.Context) {
	c.String(http.StatusOK, "ok\n")
}

func (g *Gateway) ready(c *gin.Context) {
	if reason := g.notReadyReason(); reason != "" {
		c.String(http.StatusServiceUnavailable, "%s\n", reason)
		return
	}
	c.String(http.StatusOK, "ok\n")
}

// notReadyReason returns why the node should be sent no requests, or an empty string.
func (g *Gateway) notReadyReason() string {
	if g.work.isDraining() {
		return "draining"
	}
	if state := g.readiness.Load(); !state.ready {
		return orDefault(state.reason, "not ready")
	}
	if view := g.params.Source.Current(); !view.ServingAt(g.params.Now()) {
		return orDefault(view.WhyNotServing(), "not serving")
	}
	return ""
}

func (g *Gateway) status(c *gin.Context) {
	view := g.params.Source.Current()
	reason := g.notReadyReason()
	requests, background := g.work.counts()
	c.JSON(http.StatusOK, StatusReport{
		Node:             g.params.Self.Name,
		Zone:             g.params.Self.Zone,
		Revision:         view.Revision,
		Serving:          view.ServingAt(g.params.Now()),
		NotServingReason: notServingReason(view, g.params.Now()),
		Ready:            reason == "",
		NotReadyReason:   reason,
		Draining:         g.work.isDraining(),
		InFlight:         requests,
		Background:       background,
		Engines:          len(view.Engines),
		Nodes:            len(view.Nodes),
	})
}

func notServingReason(view *cluster.View, now time.Time) string {
	if view.ServingAt(now) {
		return ""
	}
	return view.WhyNotServing()
}

func orDefault(value, otherwise string) string {
	if value != "" {
		return value
	}
	return otherwise
}
