package weightorder_test

import (
	"context"
	"encoding/json"
	"errors"
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
	"github.com/covelink/covelink/internal/metastore"
	"github.com/covelink/covelink/internal/metastore/metastoretest"
	"github.com/covelink/covelink/internal/permits"
	"github.com/covelink/covelink/internal/routing"
	"github.com/covelink/covelink/internal/weightorder"
)

const (
	model       = "model-a"
	leaseLength = 3 * time.Second
	loadTime    = 900 * time.Millisecond
)

// sentOrder is an order that reached an engine.
type sentOrder struct {
	engine string
	order  weightorder.Order
	at     time.Time
}

// fakeEngines complete accepted orders after loadTime.
type fakeEngines struct {
	mu         sync.Mutex
	versions   map[string]int64
	sequence   map[string]int64
	loading    map[string]bool
	maxLoading int
	orders     []sentOrder
	// lostReplies is the number of further orders that are carried out without a reply.
	lostReplies int
}

func (e *fakeEngines) Report(_ context.Context, engine *fleet.Engine) (weightorder.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return weightorder.Report{
		Sequence: e.sequence[engine.ID],
		Busy:     e.loading[engine.ID],
		Versions: map[string]int64{model: e.versions[engine.ID]},
	}, nil
}

var errReplyLost = errors.New("reply lost")

func (e *fakeEngines) Order(_ context.Context, engine *fleet.Engine, order weightorder.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, sentOrder{engine: engine.ID, order: order, at: time.Now()})
	if order.Sequence != e.sequence[engine.ID] {
		return weightorder.ErrRefused
	}
	e.sequence[engine.ID]++
	e.loading[engine.ID] = true
	busy := 0
	for _, loading := range e.loading {
		if loading {
			busy++
		}
	}
	e.maxLoading = max(e.maxLoading, busy)
	time.AfterFunc(loadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.loading[engine.ID] = false
		e.versions[engine.ID] = order.Version
	})
	if e.lostReplies > 0 {
		e.lostReplies--
		return errReplyLost
	}
	return nil
}

func (e *fakeEngines) sentOrders() []sentOrder {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]sentOrder(nil), e.orders...)
}

func (e *fakeEngines) version(id string) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.versions[id]
}

const engineCount = 5

func engineID(i int) string { return fmt.Sprintf("engine-%d", i) }

// fixture is a manager with its lease in a store.
type fixture struct {
	engines *fakeEngines
	manager *weightorder.Manager
	client  *metastoretest.Client
	// storeSilent makes store calls hang.
	storeSilent atomic.Bool
}

func newFixture(singleVersion bool) *fixture {
	f := &fixture{
		engines: &fakeEngines{versions: make(map[string]int64), sequence: make(map[string]int64), loading: make(map[string]bool)},
		client:  metastoretest.New().Client(),
	}
	f.client.Fault = func(operation, _ string, _ bool) metastoretest.Fault {
		if f.storeSilent.Load() {
			return metastoretest.Silent
		}
		return metastoretest.None
	}
	state := fleet.NewState()
	route := routing.Route{Host: "h", Prefix: "/", Kind: routing.KindBatch, SingleVersion: singleVersion, Targets: []routing.Target{{Service: "pool", Weight: 1}}}
	state.SetRoutes(routing.NewTable(1, []routing.Route{route}, []routing.Service{{Name: "pool", Models: []string{model}}}, routing.Limits{}))
	var listed []*fleet.Engine
	for i := range engineCount {
		f.engines.versions[engineID(i)] = 1
		listed = append(listed, &fleet.Engine{ID: engineID(i), Service: "pool", Ready: true, Versions: map[string]int64{model: 1}})
	}
	state.SetEngineList(listed)
	f.manager = weightorder.New(weightorder.Params{
		State:       state,
		Engines:     f.engines,
		Store:       f.client,
		Holder:      "node-1",
		LeaseLength: leaseLength,
		OnVersion:   func(string, string, int64) {},
		Logger:      log.NewNopLogger(),
	})
	return f
}

// previouslyOrdered is the number of engines that the previous coordinator ordered.
const previouslyOrdered = 3

// recordOrders writes the journal of another process with orders just sent to the first engines.
func (f *fixture) recordOrders(holder string, count int) {
	records := make(map[string]any, count)
	for i := range count {
		records[engineID(i)] = map[string]any{"holder": holder, "ageMillis": 0}
	}
	spec, err := json.Marshal(map[string]any{"token": 6, "orders": records})
	if err != nil {
		panic(err)
	}
	object := metastore.Object{Name: "orders", Spec: spec}
	if _, err := f.client.Create(context.Background(), permits.KindJournals, object); err != nil {
		panic(err)
	}
}

// lead runs the manager as leader until the returned function is called. If previous is set, that process has just sent orders to the first
// engines.
func (f *fixture) lead(previous string) func() {
	ctx, cancel := context.WithCancel(context.Background())
	if previous != "" {
		f.recordOrders(previous, previouslyOrdered)
		spec, err := json.Marshal(election.Lease{Token: 6})
		if err != nil {
			panic(err)
		}
		if _, err := f.client.Create(ctx, election.KindLeases, metastore.Object{Name: "coordinator", Spec: spec}); err != nil {
			panic(err)
		}
	}
	elector := election.New(election.Params{
		Name:      "node-1",
		Address:   "node-1",
		Store:     f.client,
		Followers: metastore.NewFollowers(f.client),
		Ping:      func(context.Context, string, string) (time.Duration, error) { return 0, nil },
		Lead:      f.manager.Lead,
		Logger:    log.NewNopLogger(),
	})
	done := make(chan struct{})
	go func() {
		elector.Run(ctx)
		close(done)
	}()
	return func() {
		cancel()
		<-done
	}
}

func runTest(t *testing.T, name, previous string, singleVersion bool, run func(f *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(singleVersion)
		stop := f.lead(previous)
		defer stop()
		time.Sleep(time.Second)
		Convey(name, t, func() { run(f) })
	})
}

func TestOrders(t *testing.T) {
	runTest(t, "Every engine loads the target version once, two at a time, with runs continuing", "", false, func(f *fixture) {
		f.manager.SetTargets(map[string]int64{model: 2})
		time.Sleep(6 * time.Second)
		So(len(f.engines.sentOrders()), ShouldEqual, engineCount)
		So(f.engines.maxLoading, ShouldEqual, 2)
		for i := range engineCount {
			So(f.engines.version(engineID(i)), ShouldEqual, 2)
		}
		for _, g := range f.engines.sentOrders() {
			So(g.order.Mode, ShouldEqual, weightorder.ModeRetain)
			So(g.order.Token, ShouldEqual, 1)
			So(g.order.Holder, ShouldEqual, "node-1")
		}
		Convey("and setting the same target again sends no orders", func() {
			f.manager.SetTargets(map[string]int64{model: 2})
			time.Sleep(10 * time.Second)
			So(len(f.engines.sentOrders()), ShouldEqual, engineCount)
		})
	})
	runTest(t, "Engines wait for runs to end if a route requires texts of a single version", "", true, func(f *fixture) {
		f.manager.SetTargets(map[string]int64{model: 2})
		time.Sleep(6 * time.Second)
		for _, g := range f.engines.sentOrders() {
			So(g.order.Mode, ShouldEqual, weightorder.ModeWait)
		}
	})
	runTest(t, "An order whose reply is lost is not sent again once it is carried out", "", false, func(f *fixture) {
		f.engines.lostReplies = 2
		f.manager.SetTargets(map[string]int64{model: 2})
		time.Sleep(10 * time.Second)
		So(len(f.engines.sentOrders()), ShouldEqual, engineCount)
	})
	runTest(t, "An engine ordered by another process receives no order for a lease length; others receive theirs at once", "node-2", false, func(f *fixture) {
		f.manager.SetTargets(map[string]int64{model: 2})
		time.Sleep(leaseLength - time.Second)
		for _, g := range f.engines.sentOrders() {
			So(g.engine, ShouldBeGreaterThanOrEqualTo, engineID(previouslyOrdered))
		}
		So(len(f.engines.sentOrders()), ShouldEqual, engineCount-previouslyOrdered)
		time.Sleep(8 * time.Second)
		So(len(f.engines.sentOrders()), ShouldEqual, engineCount)
	})
	runTest(t, "A process restarted under the same name does not wait", "node-1", false, func(f *fixture) {
		f.manager.SetTargets(map[string]int64{model: 2})
		time.Sleep(leaseLength - 100*time.Millisecond)
		So(len(f.engines.sentOrders()), ShouldEqual, engineCount)
	})
	runTest(t, "No order is sent while the store does not answer", "", false, func(f *fixture) {
		f.storeSilent.Store(true)
		f.manager.SetTargets(map[string]int64{model: 2})
		time.Sleep(10 * time.Second)
		So(f.engines.sentOrders(), ShouldBeEmpty)
	})
}
