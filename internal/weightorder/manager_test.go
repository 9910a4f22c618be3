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

// given is one order that reached an engine.
type given struct {
	engine string
	order  weightorder.Order
	at     time.Time
}

// engines carry orders out after loadTime, as the platform's do.
type engines struct {
	mu       sync.Mutex
	versions map[string]int64
	sequence map[string]int64
	loading  map[string]bool
	most     int
	orders   []given
	// answerLost makes an order be carried out without an answer, while it is positive.
	answerLost int
}

func (e *engines) Report(_ context.Context, engine *fleet.Engine) (weightorder.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return weightorder.Report{
		Sequence: e.sequence[engine.ID],
		Busy:     e.loading[engine.ID],
		Versions: map[string]int64{model: e.versions[engine.ID]},
	}, nil
}

var errNoAnswer = errors.New("no answer")

func (e *engines) Order(_ context.Context, engine *fleet.Engine, order weightorder.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, given{engine: engine.ID, order: order, at: time.Now()})
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
	e.most = max(e.most, busy)
	time.AfterFunc(loadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.loading[engine.ID] = false
		e.versions[engine.ID] = order.Version
	})
	if e.answerLost > 0 {
		e.answerLost--
		return errNoAnswer
	}
	return nil
}

func (e *engines) given() []given {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]given(nil), e.orders...)
}

func (e *engines) version(id string) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.versions[id]
}

const engineCount = 5

func engineID(i int) string { return fmt.Sprintf("engine-%d", i) }

// world is a manager with its lease in a store.
type world struct {
	engines *engines
	manager *weightorder.Manager
	client  *metastoretest.Client
	// deaf makes calls to the store stay without answer.
	deaf atomic.Bool
}

func newWorld(singleVersion bool) *world {
	w := &world{
		engines: &engines{versions: make(map[string]int64), sequence: make(map[string]int64), loading: make(map[string]bool)},
		client:  metastoretest.New().Client(),
	}
	w.client.Fault = func(operation, _ string, _ bool) metastoretest.Fault {
		if w.deaf.Load() {
			return metastoretest.Silent
		}
		return metastoretest.None
	}
	state := fleet.NewState()
	route := routing.Route{Host: "h", Prefix: "/", Kind: routing.KindBatch, SingleVersion: singleVersion, Targets: []routing.Target{{Service: "pool", Weight: 1}}}
	state.SetRoutes(routing.NewTable(1, []routing.Route{route}, []routing.Service{{Name: "pool", Models: []string{model}}}, routing.Limits{}))
	var listed []*fleet.Engine
	for i := range engineCount {
		w.engines.versions[engineID(i)] = 1
		listed = append(listed, &fleet.Engine{ID: engineID(i), Service: "pool", Ready: true, Versions: map[string]int64{model: 1}})
	}
	state.SetEngineList(listed)
	w.manager = weightorder.New(weightorder.Params{
		State:       state,
		Engines:     w.engines,
		Store:       w.client,
		Holder:      "node-1",
		LeaseLength: leaseLength,
		Loaded:      func(string, string, int64) {},
		Logger:      log.NewNopLogger(),
	})
	return w
}

// orderedBefore is how many engines the process before has ordered.
const orderedBefore = 3

// recordOrders writes the journal as another process has left it, with orders to the first engines just given.
func (w *world) recordOrders(holder string, count int) {
	records := make(map[string]any, count)
	for i := range count {
		records[engineID(i)] = map[string]any{"holder": holder, "ageMillis": 0}
	}
	spec, err := json.Marshal(map[string]any{"token": 6, "orders": records})
	if err != nil {
		panic(err)
	}
	object := metastore.Object{Name: "orders", Spec: spec}
	if _, err := w.client.Create(context.Background(), permits.KindJournals, object); err != nil {
		panic(err)
	}
}

// hold leads, after another process, if it is named, has given orders to the first engines, until the function that it returns
// is called.
func (w *world) hold(previous string) func() {
	ctx, cancel := context.WithCancel(context.Background())
	if previous != "" {
		w.recordOrders(previous, orderedBefore)
		spec, err := json.Marshal(election.Lease{Token: 6})
		if err != nil {
			panic(err)
		}
		if _, err := w.client.Create(ctx, election.KindLeases, metastore.Object{Name: "coordinator", Spec: spec}); err != nil {
			panic(err)
		}
	}
	elector := election.New(election.Params{
		Name:      "node-1",
		Address:   "node-1",
		Store:     w.client,
		Followers: metastore.NewFollowers(w.client),
		Ping:      func(context.Context, string, string) (time.Duration, error) { return 0, nil },
		Lead:      w.manager.Lead,
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

func play(t *testing.T, name, previous string, singleVersion bool, scene func(w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(singleVersion)
		stop := w.hold(previous)
		defer stop()
		time.Sleep(time.Second)
		Convey(name, t, func() { scene(w) })
	})
}

func TestOrders(t *testing.T) {
	play(t, "Every engine is moved to the named version once, two at a time, runs going on", "", false, func(w *world) {
		w.manager.SetNamed(map[string]int64{model: 2})
		time.Sleep(6 * time.Second)
		So(len(w.engines.given()), ShouldEqual, engineCount)
		So(w.engines.most, ShouldEqual, 2)
		for i := range engineCount {
			So(w.engines.version(engineID(i)), ShouldEqual, 2)
		}
		for _, g := range w.engines.given() {
			So(g.order.Mode, ShouldEqual, weightorder.ModeRetain)
			So(g.order.Token, ShouldEqual, 1)
			So(g.order.Holder, ShouldEqual, "node-1")
		}
		Convey("and a version that is named twice is ordered once", func() {
			w.manager.SetNamed(map[string]int64{model: 2})
			time.Sleep(10 * time.Second)
			So(len(w.engines.given()), ShouldEqual, engineCount)
		})
	})
	play(t, "Runs end first where a route demands texts of one version", "", true, func(w *world) {
		w.manager.SetNamed(map[string]int64{model: 2})
		time.Sleep(6 * time.Second)
		for _, g := range w.engines.given() {
			So(g.order.Mode, ShouldEqual, weightorder.ModeWait)
		}
	})
	play(t, "An order that is carried out without an answer is not given twice", "", false, func(w *world) {
		w.engines.answerLost = 2
		w.manager.SetNamed(map[string]int64{model: 2})
		time.Sleep(10 * time.Second)
		So(len(w.engines.given()), ShouldEqual, engineCount)
	})
	play(t, "An engine that another process has ordered gets no order until a lease length has passed, others get theirs at once", "node-2", false, func(w *world) {
		w.manager.SetNamed(map[string]int64{model: 2})
		time.Sleep(leaseLength - time.Second)
		for _, g := range w.engines.given() {
			So(g.engine, ShouldBeGreaterThanOrEqualTo, engineID(orderedBefore))
		}
		So(len(w.engines.given()), ShouldEqual, engineCount-orderedBefore)
		time.Sleep(8 * time.Second)
		So(len(w.engines.given()), ShouldEqual, engineCount)
	})
	play(t, "A process that was started again on the same machine need not wait", "node-1", false, func(w *world) {
		w.manager.SetNamed(map[string]int64{model: 2})
		time.Sleep(leaseLength - 100*time.Millisecond)
		So(len(w.engines.given()), ShouldEqual, engineCount)
	})
	play(t, "Without an answer of the store no order is given", "", false, func(w *world) {
		w.deaf.Store(true)
		w.manager.SetNamed(map[string]int64{model: 2})
		time.Sleep(10 * time.Second)
		So(w.engines.given(), ShouldBeEmpty)
	})
}
