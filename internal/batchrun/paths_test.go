package batchrun_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"pgregory.net/rapid"

	"github.com/covelink/covelink/internal/batch"
	"github.com/covelink/covelink/internal/batchrun"
	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/forward"
	"github.com/covelink/covelink/internal/itemwork"
	"github.com/covelink/covelink/internal/jobresidency"
	"github.com/covelink/covelink/internal/metastore/metastoretest"
	"github.com/covelink/covelink/internal/routing"
	"github.com/covelink/covelink/internal/tenants"
)

// sends counts, over all cases of a property test, the sends by path and the runs that workers did not send.
type sends struct {
	mu       sync.Mutex
	byPath   map[string]int
	refused  []string
	withheld int
}

// recorder is the transport of one process. It judges each send by what that process knows at that time. It implements forward.Transport.
type recorder struct {
	name    string
	state   *fleet.State
	engines *engines
	sends   *sends
}

// Send implements forward.Transport.
func (r *recorder) Send(ctx context.Context, engine *fleet.Engine, request *forward.Request, options forward.SendOptions) (*forward.Answer, error) {
	path := strings.Split(request.Target, "/")[1]
	if options.Resume {
		path += " resumed"
	}
	path += " by " + r.name
	r.sends.mu.Lock()
	r.sends.byPath[path]++
	if reason := forbidden(r.state.View(), engine, request); reason != "" {
		r.sends.refused = append(r.sends.refused, fmt.Sprintf("%s: %s for %s of %q to %s in %s", path, reason, request.ID, request.Tenant, engine.ID, engine.Zone))
	}
	r.sends.mu.Unlock()
	return r.engines.Send(ctx, engine, request, options)
}

// forbidden returns why a view does not allow a send; empty if it does. It shares no code with the placement filter, which it checks.
func forbidden(view *fleet.View, engine *fleet.Engine, request *forward.Request) string {
	if listed, ok := view.Engines.Get(engine.ID); ok {
		engine = listed
	}
	if !engine.Ready {
		return "leaving"
	}
	if view.Evacuations == nil {
		return "evacuations unknown"
	}
	if slices.Contains(view.Evacuations.Zones(), engine.Zone) {
		return "evacuated"
	}
	route := view.Routes.Match(request.Host, request.Target)
	region := view.Topology.Region(engine.Zone)
	if route != nil && len(route.AllowedRegions) > 0 && !slices.Contains(route.AllowedRegions, region) {
		return "region excluded by the route"
	}
	bound := view.Routes.Tenants.AllowedRegions(request.Tenant)
	if len(bound) > 0 && !slices.Contains(bound, region) {
		return "region excluded by the tenant"
	}
	return ""
}

// deployment is what the store holds. A process learns of it when the test calls tell.
type deployment struct {
	revision  int64
	evacuated map[string]int64
	engines   []*fleet.Engine
	// regions are those that each route and tenant allows, by their name.
	regions map[string][]string
}

// table returns the routes and tenants.
func (d *deployment) table() *routing.Table {
	route := func(name, service string, kind routing.Kind) routing.Route {
		return routing.Route{
			Host: host, Prefix: "/" + name + "/", Kind: kind, Targets: []routing.Target{{Service: service, Weight: 1}},
			MaxAttempts: 3, MaxQueue: 10 * time.Minute, ResultDeadline: 8 * time.Second, AllowedRegions: d.regions[name],
		}
	}
	table := routing.NewTable(d.revision, []routing.Route{
		route("rollout", "pool", routing.KindBatch), route("judge", "judges", routing.KindIdempotent), route("lookup", "judges", routing.KindIdempotent),
	}, []routing.Service{{Name: "pool"}, {Name: "judges"}}, routing.Limits{})
	var entries []tenants.Entry
	for _, name := range []string{"free", "bound"} {
		entries = append(entries, tenants.Entry{Tenant: tenants.Tenant{Name: name, AllowedRegions: d.regions[name]}})
	}
	table.Tenants = tenants.NewDirectory(entries)
	return table
}

// tell shows a process the current deployment. Nothing runs between the parts of the change, so that each send is judged by the view on which it was
// decided.
func (d *deployment) tell(state *fleet.State) {
	synctest.Wait()
	state.SetRoutes(d.table())
	synctest.Wait()
	state.SetEngineList(slices.Clone(d.engines))
	synctest.Wait()
	state.SetEvacuations(fleet.NewEvacuations(d.revision, d.evacuated))
	synctest.Wait()
}

// coordinatorZone is the zone of the coordinating process.
const coordinatorZone = "zone-0"

// pathWorld is a coordinating process and two workers, each with a view of its own.
type pathWorld struct {
	*deployment
	engineSet *engines
	sends     *sends
	// states are those of the coordinating process and of the workers.
	states    []*fleet.State
	forwarder *forward.Forwarder
	runner    *batchrun.Runner
	desk      *itemwork.Desk
	jobs      []batch.Job
	lookups   int
	running   sync.WaitGroup
}

// process returns the executor of a process that does not know the deployment yet.
func (w *pathWorld) process(name string, topology fleet.Topology) *itemwork.Executor {
	state := fleet.NewState()
	state.FollowEvacuations()
	state.SetTopology(topology)
	w.states = append(w.states, state)
	transport := &recorder{name: name, state: state, engines: w.engineSet, sends: w.sends}
	forwarder := forward.New(state, transport, forward.NewPicker(time.Now), log.NewNopLogger())
	return &itemwork.Executor{State: state, Transport: transport, Forwarder: forwarder}
}

func (w *pathWorld) start(ctx context.Context, topology fleet.Topology) {
	coordinator := w.process("coordinator", topology)
	w.desk = itemwork.NewDesk(log.NewNopLogger())
	w.desk.Region = topology.Region
	w.runner = batchrun.New(batchrun.Params{
		State: coordinator.State, Transport: coordinator.Transport, Forwarder: coordinator.Forwarder,
		Store: metastoretest.New().Client(), Desk: w.desk, Zone: coordinatorZone, EvacuateTime: evacuateTime, Logger: log.NewNopLogger(),
	})
	w.running.Go(func() { w.runner.Lead(ctx, 1) })
	for i, zone := range []string{coordinatorZone, "zone-1"} {
		executor := w.process("worker", topology)
		w.forwarder = executor.Forwarder
		worker := itemwork.NewWorker(itemwork.WorkerParams{
			Name: fmt.Sprintf("worker-%d", i+1), Zone: zone, Instance: "first", Executor: executor,
			Coordinator: func() string { return "desk" },
			Poll: func(ctx context.Context, _ string, request itemwork.PollRequest) (itemwork.PollReply, error) {
				return w.desk.Poll(ctx, request), nil
			},
			Report: func(_ context.Context, _ string, request itemwork.ReportRequest) (itemwork.ReportReply, error) {
				for _, report := range request.Reports {
					if report.End.Withheld {
						w.sends.mu.Lock()
						w.sends.withheld++
						w.sends.mu.Unlock()
					}
				}
				return w.desk.Report(request), nil
			},
			Draining: func() bool { return false },
			Logger:   log.NewNopLogger(),
		})
		w.running.Go(func() { worker.Run(ctx) })
	}
}

// addEngine starts an engine.
func (w *pathWorld) addEngine(t *rapid.T, service string, zones []string) {
	id := fmt.Sprintf("%s-%d", service, w.revision)
	w.revision++
	w.engineSet.set(id, behaviour{pause: time.Duration(rapid.IntRange(20, 60).Draw(t, "pause")) * time.Millisecond})
	w.engines = append(w.engines, &fleet.Engine{
		ID: id, Service: service, Zone: rapid.SampledFrom(zones).Draw(t, "zone of "+id),
		Slots: rapid.IntRange(1, 3).Draw(t, "slots"), Ready: true, Versions: map[string]int64{model: 1},
	})
}

// change changes the deployment, or submits a job or lookup.
func (w *pathWorld) change(t *rapid.T, zones []string) {
	w.revision++
	switch rapid.SampledFrom([]string{"evacuate", "restore", "leave", "restart", "regions", "submit", "submit", "lookup"}).Draw(t, "change") {
	case "evacuate":
		zone := rapid.SampledFrom(zones).Draw(t, "evacuated")
		w.evacuated = maps.Clone(w.evacuated)
		w.evacuated[zone] = w.revision
	case "restore":
		w.evacuated = map[string]int64{}
	case "leave":
		at := rapid.IntRange(0, len(w.engines)-1).Draw(t, "leaving")
		leaving := *w.engines[at]
		leaving.Ready = false
		w.engines[at] = &leaving
	case "restart":
		at := rapid.IntRange(0, len(w.engines)-1).Draw(t, "restarted")
		service := w.engines[at].Service
		w.engines = slices.Delete(w.engines, at, at+1)
		w.addEngine(t, service, zones)
	case "regions":
		name := rapid.SampledFrom([]string{"rollout", "judge", "lookup", "bound"}).Draw(t, "whose")
		w.regions = maps.Clone(w.regions)
		w.regions[name] = rapid.SampledFrom([][]string{nil, {"region-0"}, {"region-1"}, {"region-0", "region-1"}}).Draw(t, "regions")
	case "submit":
		id := fmt.Sprintf("job-%d", w.revision)
		job := newJob(id, rapid.IntRange(1, 4).Draw(t, "items"))
		job.Tenant = rapid.SampledFrom([]string{"", "free", "bound"}).Draw(t, "tenant")
		expected := w.mayTake(&job)
		err := w.runner.Submit(context.Background(), job)
		if (err == nil) != expected {
			t.Fatalf("submit: %v, though taking it is allowed: %v", err, expected)
		}
		if err == nil {
			w.jobs = append(w.jobs, job)
		}
	case "lookup":
		w.lookup(rapid.SampledFrom([]string{"", "free", "bound"}).Draw(t, "tenant of lookup"))
	}
}

// mayTake reports whether the coordinating process may accept a job, by what it knows.
func (w *pathWorld) mayTake(job *batch.Job) bool {
	view := w.states[0].View()
	if view.Routes == nil && view.Topology.Regional() {
		return false
	}
	return jobresidency.Whole(view.Routes, job).Allows(view.Topology.Region(coordinatorZone))
}

// lookup sends a lookup through the second worker's process.
func (w *pathWorld) lookup(tenant string) {
	route := w.states[2].View().Routes.Match(host, "/lookup/1")
	if route == nil {
		return
	}
	w.lookups++
	request := &forward.Request{ID: fmt.Sprintf("lookup-%d", w.lookups), Method: "GET", Host: host, Target: "/lookup/1", Tenant: tenant}
	w.running.Go(func() { w.forwarder.Do(context.Background(), route, request, boottime.Now().Add(2*time.Second)) })
}

// settle shows every process a deployment without evacuations and bounds, with engines wherever accepted jobs may still be bound, and checks that every
// text becomes whole.
func (w *pathWorld) settle(t *rapid.T, zones []string) {
	w.revision++
	w.evacuated, w.regions = map[string]int64{}, nil
	w.addEngine(t, "pool", []string{coordinatorZone})
	w.addEngine(t, "judges", []string{coordinatorZone})
	for _, state := range w.states {
		w.tell(state)
	}
	time.Sleep(time.Minute)
	events := make([]string, w.engineSet.events)
	for i := range events {
		events[i] = fmt.Sprintf("e%d", i+1)
	}
	for _, job := range w.jobs {
		reading, err := w.runner.Read(context.Background(), batch.Ref{ID: job.ID, Tenant: job.Tenant}, 0, 0)
		if err != nil || len(reading.Results) != len(job.Items) {
			t.Fatalf("%s: results %v, error %v", job.ID, reading.Results, err)
		}
		for _, result := range reading.Results {
			if result.State != batch.Done || result.Text != strings.Join(events, "\n") {
				t.Fatalf("%s: state %v, text %q", result.ID, result.State, result.Text)
			}
		}
	}
}

// drawPaths plays one drawn case.
func drawPaths(t *rapid.T, sent *sends) {
	topology := make(map[string]string)
	var zones []string
	for i := range rapid.IntRange(2, 4).Draw(t, "zones") {
		zones = append(zones, fmt.Sprintf("zone-%d", i))
		// One zone may be missing in the settings.
		if region := rapid.IntRange(0, 4).Draw(t, "region"); region < 4 {
			topology[zones[i]] = fmt.Sprintf("region-%d", region%2)
		}
	}
	w := &pathWorld{
		deployment: &deployment{revision: 1, evacuated: map[string]int64{}, regions: map[string][]string{}},
		engineSet:  &engines{behaviours: make(map[string]behaviour), events: rapid.IntRange(5, 60).Draw(t, "events")},
		sends:      sent,
	}
	for range rapid.IntRange(2, 5).Draw(t, "engines") {
		w.addEngine(t, "pool", zones)
		w.addEngine(t, "judges", zones)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer func() {
		cancel()
		w.running.Wait()
	}()
	w.start(ctx, fleet.NewTopology(topology))
	time.Sleep(time.Second)
	for range rapid.IntRange(4, 24).Draw(t, "steps") {
		synctest.Wait()
		w.change(t, zones)
		for i, state := range w.states {
			if rapid.IntRange(0, 2).Draw(t, fmt.Sprintf("told %d", i)) > 0 {
				w.tell(state)
			}
		}
		time.Sleep(time.Duration(rapid.IntRange(1, 900).Draw(t, "pause")) * time.Millisecond)
	}
	w.settle(t, zones)
	sent.mu.Lock()
	defer sent.mu.Unlock()
	if len(sent.refused) > 0 {
		t.Fatalf("sent though refused: %s", strings.Join(sent.refused, "; "))
	}
}

// virtualTB hides a *testing.T from rapid, which would ask it for its deadline: testing/synctest forbids that.
type virtualTB struct{ *testing.T }

// Whatever the topology, the configuration, the evacuations and the order in which the processes learn of them: no path sends what the filter
// refuses by what the sender knows, and no event is lost or doubled by it.
func TestPaths(t *testing.T) {
	sent := &sends{byPath: make(map[string]int)}
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(virtualTB{t}, func(t *rapid.T) {
			sent.refused = nil
			drawPaths(t, sent)
		})
	})
	t.Logf("sent by path %v, withheld by workers %d", sent.byPath, sent.withheld)
	for _, path := range []string{
		"lookup by worker", "judge by worker", "rollout by coordinator", "rollout by worker", "rollout resumed by worker",
	} {
		if sent.byPath[path] == 0 {
			t.Errorf("nothing was drawn that is sent on the path %q", path)
		}
	}
	if sent.withheld == 0 {
		t.Error("nothing was drawn that a worker withholds")
	}
}
