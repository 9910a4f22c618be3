package membership

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"

	"github.com/covelink/covelink/internal/cluster"
	"github.com/covelink/covelink/internal/rpc"
	"github.com/covelink/covelink/internal/settings"
)

const (
	waitDeadline = 60 * time.Second
	waitInterval = 5 * time.Millisecond
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func eventually(what string, condition func() bool) {
	deadline := time.Now().Add(waitDeadline)
	for !condition() {
		if time.Now().After(deadline) {
			So("timed out: "+what, ShouldBeEmpty)
		}
		time.Sleep(waitInterval)
	}
}

// runningNode is a Manager with its own listener.
type runningNode struct {
	*Manager
	self     cluster.Node
	listener net.Listener
	server   *rpc.Server
	client   *rpc.Client
	cancel   context.CancelFunc
	tasks    sync.WaitGroup

	mu     sync.Mutex
	listed []cluster.Node
}

func listen() net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	return listener
}

func start(name, zone string, listener net.Listener, seeds []cluster.Node) *runningNode {
	timing := settings.Default().Timing
	timing.ProbeInterval = 50 * time.Millisecond
	self := cluster.Node{Name: name, Zone: zone, Address: listener.Addr().String(), HasDisk: name == "a1"}
	n := &runningNode{
		self:     self,
		listener: listener,
		server:   rpc.NewServer(log.NewNopLogger()),
		client:   rpc.NewClient(rpc.Peer{Name: name, Zone: zone}, nil),
	}
	n.Manager = New(Params{
		Self:       self,
		Seeds:      seeds,
		Client:     n.client,
		Timing:     timing,
		Logger:     log.NewLogfmtLogger(io.Discard),
		Registerer: prometheus.NewRegistry(),
		Rand:       rand.New(rand.NewPCG(1, uint64(len(name)))),
	})
	n.Register(n.server)
	n.OnChange(func(nodes []cluster.Node) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.listed = nodes
	})
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.tasks.Go(func() { n.server.Serve(listener) })
	n.tasks.Go(func() { n.Run(ctx) })
	return n
}

// kill ends the node as if its process died.
func (n *runningNode) kill() {
	n.cancel()
	n.listener.Close()
	n.client.Close()
	n.server.Close()
	n.tasks.Wait()
}

// lists reports whether the node's list, as its listener got it, has exactly the names.
func (n *runningNode) lists(names ...string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.listed) != len(names) {
		return false
	}
	for i, node := range n.listed {
		if node.Name != names[i] {
			return false
		}
	}
	return true
}

func TestManager(t *testing.T) {
	Convey("Given nodes of two zones that know a seed of each", t, func() {
		first, other := listen(), listen()
		seeds := []cluster.Node{
			{Name: "a1", Zone: "a", Address: first.Addr().String(), HasDisk: true},
			{Name: "b1", Zone: "b", Address: other.Addr().String()},
		}
		a1 := start("a1", "a", first, seeds)
		defer a1.kill()
		b1 := start("b1", "b", other, seeds)
		defer b1.kill()
		a2 := start("a2", "a", listen(), seeds)
		defer a2.kill()
		a3 := start("a3", "a", listen(), seeds)
		defer a3.kill()
		for _, n := range []*runningNode{a1, a2, a3, b1} {
			eventually(n.self.Name+" lists all", func() bool { return n.lists("a1", "a2", "a3", "b1") })
		}
		So(b1.Members()[0], ShouldResemble, seeds[0])

		Convey("a node that dies is no longer listed, in either zone", func() {
			a3.kill()
			for _, n := range []*runningNode{a1, a2, b1} {
				eventually(n.self.Name+" lists the rest", func() bool { return n.lists("a1", "a2", "b1") })
			}

			Convey("and is listed again when it is back at another address", func() {
				again := start("a3", "a", listen(), seeds)
				defer again.kill()
				for _, n := range []*runningNode{a1, a2, b1} {
					eventually(n.self.Name+" lists all", func() bool { return n.lists("a1", "a2", "a3", "b1") })
					eventually(n.self.Name+" has the new address", func() bool { return n.Members()[2] == again.self })
				}
			})
		})

		Convey("a node that leaves lists itself, and the others no longer list it though it still answers", func() {
			ctx, cancel := context.WithTimeout(context.Background(), waitDeadline)
			defer cancel()
			a3.Leave(ctx)
			for _, n := range []*runningNode{a1, a2, b1} {
				eventually(n.self.Name+" lists the rest", func() bool { return n.lists("a1", "a2", "b1") })
			}
			So(a3.Members(), ShouldHaveLength, 4)
		})

		Convey("a node joins through the other zone when its own seed is gone", func() {
			a1.kill()
			a4 := start("a4", "a", listen(), seeds)
			defer a4.kill()
			for _, n := range []*runningNode{a2, a3, a4} {
				eventually(n.self.Name+" lists it", func() bool { return n.lists("a2", "a3", "a4", "b1") })
			}
		})
	})
}
