package leadership

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"

	"github.com/covelink/covelink/internal/cluster"
	"github.com/covelink/covelink/internal/rpc"
	"github.com/covelink/covelink/internal/settings"
)

const (
	testLength  = 400 * time.Millisecond
	pollTimeout = 20 * time.Second
	// outsider is a witness from another zone: it votes with a pair of seeds and does not campaign.
	outsider = "w"
)

// member is one node that campaigns for one lease.
type member struct {
	elector        *LeaseElector
	client         *rpc.Client
	server         *rpc.Server
	listener       net.Listener
	cancelCampaign context.CancelFunc // cancels the campaign
	cancelRun      context.CancelFunc // cancels the elector's Run
	campaign       sync.WaitGroup
	tasks          sync.WaitGroup
}

// testCluster runs several members, and records the leader and whether two terms overlapped.
type testCluster struct {
	mu     sync.Mutex
	leader string
	token  uint64
	// term is the context of the last term. Its Err tells whether the holder may still act, before any timer has fired.
	term    context.Context
	overlap bool
	members map[string]*member
}

func newTestCluster(names ...string) *testCluster {
	e := &testCluster{members: make(map[string]*member)}
	var nodes []cluster.Node
	for _, name := range names {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		e.members[name] = &member{listener: listener}
		zone := "z"
		if name == outsider {
			zone = "other"
		}
		nodes = append(nodes, cluster.Node{Name: name, Zone: zone, Address: listener.Addr().String()})
	}
	for _, node := range nodes {
		e.start(e.members[node.Name], node, nodes)
	}
	return e
}

func (e *testCluster) start(m *member, self cluster.Node, nodes []cluster.Node) {
	m.client = rpc.NewClient(rpc.Peer{Name: self.Name, Zone: self.Zone}, nil)
	m.server = rpc.NewServer(log.NewNopLogger())
	m.elector = New(Params{
		Self: self, Seeds: nodes, Client: m.client, Logger: log.NewNopLogger(),
		Timing:     settings.Timing{LeaseLength: testLength},
		Electorate: FixedElectorate(map[string][]string{"zone/z": {"z"}}),
	})
	m.elector.Register(m.server)
	var runCtx, campaignCtx context.Context
	runCtx, m.cancelRun = context.WithCancel(context.Background())
	campaignCtx, m.cancelCampaign = context.WithCancel(context.Background())
	m.tasks.Go(func() { _ = m.server.Serve(m.listener) })
	m.tasks.Go(func() { _ = m.elector.Run(runCtx) })
	if self.Name == outsider {
		return
	}
	m.campaign.Go(func() { m.elector.Campaign(campaignCtx, "zone/z", []string{"z"}, e.lead(self.Name)) })
}

func (e *testCluster) lead(name string) func(context.Context, Term) {
	return func(ctx context.Context, term Term) {
		e.mu.Lock()
		e.overlap = e.overlap || (e.term != nil && e.term.Err() == nil) || term.Token <= e.token
		e.leader, e.token, e.term = name, term.Token, ctx
		e.mu.Unlock()
		<-ctx.Done()
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.token == term.Token {
			e.leader = ""
		}
	}
}

func (e *testCluster) current() (string, uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leader, e.token
}

// disconnect closes the member's connections, as if its machine had lost power.
func (m *member) disconnect() {
	m.listener.Close()
	m.server.Close()
	m.client.Close()
}

func (e *testCluster) close() {
	for _, m := range e.members {
		m.cancelCampaign()
	}
	for _, m := range e.members {
		m.campaign.Wait()
	}
	for _, m := range e.members {
		m.cancelRun()
		m.disconnect()
		m.tasks.Wait()
	}
}

// eventually polls until the condition holds.
func eventually(condition func() bool) {
	deadline := time.Now().Add(pollTimeout)
	for !condition() && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	So(condition(), ShouldBeTrue)
}

func TestLeaseElector(t *testing.T) {
	defer goleak.VerifyNone(t)
	for _, names := range [][]string{{"a"}, {"a", "b", "c"}, {"a", "b", outsider}} {
		Convey(fmt.Sprintf("Among the nodes %v", names), t, func() {
			e := newTestCluster(names...)
			Reset(e.close)
			var first string
			var token uint64
			eventually(func() bool { first, token = e.current(); return first != "" })

			Convey("every node resolves the holder", func() {
				for _, m := range e.members {
					eventually(func() bool {
						holder, ok := m.elector.Holder("zone/z")
						leader, _ := e.current()
						return ok && holder.Name == leader
					})
				}
				So(e.overlap, ShouldBeFalse)
			})
			Convey("a higher token seen by a guard ends the term, and the next term gets a higher one", func() {
				seen := token + 1<<40
				eventually(func() bool {
					leader, next := e.current()
					if leader == "" || next > seen {
						return next > seen
					}
					// The lease may have moved, and ObserveToken affects only the current holder.
					e.members[leader].elector.ObserveToken("zone/z", seen)
					return false
				})
				So(e.overlap, ShouldBeFalse)
			})
			if len(names) == 1 {
				return
			}
			Convey("a canceled campaign hands the lease over under a higher token", func() {
				e.members[first].cancelCampaign()
				eventually(func() bool { leader, next := e.current(); return leader != "" && next > token })
				So(e.overlap, ShouldBeFalse)
			})
			Convey("a disconnected holder stops leading before another node leads", func() {
				e.members[first].disconnect()
				eventually(func() bool { leader, next := e.current(); return leader != "" && next > token })
				leader, _ := e.current()
				So(leader, ShouldNotBeIn, first, outsider)
				So(e.overlap, ShouldBeFalse)
			})
		})
	}
}

func TestTermContext(t *testing.T) {
	Convey("Err of a lapsed term's context returns Canceled even if no timer has fired", t, func() {
		m := New(Params{Self: cluster.Node{Name: "a", Zone: "z"}, Seeds: []cluster.Node{{Name: "a", Zone: "z"}},
			Logger: log.NewNopLogger(), Timing: settings.Timing{LeaseLength: testLength}})
		ctx := newTermContext(context.Background(), m.now, Term{Name: "x", Token: 1})
		later := m.now()
		later.Monotonic += time.Hour
		later.Wall = later.Wall.Add(time.Hour)
		ctx.deadline.Store(&later)
		So(ctx.Err(), ShouldBeNil)
		lapsed := m.now()
		ctx.deadline.Store(&lapsed)
		So(ctx.Err(), ShouldEqual, context.Canceled)
		_, open := <-ctx.Done()
		So(open, ShouldBeFalse)
	})
}
