package weights

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"

	"github.com/covelink/covelink/api/enginev1"
	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/cluster"
	"github.com/covelink/covelink/internal/leadership"
	"github.com/covelink/covelink/internal/rpc"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const waitLimit = 30 * time.Second

// eventually polls a condition until it holds, and reports whether it did.
func eventually(condition func() bool) bool {
	deadline := time.Now().Add(waitLimit)
	for !condition() {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(time.Millisecond)
	}
	return true
}

// memoryEngines are engines in memory that answer at once and load at once.
type memoryEngines struct {
	mu    sync.Mutex
	loads map[string]*enginev1.Load
	fence uint64
}

func (e *memoryEngines) Order(_ context.Context, url string, order enginev1.Order) (enginev1.OrderResult, *enginev1.Refusal, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	load := e.loads[url]
	if order.Incarnation != load.Incarnation || order.Fence < e.fence {
		return enginev1.OrderResult{}, &enginev1.Refusal{Reason: enginev1.RefusedFence, HighestFence: e.fence}, nil
	}
	switch order.Kind {
	case enginev1.OrderPrepare:
		load.PreparedVersions = append(slices.Clone(load.PreparedVersions), order.Version)
	case enginev1.OrderActivate:
		load.PreparedVersions = []int64{load.ActiveVersion}
		load.ActiveVersion = order.Version
	case enginev1.OrderUnload:
		load.PreparedVersions = without(load.PreparedVersions, order.Version)
	case enginev1.OrderDrain:
		load.Draining = order.Drain
	}
	return enginev1.OrderResult{Load: *load}, nil, nil
}

func (e *memoryEngines) Load(_ context.Context, url string) (enginev1.Load, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return *e.loads[url], nil
}

func (e *memoryEngines) all(check func(enginev1.Load) bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, load := range e.loads {
		if !check(*load) {
			return false
		}
	}
	return true
}

var errCut = errors.New("cut off")

// testNode is one node of a small cluster of one node a zone.
type testNode struct {
	manager *Manager
	holder  *cluster.Holder
	engines *memoryEngines
	cut     *atomic.Bool // while true the node reaches nobody and nobody reaches it
}

// testCluster runs nodes until close.
type testCluster struct {
	nodes map[string]*testNode // by zone
	close func()
}

// newTestCluster starts a node in each zone; pool is permitted in z1, z2 and z3. Nobody leads yet.
func newTestCluster(enginesPerZone int) *testCluster {
	c := &testCluster{nodes: map[string]*testNode{}}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	var closers []func()
	zones := []string{"z1", "z2", "z3"}
	electorate := map[string][]string{}
	listeners := map[string]net.Listener{}
	cuts := map[string]*atomic.Bool{}
	var nodes []cluster.Node
	for _, zone := range zones {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		address := listener.Addr().String()
		listeners[zone] = listener
		cuts[address] = new(atomic.Bool)
		electorate[leadership.ZoneLease(zone)] = []string{zone}
		nodes = append(nodes, cluster.Node{Name: "n-" + zone, Zone: zone, Address: address})
	}
	for _, self := range nodes {
		dial := func(ctx context.Context, address string) (net.Conn, error) {
			if cuts[address].Load() || cuts[self.Address].Load() {
				return nil, errCut
			}
			return new(net.Dialer).DialContext(ctx, "tcp", address)
		}
		node := &testNode{holder: cluster.NewHolder(), cut: cuts[self.Address], engines: &memoryEngines{loads: map[string]*enginev1.Load{}}}
		node.holder.Update(func(*cluster.View) *cluster.View { return testView(nodes, self.Zone, enginesPerZone) })
		for _, engine := range node.holder.Current().Engines {
			node.engines.loads[engine.URL] = &enginev1.Load{Incarnation: engine.Incarnation, ActiveVersion: 1}
		}
		client := rpc.NewClient(rpc.Peer{Name: self.Name, Zone: self.Zone}, dial)
		node.manager = New(Params{
			Self: self, Source: node.holder, Orders: node.engines, Client: client, Logger: log.NewNopLogger(),
			Elector: leadership.NewStatic(self.Name, nodes, leadership.FixedElectorate(electorate)),
		})
		server := rpc.NewServer(log.NewNopLogger())
		node.manager.Register(server)
		listener := listeners[self.Zone]
		running.Go(func() { _ = server.Serve(listener) })
		running.Go(func() { node.manager.Run(ctx) })
		closers = append(closers, client.Close, func() { listener.Close() }, server.Close)
		c.nodes[self.Zone] = node
	}
	c.close = func() {
		cancel()
		for _, closer := range closers {
			closer()
		}
		running.Wait()
	}
	return c
}

func testView(nodes []cluster.Node, zone string, engines int) *cluster.View {
	view := &cluster.View{Nodes: nodes, Zones: map[string]*v1.Zone{}, Pools: map[string]*v1.Pool{
		"pool": {Spec: v1.PoolSpec{PermittedZones: []string{"z1", "z2", "z3"}}},
	}}
	for _, node := range nodes {
		view.Zones[node.Zone] = &v1.Zone{}
	}
	for index := range engines {
		name := fmt.Sprintf("%s-e%03d", zone, index)
		view.Engines = append(view.Engines, cluster.Engine{
			Name: name, URL: "http://" + name, Incarnation: "i1", Pool: "pool", Zone: zone, ActiveVersion: 1})
	}
	return view
}

// lead makes the node of a zone its coordinator until the returned function is called.
func (c *testCluster) lead(zone string) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	node := c.nodes[zone]
	go func() {
		defer close(done)
		node.manager.Lead(ctx, leadership.Term{Name: leadership.ZoneLease(zone), Token: 1})
	}()
	So(eventually(node.manager.leading.Load), ShouldBeTrue)
	return func() {
		cancel()
		<-done
	}
}

// version returns the version that the node of a zone wants of the pool.
func (c *testCluster) version(zone string) int64 {
	targets, _ := c.nodes[zone].manager.targets.snapshot()
	return targets["pool"].Version
}

func target(version int64, digest string) Target {
	return Target{Pool: "pool", Weights: v1.WeightVersion{Version: version, Digest: digest, Location: "/w"}}
}

func TestPublish(t *testing.T) {
	Convey("With two coordinators, one of them cut off, and a third zone without one", t, func() {
		c := newTestCluster(3)
		defer c.close()
		c.nodes["z3"].cut.Store(true)
		defer c.lead("z2")()
		defer c.lead("z3")()
		publisher := c.nodes["z1"].manager

		So(publisher.Publish(t.Context(), target(2, "d2")), ShouldBeNil)
		So(eventually(func() bool { return c.version("z2") == 2 }), ShouldBeTrue)
		So(c.version("z3"), ShouldEqual, 0)

		Convey("the one cut off learns of it when it can be reached, and so does a late coordinator", func() {
			c.nodes["z3"].cut.Store(false)
			So(eventually(func() bool { return c.version("z3") == 2 }), ShouldBeTrue)
			defer c.lead("z1")()
			for _, zone := range []string{"z1", "z2", "z3"} {
				engines := c.nodes[zone].engines
				So(eventually(func() bool {
					return engines.all(func(l enginev1.Load) bool { return l.ActiveVersion == 2 && len(l.PreparedVersions) == 0 })
				}), ShouldBeTrue)
			}
		})
		Convey("a newer target replaces it and a lower one changes nothing", func() {
			So(publisher.Publish(t.Context(), target(3, "d3")), ShouldBeNil)
			So(publisher.Publish(t.Context(), target(2, "d2")), ShouldBeNil)
			c.nodes["z3"].cut.Store(false)
			So(eventually(func() bool { return c.version("z3") == 3 }), ShouldBeTrue)
			So(c.version("z2"), ShouldEqual, 3)
		})
		Convey("other weights under the same version are a conflict, at the publisher and at a coordinator", func() {
			for _, zone := range []string{"z1", "z2"} {
				var refused *v1.Error
				So(errors.As(c.nodes[zone].manager.Publish(t.Context(), target(2, "other")), &refused), ShouldBeTrue)
				So(refused.Code, ShouldEqual, v1.CodeConflict)
			}
		})
		Convey("a node outside the zone's term and a pool not permitted are refused", func() {
			var refused *v1.Error
			_, err := c.nodes["z1"].manager.putTarget(PutTarget{Zone: "z1", Target: target(9, "d9")})
			So(errors.As(err, &refused), ShouldBeTrue)
			So(refused.Outcome, ShouldEqual, v1.OutcomeNotRun)
			_, err = c.nodes["z2"].manager.putTarget(PutTarget{Zone: "z2", Target: Target{Pool: "secret"}})
			So(errors.As(err, &refused), ShouldBeTrue)
			So(refused.Code, ShouldEqual, v1.CodeForbidden)
		})
	})
	Convey("A target that no coordinator takes has an unknown outcome, and is told later", t, func() {
		c := newTestCluster(1)
		defer c.close()
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		var refused *v1.Error
		So(errors.As(c.nodes["z1"].manager.Publish(ctx, target(2, "d2")), &refused), ShouldBeTrue)
		So(refused.Outcome, ShouldEqual, v1.OutcomeUnknown)
		defer c.lead("z2")()
		So(eventually(func() bool { return c.version("z2") == 2 }), ShouldBeTrue)
	})
	Convey("Other weights than the coordinator has are a conflict for a publisher that knows none", t, func() {
		c := newTestCluster(1)
		defer c.close()
		defer c.lead("z2")()
		_, err := c.nodes["z2"].manager.targets.merge(target(4, "d4"))
		So(err, ShouldBeNil)
		var refused *v1.Error
		So(errors.As(c.nodes["z3"].manager.Publish(t.Context(), target(4, "other")), &refused), ShouldBeTrue)
		So(refused.Code, ShouldEqual, v1.CodeConflict)
		So(c.nodes["z3"].manager.Publish(t.Context(), target(5, "d5")), ShouldBeNil)
	})
	Convey("A coordinator learns targets from its peers as it takes over", t, func() {
		c := newTestCluster(1)
		defer c.close()
		_, err := c.nodes["z2"].manager.targets.merge(target(4, "d4"))
		So(err, ShouldBeNil)
		defer c.lead("z1")()
		So(eventually(func() bool { return c.version("z1") == 4 }), ShouldBeTrue)
	})
}

// BenchmarkActivate610 measures from publication until 610 engines, prepared ahead, run the version. Engines answer at once.
func BenchmarkActivate610(b *testing.B) {
	Convey("Publishing to 610 engines", b, func() {
		for b.Loop() {
			b.StopTimer()
			c := newTestCluster(610)
			node := c.nodes["z1"]
			for _, load := range node.engines.loads {
				load.PreparedVersions = []int64{2}
			}
			stop := c.lead("z1")
			b.StartTimer()
			So(node.manager.Publish(b.Context(), target(2, "d2")), ShouldBeNil)
			So(eventually(func() bool {
				return node.engines.all(func(l enginev1.Load) bool { return l.ActiveVersion == 2 })
			}), ShouldBeTrue)
			b.StopTimer()
			stop()
			c.close()
			b.StartTimer()
		}
	})
}

func TestDrainOrders(t *testing.T) {
	Convey("A drain that is wanted reaches the engine, and its end too", t, func() {
		c := newTestCluster(2)
		defer c.close()
		defer c.lead("z1")()
		node := c.nodes["z1"]
		want := func(drain bool) {
			node.holder.Update(func(view *cluster.View) *cluster.View {
				next := *view
				next.Engines = slices.Clone(view.Engines)
				next.Engines[0].DrainWanted, next.Engines[0].Leaving = drain, drain
				return &next
			})
		}
		draining := func() bool {
			load, _ := node.engines.Load(t.Context(), "http://z1-e000")
			return load.Draining
		}
		want(true)
		So(eventually(draining), ShouldBeTrue)
		want(false)
		So(eventually(func() bool { return !draining() }), ShouldBeTrue)
	})
}
