package itemwork_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/forward"
	"github.com/covelink/covelink/internal/itemwork"
	"github.com/covelink/covelink/internal/placement"
	"github.com/covelink/covelink/internal/routing"
	"github.com/covelink/covelink/internal/tenants"
)

// countingEngine counts the requests sent to it.
type countingEngine struct {
	endlessEngine
	sent atomic.Int64
}

func (e *countingEngine) Send(ctx context.Context, engine *fleet.Engine, request *forward.Request, options forward.SendOptions) (*forward.Answer, error) {
	e.sent.Add(1)
	return e.endlessEngine.Send(ctx, engine, request, options)
}

// endSink records the end of a stream.
type endSink struct{ end itemwork.End }

func (*endSink) StreamStarted(int64)                {}
func (*endSink) EventReceived(itemwork.Event)       {}
func (*endSink) Restarted()                         {}
func (*endSink) RewardCallEnded(itemwork.Judgement) {}
func (s *endSink) StreamEnded(end itemwork.End) bool {
	s.end = end
	return false
}

// workerFleetState returns a worker's view: one engine, e, in zone-1 of region-1.
func workerFleetState(change func(state *fleet.State)) *fleet.State {
	state := fleet.NewState()
	state.SetTopology(fleet.NewTopology(map[string]string{"zone-1": "region-1", "zone-2": "region-2"}))
	state.SetEngineList([]*fleet.Engine{{ID: "e", Service: "pool", Zone: "zone-1", Ready: true}})
	if change != nil {
		change(state)
	}
	return state
}

// setAllowedRegions installs a route table whose route and tenant allow the given regions.
func setAllowedRegions(state *fleet.State, route, tenant []string) {
	table := routing.NewTable(1, []routing.Route{{Host: "h", Prefix: "/", AllowedRegions: route}}, nil, routing.Limits{})
	table.Tenants = tenants.NewDirectory([]tenants.Entry{{Tenant: tenants.Tenant{Name: "t", AllowedRegions: tenant}}})
	state.SetRoutes(table)
}

func evacuate(state *fleet.State, zones ...string) {
	since := make(map[string]int64)
	for _, zone := range zones {
		since[zone] = 1
	}
	state.SetEvacuations(fleet.NewEvacuations(1, since))
}

func TestExecutorWithholdsRefusedRuns(t *testing.T) {
	here, elsewhere := []string{"region-1"}, []string{"region-2"}
	for _, c := range []struct {
		name      string
		change    func(state *fleet.State)
		residency placement.Residency
		unlisted  bool
		reason    placement.Reason
	}{
		{name: "A permitted run is sent"},
		{name: "An engine that is not in the worker's view, in a permitted zone", unlisted: true},
		{name: "Residency that permits the engine", residency: placement.Residency{Route: here, Tenant: here}},
		{
			name:   "An evacuated zone",
			change: func(state *fleet.State) { evacuate(state, "zone-1") },
			reason: placement.ZoneEvacuated,
		},
		{
			name:     "An evacuated zone, with an engine that is not in the worker's view",
			change:   func(state *fleet.State) { evacuate(state, "zone-1") },
			unlisted: true,
			reason:   placement.ZoneEvacuated,
		},
		{name: "Another zone is evacuated", change: func(state *fleet.State) { evacuate(state, "zone-2") }},
		{
			name:   "Unknown evacuations",
			change: func(state *fleet.State) { state.MarkEvacuationsUnknown() },
			reason: placement.EvacuationsUnknown,
		},
		{name: "The assignment's residency: route", residency: placement.Residency{Route: elsewhere}, reason: placement.RegionNotAllowed},
		{name: "The assignment's residency: tenant", residency: placement.Residency{Tenant: elsewhere}, reason: placement.RegionNotAllowed},
		{
			name:      "A topology without the zone",
			change:    func(state *fleet.State) { state.SetTopology(fleet.Topology{}) },
			residency: placement.Residency{Tenant: here},
			reason:    placement.RegionNotAllowed,
		},
		{
			name:   "The worker's own, newer table: route",
			change: func(state *fleet.State) { setAllowedRegions(state, elsewhere, nil) },
			reason: placement.RegionNotAllowed,
		},
		{
			name:   "The worker's own, newer table: tenant",
			change: func(state *fleet.State) { setAllowedRegions(state, here, elsewhere) },
			reason: placement.RegionNotAllowed,
		},
		{name: "The worker's own table, which permits the engine", change: func(state *fleet.State) { setAllowedRegions(state, here, here) }},
		{
			name: "A leaving engine",
			change: func(state *fleet.State) {
				state.SetEngineList([]*fleet.Engine{{ID: "e", Service: "pool", Zone: "zone-1"}})
			},
			reason: placement.EngineDraining,
		},
	} {
		for _, resumed := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				transport, sink := &countingEngine{}, &endSink{}
				executor := &itemwork.Executor{State: workerFleetState(c.change), Transport: transport}
				assignment := &itemwork.Assignment{Item: "i", Host: "h", Path: "/", Tenant: "t", Residency: c.residency}
				assignment.Engine = itemwork.Target{ID: "e", Service: "pool", Zone: "zone-1"}
				if c.unlisted {
					assignment.Engine.ID = "new"
				}
				if resumed {
					assignment.Text.Add(1, "e1", 1)
				}
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				executor.Run(ctx, assignment, sink)
				Convey(c.name, t, func() {
					if c.reason == placement.Permitted {
						So(transport.sent.Load(), ShouldEqual, 1)
						So(sink.end.Withheld, ShouldBeFalse)
						return
					}
					So(transport.sent.Load(), ShouldEqual, 0)
					So(sink.end.Verdict, ShouldEqual, itemwork.VerdictRefused)
					So(sink.end.Cause, ShouldContainSubstring, string(c.reason))
					// A leaving engine counts as one that refused: other items should not try it.
					So(sink.end.Withheld, ShouldEqual, c.reason != placement.EngineDraining)
				})
			})
		}
	}
}

func TestWorkerWithoutEvacuations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state := fleet.NewState()
		state.MarkEvacuationsUnknown()
		var leaving atomic.Bool
		s := newFakeCoordinator()
		poll := func(ctx context.Context, address string, request itemwork.PollRequest) (itemwork.PollReply, error) {
			leaving.Store(request.Worker.Leaving)
			return s.poll(ctx, address, request)
		}
		defer runWorker(t, state, poll, s.report)()
		Convey("A worker accepts no assignments until it has received the evacuations", t, func() {
			time.Sleep(time.Second)
			So(leaving.Load(), ShouldBeTrue)
			evacuate(state)
			time.Sleep(time.Second)
			So(leaving.Load(), ShouldBeFalse)
		})
	})
}

func TestRunIsReportedToTermStartedDuringReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeCoordinator{term: 1}
		run := itemwork.RunID{Term: 1, Number: 1}
		var coordinator atomic.Value
		coordinator.Store("old")
		var holdPoll, changing atomic.Bool
		release, polled := make(chan struct{}), make(chan struct{})
		worker := itemwork.NewWorker(itemwork.WorkerParams{
			Name:     "w",
			Executor: &itemwork.Executor{State: fleet.NewState(), Transport: endlessEngine{}},
			// The coordinator changes, and a poll returns the new term, between a report's lookup of the coordinator and its use.
			Coordinator: func() string {
				address := coordinator.Load().(string)
				if changing.CompareAndSwap(true, false) {
					coordinator.Store("new")
					s.set(func() { s.term, s.orders = 2, nil })
					close(release)
					<-polled
				}
				return address
			},
			Poll: func(ctx context.Context, address string, request itemwork.PollRequest) (itemwork.PollReply, error) {
				if holdPoll.CompareAndSwap(true, false) {
					<-release
				}
				if request.Term == 2 {
					select {
					case <-polled:
					default:
						close(polled)
					}
				}
				return s.poll(ctx, address, request)
			},
			Report:    s.report,
			MayReport: func(address string, _ int64, _ placement.Residency) bool { return address == coordinator.Load() },
			Draining:  func() bool { return false },
			Logger:    log.NewNopLogger(),
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			worker.Run(ctx)
			close(done)
		}()
		defer func() {
			cancel()
			<-done
		}()
		Convey("An ended run is reported to a term that starts during a report call", t, func() {
			s.set(func() { s.orders = []itemwork.Order{startOrder(1, run)} })
			time.Sleep(time.Second)
			s.set(func() { s.orders = []itemwork.Order{{Number: 2, Cancel: run}} })
			time.Sleep(time.Second)
			reports := s.takeReports()
			So(reports[len(reports)-1].End.Verdict, ShouldEqual, itemwork.VerdictCanceled)
			holdPoll.Store(true)
			time.Sleep(100 * time.Millisecond)
			changing.Store(true)
			time.Sleep(2 * time.Second)
			reports = s.takeReports()
			So(len(reports), ShouldEqual, 1)
			So(reports[0].Run, ShouldResemble, run)
			So(reports[0].From, ShouldEqual, 0)
		})
	})
}
