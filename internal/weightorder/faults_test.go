package weightorder

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/election"
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/metastore/metastoretest"
	"github.com/covelink/covelink/internal/routing"
)

// loadingEngines are engines in virtual time. Each load takes 900 ms and is reported 250 ms later.
type loadingEngines struct {
	mu       sync.Mutex
	versions map[string]map[string]int64
	busy     map[string]bool
	sequence map[string]int64
	orders   map[string]int
	// stuck are the engines that acknowledge orders and do not end them, as they are busy or as they have dropped the load.
	stuck, drops map[string]bool
	most         int
}

func newLoadingEngines() *loadingEngines {
	return &loadingEngines{
		versions: make(map[string]map[string]int64), busy: make(map[string]bool), sequence: make(map[string]int64), orders: make(map[string]int),
		stuck: make(map[string]bool), drops: make(map[string]bool),
	}
}

func (e *loadingEngines) Report(_ context.Context, engine *fleet.Engine) (Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	versions := make(map[string]int64)
	for model, version := range e.versions[engine.ID] {
		versions[model] = version
	}
	return Report{Sequence: e.sequence[engine.ID], Busy: e.busy[engine.ID], Versions: versions}, nil
}

func (e *loadingEngines) Order(_ context.Context, engine *fleet.Engine, order Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders[engine.ID]++
	e.sequence[engine.ID]++
	if e.drops[engine.ID] {
		return nil
	}
	e.busy[engine.ID] = true
	e.most = max(e.most, e.countBusy())
	if e.stuck[engine.ID] {
		return nil
	}
	time.AfterFunc(1150*time.Millisecond, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.busy[engine.ID] = false
		e.versions[engine.ID][order.Model] = order.Version
	})
	return nil
}

func (e *loadingEngines) countBusy() int {
	busy := 0
	for _, is := range e.busy {
		if is {
			busy++
		}
	}
	return busy
}

// loads returns the number of loads in progress.
func (e *loadingEngines) loads() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.countBusy()
}

func (e *loadingEngines) ordersTo(engine string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orders[engine]
}

// holding returns the number of engines that hold a version of a model, or a newer one.
func (e *loadingEngines) holding(model string, version int64) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	holding := 0
	for _, versions := range e.versions {
		if versions[model] >= version {
			holding++
		}
	}
	return holding
}

// faultFixture has twelve engines that are divided among models a and b.
type faultFixture struct {
	engines *loadingEngines
	state   *fleet.State
	store   *metastoretest.Store
	// silent makes calls to the store hang.
	silent atomic.Bool
	mu     sync.Mutex
	demand map[string]Demand
}

const faultEngines = 12

func newFaultFixture() *faultFixture {
	f := &faultFixture{engines: newLoadingEngines(), state: fleet.NewState(), store: metastoretest.New(), demand: make(map[string]Demand)}
	models := []string{"a", "b"}
	f.state.SetRoutes(routing.NewTable(1, nil, []routing.Service{{Name: "pool", Models: models}}, routing.Limits{}))
	f.list(0)
	for i := range faultEngines {
		f.engines.versions[fmt.Sprintf("engine-%03d", i)] = map[string]int64{"a": 1, "b": 1}
	}
	return f
}

// list lists the engines from a number on, with the versions that they began with, as a list that is never up to date.
func (f *faultFixture) list(from int) { listEngines(f.state, from, faultEngines, []string{"a", "b"}) }

func (f *faultFixture) setDemand(model string, demand Demand) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.demand[model] = demand
}

func (f *faultFixture) demands() map[string]Demand {
	f.mu.Lock()
	defer f.mu.Unlock()
	copied := make(map[string]Demand)
	for model, demand := range f.demand {
		copied[model] = demand
	}
	return copied
}

// lead lets a new manager lead until the returned function is called.
func (f *faultFixture) lead(holder string, token int64) (*Manager, func()) {
	client := f.store.Client()
	client.Fault = func(string, string, bool) metastoretest.Fault {
		if f.silent.Load() {
			return metastoretest.Silent
		}
		return metastoretest.None
	}
	m := New(Params{
		State: f.state, Engines: f.engines, Store: client, Holder: holder, LeaseLength: 3 * time.Second, OnVersion: func(string, string, int64) {},
		Demands: f.demands, Logger: log.NewNopLogger(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		m.Lead(ctx, election.Term{Token: token})
		close(done)
	}()
	return m, func() {
		cancel()
		<-done
	}
}

func runFault(t *testing.T, name string, run func(f *faultFixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFaultFixture()
		Convey(name, t, func() { run(f) })
	})
}

// TestFaults guards against loads that are lost, repeated or left out when a coordinator, an engine or half of the engines fail.
func TestFaults(t *testing.T) {
	targets := map[string]int64{"a": 2, "b": 2}
	runFault(t, "A coordinator lost between plan and order leaves nothing behind", func(f *faultFixture) {
		first, stop := f.lead("node-1", 1)
		time.Sleep(time.Second)
		f.silent.Store(true)
		first.SetTargets(targets)
		time.Sleep(time.Second)
		first.mu.Lock()
		planned := len(first.loading)
		first.mu.Unlock()
		So(planned, ShouldEqual, 2)
		stop()
		So(f.engines.loads(), ShouldEqual, 0)
		f.silent.Store(false)
		second, stopSecond := f.lead("node-2", 2)
		defer stopSecond()
		second.SetTargets(targets)
		time.Sleep(15 * time.Second)
		So(f.engines.holding("a", 2), ShouldEqual, 6)
		So(f.engines.holding("b", 2), ShouldEqual, 6)
		for i := range faultEngines {
			So(f.engines.ordersTo(fmt.Sprintf("engine-%03d", i)), ShouldEqual, 1)
		}
	})
	for name, faulty := range map[string]func(e *loadingEngines) map[string]bool{
		"A load that is acknowledged and never ends frees its place, and the engine is tried again": func(e *loadingEngines) map[string]bool { return e.stuck },
		"A load that is acknowledged and dropped is ordered again":                                  func(e *loadingEngines) map[string]bool { return e.drops },
	} {
		runFault(t, name, func(f *faultFixture) {
			const broken = "engine-003"
			faulty(f.engines)[broken] = true
			m, stop := f.lead("node-1", 1)
			defer stop()
			m.SetTargets(targets)
			time.Sleep(20 * time.Second)
			So(f.engines.holding("a", 2)+f.engines.holding("b", 2), ShouldEqual, faultEngines-1)
			So(m.Stats().Windows["pool"], ShouldBeGreaterThanOrEqualTo, 2)
			f.engines.mu.Lock()
			delete(f.engines.stuck, broken)
			delete(f.engines.drops, broken)
			f.engines.busy[broken] = false
			f.engines.mu.Unlock()
			time.Sleep(10 * time.Second)
			So(f.engines.holding("a", 2)+f.engines.holding("b", 2), ShouldEqual, faultEngines)
		})
	}
	runFault(t, "When half of a model's engines are lost at once, others take its versions", func(f *faultFixture) {
		m, stop := f.lead("node-1", 1)
		defer stop()
		m.SetTargets(targets)
		time.Sleep(10 * time.Second)
		f.engines.mu.Lock()
		for i := range 6 {
			// The engines with numbers below 6 fail in the middle of a load.
			f.engines.stuck[fmt.Sprintf("engine-%03d", i)] = true
		}
		f.engines.mu.Unlock()
		m.SetTargets(map[string]int64{"a": 3, "b": 2})
		time.Sleep(500 * time.Millisecond)
		f.list(6)
		time.Sleep(20 * time.Second)
		stats := m.Stats()
		So(stats.Engines, ShouldResemble, map[string]int{"a": 3, "b": 3})
		So(stats.UpToDate, ShouldResemble, map[string]int{"a": 3, "b": 3})
	})
}

// TestStepFindsEngines guards against loads in advance that take the engines of a step which is just being submitted.
func TestStepFindsEngines(t *testing.T) {
	runFault(t, "A step submitted while engines of its model hold usable versions finds them not loading", func(f *faultFixture) {
		m, stop := f.lead("node-1", 1)
		defer stop()
		idle := Demand{SubmittedTime: 100 * time.Second}
		f.setDemand("a", idle)
		f.setDemand("b", idle)
		for step := int64(1); step < 6; step++ {
			m.SetTargets(map[string]int64{"a": step + 1})
			time.Sleep(300 * time.Millisecond)
			So(f.engines.loads(), ShouldEqual, 0)
			submitted := time.Now()
			for time.Since(submitted) < time.Second {
				f.setDemand("a", Demand{
					SubmittedTime: idle.SubmittedTime, Waiting: 10, Open: 10, MinVersion: step, OpenMinVersion: step, WaitingTime: 5 * time.Second,
					NewestOpen: time.Since(submitted), OldestOpen: time.Since(submitted),
				})
				So(f.engines.loads(), ShouldEqual, 0)
				time.Sleep(50 * time.Millisecond)
			}
			f.setDemand("a", idle)
			time.Sleep(5 * time.Second)
			So(f.engines.holding("a", step+1), ShouldEqual, 6)
			if step == 1 {
				// The interval between versions is not known yet.
				So(f.engines.most, ShouldBeLessThanOrEqualTo, 3)
			}
		}
	})
	runFault(t, "Loads in advance are dropped if items begin to wait before the store has recorded them", func(f *faultFixture) {
		m, stop := f.lead("node-1", 1)
		defer stop()
		time.Sleep(time.Second)
		f.silent.Store(true)
		m.SetTargets(map[string]int64{"a": 2})
		time.Sleep(200 * time.Millisecond)
		f.setDemand("a", Demand{Waiting: 10, Open: 10, MinVersion: 1, OpenMinVersion: 1})
		f.silent.Store(false)
		time.Sleep(5 * time.Second)
		So(f.engines.loads()+f.engines.holding("a", 2), ShouldEqual, 0)
		f.setDemand("a", Demand{})
		time.Sleep(8 * time.Second)
		So(f.engines.holding("a", 2), ShouldEqual, 6)
	})
}
