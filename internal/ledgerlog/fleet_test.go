package ledgerlog

import (
	"context"
	"fmt"
	"net"
	"os"
	"testing"
	"time"

	"github.com/go-kit/log"
	"go.uber.org/goleak"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/cluster"
	"github.com/covelink/covelink/internal/keeper"
	"github.com/covelink/covelink/internal/leadership"
	"github.com/covelink/covelink/internal/rollout"
	"github.com/covelink/covelink/internal/rpc"
	"github.com/covelink/covelink/internal/settings"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	testZone = "zone-a"
	testPool = "pool"
	testLog  = "trainer/t"
	deadline = 20 * time.Second
)

// fleet is some keepers on loopback, one process.
type fleet struct {
	t       testing.TB
	view    *cluster.Holder
	members []*member
}

type member struct {
	fleet    *fleet
	node     cluster.Node
	folder   string
	keeper   *keeper.Keeper
	server   *rpc.Server
	listener net.Listener
}

// newFleet starts a keeper in each of the zones, on disk or in memory.
func newFleet(t testing.TB, onDisk bool, zones ...string) *fleet {
	f := &fleet{t: t, view: cluster.NewHolder()}
	f.permit(testZone, "zone-b", "zone-c")
	for index, zone := range zones {
		m := &member{fleet: f, node: cluster.Node{Name: fmt.Sprint("node-", index), Zone: zone, Address: "127.0.0.1:0", HasDisk: onDisk}}
		if onDisk {
			m.folder = t.TempDir()
		}
		f.members = append(f.members, m)
		m.start()
	}
	t.Cleanup(func() {
		for _, m := range f.members {
			m.stop()
		}
	})
	return f
}

// permit sets the zones of the pool, for all keepers at once.
func (f *fleet) permit(zones ...string) {
	f.view.Update(func(*cluster.View) *cluster.View {
		return &cluster.View{
			Revision: 1, Serving: true,
			Pools:    map[string]*v1.Pool{testPool: {Spec: v1.PoolSpec{PermittedZones: zones}}},
			Trainers: map[string]*v1.Trainer{"t": {Spec: v1.TrainerSpec{Pool: testPool}}},
		}
	})
}

func (f *fleet) must(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

func (m *member) start() {
	var err error
	m.keeper, err = keeper.New(keeper.Params{
		Self: m.node, Source: m.fleet.view, Logger: log.NewNopLogger(),
		Node: settings.Node{DataDir: m.folder, DataLimitBytes: 1 << 30},
	})
	m.fleet.must(err)
	m.listener, err = net.Listen("tcp", m.node.Address)
	m.fleet.must(err)
	m.node.Address = m.listener.Addr().String()
	m.server = rpc.NewServer(log.NewNopLogger())
	m.keeper.Register(m.server)
	server, listener := m.server, m.listener
	go func() { _ = server.Serve(listener) }()
}

// stop ends the keeper; its folder stays.
func (m *member) stop() {
	if m.keeper == nil {
		return
	}
	m.listener.Close()
	m.server.Close()
	m.fleet.must(m.keeper.Close())
	m.keeper = nil
}

// wipe restarts the keeper without what it kept.
func (m *member) wipe() {
	m.stop()
	if m.folder != "" {
		m.fleet.must(os.RemoveAll(m.folder))
	}
	m.start()
}

// owner is a process that opens logs; it is no keeper itself.
type owner struct {
	opener *Opener
	client *rpc.Client
	ctx    context.Context
	cancel context.CancelFunc
}

// owner returns one that dials by dial, or plainly if that is nil.
func (f *fleet) owner(dial rpc.DialFunc, replaceAfter time.Duration) *owner {
	self := cluster.Node{Name: "owner", Zone: "elsewhere"}
	client := rpc.NewClient(rpc.Peer{Name: self.Name, Zone: self.Zone}, dial)
	var nodes []cluster.Node
	for _, m := range f.members {
		nodes = append(nodes, m.node)
	}
	opener := New(Params{
		Self: self, Source: f.view, Seeds: nodes, Client: client, Logger: log.NewNopLogger(),
		ReplaceAfter: replaceAfter, CommitTimeout: deadline,
	})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	o := &owner{opener: opener, client: client, ctx: ctx, cancel: cancel}
	f.t.Cleanup(o.drop)
	return o
}

// drop ends the process of the owner, in whatever it is doing.
func (o *owner) drop() {
	o.cancel()
	o.opener.Close()
	o.client.Close()
}

func (o *owner) open(token uint64, zones ...string) (*openLog, error) {
	if len(zones) == 0 {
		zones = []string{testZone, "zone-b", "zone-c"}
	}
	opened, err := o.opener.Open(o.ctx, testLog, leadership.Term{Name: testLog, Token: token}, zones)
	if err != nil {
		return nil, err
	}
	return opened.(*openLog), nil
}

func commitOf(index int) rollout.Entry {
	return rollout.SampleCommitted{Identity: rollout.Identity{Trainer: "t", Batch: "b", Index: index}, Text: fmt.Sprint("sample ", index), Tokens: 2}
}

// indexes returns the samples that the entries commit.
func indexes(entries []rollout.Entry) []int {
	var found []int
	for _, entry := range entries {
		found = append(found, entry.(rollout.SampleCommitted).Identity.Index)
	}
	return found
}

func (o *owner) recovered(t testing.TB, l *openLog) []int {
	_, entries, err := l.Recover(o.ctx)
	if err != nil {
		t.Fatal(err)
	}
	return indexes(entries)
}

// eventually polls a condition.
func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(deadline); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatal("never: ", what)
}
