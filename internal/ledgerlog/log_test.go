package ledgerlog

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/coord/quorumlog"
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

func TestNewOwnerRecoversWhatWasCommitted(t *testing.T) {
	for _, onDisk := range []bool{true, false} {
		Convey(fmt.Sprint("on disk: ", onDisk), t, func() {
			f := newFleet(t, onDisk, testZone, "zone-b", "zone-c", testZone)
			var want []int
			for token := range uint64(3) {
				o := f.owner(nil, 0)
				l, err := o.open(token + 1)
				So(err, ShouldBeNil)
				So(o.recovered(t, l), ShouldResemble, want)
				So(l.Info().Replicas, ShouldHaveLength, 3)
				So(l.Info().MemoryOnly, ShouldEqual, !onDisk)
				for range 5 {
					So(l.Append(o.ctx, []rollout.Entry{commitOf(len(want)), commitOf(len(want) + 1)}), ShouldBeNil)
					want = append(want, len(want), len(want)+1)
				}
				o.drop()
			}
		})
	}
}

func TestReplicasAreInDistinctPermittedZones(t *testing.T) {
	Convey("a log of two permitted zones among three", t, func() {
		f := newFleet(t, false, testZone, testZone, "zone-b", "zone-b", "zone-c")
		f.permit(testZone, "zone-b")
		o := f.owner(nil, 0)
		l, err := o.open(1, testZone, "zone-b")
		So(err, ShouldBeNil)
		So(l.Append(o.ctx, []rollout.Entry{commitOf(0)}), ShouldBeNil)
		zones := map[string]int{}
		for _, name := range l.Info().Replicas {
			zones[l.nodes[name].Zone]++
		}
		So(zones["zone-c"], ShouldEqual, 0)
		So(zones[testZone], ShouldBeGreaterThan, 0)
		So(zones["zone-b"], ShouldBeGreaterThan, 0)

		Convey("a keeper refuses what its own view does not permit, whatever the sender says", func() {
			_, err := f.members[4].keeper.Step(keeper.Request{Log: testLog, Zones: []string{"zone-c"}, Message: quorumlog.Request{Op: quorumlog.OpPrepare}})
			var refusal *v1.Error
			So(errors.As(err, &refusal), ShouldBeTrue)
			So(refusal.Code, ShouldEqual, v1.CodeForbidden)
			_, err = f.members[0].keeper.Step(keeper.Request{Log: testLog, Zones: []string{"zone-b"}, Message: quorumlog.Request{Op: quorumlog.OpPrepare}})
			So(err, ShouldNotBeNil)
		})
	})
}

func TestPausedOwnerIsFenced(t *testing.T) {
	Convey("an owner that was paused while another one took over", t, func() {
		f := newFleet(t, true, testZone, "zone-b", "zone-c")
		paused, next := f.owner(nil, 0), f.owner(nil, 0)
		old, err := paused.open(1)
		So(err, ShouldBeNil)
		So(old.Append(paused.ctx, []rollout.Entry{commitOf(0)}), ShouldBeNil)
		l, err := next.open(2)
		So(err, ShouldBeNil)
		So(next.recovered(t, l), ShouldResemble, []int{0})
		So(errors.Is(old.Append(paused.ctx, []rollout.Entry{commitOf(1)}), rollout.ErrFenced), ShouldBeTrue)
		So(l.Append(next.ctx, []rollout.Entry{commitOf(2)}), ShouldBeNil)

		_, err = paused.open(1)
		So(errors.Is(err, rollout.ErrFenced), ShouldBeTrue)
		again := f.owner(nil, 0)
		l, err = again.open(2) // a restarted process within the same term
		So(err, ShouldBeNil)
		So(again.recovered(t, l), ShouldResemble, []int{0, 2})
	})
}

func TestKeeperRestartedEmptyRejoins(t *testing.T) {
	for _, onDisk := range []bool{true, false} {
		Convey(fmt.Sprint("on disk: ", onDisk), t, func() {
			f := newFleet(t, onDisk, testZone, "zone-b", "zone-c")
			o := f.owner(nil, 0)
			l, err := o.open(1)
			So(err, ShouldBeNil)
			var want []int
			for round := range 3 { // each keeper in turn loses everything
				So(l.Append(o.ctx, []rollout.Entry{commitOf(round)}), ShouldBeNil)
				want = append(want, round)
				before := l.writer.Members()
				f.members[round].wipe()
				So(l.Append(o.ctx, []rollout.Entry{commitOf(10 + round)}), ShouldBeNil)
				want = append(want, 10+round)
				eventually(t, "rejoined", func() bool {
					l.mu.Lock()
					defer l.mu.Unlock()
					return !slices.Equal(before, l.writer.Members()) && !l.writer.Changing()
				})
			}
			next := f.owner(nil, 0)
			l, err = next.open(2)
			So(err, ShouldBeNil)
			So(next.recovered(t, l), ShouldResemble, want)
		})
	}
}

func TestMajorityLostIsNoEmptyLog(t *testing.T) {
	Convey("two of three keepers that lost everything at once", t, func() {
		f := newFleet(t, true, testZone, "zone-b", "zone-c")
		o := f.owner(nil, 0)
		l, err := o.open(1)
		So(err, ShouldBeNil)
		So(l.Append(o.ctx, []rollout.Entry{commitOf(0)}), ShouldBeNil)
		o.drop()
		f.members[0].wipe()
		f.members[1].wipe()
		_, err = f.owner(nil, 0).open(2)
		So(errors.Is(err, ErrLost), ShouldBeTrue)
	})
}

func TestOneKeeperDown(t *testing.T) {
	Convey("a majority carries on, and the third is caught up later", t, func() {
		f := newFleet(t, true, testZone, "zone-b", "zone-c")
		o := f.owner(nil, time.Minute)
		l, err := o.open(1)
		So(err, ShouldBeNil)
		f.members[1].stop()
		for index := range 10 {
			So(l.Append(o.ctx, []rollout.Entry{commitOf(index)}), ShouldBeNil)
		}
		f.members[1].start()
		eventually(t, "caught up", func() bool {
			l.mu.Lock()
			defer l.mu.Unlock()
			return !slices.ContainsFunc(l.writer.Status(), func(s quorumlog.ReplicaStatus) bool { return s.Match < l.writer.Last() })
		})
		f.members[0].stop() // now the one caught up is needed
		next := f.owner(nil, time.Minute)
		l, err = next.open(2)
		So(err, ShouldBeNil)
		So(next.recovered(t, l), ShouldHaveLength, 10)
	})
	Convey("one that stays away is replaced", t, func() {
		f := newFleet(t, false, testZone, "zone-b", "zone-c", testZone)
		o := f.owner(nil, 50*time.Millisecond)
		l, err := o.open(1)
		So(err, ShouldBeNil)
		gone := l.Info().Replicas[0]
		for _, m := range f.members {
			if m.node.Name == gone {
				m.stop()
			}
		}
		So(l.Append(o.ctx, []rollout.Entry{commitOf(0)}), ShouldBeNil)
		eventually(t, "replaced", func() bool {
			info := l.Info()
			return len(info.Replicas) == 3 && !slices.Contains(info.Replicas, gone)
		})
	})
}

func TestSmallZones(t *testing.T) {
	for nodes := 1; nodes <= 2; nodes++ {
		Convey(fmt.Sprint(nodes, " nodes"), t, func() {
			f := newFleet(t, true, slices.Repeat([]string{testZone}, nodes)...)
			o := f.owner(nil, 0)
			l, err := o.open(1)
			So(err, ShouldBeNil)
			So(l.Append(o.ctx, []rollout.Entry{commitOf(0)}), ShouldBeNil)
			So(l.Info().Replicas, ShouldHaveLength, nodes)
		})
	}
	Convey("a log grows to three replicas when there are nodes for it", t, func() {
		f := newFleet(t, true, testZone)
		o := f.owner(nil, 0)
		l, err := o.open(1)
		So(err, ShouldBeNil)
		So(l.Append(o.ctx, []rollout.Entry{commitOf(0)}), ShouldBeNil)
		f.view.Update(func(v *cluster.View) *cluster.View {
			grown := newFleet(t, true, "zone-b", "zone-c")
			next := *v
			for index, m := range grown.members {
				m.node.Name = fmt.Sprint("new-", index)
				next.Nodes = append(next.Nodes, m.node)
			}
			return &next
		})
		eventually(t, "grown", func() bool { return len(l.Info().Replicas) == 3 })
		So(l.Append(o.ctx, []rollout.Entry{commitOf(1)}), ShouldBeNil)
	})
}

func TestTruncate(t *testing.T) {
	Convey("a snapshot larger than a message and a group larger than an entry", t, func() {
		f := newFleet(t, true, testZone, "zone-b", "zone-c")
		o := f.owner(nil, 0)
		l, err := o.open(1)
		So(err, ShouldBeNil)
		large := rollout.SampleCommitted{Text: string(make([]byte, 3<<20))}
		So(l.Append(o.ctx, []rollout.Entry{large}), ShouldBeNil)
		snapshot := slices.Repeat([]byte("snapshot"), 400_000)
		So(l.Truncate(o.ctx, snapshot), ShouldBeNil)
		So(l.Append(o.ctx, []rollout.Entry{large, commitOf(7)}), ShouldBeNil)
		f.members[0].stop()
		next := f.owner(nil, 0)
		l, err = next.open(2)
		So(err, ShouldBeNil)
		recovered, entries, err := l.Recover(next.ctx)
		So(err, ShouldBeNil)
		So(slices.Equal(recovered, snapshot), ShouldBeTrue)
		So(entries, ShouldHaveLength, 2)
		So(len(entries[0].(rollout.SampleCommitted).Text), ShouldEqual, 3<<20)
	})
}

// cutting dials connections that break after a number of bytes were read, so that replies are lost at any place.
type cutting struct {
	mu   sync.Mutex
	left int
	cut  func()
}

func (c *cutting) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &cutConn{Conn: conn, cutting: c}, nil
}

type cutConn struct {
	net.Conn
	cutting *cutting
}

func (c *cutConn) Read(data []byte) (int, error) {
	count, err := c.Conn.Read(data)
	c.cutting.mu.Lock()
	defer c.cutting.mu.Unlock()
	c.cutting.left -= count
	if c.cutting.left < 0 {
		c.Close()
		c.cutting.cut()
		return 0, net.ErrClosed
	}
	return count, err
}

func TestOwnerLostAtAnyStep(t *testing.T) {
	Convey("an owner cut off after any number of bytes read: the next one has all that it was told is committed", t, func() {
		f := newFleet(t, false, testZone, "zone-b", "zone-c")
		var committed []int
		next := 0
		for token := uint64(1); token <= 40; token++ {
			ctx, cancel := context.WithTimeout(context.Background(), deadline)
			c := &cutting{left: int(token) * 1500, cut: cancel}
			o := f.owner(c.dial, 0)
			opened, err := o.opener.Open(ctx, testLog, leadership.Term{Name: testLog, Token: token}, []string{testZone, "zone-b", "zone-c"})
			for err == nil {
				if err = opened.Append(ctx, []rollout.Entry{commitOf(next)}); err == nil {
					committed = append(committed, next)
				}
				next++
			}
			cancel()
			o.drop()
		}
		last := f.owner(nil, 0)
		l, err := last.open(100)
		So(err, ShouldBeNil)
		found := last.recovered(t, l)
		So(len(committed), ShouldBeGreaterThan, 10)
		So(slices.IsSorted(found), ShouldBeTrue)
		So(slices.Compact(slices.Clone(found)), ShouldHaveLength, len(found))
		for _, index := range committed {
			So(slices.Contains(found, index), ShouldBeTrue)
		}
	})
}
