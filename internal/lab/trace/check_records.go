package trace

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	v1 "github.com/covelink/covelink/api/v1"
)

// uses checks that an application may use a pool.
func (c *checker) uses(application, pool string) {
	c.known(c.applications, application, "application", "application")
	c.known(c.pools, pool, "pool", "pool")
	for _, declared := range c.trace.Header.Applications {
		if declared.Name == application {
			c.require(slices.Contains(declared.Pools, pool), "pool", "application %q does not use pool %q", application, pool)
		}
	}
}

func (r *Request) check(c *checker) {
	c.require(r.ID != "", "id", "is missing")
	c.uses(r.Application, r.Pool)
	c.known(c.zones, r.Zone, "zone", "zone")
	c.within(r.MaxTokens, 1, maxTokens, "maxTokens")
	c.within(r.PromptTokens, 0, maxTokens, "promptTokens")
	c.notNegative(r.Timeout, "timeout")
	c.ids["request "+r.ID] = c.line
}

func (r *Load) check(c *checker) {
	c.unique("load "+r.ID, r.ID)
	c.uses(r.Application, r.Pool)
	c.require(len(r.Zones) > 0, "zones", "there must be one at least")
	for _, zone := range r.Zones {
		c.known(c.zones, zone, "zones", "zone")
	}
	c.require(r.Until > r.At && r.Until <= c.trace.Header.Until, "until", "must be after at and within the run")
	c.require(r.Rate > 0 && r.Rate*(r.Until-r.At).seconds() <= maxRequests, "rate", "must be above 0 and make at most %d requests", maxRequests)
	c.within(r.MaxTokens, 1, maxTokens, "maxTokens")
	c.within(r.PromptTokens, 0, maxTokens, "promptTokens")
	c.within(r.NotRepeatableEvery, 0, maxRequests, "notRepeatableEvery")
	c.notNegative(r.Timeout, "timeout")
}

// unique checks that an ID is given and new.
func (c *checker) unique(key, id string) {
	c.require(id != "", "id", "is missing")
	line, taken := c.ids[key]
	c.require(!taken, "id", "%q stands already on line %d", id, line)
	c.ids[key] = c.line
}

func (r *Batch) check(c *checker) {
	c.known(c.trainers, r.Trainer, "trainer", "trainer")
	c.require(batchPattern.MatchString(r.Name), "name", "%q is not a name", r.Name)
	key := r.Trainer + "/" + r.Name
	_, taken := c.batches[key]
	c.require(!taken, "name", "the trainer has a batch %q already", r.Name)
	c.batches[key] = r.Samples
	c.within(r.Samples, 1, maxSamples, "samples")
	c.within(r.MaxTokens, 0, maxTokens, "maxTokens")
	c.require(r.Tokens == nil || len(r.Tokens) == r.Samples, "tokens", "has %d entries for %d samples", len(r.Tokens), r.Samples)
	for i, tokens := range r.Tokens {
		c.within(tokens, 0, maxTokens, fmt.Sprintf("tokens[%d]", i))
	}
}

func (r *Publish) check(c *checker) {
	c.known(c.trainers, r.Trainer, "trainer", "trainer")
	last := c.versions[r.Trainer]
	c.require(r.Version > last, "version", "%d is not above the trainer's last, %d", r.Version, last)
	c.versions[r.Trainer] = r.Version
}

func (r *Write) check(c *checker) {
	c.unique("write "+r.ID, r.ID)
	c.known(c.zones, r.Zone, "zone", "zone")
	c.known([]string{ActionCreate, ActionUpdate, ActionDelete}, r.Action, "action", "action")
	kind := v1.Kind(r.Kind)
	c.require(slices.Contains(v1.Kinds, kind), "kind", "unknown kind %q", r.Kind)
	c.require(validName(r.Name), "name", "%q is not a name", r.Name)
	c.notNegative(r.Read, "read")
	c.require(r.Read <= r.At, "read", "is after the write")
	c.require((r.Action == ActionDelete) == (len(r.Spec) == 0), "spec", "must be given, except for a delete")
	if r.Action != ActionDelete {
		c.spec(r)
	}
}

// spec checks the resource that a write stores, as the resource API does.
func (c *checker) spec(r *Write) {
	if c.err != nil {
		return
	}
	object, err := r.Object()
	if err != nil {
		var unfit *v1.DecodeError
		if errors.As(err, &unfit) && unfit.Path != "" {
			c.require(false, unfit.Path, "%s", unfit.Message)
		}
		c.require(false, "spec", "%v", err)
		return
	}
	for _, unfit := range v1.Validate(object) {
		c.require(false, unfit.Path, "%s", unfit.Message)
	}
}

// Object returns the resource that a create or an update stores, with its defaults.
func (r *Write) Object() (v1.Object, error) {
	document, err := json.Marshal(struct {
		APIVersion string          `json:"apiVersion"`
		Kind       string          `json:"kind"`
		Metadata   v1.ObjectMeta   `json:"metadata"`
		Spec       json.RawMessage `json:"spec"`
	}{v1.APIVersion, r.Kind, v1.ObjectMeta{Name: r.Name}, r.Spec})
	if err != nil {
		return nil, err
	}
	object, err := v1.DecodeStrict(document)
	if err != nil {
		return nil, err
	}
	v1.Default(object)
	return object, nil
}

// FaultShape says which fields a kind of fault has beside its times.
type FaultShape struct {
	// Target is what the fault's target names: engine, node, trainer, zone or region; empty for none.
	Target string
	// Pair says that From and To name zones.
	Pair         bool
	Delay, Count bool
}

// ShapeOf returns the shape of a kind of fault; the zero value for an unknown one.
func ShapeOf(kind FaultKind) FaultShape { return faultShapes[kind] }

var faultShapes = map[FaultKind]FaultShape{
	FaultEngineCrash:      {Target: "engine"},
	FaultEngineFreeze:     {Target: "engine"},
	FaultEngineRestart:    {Target: "engine"},
	FaultEngineLeave:      {Target: "engine"},
	FaultSwapFail:         {Target: "engine", Count: true},
	FaultNodeCrash:        {Target: "node"},
	FaultNodePause:        {Target: "node"},
	FaultNodeStop:         {Target: "node"},
	FaultOwnerCrash:       {Target: "trainer"},
	FaultOwnerPause:       {Target: "trainer"},
	FaultCoordinatorCrash: {Target: "zone"},
	FaultCoordinatorPause: {Target: "zone"},
	FaultZoneCut:          {Target: "zone"},
	FaultZoneLoss:         {Target: "zone"},
	FaultSwitchLoss:       {Target: "zone"},
	FaultRegionCut:        {Target: "region"},
	FaultPartition:        {Pair: true},
	FaultLoss:             {Pair: true},
	FaultStoreSlow:        {Delay: true},
	FaultStoreOutage:      {},
	FaultStoreLostReply:   {Count: true},
	FaultStoreStale:       {Count: true},
	FaultMachineListLag:   {Delay: true},
	FaultLostReply:        {Target: "trainer", Count: true},
	FaultStreamCut:        {Target: "engine"},
}

func (r *Fault) check(c *checker) {
	shape, known := faultShapes[r.Fault]
	c.require(known, "fault", "unknown fault %q", r.Fault)
	c.faultTarget(r.Target, shape.Target)
	c.require(shape.Pair == (r.From != "") && shape.Pair == (r.To != ""), "from", "from and to must be given for a partition or a loss, and only there")
	if shape.Pair {
		c.known(c.zones, r.From, "from", "zone")
		c.known(c.zones, r.To, "to", "zone")
		c.require(r.From != r.To, "to", "is the same zone as from")
	}
	c.notNegative(r.For, "for")
	c.require(shape.Delay == (r.Delay > 0) && r.Delay >= 0, "delay", "must be above 0 for a slow store or a lagging list, and given only there")
	c.require(shape.Count == (r.Count > 0) && r.Count >= 0, "count", "must be above 0 for lost replies, a stale store and failed swaps, and given only there")
	c.require(!r.TakesEffect || r.Fault == FaultSwapFail, "takesEffect", "applies to failed swaps only")
}

func (c *checker) faultTarget(name, what string) {
	switch what {
	case "":
		c.require(name == "", "target", "this fault has none")
	case "engine":
		c.require(c.engines[name], "target", "unknown engine %q", name)
	case "node":
		c.require(c.nodes[name], "target", "unknown node %q", name)
	case "trainer":
		c.known(c.trainers, name, "target", what)
	case "zone":
		c.known(c.zones, name, "target", what)
	case "region":
		c.known(c.regions, name, "target", what)
	}
}

func (c *checker) expect(e *Expect) {
	subjects := e.subjects()
	c.require(len(subjects) == 1, "expect", "there must be one of promise, request, load, sample, batch, trainer and write")
	if c.err != nil {
		return
	}
	subject := subjects[0]
	c.subjectKnown(subject)
	bounds := e.bounds()
	c.require(len(bounds) > 0 || subject.field == "promise", subject.field, "no bound is stated")
	for _, bound := range bounds {
		c.require(slices.Contains(subject.bounds, bound), bound, "does not apply to a %s", subject.field)
	}
	for _, outcome := range e.Outcomes {
		c.known([]string{OutcomeCompleted, OutcomeNotRun, OutcomeUnknown}, outcome, "outcomes", "outcome")
	}
	if e.Result != "" {
		c.known([]string{ResultAccepted, ResultPending, ResultConflict, ResultRefused, ResultUnknown}, e.Result, "result", "result")
	}
	c.ranges(e)
}

func (c *checker) subjectKnown(s subject) {
	switch s.field {
	case "promise":
		c.require(s.name == AllPromises || slices.Contains(Promises, s.name), "promise", "unknown promise %q", s.name)
	case "trainer":
		c.known(c.trainers, s.name, "trainer", "trainer")
	case "batch":
		_, known := c.batches[s.name]
		c.require(known, "batch", "unknown batch %q", s.name)
	case "sample":
		c.sampleKnown(s.name)
	default:
		_, known := c.ids[s.field+" "+s.name]
		c.require(known, s.field, "unknown %s %q", s.field, s.name)
	}
}

func (c *checker) sampleKnown(name string) {
	cut := strings.LastIndexByte(name, '/')
	c.require(cut > 0, "sample", "%q is not TRAINER/BATCH/INDEX", name)
	if cut <= 0 {
		return
	}
	index, err := strconv.Atoi(name[cut+1:])
	samples, known := c.batches[name[:cut]]
	c.require(err == nil && known && index >= 0 && index < samples, "sample", "unknown sample %q", name)
}

func (c *checker) ranges(e *Expect) {
	for _, bound := range []struct {
		name  string
		value *Range
	}{
		{"violations", e.Violations}, {"attempts", e.Attempts}, {"completed", e.Completed}, {"notRun", e.NotRun},
		{"unknown", e.Unknown}, {"delivered", e.Delivered}, {"staleness", e.Staleness},
	} {
		if bound.value != nil {
			rangeSound(c, bound.name, bound.value.Min, bound.value.Max)
		}
	}
	for _, bound := range []struct {
		name  string
		value *DurationRange
	}{{"elapsed", e.Elapsed}, {"p99", e.P99}, {"idle", e.Idle}} {
		if bound.value != nil {
			rangeSound(c, bound.name, bound.value.Min, bound.value.Max)
		}
	}
}

// rangeSound checks that a range has an end and that its ends are not negative and in order.
func rangeSound[T ~int64](c *checker, name string, low, high *T) {
	c.require(low != nil || high != nil, name, "neither min nor max is given")
	c.require(low == nil || *low >= 0, name+".min", "must not be negative")
	c.require(high == nil || *high >= 0, name+".max", "must not be negative")
	c.require(low == nil || high == nil || *low <= *high, name, "min is above max")
}
