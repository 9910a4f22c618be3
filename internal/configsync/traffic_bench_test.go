package configsync_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/cluster"
	"github.com/covelink/covelink/internal/configsync"
	lab "github.com/covelink/covelink/internal/lab/objectapi"
	"github.com/covelink/covelink/internal/leadership"
	"github.com/covelink/covelink/internal/objectapi"
	"github.com/covelink/covelink/internal/rpc"
	"github.com/covelink/covelink/internal/settings"
)

const (
	trafficNodes = 44
	trafficSeeds = 5
	trafficZones = 8
	// trafficWarmUp is longer than the turn of the last candidate, so that every connection is open and has its types.
	trafficWarmUp  = 55 * time.Second
	trafficSeconds = 20
	trafficTrainer = "measured"
)

// frameCounter counts the frames of one node, as client and as server.
type frameCounter struct {
	sentBytes, sentFrames, receivedBytes, receivedFrames atomic.Int64
}

// Frame implements rpc.Observer.
func (c *frameCounter) Frame(_ string, sent bool, bytes int) {
	if sent {
		c.sentBytes.Add(int64(bytes))
		c.sentFrames.Add(1)
		return
	}
	c.receivedBytes.Add(int64(bytes))
	c.receivedFrames.Add(1)
}

func (c *frameCounter) reset() {
	for _, counted := range []*atomic.Int64{&c.sentBytes, &c.sentFrames, &c.receivedBytes, &c.receivedFrames} {
		counted.Store(0)
	}
}

// trafficNode is one node with real leases, its part in the configuration and a count of its frames.
type trafficNode struct {
	frameCounter
	self     cluster.Node
	listener net.Listener
	client   *rpc.Client
	server   *rpc.Server
	elector  *leadership.LeaseElector
	manager  *configsync.Manager
	leads    atomic.Int32 // coordinates its zone
	owns     atomic.Int32 // holds the trainer's lease
}

// trafficCluster is one whole zone and one node of each other zone.
type trafficCluster struct {
	nodes   []*trafficNode
	all     []cluster.Node
	seeds   []cluster.Node
	names   []string
	leases  map[string][]string
	store   *lab.Server
	running sync.WaitGroup
	cancel  context.CancelFunc
	halt    context.CancelFunc
}

func newTrafficCluster(b *testing.B) *trafficCluster {
	logger := log.NewLogfmtLogger(io.Discard)
	c := &trafficCluster{leases: make(map[string][]string), store: lab.New(lab.Config{Listen: "127.0.0.1:0"}, logger)}
	if err := c.store.Start(); err != nil {
		b.Fatal(err)
	}
	for zone := range trafficZones {
		c.addZone(b, fmt.Sprintf("zone-%d", zone), zone == 0)
	}
	c.leases[leadership.TrainerLease(trafficTrainer)] = c.names
	store := objectapi.NewClient(objectapi.Config{BaseURL: c.store.URL()})
	zone := &v1.Zone{Metadata: v1.ObjectMeta{Name: c.names[0]}, Spec: v1.ZoneSpec{Region: "region"}}
	raw, err := v1.EncodeRaw(zone)
	if err != nil {
		b.Fatal(err)
	}
	if _, err := store.Create(context.Background(), raw); err != nil {
		b.Fatal(err)
	}
	campaigns, cancel := context.WithCancel(context.Background())
	electors, halt := context.WithCancel(context.Background())
	c.cancel, c.halt = cancel, halt
	for _, n := range c.nodes {
		c.start(campaigns, electors, n, logger, store)
	}
	return c
}

func (c *trafficCluster) addZone(b *testing.B, zone string, whole bool) {
	count := 1
	if whole {
		count = trafficNodes
	}
	c.names = append(c.names, zone)
	c.leases[leadership.ZoneLease(zone)] = []string{zone}
	for index := range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		self := cluster.Node{Name: fmt.Sprintf("%s-node-%d", zone, index), Zone: zone, Address: listener.Addr().String()}
		c.nodes = append(c.nodes, &trafficNode{self: self, listener: listener})
		c.all = append(c.all, self)
		if index < trafficSeeds {
			c.seeds = append(c.seeds, self)
		}
	}
}

func (c *trafficCluster) start(campaigns, electors context.Context, n *trafficNode, logger log.Logger, store configsync.Store) {
	timing := settings.Default().Timing
	n.client = rpc.NewClient(rpc.Peer{Name: n.self.Name, Zone: n.self.Zone}, nil)
	n.client.Observer = &n.frameCounter
	n.server = rpc.NewServer(logger)
	n.server.Observer = &n.frameCounter
	n.elector = leadership.New(leadership.Params{
		Self: n.self, Seeds: c.seeds, Nodes: func() []cluster.Node { return c.all }, Timing: timing, Logger: logger,
		Electorate: leadership.FixedElectorate(c.leases), Client: n.client,
	})
	n.manager = configsync.New(configsync.Params{
		Self: n.self, Seeds: c.all, Store: store, Elector: n.elector, Client: n.client, Holder: cluster.NewHolder(),
		Timing: timing, Logger: logger,
	})
	n.elector.Register(n.server)
	n.manager.Register(n.server)
	c.running.Go(func() { n.server.Serve(n.listener) })
	c.running.Go(func() { n.elector.Run(electors) })
	c.running.Go(func() { n.manager.Run(campaigns) })
	c.running.Go(func() {
		n.elector.Campaign(campaigns, leadership.ZoneLease(n.self.Zone), []string{n.self.Zone},
			func(ctx context.Context, term leadership.Term) {
				n.leads.Add(1)
				defer n.leads.Add(-1)
				n.manager.Lead(ctx, term)
			})
	})
	c.running.Go(func() {
		n.elector.Campaign(campaigns, leadership.TrainerLease(trafficTrainer), c.names,
			func(ctx context.Context, _ leadership.Term) {
				n.owns.Add(1)
				defer n.owns.Add(-1)
				<-ctx.Done()
			})
	})
}

func (c *trafficCluster) stop() {
	c.cancel()
	c.halt()
	for _, n := range c.nodes {
		n.listener.Close()
		n.client.Close()
		n.server.Close()
	}
	c.running.Wait()
	c.store.Stop()
}

// role names what of the whole zone's nodes a node does, by what costs most.
func (c *trafficCluster) role(n *trafficNode, index int) string {
	switch {
	case n.self.Zone != c.names[0]:
		return "single"
	case n.leads.Load() > 0:
		return "coordinator"
	case n.owns.Load() > 0:
		return "owner"
	case index < trafficSeeds:
		return "voter"
	}
	return "node"
}

// BenchmarkControlTraffic measures the frames of leases and heartbeats of real nodes over loopback: a whole zone of 44 and one
// node of each of seven other zones, nothing changing. It prints the mean and the highest bytes a second of each role.
func BenchmarkControlTraffic(b *testing.B) {
	for range b.N {
		c := newTrafficCluster(b)
		time.Sleep(trafficWarmUp)
		for _, n := range c.nodes {
			n.reset()
		}
		time.Sleep(trafficSeconds * time.Second)
		c.report(b)
		c.stop()
	}
}

func (c *trafficCluster) report(b *testing.B) {
	type sums struct{ nodes, sent, received, frames, most int64 }
	byRole := make(map[string]sums)
	for index, n := range c.nodes {
		role := c.role(n, index)
		sum := byRole[role]
		sum.nodes++
		sum.sent += n.sentBytes.Load()
		sum.received += n.receivedBytes.Load()
		sum.frames += n.sentFrames.Load()
		sum.most = max(sum.most, n.sentBytes.Load())
		byRole[role] = sum
	}
	for role, sum := range byRole {
		seconds := float64(sum.nodes * trafficSeconds)
		b.ReportMetric(float64(sum.sent)/seconds, role+"-sent-B/s")
		b.ReportMetric(float64(sum.most)/trafficSeconds, role+"-max-sent-B/s")
		b.ReportMetric(float64(sum.received)/seconds, role+"-received-B/s")
		b.ReportMetric(float64(sum.frames)/seconds, role+"-sent-msgs/s")
	}
}
