package ledgerlog

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/coord/quorumlog"
	"github.com/covelink/covelink/internal/cluster"
	"github.com/covelink/covelink/internal/keeper"
	"github.com/covelink/covelink/internal/leadership"
	"github.com/covelink/covelink/internal/rollout"
)

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
