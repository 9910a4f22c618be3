package claims

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/cluster"
	"github.com/covelink/covelink/internal/gateway"
	"github.com/covelink/covelink/internal/rpc"
)

const (
	testPool      = "relay"
	testRetention = 10 * time.Minute
	waitLimit     = 20 * time.Second
)

// fakeClock is a clock that tests advance.
type fakeClock struct {
	mu  sync.Mutex
	now time.Time
}

func newClock() *fakeClock { return &fakeClock{now: time.Unix(1_700_000_000, 0)} }

func (c *fakeClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *fakeClock) advance(by time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(by)
}

// viewOf returns a view in which the pool is permitted in the zones, all in one region.
func viewOf(zones ...string) *cluster.View {
	view := &cluster.View{
		Revision: 1,
		Serving:  true,
		Zones:    make(map[string]*v1.Zone),
		Pools:    map[string]*v1.Pool{testPool: {Spec: v1.PoolSpec{PermittedZones: zones}}},
	}
	for _, zone := range zones {
		view.Zones[zone] = &v1.Zone{Spec: v1.ZoneSpec{Region: "region-1"}}
	}
	return view
}

// links injects network faults by destination address.
type links struct {
	mu    sync.Mutex
	cut   map[string]bool
	muted map[string]bool
	conns map[string][]net.Conn
}

func newLinks() *links {
	return &links{cut: make(map[string]bool), muted: make(map[string]bool), conns: make(map[string][]net.Conn)}
}

// dialer returns a dial function that fails for isolated addresses.
func (l *links) dialer() rpc.DialFunc {
	return func(ctx context.Context, address string) (net.Conn, error) {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.cut[address] {
			return nil, fmt.Errorf("%s is isolated", address)
		}
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		l.conns[address] = append(l.conns[address], conn)
		return &mutableConn{Conn: conn, links: l, address: address}, nil
	}
}

// mutableConn discards received data while its address is muted; sent data is delivered.
type mutableConn struct {
	net.Conn
	links   *links
	address string
}

// Read implements net.Conn.
func (c *mutableConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.links.isMuted(c.address) {
			return n, err
		}
	}
}

func (l *links) isMuted(address string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.muted[address]
}

func (l *links) mute(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.muted[address] = true
}

func (l *links) isolate(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut[address] = true
	for _, conn := range l.conns[address] {
		conn.Close()
	}
	delete(l.conns, address)
}

func (l *links) heal(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.cut, address)
}

// member is one node of a test cluster.
type member struct {
	node    cluster.Node
	manager *Manager
	source  *cluster.Holder
	dataDir string
	stop    func()
}

// testCluster is a set of nodes connected over loopback.
type testCluster struct {
	t         testing.TB
	clock     *fakeClock
	links     *links
	members   []*member
	seeds     []cluster.Node
	listeners []net.Listener
}

// newCluster starts one node per zone; disks gives each a data folder.
func newCluster(t testing.TB, zones []string, disks bool) *testCluster {
	c := &testCluster{t: t, clock: newClock(), links: newLinks()}
	for index, zone := range zones {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		c.listeners = append(c.listeners, listener)
		c.seeds = append(c.seeds, cluster.Node{Name: fmt.Sprintf("node-%d", index+1), Zone: zone,
			Address: listener.Addr().String(), HasDisk: disks})
	}
	for index := range zones {
		m := &member{node: c.seeds[index], source: cluster.NewHolder()}
		if disks {
			m.dataDir = t.TempDir()
		}
		m.source.Update(func(*cluster.View) *cluster.View { return viewOf(zones...) })
		c.members = append(c.members, m)
		c.start(index)
	}
	t.Cleanup(func() {
		for _, m := range c.members {
			m.stop()
		}
	})
	return c
}

// start starts the node at index on its address.
func (c *testCluster) start(index int) {
	m := c.members[index]
	server := rpc.NewServer(log.NewNopLogger())
	client := rpc.NewClient(rpc.Peer{Name: m.node.Name, Zone: m.node.Zone}, c.links.dialer())
	manager, err := New(Params{Self: m.node, Source: m.source, Client: client, Seeds: c.seeds, DataDir: m.dataDir,
		Retention: testRetention, Registerer: prometheus.NewRegistry(), Now: c.clock.Now})
	if err != nil {
		c.t.Fatal(err)
	}
	manager.Register(server)
	listener := c.listeners[index]
	if listener == nil {
		if listener, err = net.Listen("tcp", m.node.Address); err != nil {
			c.t.Fatal(err)
		}
	}
	c.listeners[index] = nil
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { server.Serve(listener) })
	running.Go(func() { manager.Run(ctx) })
	m.manager = manager
	m.stop = sync.OnceFunc(func() {
		cancel()
		listener.Close()
		server.Close()
		client.Close()
		running.Wait()
	})
}

// restart stops the node at index and starts it again.
func (c *testCluster) restart(index int) {
	c.members[index].stop()
	c.start(index)
}

// open waits until no keeper abstains.
func (c *testCluster) open() *testCluster {
	c.eventually("no keeper abstains", func() bool {
		for _, m := range c.members {
			if !m.manager.keeper.isTableComplete() {
				return false
			}
		}
		return true
	})
	return c
}

func (c *testCluster) eventually(what string, condition func() bool) {
	c.t.Helper()
	if !eventually(condition) {
		c.t.Fatalf("condition not met before the deadline: %s", what)
	}
}

func eventually(condition func() bool) bool {
	for deadline := time.Now().Add(waitLimit); time.Now().Before(deadline); time.Sleep(2 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

func requestOf(key string) gateway.ClaimRequest {
	return gateway.ClaimRequest{Key: key, Caller: "app", Pool: testPool, ID: uuid.NewString(), Fingerprint: 7}
}

func completedWith(text string) gateway.StoredOutcome {
	return gateway.StoredOutcome{Outcome: v1.OutcomeCompleted, Answer: &gateway.StoredAnswer{Tokens: []string{text}}}
}
