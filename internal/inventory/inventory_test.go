package inventory_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"

	"github.com/covelink/covelink/api/enginev1"
	"github.com/covelink/covelink/api/machinesv1"
	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/cluster"
	"github.com/covelink/covelink/internal/inventory"
	"github.com/covelink/covelink/internal/lab/machines"
	"github.com/covelink/covelink/internal/leadership"
	"github.com/covelink/covelink/internal/settings"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var errNoAnswer = errors.New("no answer")

// fakeEngines answers load reports from memory.
type fakeEngines struct {
	mu    sync.Mutex
	loads map[string]enginev1.Load
}

func (f *fakeEngines) Load(_ context.Context, url string) (enginev1.Load, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	load, ok := f.loads[url]
	if !ok {
		return enginev1.Load{}, errNoAnswer
	}
	return load, nil
}

func (f *fakeEngines) set(url string, load *enginev1.Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.loads, url)
	if load != nil {
		f.loads[url] = *load
	}
}

// listFromServer reads the stand-in without a connection, so that it runs in virtual time.
type listFromServer struct{ server *machines.Server }

func (l listFromServer) List(_ context.Context, zone string) (machinesv1.List, error) {
	recorder := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodGet, machinesv1.PathMachines+"?zone="+zone, nil)
	l.server.Handler().ServeHTTP(recorder, request)
	if recorder.Code != http.StatusOK {
		return machinesv1.List{}, errNoAnswer
	}
	return l.server.List(zone), nil
}

type fixture struct {
	machines *machines.Server
	engines  *fakeEngines
	holder   *cluster.Holder
	parts    *inventory.Inventory
}

func engineMachine(name string) machinesv1.Machine {
	return machinesv1.Machine{Name: name, Zone: "z1", Role: machinesv1.RoleEngine,
		URL: "http://" + name, Pool: "pool", State: machinesv1.StateLive}
}

func newFixture(lag time.Duration) *fixture {
	f := &fixture{
		machines: machines.New(machines.Config{Lag: lag, Machines: []machinesv1.Machine{
			engineMachine("e1"), engineMachine("e2")}}, log.NewNopLogger()),
		engines: &fakeEngines{loads: map[string]enginev1.Load{}},
		holder:  cluster.NewHolder(),
	}
	f.engines.set("http://e1", &enginev1.Load{Incarnation: "i1", ActiveVersion: 3})
	f.engines.set("http://e2", &enginev1.Load{Incarnation: "i1", ActiveVersion: 3})
	f.drain()
	f.parts = inventory.New(inventory.Params{
		Zone: "z1", Machines: listFromServer{f.machines}, Engines: f.engines, Source: f.holder,
		Timing: settings.Default().Timing, Logger: log.NewNopLogger(),
		Publish: func(engines []cluster.Engine) {
			f.holder.Update(func(view *cluster.View) *cluster.View {
				next := *view
				next.Engines = engines
				return &next
			})
		},
	})
	return f
}

// drain sets the engines that the operator drains.
func (f *fixture) drain(names ...string) {
	pool := &v1.Pool{Spec: v1.PoolSpec{PermittedZones: []string{"z1"}, DrainingEngines: names}}
	f.holder.Update(func(view *cluster.View) *cluster.View {
		next := *view
		next.Pools = map[string]*v1.Pool{"pool": pool}
		return &next
	})
}

// leaving returns the names of the leaving engines and the number of engines.
func (f *fixture) leaving() ([]string, int) {
	names := []string{}
	engines := f.holder.Current().Engines
	for _, engine := range engines {
		if engine.Leaving {
			names = append(names, engine.Name)
		}
	}
	return names, len(engines)
}

// lead runs the inventory in virtual time while check runs.
func (f *fixture) lead(t *testing.T, check func()) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.parts.Lead(ctx, leadership.Term{Name: leadership.ZoneLease("z1"), Token: 1})
	}()
	time.Sleep(10 * time.Second)
	check()
	cancel()
	<-done
}

func TestOutageOfTheMachineListKeepsEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("With the list down for an hour the engines stay and their reports still count", t, func() {
			f := newFixture(0)
			f.lead(t, func() {
				f.machines.SetOutage(true)
				time.Sleep(time.Hour)
				leaving, count := f.leaving()
				So(leaving, ShouldBeEmpty)
				So(count, ShouldEqual, 2)

				f.engines.set("http://e2", nil)
				time.Sleep(5 * time.Second)
				leaving, count = f.leaving()
				So(leaving, ShouldResemble, []string{"e2"})
				So(count, ShouldEqual, 2)

				f.engines.set("http://e2", &enginev1.Load{Incarnation: "i2", ActiveVersion: 1})
				time.Sleep(time.Second)
				leaving, _ = f.leaving()
				So(leaving, ShouldBeEmpty)
				So(f.holder.Current().Engines[1].Incarnation, ShouldEqual, "i2")
			})
		})
	})
}

func TestOperatorsDrainDoesNotWaitForTheList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("With the list 60 s late", t, func() {
			f := newFixture(time.Minute)
			f.lead(t, func() {
				f.drain("e1")
				synctest.Wait()
				leaving, _ := f.leaving()
				So(leaving, ShouldResemble, []string{"e1"})

				f.drain()
				synctest.Wait()
				leaving, _ = f.leaving()
				So(leaving, ShouldBeEmpty)

				gone := engineMachine("e2")
				gone.State = machinesv1.StateLeaving
				f.machines.Put(gone)
				time.Sleep(50 * time.Second)
				leaving, _ = f.leaving()
				So(leaving, ShouldBeEmpty)
				time.Sleep(12 * time.Second)
				leaving, _ = f.leaving()
				So(leaving, ShouldResemble, []string{"e2"})
			})
		})
	})
}

func TestANewCoordinatorStartsFromTheLastKnownEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("With the list down at take-over the engines of the view stay", t, func() {
			f := newFixture(0)
			gone := engineMachine("e1")
			gone.State = machinesv1.StateLeaving
			f.machines.Put(gone)
			f.lead(t, func() {})
			f.machines.SetOutage(true)
			f.lead(t, func() {
				leaving, count := f.leaving()
				So(leaving, ShouldResemble, []string{"e1"})
				So(count, ShouldEqual, 2)
			})
		})
	})
}
