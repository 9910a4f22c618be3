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

// sends counts the sends by route and sending process, and the runs that a worker's placement filter refused, over all cases of a property test.
type sends struct {
	mu               sync.Mutex
	byRouteAndSender map[string]int
	// violations describes the sends that the sender's view forbids.
	violations       []string
	filteredByWorker int
}

// recorder is the transport of one process. It checks each send against that process's view at the time. It implements forward.Transport.
type recorder struct {
	name    string
	state   *fleet.State
	engines *fakeEngines
	sends   *sends
}

// Send implements forward.Transport.
func (r *recorder) Send(ctx context.Context, engine *fleet.Engine, request *forward.Request, options forward.SendOptions) (*forward.Answer, error) {
	key := strings.Split(request.Target, "/")[1]
	if options.Resume {
		key += " resumed"
	}
	key += " by " + r.name
	r.sends.mu.Lock()
	r.sends.byRouteAndSender[key]++
	if reason := forbidden(r.state.View(), engine, request); reason != "" {
		r.sends.violations = append(r.sends.violations, fmt.Sprintf("%s: %s for %s of %q to %s in %s", key, reason, request.ID, request.Tenant, engine.ID, engine.Zone))
	}
	r.sends.mu.Unlock()
	return r.engines.Send(ctx, engine, request, options)
}

// forbidden returns why a view does not allow a send, or "" if it does. It is written independently of the placement filter, in order to check it.
func forbidden(view *fleet.View, engine *fleet.Engine, request *forward.Request) string {
	if listed, ok := view.Engines.Get(engine.ID); ok {
		engine = listed
	}
	if !engine.Ready {
		return "not ready"
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
	allowed := view.Routes.Tenants.AllowedRegions(request.Tenant)
	if len(allowed) > 0 && !slices.Contains(allowed, region) {
		return "region excluded by the tenant"
	}
	return ""
}

// deployment is the stored configuration. A process receives updates of it only through applyTo.
type deployment struct {
	revision  int64
	evacuated map[string]int64
	engines   []*fleet.Engine
	// regions holds the allowed regions by route or tenant name.
	regions map[string][]string
}

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
	// The regions of tenant "bound" may be restricted; those of tenant "free" never are.
	for _, name := range []string{"free", "bound"} {
		entries = append(entries, tenants.Entry{Tenant: tenants.Tenant{Name: name, AllowedRegions: d.regions[name]}})
	}
	table.Tenants = tenants.NewDirectory(entries)
	return table
}

// applyTo sets a process's view to the current deployment. It waits for all goroutines to block after each update, so that the recorder checks a
// send against the view it was decided on.
func (d *deployment) applyTo(state *fleet.State) {
	synctest.Wait()
	state.SetRoutes(d.table())
	synctest.Wait()
	state.SetEngineList(slices.Clone(d.engines))
	synctest.Wait()
	state.SetEvacuations(fleet.NewEvacuations(d.revision, d.evacuated))
	synctest.Wait()
}

const coordinatorZone = "zone-0"

// pathHarness is a coordinator and two workers, each with its own view.
type pathHarness struct {
	*deployment
	fakes *fakeEngines
	sends *sends
	// states holds the views of the coordinator and the workers, in this order.
	states     []*fleet.State
	forwarder  *forward.Forwarder
	runner     *batchrun.Runner
	dispatcher *itemwork.Dispatcher
	jobs       []batch.Job
	lookups    int
	running    sync.WaitGroup
}

// addProcess adds a process with an empty view and returns its executor.
func (h *pathHarness) addProcess(name string, topology fleet.Topology) *itemwork.Executor {
	state := fleet.NewState()
	state.MarkEvacuationsUnknown()
	state.SetTopology(topology)
	h.states = append(h.states, state)
	transport := &recorder{name: name, state: state, engines: h.fakes, sends: h.sends}
	forwarder := forward.New(state, transport, forward.NewPicker(time.Now), log.NewNopLogger())
	return &itemwork.Executor{State: state, Transport: transport, Forwarder: forwarder}
}

func (h *pathHarness) start(ctx context.Context, topology fleet.Topology) {
	coordinator := h.addProcess("coordinator", topology)
	h.dispatcher = itemwork.NewDispatcher(log.NewNopLogger())
	h.dispatcher.Region = topology.Region
	h.runner = batchrun.New(batchrun.Params{
		State: coordinator.State, Transport: coordinator.Transport, Forwarder: coordinator.Forwarder,
		Store: metastoretest.New().Client(), Dispatcher: h.dispatcher, Zone: coordinatorZone, EvacuateTime: evacuateTime, Logger: log.NewNopLogger(),
	})
	h.running.Go(func() { h.runner.Lead(ctx, 1) })
	for i, zone := range []string{coordinatorZone, "zone-1"} {
		executor := h.addProcess("worker", topology)
		h.forwarder = executor.Forwarder
		worker := itemwork.NewWorker(itemwork.WorkerParams{
			Name: fmt.Sprintf("worker-%d", i+1), Zone: zone, Instance: "first", Executor: executor,
			Coordinator: func() string { return "desk" },
			Poll: func(ctx context.Context, _ string, request itemwork.PollRequest) (itemwork.PollReply, error) {
				return h.dispatcher.Poll(ctx, request), nil
			},
			Report: func(_ context.Context, _ string, request itemwork.ReportRequest) (itemwork.ReportReply, error) {
				for _, report := range request.Reports {
					if report.End.Withheld {
						h.sends.mu.Lock()
						h.sends.filteredByWorker++
						h.sends.mu.Unlock()
					}
				}
				return h.dispatcher.Report(request), nil
			},
			Draining: func() bool { return false },
			Logger:   log.NewNopLogger(),
		})
		h.running.Go(func() { worker.Run(ctx) })
	}
}

func (h *pathHarness) addEngine(t *rapid.T, service string, zones []string) {
	id := fmt.Sprintf("%s-%d", service, h.revision)
	h.revision++
	h.fakes.setBehavior(id, engineBehavior{pause: time.Duration(rapid.IntRange(20, 60).Draw(t, "pause")) * time.Millisecond})
	h.engines = append(h.engines, &fleet.Engine{
		ID: id, Service: service, Zone: rapid.SampledFrom(zones).Draw(t, "zone of "+id),
		Slots: rapid.IntRange(1, 3).Draw(t, "slots"), Ready: true, Versions: map[string]int64{model: 1},
	})
}

// change applies a random change to the deployment, or submits a job or lookup.
func (h *pathHarness) change(t *rapid.T, zones []string) {
	h.revision++
	switch rapid.SampledFrom([]string{"evacuate", "restore", "leave", "restart", "regions", "submit", "submit", "lookup"}).Draw(t, "change") {
	case "evacuate":
		zone := rapid.SampledFrom(zones).Draw(t, "evacuated")
		h.evacuated = maps.Clone(h.evacuated)
		h.evacuated[zone] = h.revision
	case "restore":
		h.evacuated = map[string]int64{}
	case "leave":
		at := rapid.IntRange(0, len(h.engines)-1).Draw(t, "leaving")
		notReady := *h.engines[at]
		notReady.Ready = false
		h.engines[at] = &notReady
	case "restart":
		at := rapid.IntRange(0, len(h.engines)-1).Draw(t, "restarted")
		service := h.engines[at].Service
		h.engines = slices.Delete(h.engines, at, at+1)
		h.addEngine(t, service, zones)
	case "regions":
		name := rapid.SampledFrom([]string{"rollout", "judge", "lookup", "bound"}).Draw(t, "restricted route or tenant")
		h.regions = maps.Clone(h.regions)
		h.regions[name] = rapid.SampledFrom([][]string{nil, {"region-0"}, {"region-1"}, {"region-0", "region-1"}}).Draw(t, "regions")
	case "submit":
		id := fmt.Sprintf("job-%d", h.revision)
		job := newJob(id, rapid.IntRange(1, 4).Draw(t, "items"))
		job.Tenant = rapid.SampledFrom([]string{"", "free", "bound"}).Draw(t, "tenant")
		expected := h.mayAccept(&job)
		err := h.runner.Submit(context.Background(), job)
		if (err == nil) != expected {
			t.Fatalf("submit: got error %v, want accepted: %v", err, expected)
		}
		if err == nil {
			h.jobs = append(h.jobs, job)
		}
	case "lookup":
		h.lookup(rapid.SampledFrom([]string{"", "free", "bound"}).Draw(t, "tenant of lookup"))
	}
}

// mayAccept reports whether the coordinator's view allows it to accept a job.
func (h *pathHarness) mayAccept(job *batch.Job) bool {
	view := h.states[0].View()
	if view.Routes == nil && view.Topology.MultiRegion() {
		return false
	}
	return jobresidency.OfJob(view.Routes, job).Allows(view.Topology.Region(coordinatorZone))
}

// lookup sends a lookup through the second worker's process.
func (h *pathHarness) lookup(tenant string) {
	route := h.states[2].View().Routes.Match(host, "/lookup/1")
	if route == nil {
		return
	}
	h.lookups++
	request := &forward.Request{ID: fmt.Sprintf("lookup-%d", h.lookups), Method: "GET", Host: host, Target: "/lookup/1", Tenant: tenant}
	h.running.Go(func() { h.forwarder.Do(context.Background(), route, request, boottime.Now().Add(2*time.Second)) })
}

// checkAllJobsComplete removes evacuations and region restrictions, adds engines in the coordinator's zone, and checks that every accepted job
// completes.
func (h *pathHarness) checkAllJobsComplete(t *rapid.T, zones []string) {
	h.revision++
	h.evacuated, h.regions = map[string]int64{}, nil
	h.addEngine(t, "pool", []string{coordinatorZone})
	h.addEngine(t, "judges", []string{coordinatorZone})
	for _, state := range h.states {
		h.applyTo(state)
	}
	time.Sleep(time.Minute)
	events := make([]string, h.fakes.events)
	for i := range events {
		events[i] = fmt.Sprintf("e%d", i+1)
	}
	for _, job := range h.jobs {
		page, err := h.runner.Read(context.Background(), batch.Ref{ID: job.ID, Tenant: job.Tenant}, 0, 0)
		if err != nil || len(page.Results) != len(job.Items) {
			t.Fatalf("%s: results %v, error %v", job.ID, page.Results, err)
		}
		for _, result := range page.Results {
			if result.State != batch.Done || result.Text != strings.Join(events, "\n") {
				t.Fatalf("%s: state %v, text %q", result.ID, result.State, result.Text)
			}
		}
	}
}

// checkPaths runs one random case.
func checkPaths(t *rapid.T, sent *sends) {
	topology := make(map[string]string)
	var zones []string
	for i := range rapid.IntRange(2, 4).Draw(t, "zones") {
		zones = append(zones, fmt.Sprintf("zone-%d", i))
		// Some zones have no region in the topology.
		if region := rapid.IntRange(0, 4).Draw(t, "region"); region < 4 {
			topology[zones[i]] = fmt.Sprintf("region-%d", region%2)
		}
	}
	h := &pathHarness{
		deployment: &deployment{revision: 1, evacuated: map[string]int64{}, regions: map[string][]string{}},
		fakes:      &fakeEngines{behaviors: make(map[string]engineBehavior), events: rapid.IntRange(5, 60).Draw(t, "events")},
		sends:      sent,
	}
	for range rapid.IntRange(2, 5).Draw(t, "engines") {
		h.addEngine(t, "pool", zones)
		h.addEngine(t, "judges", zones)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer func() {
		cancel()
		h.running.Wait()
	}()
	h.start(ctx, fleet.NewTopology(topology))
	time.Sleep(time.Second)
	for range rapid.IntRange(4, 24).Draw(t, "steps") {
		synctest.Wait()
		h.change(t, zones)
		for i, state := range h.states {
			if rapid.IntRange(0, 2).Draw(t, fmt.Sprintf("update %d", i)) > 0 {
				h.applyTo(state)
			}
		}
		time.Sleep(time.Duration(rapid.IntRange(1, 900).Draw(t, "pause")) * time.Millisecond)
	}
	h.checkAllJobsComplete(t, zones)
	sent.mu.Lock()
	defer sent.mu.Unlock()
	if len(sent.violations) > 0 {
		t.Fatalf("sent although the sender's view forbids it: %s", strings.Join(sent.violations, "; "))
	}
}

// virtualTB hides the Deadline method of *testing.T from rapid, because testing/synctest forbids calling it.
type virtualTB struct{ *testing.T }

// For any topology, configuration, evacuations and order of updates, no process sends a request that its own view forbids, and no event is lost or
// duplicated.
func TestSendPaths(t *testing.T) {
	sent := &sends{byRouteAndSender: make(map[string]int)}
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(virtualTB{t}, func(t *rapid.T) {
			sent.violations = nil
			checkPaths(t, sent)
		})
	})
	t.Logf("sends by route and sender: %v; runs refused by workers' placement filters: %d", sent.byRouteAndSender, sent.filteredByWorker)
	for _, key := range []string{
		"lookup by worker", "judge by worker", "rollout by coordinator", "rollout by worker", "rollout resumed by worker",
	} {
		if sent.byRouteAndSender[key] == 0 {
			t.Errorf("no generated case sent anything as %q", key)
		}
	}
	if sent.filteredByWorker == 0 {
		t.Error("no generated case made a worker's placement filter refuse a run")
	}
}
