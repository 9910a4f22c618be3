package trace

import (
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strconv"
	"time"
)

// namePattern is what the names of resources look like.
var namePattern = regexp.MustCompile(`^[a-z0-9]([-a-z0-9]{0,61}[a-z0-9])?$`)

// batchPattern is what the names of batches look like.
var batchPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

func validName(name string) bool { return namePattern.MatchString(name) }

// The bounds of a trace, which keep a replay short.
const (
	maxUntil          = 24 * time.Hour
	maxZones          = 64
	maxNodesPerZone   = 1024
	maxEnginesPerZone = 1024
	maxSamples        = 1 << 20
	maxRequests       = 1 << 20
	maxTokens         = 1 << 20
)

// checker collects the first fault of a trace.
type checker struct {
	trace *Trace
	line  int
	err   *Error

	zones, regions, pools, trainers, applications []string
	engines, nodes                                map[string]bool
	ids                                           map[string]int
	batches                                       map[string]int
	versions                                      map[string]int64
}

// check returns the first impossible value of a trace as an *Error, or nil.
func check(t *Trace, headerLine int) error {
	c := &checker{
		trace: t, line: headerLine,
		engines: map[string]bool{}, nodes: map[string]bool{}, ids: map[string]int{},
		batches: map[string]int{}, versions: map[string]int64{},
	}
	c.header(&t.Header)
	for _, event := range t.Events {
		c.line = event.Line
		c.require(event.Record.Time() >= 0, "at", "must not be negative")
		c.require(event.Record.Time() < time.Duration(t.Header.Until), "at", "is not before the end of the run at %s", time.Duration(t.Header.Until))
		event.Record.check(c)
	}
	for i := range t.Expectations {
		c.line = t.Expectations[i].Line
		c.expect(&t.Expectations[i].Expect)
	}
	if c.err == nil {
		return nil
	}
	return c.err
}

// require notes a fault unless the condition holds; only the first counts.
func (c *checker) require(condition bool, field, format string, args ...any) {
	if condition || c.err != nil {
		return
	}
	c.err = &Error{File: c.trace.File, Line: c.line, Field: field, Message: fmt.Sprintf(format, args...)}
}

func (c *checker) known(list []string, name, field, what string) {
	c.require(slices.Contains(list, name), field, "unknown %s %q", what, name)
}

func (c *checker) within(number, low, high int, field string) {
	c.require(number >= low && number <= high, field, "%d is not between %d and %d", number, low, high)
}

func (c *checker) notNegative(length Duration, field string) {
	c.require(length >= 0, field, "must not be negative")
}

func (c *checker) header(h *Header) {
	c.require(h.Name != "", "name", "is missing")
	c.require(h.Until > 0 && time.Duration(h.Until) <= maxUntil, "until", "must be above 0 and at most %s", maxUntil)
	c.require(len(h.Zones) > 0 && len(h.Zones) <= maxZones, "zones", "there must be 1 to %d", maxZones)
	for i, zone := range h.Zones {
		c.zone(fmt.Sprintf("zones[%d]", i), zone)
	}
	c.notNegative(h.Latency.Local, "latency.local")
	c.notNegative(h.Latency.Zone, "latency.zone")
	c.notNegative(h.Latency.Region, "latency.region")
	c.notNegative(h.Latency.Client, "latency.client")
	c.require(len(h.Pools) > 0, "pools", "there must be one at least")
	for i, pool := range h.Pools {
		c.pool(fmt.Sprintf("pools[%d]", i), pool)
	}
	for i, trainer := range h.Trainers {
		c.trainer(fmt.Sprintf("trainers[%d]", i), trainer)
	}
	for i, application := range h.Applications {
		c.application(fmt.Sprintf("applications[%d]", i), application)
	}
	c.engineModel(&h.Engine)
	c.notNegative(h.Timing.Lease, "timing.lease")
	c.notNegative(h.Timing.Heartbeat, "timing.heartbeat")
	c.notNegative(h.Timing.MachineListLag, "timing.machineListLag")
}

// declare adds a name that must be new and fit to be a resource's.
func (c *checker) declare(list *[]string, name, field string) {
	c.require(validName(name), field, "%q is not a name: lower-case letters, digits and dashes", name)
	c.require(!slices.Contains(*list, name), field, "%q stands there twice", name)
	*list = append(*list, name)
}

func (c *checker) zone(path string, zone Zone) {
	c.declare(&c.zones, zone.Name, path+".name")
	c.require(validName(zone.Region), path+".region", "%q is not a name", zone.Region)
	c.within(zone.Nodes, 0, maxNodesPerZone, path+".nodes")
	if !slices.Contains(c.regions, zone.Region) {
		c.regions = append(c.regions, zone.Region)
	}
	for i := range zone.Nodes {
		c.nodes[NodeName(zone.Name, i+1)] = true
	}
}

func (c *checker) pool(path string, pool Pool) {
	c.declare(&c.pools, pool.Name, path+".name")
	c.require(len(pool.Permitted) > 0, path+".permitted", "there must be one zone at least")
	for _, zone := range pool.Permitted {
		c.known(c.zones, zone, path+".permitted", "zone")
	}
	c.within(pool.MaxConcurrent, 0, 4096, path+".maxConcurrent")
	c.within(pool.InteractiveReserve, 0, 4096, path+".interactiveReserve")
	for _, zone := range slices.Sorted(maps.Keys(pool.Engines)) {
		count := pool.Engines[zone]
		c.known(c.zones, zone, path+".engines", "zone")
		c.within(count, 0, maxEnginesPerZone, path+".engines."+zone)
		for i := range count {
			c.engines[EngineName(pool.Name, zone, i+1)] = true
		}
	}
}

func (c *checker) trainer(path string, trainer Trainer) {
	c.declare(&c.trainers, trainer.Name, path+".name")
	c.known(c.pools, trainer.Pool, path+".pool", "pool")
	c.known(c.zones, trainer.Zone, path+".zone", "zone")
	c.require(trainer.FirstVersion >= 0, path+".firstVersion", "must not be negative")
	c.versions[trainer.Name] = max(trainer.FirstVersion, 1)
	c.notNegative(trainer.LearnPerSample, path+".learnPerSample")
	c.require(trainer.StalenessBound >= 0, path+".stalenessBound", "must not be negative")
	c.within(trainer.MaxInFlight, 0, maxSamples, path+".maxInFlight")
}

func (c *checker) application(path string, application Application) {
	c.declare(&c.applications, application.Name, path+".name")
	c.require(len(application.Pools) > 0, path+".pools", "there must be one at least")
	for _, pool := range application.Pools {
		c.known(c.pools, pool, path+".pools", "pool")
	}
}

func (c *checker) engineModel(model *EngineModel) {
	c.notNegative(model.StepBase, "engine.stepBase")
	c.notNegative(model.StepPerSequence, "engine.stepPerSequence")
	c.notNegative(model.StepPerPrefillToken, "engine.stepPerPrefillToken")
	c.notNegative(model.LoadTime, "engine.loadTime")
	c.within(model.MaxRunning, 0, 4096, "engine.maxRunning")
	if lengths := model.Lengths; lengths != nil {
		c.require(lengths.Median >= 1 && lengths.Median <= maxTokens, "engine.lengths.median", "must be between 1 and %d", maxTokens)
		c.require(lengths.Sigma >= 0 && lengths.Sigma <= 4, "engine.lengths.sigma", "must be between 0 and 4")
	}
}

// NodeName returns the name of a node of a zone; numbers start at 1.
func NodeName(zone string, number int) string { return zone + "-node-" + strconv.Itoa(number) }

// EngineName returns the name of an engine of a pool in a zone; numbers start at 1.
func EngineName(pool, zone string, number int) string {
	return fmt.Sprintf("%s-%s-%03d", pool, zone, number)
}
