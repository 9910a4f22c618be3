package enginescale

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/duty"
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/metastore"
	"github.com/covelink/covelink/internal/metastore/metastoretest"
	"github.com/covelink/covelink/internal/routing"
)

const startTime = 4 * time.Second

// demandFixture is a deployment with a scaled model service in zones a, b and c, and a platform that starts what is ordered.
type demandFixture struct {
	store *metastoretest.Store
	state *fleet.State

	mu sync.Mutex
	// running are the engines by zone, and lost the zones whose engines are not listed.
	running map[string]int
	lost    map[string]bool
	orders  []string
	// answer returns the error of a call; carriedOut is true if the order is performed nevertheless.
	answer func(order Order) (err error, carriedOut bool)
	// offered returns the offered load.
	offered func(now time.Time) (slots float64, ok bool)
	// loading are the engines that load weights.
	loading *LoadingSet
}

func newDemandFixture() *demandFixture {
	f := &demandFixture{
		store:   metastoretest.New(),
		state:   fleet.NewState(),
		running: map[string]int{"a": 7, "b": 8, "c": 11},
		lost:    make(map[string]bool),
		loading: NewLoadingSet(),
		answer:  func(Order) (error, bool) { return nil, true },
		offered: func(time.Time) (float64, bool) { return 0, false },
	}
	services := []routing.Service{{
		Name: "pool", Slots: 6, Models: []string{"m"},
		Scaling: &routing.Scaling{Min: 1, Max: 26, StartTime: startTime, ZonePrices: map[string]float64{"a": 0.85, "b": 1.2, "c": 1}},
	}}
	f.state.SetRoutes(routing.NewTable(1, nil, services, routing.Limits{}))
	f.list()
	return f
}

// list lists the running engines. The mutex must be held, unless nothing runs yet.
func (f *demandFixture) list() {
	var engines []*fleet.Engine
	for zone, count := range f.running {
		for i := range count {
			if !f.lost[zone] {
				engines = append(engines, &fleet.Engine{ID: fmt.Sprint(zone, i), Service: "pool", Zone: zone, Slots: 6, Ready: true})
			}
		}
	}
	f.state.SetEngineList(engines)
}

// OrderEngines implements Platform.
func (f *demandFixture) OrderEngines(_ context.Context, stamp duty.Stamp, _ time.Time, order Order) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	err, carriedOut := f.answer(order)
	f.orders = append(f.orders, fmt.Sprintf("%s %d %s by %s", order.Subject.Zone, order.Desired, order.Reason, stamp.Holder))
	if carriedOut {
		time.AfterFunc(startTime, func() { f.set(func() { f.running[order.Subject.Zone] = order.Desired }) })
	}
	return err
}

// set changes the fixture and lists the engines anew.
func (f *demandFixture) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	f.list()
}

// taken returns the calls since the last one.
func (f *demandFixture) taken() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	taken := f.orders
	f.orders = nil
	return taken
}

func sorted(orders []string) []string { return slices.Sorted(slices.Values(orders)) }

// load sets a steady load that requires a number of engines.
func (f *demandFixture) load(engines float64) {
	f.set(func() { f.offered = func(time.Time) (float64, bool) { return engines * 6 * targetOccupancy, true } })
}

// lead starts a term and returns its manager and a function that ends it.
func (f *demandFixture) lead(name string, token int64) (manager *Manager, stop func()) {
	manager = New(Params{
		State: f.state, Platform: f, Store: f.store.Client(), Logger: log.NewNopLogger(), Loading: f.loading.Contains,
		OfferedLoad: func(models []string) (float64, bool) {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.offered(time.Now())
		},
	})
	return manager, lead(manager, name, token)
}

func runDemandTest(t *testing.T, name string, run func(f *demandFixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		Convey(name, t, func() { run(newDemandFixture()) })
	})
}

func TestManagerDemand(t *testing.T) {
	found := []string{"a 7 as found by first", "b 8 as found by first", "c 11 as found by first"}
	runDemandTest(t, "A load that fits what was found gets no further order", func(f *demandFixture) {
		f.load(25)
		_, stop := f.lead("first", 1)
		defer stop()
		time.Sleep(5 * time.Minute)
		So(sorted(f.taken()), ShouldResemble, found)
	})
	runDemandTest(t, "Nothing changes while the load is not known", func(f *demandFixture) {
		manager, stop := f.lead("first", 1)
		defer stop()
		time.Sleep(5 * time.Minute)
		So(sorted(f.taken()), ShouldResemble, found)
		So(manager.Demands(), ShouldBeEmpty)
	})
	runDemandTest(t, "A surge is ordered once in each zone, and taken back one zone a minute, down to what was found", func(f *demandFixture) {
		manager, stop := f.lead("first", 1)
		defer stop()
		time.Sleep(10 * time.Second)
		So(sorted(f.taken()), ShouldResemble, found)
		f.load(48)
		time.Sleep(30 * time.Second)
		So(sorted(f.taken()), ShouldResemble, []string{"a 16 demand by first", "b 16 demand by first", "c 16 demand by first"})
		So(manager.Demands(), ShouldHaveLength, 1)
		So(manager.Demands()[0].Needed, ShouldEqual, 48)
		So(manager.Desired(), ShouldEqual, 48)
		f.load(10)
		time.Sleep(58 * time.Second)
		So(f.taken(), ShouldBeEmpty)
		time.Sleep(2 * time.Minute)
		So(len(f.taken()), ShouldBeBetweenOrEqual, 1, 2)
		time.Sleep(10 * time.Minute)
		f.taken()
		So(manager.Desired(), ShouldEqual, 26)
	})
	runDemandTest(t, "Engines that load weights raise the need", func(f *demandFixture) {
		f.load(30)
		for i := range 6 {
			f.loading.Set(fmt.Sprint("c", i), true)
		}
		manager, stop := f.lead("first", 1)
		defer stop()
		time.Sleep(9500 * time.Millisecond)
		So(manager.Demands()[0].LoadingShare, ShouldAlmostEqual, 6.0/26, 0.001)
		So(manager.Demands()[0].Needed, ShouldEqual, 39)
		So(manager.Desired(), ShouldEqual, 39)
	})
	runDemandTest(t, "An order without an answer is repeated with the same number, though the need grows", func(f *demandFixture) {
		_, stop := f.lead("first", 1)
		defer stop()
		time.Sleep(10 * time.Second)
		f.taken()
		f.set(func() { f.answer = func(Order) (error, bool) { return duty.ErrUnanswered, false } })
		f.load(36)
		time.Sleep(8 * time.Second)
		f.load(70)
		time.Sleep(8 * time.Second)
		lost := f.taken()
		// One call for each zone and callInterval at most, from minHistory on.
		So(len(lost), ShouldBeBetweenOrEqual, 9, 24)
		for _, order := range lost {
			So([]string{"a 12 demand by first", "b 12 demand by first", "c 12 demand by first"}, ShouldContain, order)
		}
		f.set(func() { f.answer = func(Order) (error, bool) { return nil, true } })
		time.Sleep(20 * time.Second)
		orders := f.taken()
		So(orders, ShouldContain, "a 12 demand by first")
		So(orders, ShouldContain, "b 12 demand by first")
		So(f.running["a"]+f.running["b"]+f.running["c"], ShouldBeGreaterThanOrEqualTo, 70)
	})
	runDemandTest(t, "A zone without engines to order is left out for a while, and the others take its share", func(f *demandFixture) {
		_, stop := f.lead("first", 1)
		defer stop()
		time.Sleep(10 * time.Second)
		f.taken()
		f.set(func() {
			f.answer = func(order Order) (error, bool) {
				if order.Subject.Zone == "a" {
					return duty.ErrNoneAvailable, false
				}
				return nil, true
			}
		})
		f.load(35)
		time.Sleep(12 * time.Second)
		So(sorted(f.taken()), ShouldResemble, []string{"a 12 demand by first", "b 11 demand by first", "b 14 demand by first", "c 12 demand by first", "c 14 demand by first"})
	})
	runDemandTest(t, "The load of a lost zone is taken over by the others within seconds, and kept until a minute after its return", func(f *demandFixture) {
		f.load(26)
		_, stop := f.lead("first", 1)
		defer stop()
		time.Sleep(20 * time.Second)
		f.taken()
		f.set(func() { f.lost["c"] = true })
		time.Sleep(4 * time.Second)
		So(sorted(f.taken()), ShouldResemble, []string{"a 13 demand by first", "b 13 demand by first"})
		time.Sleep(3 * time.Minute)
		for _, order := range f.taken() {
			So(order, ShouldEqual, "c 11 replaces lost ones by first")
		}
		f.set(func() { f.lost["c"] = false })
		time.Sleep(58 * time.Second)
		So(f.taken(), ShouldBeEmpty)
		time.Sleep(5 * time.Second)
		So(f.taken(), ShouldHaveLength, 1)
	})
	runDemandTest(t, "A new coordinator keeps what was ordered and found, and orders fewer only after it observed the load for a minute", func(f *demandFixture) {
		_, stop := f.lead("first", 1)
		time.Sleep(10 * time.Second)
		f.load(48)
		time.Sleep(20 * time.Second)
		f.taken()
		f.load(10)
		time.Sleep(50 * time.Second)
		stop()
		manager, stop := f.lead("second", 2)
		defer stop()
		f.set(func() { f.offered = func(time.Time) (float64, bool) { return 0, false } })
		time.Sleep(2 * time.Minute)
		So(f.taken(), ShouldBeEmpty)
		f.load(10)
		time.Sleep(59 * time.Second)
		So(f.taken(), ShouldBeEmpty)
		time.Sleep(10 * time.Minute)
		So(manager.Desired(), ShouldEqual, 26)
		So(f.running, ShouldResemble, map[string]int{"a": 7, "b": 8, "c": 11})
	})
}

// Guards against a number of engines that is lost with the coordinator, or that a coordinator of an earlier version cannot read.
func TestStoredOrders(t *testing.T) {
	runDemandTest(t, "The found engines of an object without them are the ordered ones", func(f *demandFixture) {
		content := `{"token":1,"desired":{"scale/pool/a":9,"scale/pool/b":8,"scale/pool/c":11}}`
		_, err := f.store.Client().Create(context.Background(), KindOrders, metastore.Object{Name: ordersName, Spec: json.RawMessage(content)})
		So(err, ShouldBeNil)
		f.set(func() { f.running["a"] = 9 })
		f.load(10)
		_, stop := f.lead("second", 2)
		defer stop()
		time.Sleep(5 * time.Minute)
		So(f.taken(), ShouldBeEmpty)
	})
	runDemandTest(t, "Orders that could not be stored are stored once the store answers", func(f *demandFixture) {
		_, stop := f.lead("first", 1)
		defer stop()
		time.Sleep(10 * time.Second)
		f.load(48)
		f.set(func() { f.answer = func(Order) (error, bool) { f.store.Mute(true); return nil, true } })
		time.Sleep(20 * time.Second)
		f.store.Mute(false)
		time.Sleep(10 * time.Second)
		object, err := f.store.Client().Get(context.Background(), KindOrders, ordersName)
		So(err, ShouldBeNil)
		var spec ordersSpec
		So(json.Unmarshal(object.Spec, &spec), ShouldBeNil)
		So(spec.Desired, ShouldResemble, map[string]int{"scale/pool/a": 16, "scale/pool/b": 16, "scale/pool/c": 16})
		So(spec.Found, ShouldResemble, map[string]int{"scale/pool/a": 7, "scale/pool/b": 8, "scale/pool/c": 11})
	})
}

// trainers submit a job each 4 s. They replay the load of four models.
type trainers struct {
	began time.Time
	// phases are the times of the first jobs, and slotSeconds the expected duration of a job's items.
	phases      []time.Duration
	slotSeconds float64
}

// offered returns the load as batchrun.Runner.OfferedLoad estimates it.
func (tr trainers) offered(now time.Time) (slots float64, ok bool) {
	const timeConstant, interval = 20.0, 4.0
	age := now.Sub(tr.began).Seconds()
	for _, phase := range tr.phases {
		observed := age - phase.Seconds()
		if observed < interval {
			continue
		}
		sum := 0.0
		// The first job marks the start of the observation.
		for since := observed - interval; since >= 0; since -= interval {
			sum += math.Exp(-since / timeConstant)
		}
		slots, ok = slots+sum*tr.slotSeconds/(timeConstant*(1-math.Exp(-observed/timeConstant))), true
	}
	return slots, ok
}

// Guards against a number of engines that follows the steps of trainers up and down.
func TestReplayedSteps(t *testing.T) {
	for _, phases := range [][]time.Duration{
		{0, 0, 0, 0},
		{0, time.Second, 2 * time.Second, 3 * time.Second},
		{0, 0, 100 * time.Millisecond, 2 * time.Second},
	} {
		runDemandTest(t, fmt.Sprint("Steps every 4 s at ", phases, " are met within 20 s, and soon change nothing more"), func(f *demandFixture) {
			// 105 slots on average require 35 engines.
			const slots, needed = 105, 35
			load := trainers{began: time.Now(), phases: phases, slotSeconds: slots * 4 / 4}
			f.set(func() { f.offered = load.offered })
			manager, stop := f.lead("first", 1)
			defer stop()
			time.Sleep(20 * time.Second)
			orders := f.taken()
			So(len(orders)-3, ShouldBeBetweenOrEqual, 1, 6)
			So(manager.Desired(), ShouldBeBetweenOrEqual, needed-4, needed+6)
			time.Sleep(10 * time.Minute)
			So(len(f.taken()), ShouldBeLessThanOrEqualTo, 3)
			So(manager.Desired(), ShouldBeBetweenOrEqual, needed-4, needed+6)
			time.Sleep(20 * time.Minute)
			So(f.taken(), ShouldBeEmpty)
		})
	}
}
