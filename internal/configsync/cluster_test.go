package configsync

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/cluster"
	lab "github.com/covelink/covelink/internal/lab/objectapi"
	"github.com/covelink/covelink/internal/leadership"
	"github.com/covelink/covelink/internal/objectapi"
	"github.com/covelink/covelink/internal/rpc"
	"github.com/covelink/covelink/internal/settings"
)

const (
	waitDeadline = 30 * time.Second
	waitInterval = 2 * time.Millisecond
)

var discard = log.NewLogfmtLogger(io.Discard)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// eventually polls a condition.
func eventually(what string, condition func() bool) {
	deadline := time.Now().Add(waitDeadline)
	for !condition() {
		if time.Now().After(deadline) {
			So("timed out: "+what, ShouldBeEmpty)
		}
		time.Sleep(waitInterval)
	}
}

// watchesSettleAt waits until the store has the given number of open watches, which must then be all that were ever begun. A
// node may learn a revision from another zone before its own watch is open, so the number is not final once views agree.
func (c *testCluster) watchesSettleAt(count int64) {
	eventually("watches open", func() bool { return c.store.Counts().OpenWatches == count })
	So(c.store.Counts().Watches, ShouldEqual, count)
}

// testNode is one node of a testCluster, real but for the process around it.
type testNode struct {
	*Manager
	cluster  *testCluster
	node     cluster.Node
	listener net.Listener
	server   *rpc.Server
	client   *rpc.Client
	stop     context.CancelFunc
	running  sync.WaitGroup
}

// testCluster is a store and nodes that talk over loopback.
type testCluster struct {
	store *lab.Server
	seeds []cluster.Node
	zones map[string][]string
	nodes map[string]*testNode

	mu    sync.Mutex
	cut   map[string]bool // addresses of nodes that are cut off, both ways
	conns []trackedConn
}

// trackedConn is a connection and the addresses of the nodes at its ends.
type trackedConn struct {
	net.Conn
	from, to string
}

// setCut cuts the node at address off from every other, both ways, or heals it.
func (c *testCluster) setCut(address string, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[address] = cut
	for _, conn := range c.conns {
		if cut && conn.from != conn.to && (conn.from == address || conn.to == address) {
			conn.Close()
		}
	}
}

// dialer returns the dial function of the node at address from.
func (c *testCluster) dialer(from string) rpc.DialFunc {
	return func(ctx context.Context, to string) (net.Conn, error) {
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, "tcp", to)
		if err != nil {
			return nil, err
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		if from != to && (c.cut[from] || c.cut[to]) {
			conn.Close()
			return nil, errors.New("cut off")
		}
		c.conns = append(c.conns, trackedConn{Conn: conn, from: from, to: to})
		return conn, nil
	}
}

// newTestCluster starts a store and one node per name; zones gives each its zone.
func newTestCluster(zoneOf map[string]string) *testCluster {
	c := &testCluster{
		store: lab.New(lab.Config{Listen: "127.0.0.1:0", BookmarkInterval: 20 * time.Millisecond}, discard),
		zones: make(map[string][]string),
		nodes: make(map[string]*testNode),
		cut:   make(map[string]bool),
	}
	So(c.store.Start(), ShouldBeNil)
	listeners := make(map[string]net.Listener)
	for name, zone := range zoneOf {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		listeners[name] = listener
		c.seeds = append(c.seeds, cluster.Node{Name: name, Zone: zone, Address: listener.Addr().String()})
		c.zones[leadership.ZoneLease(zone)] = []string{zone}
	}
	for _, seed := range c.seeds {
		c.start(seed, listeners[seed.Name])
	}
	return c
}

// start runs a node on the listener.
func (c *testCluster) start(self cluster.Node, listener net.Listener) *testNode {
	return c.startWith(self, listener, newStoreClient(c.store.URL()))
}

func (c *testCluster) startWith(self cluster.Node, listener net.Listener, store Store) *testNode {
	timing := settings.Default().Timing
	timing.LeaseLength = 200 * time.Millisecond
	timing.NodeLeaseLength = time.Second
	timing.RequestTimeout = 5 * time.Second
	peer := rpc.Peer{Name: self.Name, Zone: self.Zone}
	n := &testNode{
		cluster:  c,
		node:     self,
		listener: listener,
		server:   rpc.NewServer(discard),
		client:   rpc.NewClient(peer, c.dialer(self.Address)),
	}
	elector := leadership.NewStatic(self.Name, c.seeds, leadership.FixedElectorate(c.zones))
	n.Manager = New(Params{
		Self:    self,
		Seeds:   c.seeds,
		Store:   store,
		Elector: elector,
		Client:  n.client,
		Holder:  cluster.NewHolder(),
		Timing:  timing,
		Logger:  discard,
	})
	n.Register(n.server)
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	n.running.Go(func() { n.server.Serve(listener) })
	n.running.Go(func() { n.Run(ctx) })
	n.running.Go(func() {
		elector.Campaign(ctx, leadership.ZoneLease(self.Zone), []string{self.Zone}, n.Lead)
	})
	c.nodes[self.Name] = n
	return n
}

// newStoreClient returns a client that opens a connection for every request: a kept one that has just been closed would
// leave open whether a write was executed.
func newStoreClient(url string) *objectapi.Client {
	return objectapi.NewClient(objectapi.Config{
		BaseURL: url,
		HTTP:    &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	})
}

// kill ends a node as if its process died.
func (n *testNode) kill() {
	if n.stop == nil {
		return
	}
	n.stop()
	n.listener.Close()
	n.client.Close()
	n.server.Close()
	n.running.Wait()
	n.stop = nil
}

func (c *testCluster) stop() {
	for _, node := range c.nodes {
		node.kill()
	}
	c.store.Stop()
}

func (n *testNode) serves(revision uint64) bool {
	view := n.params.Holder.Current()
	return view.Serving && view.Revision >= revision
}

func testZone(name string) *v1.Zone {
	return &v1.Zone{Metadata: v1.ObjectMeta{Name: name}, Spec: v1.ZoneSpec{Region: "r"}}
}
