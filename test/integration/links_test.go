package integration

import (
	"context"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/lab/engine"
	"github.com/covelink/covelink/internal/lab/faultproxy"
	"github.com/covelink/covelink/internal/rpc"
)

// blackhole swallows what leaves a node, and also what comes to it if both is true, on every link but those of callers. The
// engines of the node's zone lie on its side of the cut.
func (r *run) blackhole(node string, both bool) {
	zone := r.zoneOf(node)
	for _, other := range r.NodeNames() {
		if other == node {
			continue
		}
		lose(r.Link("node-"+node, "node-"+other), faultproxy.ToTarget, both)
		lose(r.Link("node-"+other, "node-"+node), faultproxy.ToClient, both)
		r.blackholeEngines(node, zone, other, both)
	}
	for _, platform := range []string{"objectapi", "machines"} {
		lose(r.Link("node-"+node, platform), faultproxy.ToTarget, both)
	}
}

// blackholeEngines cuts a node from the engines of other zones, and another node from the engines of the zone.
func (r *run) blackholeEngines(node, zone, other string, both bool) {
	for _, config := range r.Plan().Engines {
		if config.Zone == zone {
			lose(r.Link("node-"+other, "engine-"+config.Name), faultproxy.ToClient, both)
		}
		if config.Zone == r.zoneOf(other) {
			lose(r.Link("node-"+node, "engine-"+config.Name), faultproxy.ToTarget, both)
		}
	}
}

func lose(proxy *faultproxy.Proxy, direction faultproxy.Direction, both bool) {
	proxy.SetFaults(direction, faultproxy.Faults{Blackhole: true})
	if both {
		proxy.SetFaults(faultproxy.ToTarget, faultproxy.Faults{Blackhole: true})
		proxy.SetFaults(faultproxy.ToClient, faultproxy.Faults{Blackhole: true})
	}
}

func (r *run) zoneOf(node string) string {
	for _, config := range r.Plan().Nodes {
		if config.Node.Name == node {
			return config.Node.Zone
		}
	}
	panic("no node " + node)
}

func TestZoneCutOff(t *testing.T) {
	Convey("The owner's zone is cut off both ways and later another one in one direction only", t, func() {
		withSmall(t, func(r *run) {
			r.work()
			r.waitDelivered(samples() / 8)
			owner := r.owner()
			r.blackhole(owner, true)
			r.waitDelivered(samples() / 2)
			r.Heal()
			So(r.WaitReady(r.ctx), ShouldBeNil)
			r.blackhole(r.otherThan(r.owner()), false)
			r.waitDelivered(samples() * 3 / 4)
			r.Heal()
			So(r.finish().Promises.Whole, ShouldEqual, samples())
		})
	})
}

func TestEngineLinks(t *testing.T) {
	Convey("Engine links are cut within frames and slowed, and streams are harmed in every way", t, func() {
		withSmall(t, func(r *run) {
			r.work()
			r.waitDelivered(samples() / 8)
			for number, config := range r.Plan().Engines {
				r.harmStreams(config.Name)
				for _, node := range r.NodeNames() {
					proxy := r.Link("node-"+node, "engine-"+config.Name)
					proxy.SetFaults(faultproxy.ToClient, faultproxy.Faults{CutAfterBytes: int64(2000 + 777*number)})
					proxy.SetFaults(faultproxy.ToTarget, faultproxy.Faults{Delay: 20 * time.Millisecond})
				}
			}
			r.waitDelivered(samples() / 2)
			for _, config := range r.Plan().Engines {
				for _, node := range r.NodeNames() {
					r.Link("node-"+node, "engine-"+config.Name).Cut()
				}
			}
			So(r.finish().Promises.Whole, ShouldEqual, samples())
		})
	})
}

// harmStreams switches every fault of streams on, each for some of the next streams of the engine.
func (r *run) harmStreams(name string) {
	for number, kind := range []engine.FaultKind{
		engine.FaultDuplicate, engine.FaultReorder, engine.FaultDrop, engine.FaultTruncate,
		engine.FaultUnversioned, engine.FaultReset, engine.FaultCrash,
	} {
		fault := engine.Fault{Kind: kind, Count: 2, AfterEvents: uint64(2 + number)}
		So(r.InjectFault(r.ctx, name, fault), ShouldBeNil)
	}
}

// unknownRequest is a request that no node serves.
type unknownRequest struct{ Text string }

func TestSecondConnection(t *testing.T) {
	Convey("Second connections under the names of nodes and slow links between nodes harm nothing", t, func() {
		withSmall(t, func(r *run) {
			r.slowNodeLinks()
			r.work()
			r.waitDelivered(samples() / 8)
			for _, config := range r.Plan().Nodes {
				client := rpc.NewClient(rpc.Peer{Name: config.Node.Name, Zone: config.Node.Zone}, nil)
				defer client.Close()
				for _, other := range r.Plan().Nodes {
					r.connectTwice(client, other.Listen.Internal)
				}
			}
			So(r.finish().Promises.Whole, ShouldEqual, samples())
		})
	})
}

// connectTwice opens a connection, has a request refused on it and leaves it open.
func (r *run) connectTwice(client *rpc.Client, address string) {
	ctx, cancel := context.WithTimeout(r.ctx, 10*time.Second)
	defer cancel()
	_, err := rpc.Call[unknownRequest, unknownRequest](ctx, client, address, unknownRequest{Text: strings.Repeat("x", 100)})
	So(err, ShouldNotBeNil)
}

// slowNodeLinks delays every link between nodes, each direction differently.
func (r *run) slowNodeLinks() {
	for number, from := range r.NodeNames() {
		for _, to := range r.NodeNames() {
			if proxy := r.Link("node-"+from, "node-"+to); proxy != nil {
				proxy.SetFaults(faultproxy.ToTarget, faultproxy.Faults{Delay: time.Duration(5+10*number) * time.Millisecond})
			}
		}
	}
}
