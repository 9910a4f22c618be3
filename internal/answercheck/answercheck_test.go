package answercheck

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// pipe returns a checked connection that has sent a request, and its peer.
func pipe(checker *Checker) (checked *Conn, peer net.Conn) {
	near, far := net.Pipe()
	checked = checker.Wrap(near)
	checked.begin("r")
	go func() { _, _ = checked.Write([]byte("request")) }()
	_, err := io.ReadFull(far, make([]byte, len("request")))
	So(err, ShouldBeNil)
	return checked, far
}

// refusal returns why a checked connection refuses what its peer sends, or "".
func refusal(checked *Conn) Reason {
	_, err := io.Copy(io.Discard, checked)
	var refused *RefusedError
	if errors.As(err, &refused) {
		return refused.Reason
	}
	return ""
}

// Guards against many heads without end that together take more memory than a process has.
func TestHeadsShareRoom(t *testing.T) {
	Convey("Heads that are being read share their room, and give it back", t, func() {
		checker := &Checker{}
		var open []*Conn
		for range maxSharedHeadBytes / (MaxHeadBytes - ownHeadBytes - 1) {
			checked, peer := pipe(checker)
			go func() {
				_, _ = io.WriteString(peer, "HTTP/1.1 200 OK\r\nX: ")
				_, _ = io.WriteString(peer, strings.Repeat("x", MaxHeadBytes-1-len("HTTP/1.1 200 OK\r\nX: ")))
			}()
			_, err := io.ReadFull(checked, make([]byte, MaxHeadBytes-1))
			So(err, ShouldBeNil)
			open = append(open, checked)
		}
		long := func() *Conn {
			checked, peer := pipe(checker)
			go func() {
				_, _ = io.WriteString(peer, "HTTP/1.1 200 OK\r\nX: "+strings.Repeat("x", MaxHeadBytes/2)+"\r\n\r\n")
				peer.Close()
			}()
			return checked
		}
		checked, peer := pipe(checker)
		go func() {
			for err := error(nil); err == nil; {
				_, err = io.WriteString(peer, "HTTP/1.1 102 Processing\r\nX: "+strings.Repeat("x", 1000)+"\r\n\r\n")
			}
		}()
		So(refusal(checked), ShouldEqual, ReasonNoRoom)
		checked.Close()
		for _, connection := range open {
			connection.Close()
		}
		So(refusal(long()), ShouldEqual, Reason(""))
		So(checker.shared.Load(), ShouldEqual, 0)
	})
	Convey("Bytes that are read as their connection is closed take no room for good", t, func() {
		checker := &Checker{}
		checked, _ := pipe(checker)
		checked.Close()
		So(checked.check([]byte("HTTP/1.1 200 OK\r\nX: "+strings.Repeat("x", MaxHeadBytes/2))), ShouldEqual, Reason(""))
		So(checker.shared.Load(), ShouldEqual, 0)
	})
	Convey("A head without end is refused at the limit", t, func() {
		checked, peer := pipe(&Checker{})
		go func() {
			for err := error(nil); err == nil; {
				_, err = io.WriteString(peer, "HTTP/1.1 102 Processing\r\nX: y\r\n\r\n")
			}
		}()
		So(refusal(checked), ShouldEqual, ReasonHeadSize)
		checked.Close()
	})
}

// Guards against an answer that was sent before its request, and belongs to an earlier one.
func TestAnswerBeforeItsRequest(t *testing.T) {
	Convey("Bytes that come before the request was written are no answer to it", t, func() {
		near, far := net.Pipe()
		checked := (&Checker{}).Wrap(near)
		checked.begin("r")
		go func() { _, _ = io.WriteString(far, "HTTP/1.1 200 OK\r\n\r\n") }()
		So(refusal(checked), ShouldEqual, ReasonUnasked)
	})
	Convey("A connection carries no two requests of one identity, and remembers the last ones", t, func() {
		checked := (&Checker{}).Wrap(nil)
		carries := func(identity string) bool {
			_, ok := checked.begin(identity)
			return ok
		}
		So(carries("a"), ShouldBeTrue)
		So(carries(""), ShouldBeTrue)
		So(carries(""), ShouldBeTrue)
		So(carries("a"), ShouldBeFalse)
		So(carries(Unnamed), ShouldBeTrue)
		So(carries(Unnamed), ShouldBeFalse)
		So(carries(Snapshot), ShouldBeTrue)
		So(carries(Snapshot), ShouldBeTrue)
		So(carries(Unnamed), ShouldBeFalse)
		So(carries("between"), ShouldBeTrue)
		So(carries(Unnamed), ShouldBeTrue)
		for i := range rememberedRequests {
			So(carries(strings.Repeat("b", i+1)), ShouldBeTrue)
		}
		So(carries("a"), ShouldBeTrue)
		So(len(checked.carried), ShouldEqual, rememberedRequests)
	})
}

// Guards against a reset that a write has got and that a read takes for an ordinary end.
func TestResetIsNoEnd(t *testing.T) {
	Convey("The body of an answer that is reset during a write does not end with io.EOF", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer listener.Close()
		near, err := net.Dial("tcp", listener.Addr().String())
		So(err, ShouldBeNil)
		far, err := listener.Accept()
		So(err, ShouldBeNil)
		checked := (&Checker{}).Wrap(near)
		defer checked.Close()
		checked.begin("r")
		_, err = checked.Write([]byte("request"))
		So(err, ShouldBeNil)
		_, err = io.WriteString(far, "HTTP/1.1 200 OK\r\n\r\npart")
		So(err, ShouldBeNil)
		read, err := io.ReadAtLeast(checked, make([]byte, 100), len("HTTP/1.1 200 OK\r\n\r\npart"))
		So(err, ShouldBeNil)
		So(read, ShouldEqual, len("HTTP/1.1 200 OK\r\n\r\npart"))
		So(far.(*net.TCPConn).SetLinger(0), ShouldBeNil)
		So(far.Close(), ShouldBeNil)
		// The first write that fails takes the reset away from the read.
		for err = nil; err == nil; time.Sleep(time.Millisecond) {
			_, err = near.Write([]byte("upload"))
		}
		So(refusal(checked), ShouldEqual, ReasonReset)
	})
}

// FuzzHead checks that what a head is taken for does not depend on the pieces in which it arrives.
func FuzzHead(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nA: b\r\n\r\nbody", 3)
	f.Add("HTTP/1.1 102 P\r\n\r\nHTTP/1.0 404\nContent-Length: 1\n\nx", 1)
	f.Add("HTTP/1.1 200 OK\r\n A: b\r\n\r\n", 7)
	f.Fuzz(func(t *testing.T, text string, piece int) {
		var whole, pieces headScanner
		reason := whole.scan([]byte(text))
		var other Reason
		for rest := []byte(text); len(rest) > 0 && other == "" && !pieces.done(); {
			n := min(max(piece, 1), len(rest))
			other = pieces.scan(rest[:n])
			rest = rest[n:]
		}
		if reason != other || whole.done() != pieces.done() || whole.status != pieces.status {
			t.Fatalf("whole: %q %v %d, in pieces: %q %v %d", reason, whole.done(), whole.status, other, pieces.done(), pieces.status)
		}
		if whole.done() && (whole.status < 200 || whole.status > maxStatus) {
			t.Fatalf("status %d was accepted", whole.status)
		}
	})
}
