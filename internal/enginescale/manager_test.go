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

// fakePlatform records accepted orders.
type fakePlatform struct {
	mu       sync.Mutex
	err      error
	accepted []string
}

// OrderEngines implements Platform.
func (p *fakePlatform) OrderEngines(_ context.Context, stamp duty.Stamp, _ time.Time, order Order) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err != nil {
		return p.err
	}
	p.accepted = append(p.accepted, fmt.Sprintf("%s %d by %s/%d", order.Subject, order.Desired, stamp.Holder, stamp.Token))
	return nil
}

// orders returns the orders accepted since the last call.
func (p *fakePlatform) orders() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	taken := p.accepted
	p.accepted = nil
	return taken
}

func (p *fakePlatform) fail(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.err = err
}

// fixture is a deployment with one scaled pool.
type fixture struct {
	store    *metastoretest.Store
	state    *fleet.State
	platform fakePlatform
}

func newFixture() *fixture {
	f := &fixture{store: metastoretest.New(), state: fleet.NewState()}
	services := []routing.Service{
		{Name: "pool", Scaling: &routing.Scaling{Min: 1, Max: 8, StartTime: 4 * time.Second}},
		{Name: "desk"},
	}
	f.state.SetRoutes(routing.NewTable(1, nil, services, routing.Limits{}))
	return f
}

// setRunning lists the given number of engines of the pool, and one of the unscaled service.
func (f *fixture) setRunning(count int) {
	engines := []*fleet.Engine{{ID: "desk-0", Service: "desk", Zone: "a", Ready: true}}
	for i := range count {
		engines = append(engines, &fleet.Engine{ID: fmt.Sprint("pool-", i), Service: "pool", Zone: "a", Ready: true})
	}
	f.state.SetEngineList(engines)
}

// lead starts a term and returns a function that ends it.
func (f *fixture) lead(name string, token int64) (stop func()) {
	return lead(New(Params{State: f.state, Platform: &f.platform, Store: f.store.Client(), Logger: log.NewNopLogger()}), name, token)
}

// lead starts a term of a manager and returns a function that ends it.
func lead(manager *Manager, name string, token int64) (stop func()) {
	performer := &duty.Executor{
		Stamp:   duty.Stamp{Holder: name, Token: token},
		Journal: permits.New(permits.Params{Store: manager.Store, Name: "duties", Holder: name, Token: token, LeaseLength: leaseLength}),
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

func runTest(t *testing.T, name string, run func(f *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		Convey(name, t, func() { run(newFixture()) })
	})
}

func TestManager(t *testing.T) {
	runTest(t, "Running engines are ordered once across terms, and unscaled services receive no orders", func(f *fixture) {
		f.setRunning(5)
		stop := f.lead("first", 1)
		time.Sleep(10 * time.Second)
		So(f.platform.orders(), ShouldResemble, []string{"scale/pool/a 5 by first/1"})
		stop()
		stop = f.lead("second", 2)
		defer stop()
		time.Sleep(20 * time.Second)
		So(f.platform.orders(), ShouldBeEmpty)
	})
	runTest(t, "Missing engines are replaced up to the ordered number, also in a later term, unless they return", func(f *fixture) {
		f.setRunning(5)
		f.lead("first", 1)()
		stop := f.lead("first", 1)
		time.Sleep(6 * time.Second)
		f.platform.orders()
		stop()
		f.setRunning(3)
		stop = f.lead("second", 2)
		defer stop()
		time.Sleep(12 * time.Second)
		So(f.platform.orders(), ShouldResemble, []string{"scale/pool/a 5 by second/2"})
		f.setRunning(5)
		time.Sleep(20 * time.Second)
		So(f.platform.orders(), ShouldBeEmpty)
		f.setRunning(4)
		time.Sleep(3 * time.Second)
		f.setRunning(5)
		time.Sleep(20 * time.Second)
		So(f.platform.orders(), ShouldBeEmpty)
	})
	runTest(t, "An order that the platform rejects is retried", func(f *fixture) {
		f.setRunning(2)
		f.platform.fail(duty.ErrNoneAvailable)
		stop := f.lead("first", 1)
		defer stop()
		time.Sleep(10 * time.Second)
		So(f.platform.orders(), ShouldBeEmpty)
		f.platform.fail(nil)
		time.Sleep(3 * time.Second)
		So(f.platform.orders(), ShouldResemble, []string{"scale/pool/a 2 by first/1"})
	})
	runTest(t, "A leader sends no orders after a later term has sent one", func(f *fixture) {
		f.setRunning(2)
		stopFirst := f.lead("first", 1)
		defer stopFirst()
		time.Sleep(10 * time.Second)
		stopSecond := f.lead("second", 2)
		defer stopSecond()
		f.setRunning(1)
		time.Sleep(30 * time.Second)
		orders := f.platform.orders()
		So(len(orders), ShouldBeGreaterThan, 1)
		for _, order := range orders[1:] {
			So(order, ShouldEndWith, "second/2")
		}
	})
}
