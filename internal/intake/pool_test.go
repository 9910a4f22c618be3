package intake

import (
	"net"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// fakeConn is a connection that only notes what is done to it.
type fakeConn struct {
	net.Conn
	closed      bool
	interrupted bool
}

func (f *fakeConn) Read(into []byte) (int, error) { return len(into), nil }

func (f *fakeConn) Close() error {
	f.closed = true
	return nil
}

func (f *fakeConn) SetReadDeadline(deadline time.Time) error {
	f.interrupted = f.interrupted || deadline.Equal(longAgo)
	return nil
}

// world is a pool whose clock the test moves.
type world struct {
	*Pool
	now time.Time
}

func newWorld(bytes int64, connections int) *world {
	w := &world{now: time.Unix(1000, 0)}
	w.Pool = NewPool(Params{
		MaxBytes:       bytes,
		MaxConnections: func() int { return connections },
		Logger:         log.NewNopLogger(),
		Now:            func() time.Time { return w.now },
	})
	return w
}

func (w *world) connect() (*Conn, *fakeConn) {
	fake := &fakeConn{}
	c, ok := w.Admit(fake, Timeouts{Header: time.Second, Idle: time.Second})
	if !ok {
		return nil, fake
	}
	return c, fake
}

func TestPool(t *testing.T) {
	const room = 64 << 20
	Convey("A stalled body gives way to one that arrives, and its client can be answered", t, func() {
		w := newWorld(room, 10)
		stalled, stalledConn := w.connect()
		stalled.begin(true)
		So(stalled.Grow(room*3/4), ShouldBeTrue)
		sender, _ := w.connect()
		sender.begin(true)
		So(sender.Grow(room/2), ShouldBeFalse)
		w.now = w.now.Add(minStall)
		So(sender.Grow(room/2), ShouldBeTrue)
		So(stalledConn.interrupted, ShouldBeTrue)
		So(stalledConn.closed, ShouldBeFalse)
		So(stalled.Grow(1), ShouldBeFalse)
		So(stalled.received(), ShouldBeFalse)
	})
	Convey("Single bytes do not keep a body's room, and pieces do", t, func() {
		for _, piece := range []struct {
			size    int
			granted bool
		}{{1, true}, {progressBytes, false}} {
			w := newWorld(room, 10)
			slow, _ := w.connect()
			slow.begin(true)
			So(slow.Grow(room*3/4), ShouldBeTrue)
			for range 10 {
				w.now = w.now.Add(minStall / 5)
				_, err := slow.Read(make([]byte, piece.size))
				So(err, ShouldBeNil)
			}
			sender, _ := w.connect()
			So(sender.Grow(room/2), ShouldEqual, piece.granted)
		}
	})
	Convey("A request that is being served keeps its room, unless its client reads nothing", t, func() {
		w := newWorld(room, 10)
		served, servedConn := w.connect()
		served.begin(false)
		So(served.Grow(room*3/4), ShouldBeTrue)
		sender, _ := w.connect()
		w.now = w.now.Add(time.Hour)
		So(sender.Grow(room/2), ShouldBeFalse)
		served.writing.Store(true)
		So(sender.Grow(room/2), ShouldBeTrue)
		So(servedConn.closed, ShouldBeTrue)
	})
	Convey("Small requests find room beside large ones", t, func() {
		w := newWorld(room, 10)
		large, _ := w.connect()
		large.begin(false)
		for large.Grow(1 << 20) {
		}
		small, _ := w.connect()
		So(small.Grow(smallBytes), ShouldBeTrue)
	})
	Convey("What a request holds is given back at its end, also after it was refused", t, func() {
		w := newWorld(room, 10)
		c, _ := w.connect()
		c.begin(true)
		So(c.Grow(1<<20), ShouldBeTrue)
		So(c.Grow(2*room), ShouldBeFalse)
		c.end()
		_, held := w.Usage()
		So(held, ShouldEqual, 0)
	})
	Convey("The connection that has waited longest for its client gives way to a new one", t, func() {
		w := newWorld(room, 2)
		_, first := w.connect()
		w.now = w.now.Add(time.Millisecond)
		_, second := w.connect()
		w.connect()
		So(first.closed, ShouldBeTrue)
		So(second.closed, ShouldBeFalse)
	})
	Convey("A new connection is closed if all others are being served", t, func() {
		w := newWorld(room, 1)
		served, _ := w.connect()
		served.begin(false)
		refused, fake := w.connect()
		So(refused, ShouldBeNil)
		So(fake.closed, ShouldBeTrue)
	})
}

// upload is a client of the model: it sends want bytes, and may stop for good.
type upload struct {
	conn       *Conn
	fake       *fakeConn
	want, sent int64
	stopped    bool
}

func (u *upload) ended() bool { return u.sent == u.want || u.conn.evicted || u.fake.closed }

// Bodies that wait for room while others hold theirs and stand still must not lock each other out: whatever the order of events, the bounds hold, and
// once those that stopped are stalled, a client that sends a body completes.
func TestPoolModel(t *testing.T) {
	const (
		room        = 16 << 20
		connections = 6
	)
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(room, connections)
		var uploads []*upload
		check := func() {
			var held, large int64
			for c := range w.conns {
				held += c.held
				if c.large() {
					large += c.held
				}
			}
			if held != w.held || large != w.heldLarge {
				t.Fatalf("connections hold %d bytes, %d of them large; counted are %d and %d", held, large, w.held, w.heldLarge)
			}
			if w.held > room || w.heldLarge > room-room/reservedShare || len(w.conns) > connections {
				t.Fatalf("%d bytes, %d of them large, and %d connections are held", w.held, w.heldLarge, len(w.conns))
			}
		}
		send := func(u *upload) {
			size := min(rapid.Int64Range(1, 4<<20).Draw(t, "piece"), u.want-u.sent)
			if !u.conn.Grow(size) {
				u.conn.Close()
				return
			}
			u.sent += size
			u.conn.progress()
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				if c, fake := w.connect(); c != nil {
					c.begin(true)
					uploads = append(uploads, &upload{conn: c, fake: fake, want: rapid.Int64Range(1, room/2).Draw(t, "want")})
				}
			case 1:
				w.now = w.now.Add(time.Duration(rapid.Int64Range(0, int64(minStall)).Draw(t, "pause")))
			case 2:
				if len(uploads) > 0 {
					uploads[rapid.IntRange(0, len(uploads)-1).Draw(t, "stops")].stopped = true
				}
			default:
				if len(uploads) == 0 {
					break
				}
				u := uploads[rapid.IntRange(0, len(uploads)-1).Draw(t, "sends")]
				if u.stopped || u.ended() {
					break
				}
				send(u)
				if u.sent == u.want && u.conn.received() {
					u.conn.end()
					u.conn.Close()
				}
			}
			check()
		}
		w.now = w.now.Add(minStall)
		c, _ := w.connect()
		if c == nil {
			t.Fatal("a client was not admitted although all others have stopped")
		}
		c.begin(true)
		last := &upload{conn: c, want: room / 2}
		for last.sent < last.want {
			before := last.sent
			send(last)
			check()
			if last.sent == before {
				t.Fatalf("a client that sends was refused at %d bytes although all others have stopped", before)
			}
		}
	})
}
