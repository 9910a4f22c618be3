package enginescale

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/duty"
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/metastore/metastoretest"
	"github.com/covelink/covelink/internal/permits"
	"github.com/covelink/covelink/internal/routing"
)

const leaseLength = 3 * time.Second

// fakePlatform keeps the orders that it took.
type fakePlatform struct {
	mu    sync.Mutex
	err   error
	taken []string
}

// OrderEngines implements Platform.
func (p *fakePlatform) OrderEngines(_ context.Context, stamp duty.Stamp, _ time.Time, order Order) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err != nil {
		return p.err
	}
	p.taken = append(p.taken, fmt.Sprintf("%s %d by %s/%d", order.Subject, order.Desired, stamp.Holder, stamp.Token))
	return nil
}

// orders returns the orders taken since the last call.
func (p *fakePlatform) orders() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	taken := p.taken
	p.taken = nil
	return taken
}

func (p *fakePlatform) fail(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.err = err
}

// world is a deployment whose pool has engines in one zone.
type world struct {
	store    *metastoretest.Store
	state    *fleet.State
	platform fakePlatform
}

func newWorld() *world {
	w := &world{store: metastoretest.New(), state: fleet.NewState()}
	services := []routing.Service{
		{Name: "pool", Scaling: &routing.Scaling{Min: 1, Max: 8, StartTime: 4 * time.Second}},
		{Name: "desk"},
	}
	w.state.SetRoutes(routing.NewTable(1, nil, services, routing.Limits{}))
	return w
}

// run makes so many engines of the pool, and one of the desk, those that are listed.
func (w *world) run(count int) {
	engines := []*fleet.Engine{{ID: "desk-0", Service: "desk", Zone: "a", Ready: true}}
	for i := range count {
		engines = append(engines, &fleet.Engine{ID: fmt.Sprint("pool-", i), Service: "pool", Zone: "a", Ready: true})
	}
	w.state.SetEngineList(engines)
}

// lead begins a term, and returns what ends it.
func (w *world) lead(name string, token int64) (stop func()) {
	client := w.store.Client()
	manager := New(Params{State: w.state, Platform: &w.platform, Store: client, Logger: log.NewNopLogger()})
	performer := &duty.Performer{
		Stamp:   duty.Stamp{Holder: name, Token: token},
		Journal: permits.New(permits.Params{Store: client, Name: "duties", Holder: name, Token: token, LeaseLength: leaseLength}),
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		performer.TakeOver(ctx)
		manager.Lead(ctx, performer)
	}()
	return func() {
		cancel()
		<-done
	}
}

func play(t *testing.T, name string, scene func(w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		Convey(name, t, func() { scene(newWorld()) })
	})
}

func TestManager(t *testing.T) {
	play(t, "What runs is ordered once, also across terms, and engines of other services are left alone", func(w *world) {
		w.run(5)
		stop := w.lead("first", 1)
		time.Sleep(10 * time.Second)
		So(w.platform.orders(), ShouldResemble, []string{"scale/pool/a 5 by first/1"})
		stop()
		stop = w.lead("second", 2)
		defer stop()
		time.Sleep(20 * time.Second)
		So(w.platform.orders(), ShouldBeEmpty)
	})
	play(t, "Engines that stay away are replaced to the number that was ordered, by a later term too, and not those that come back", func(w *world) {
		w.run(5)
		w.lead("first", 1)()
		stop := w.lead("first", 1)
		time.Sleep(6 * time.Second)
		w.platform.orders()
		stop()
		w.run(3)
		stop = w.lead("second", 2)
		defer stop()
		time.Sleep(12 * time.Second)
		So(w.platform.orders(), ShouldResemble, []string{"scale/pool/a 5 by second/2"})
		w.run(5)
		time.Sleep(20 * time.Second)
		So(w.platform.orders(), ShouldBeEmpty)
		w.run(4)
		time.Sleep(3 * time.Second)
		w.run(5)
		time.Sleep(20 * time.Second)
		So(w.platform.orders(), ShouldBeEmpty)
	})
	play(t, "An order that the platform does not take is given again", func(w *world) {
		w.run(2)
		w.platform.fail(duty.ErrNoneAvailable)
		stop := w.lead("first", 1)
		defer stop()
		time.Sleep(10 * time.Second)
		So(w.platform.orders(), ShouldBeEmpty)
		w.platform.fail(nil)
		time.Sleep(3 * time.Second)
		So(w.platform.orders(), ShouldResemble, []string{"scale/pool/a 2 by first/1"})
	})
	play(t, "A holder gives no orders once a later term has", func(w *world) {
		w.run(2)
		stopFirst := w.lead("first", 1)
		defer stopFirst()
		time.Sleep(10 * time.Second)
		stopSecond := w.lead("second", 2)
		defer stopSecond()
		w.run(1)
		time.Sleep(30 * time.Second)
		orders := w.platform.orders()
		So(len(orders), ShouldBeGreaterThan, 1)
		for _, order := range orders[1:] {
			So(order, ShouldEndWith, "second/2")
		}
	})
}
