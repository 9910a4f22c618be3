package rpc

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"

	v1 "github.com/covelink/covelink/api/v1"
)

const (
	testLimit = 64 << 10
	waitLimit = 20 * time.Second
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type echoRequest struct {
	Text string
	Fill int
}

type echoResponse struct {
	Text string
	Peer Peer
}

type unhandledRequest struct{ Text string }

type blockRequest struct{ Deadline bool }

type blockResponse struct{}

// node is a server on a loopback port with a client for it.
type node struct {
	server  *Server
	client  *Client
	address string
	entered chan context.Context // the contexts of blocked handlers
	release chan struct{}
}

func echo(_ context.Context, peer Peer, request echoRequest) (echoResponse, error) {
	if request.Text == "fail" {
		return echoResponse{}, v1.NotRun(v1.CodeOverloaded, time.Second, "full")
	}
	return echoResponse{Text: request.Text + string(bytes.Repeat([]byte("x"), request.Fill)), Peer: peer}, nil
}

func (n *node) block(ctx context.Context, _ Peer, _ blockRequest) (blockResponse, error) {
	n.entered <- ctx
	select {
	case <-n.release:
		return blockResponse{}, nil
	case <-ctx.Done():
		return blockResponse{}, ctx.Err()
	}
}

func newNode(change func(*Server)) *node {
	n := &node{
		server:  NewServer(log.NewNopLogger()),
		client:  NewClient(Peer{Name: "caller", Zone: "zone-1"}, nil),
		entered: make(chan context.Context, 100),
		release: make(chan struct{}),
	}
	n.server.MaxFrameBytes = testLimit
	n.client.MaxFrameBytes = testLimit
	if change != nil {
		change(n.server)
	}
	Handle(n.server, echo)
	Handle(n.server, n.block)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	n.address = listener.Addr().String()
	served := make(chan error, 1)
	go func() { served <- n.server.Serve(listener) }()
	Reset(func() {
		n.client.Close()
		listener.Close()
		n.server.Close()
		So(<-served, ShouldBeNil)
	})
	return n
}

func (n *node) echo(text string) (echoResponse, error) {
	return Call[echoRequest, echoResponse](context.Background(), n.client, n.address, echoRequest{Text: text})
}

func (n *node) blocked(ctx context.Context) chan error {
	done := make(chan error, 1)
	go func() {
		_, err := Call[blockRequest, blockResponse](ctx, n.client, n.address, blockRequest{})
		done <- err
	}()
	return done
}

func TestCall(t *testing.T) {
	Convey("A call", t, func() {
		n := newNode(nil)
		ctx := context.Background()

		Convey("is answered, under the caller's name", func() {
			got, err := n.echo("hello")
			So(err, ShouldBeNil)
			So(got, ShouldResemble, echoResponse{Text: "hello", Peer: Peer{Name: "caller", Zone: "zone-1"}})
		})
		Convey("that the handler refuses returns its typed error", func() {
			_, err := n.echo("fail")
			var typed *v1.Error
			So(errors.As(err, &typed), ShouldBeTrue)
			So(*typed, ShouldResemble, *v1.NotRun(v1.CodeOverloaded, time.Second, "full"))
		})
		Convey("of an unknown method leaves the connection usable", func() {
			_, err := Call[unhandledRequest, echoResponse](ctx, n.client, n.address, unhandledRequest{Text: "x"})
			var typed *v1.Error
			So(errors.As(err, &typed), ShouldBeTrue)
			So(typed.Code, ShouldEqual, v1.CodeNotFound)
			got, err := n.echo("after")
			So(err, ShouldBeNil)
			So(got.Text, ShouldEqual, "after")
		})
		Convey("too large is not sent and costs no other call its connection", func() {
			waiting := n.blocked(ctx)
			<-n.entered
			_, err := n.echo(string(make([]byte, testLimit+1)))
			So(errors.Is(err, ErrNotSent), ShouldBeTrue)
			So(errors.Is(err, ErrFrameTooLarge), ShouldBeTrue)
			got, err := n.echo("after")
			So(err, ShouldBeNil)
			So(got.Text, ShouldEqual, "after")
			close(n.release)
			So(<-waiting, ShouldBeNil)
		})
		Convey("whose reply is too large is told so, and the connection goes on", func() {
			for range 2 {
				_, err := Call[echoRequest, echoResponse](ctx, n.client, n.address, echoRequest{Fill: testLimit})
				var typed *v1.Error
				So(errors.As(err, &typed), ShouldBeTrue)
				So(typed.Outcome, ShouldEqual, v1.OutcomeUnknown)
				_, err = n.echo("after")
				So(err, ShouldBeNil)
			}
		})
		Convey("passes its deadline and its cancel on to the handler", func() {
			bounded, cancel := context.WithTimeout(ctx, time.Hour)
			waiting := n.blocked(bounded)
			handler := <-n.entered
			deadline, ok := handler.Deadline()
			So(ok, ShouldBeTrue)
			So(time.Until(deadline), ShouldBeBetween, 59*time.Minute, time.Hour)
			cancel()
			err := <-waiting
			So(errors.Is(err, ErrLost), ShouldBeTrue)
			So(errors.Is(err, context.Canceled), ShouldBeTrue)
			select {
			case <-handler.Done():
			case <-time.After(waitLimit):
				So("the handler's context ends", ShouldBeBlank)
			}
		})
		Convey("whose time is over is not sent", func() {
			_, err := n.echo("open the connection")
			So(err, ShouldBeNil)
			past, cancel := context.WithDeadline(ctx, time.Now().Add(-time.Second))
			defer cancel()
			So(errors.Is(<-n.blocked(past), ErrNotSent), ShouldBeTrue)
		})
		Convey("can be made by many at once", func() {
			var wrong atomic.Int64
			var callers sync.WaitGroup
			for index := range 200 {
				callers.Go(func() {
					text := string(rune('a' + index))
					if got, err := n.echo(text); err != nil || got.Text != text {
						wrong.Add(1)
					}
				})
			}
			callers.Wait()
			So(wrong.Load(), ShouldEqual, 0)
		})
		Convey("in flight is waited for by a drain and lost by a close", func() {
			waiting := n.blocked(ctx)
			<-n.entered
			over, cancel := context.WithCancel(ctx)
			cancel()
			So(n.server.Drain(over), ShouldEqual, context.Canceled)
			drained := make(chan error, 1)
			go func() { drained <- n.server.Drain(ctx) }()
			close(n.release)
			So(<-waiting, ShouldBeNil)
			So(<-drained, ShouldBeNil)

			n.release = make(chan struct{})
			waiting = n.blocked(ctx)
			<-n.entered
			n.client.Close()
			So(errors.Is(<-waiting, ErrLost), ShouldBeTrue)
			_, err := n.echo("closed")
			So(errors.Is(err, ErrNotSent), ShouldBeTrue)
		})
	})
	Convey("Above the concurrency of a connection a call is refused as not run, and a close still ends all", t, func() {
		n := newNode(func(s *Server) { s.MaxConcurrency = 1 })
		waiting := n.blocked(context.Background())
		<-n.entered
		_, err := n.echo("second")
		var typed *v1.Error
		So(errors.As(err, &typed), ShouldBeTrue)
		So(typed.Outcome, ShouldEqual, v1.OutcomeNotRun)
		n.server.Close()
		So(errors.Is(<-waiting, ErrLost), ShouldBeTrue)
	})
}

// scripted serves one connection with the function.
func scripted(serve func(net.Conn)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	done := make(chan struct{})
	go func() {
		defer close(done)
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		serve(conn)
	}()
	Reset(func() {
		listener.Close()
		<-done
	})
	return listener.Addr().String()
}

// cutConn is a connection that fails after a number of bytes more.
type cutConn struct {
	net.Conn
	mu      sync.Mutex
	isCut   bool
	allowed int
}

func (c *cutConn) cut(allowed int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isCut, c.allowed = true, allowed
}

func (c *cutConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isCut {
		return c.Conn.Write(p)
	}
	written, err := c.Conn.Write(p[:min(c.allowed, len(p))])
	if err == nil {
		err = net.ErrClosed
	}
	return written, err
}

func TestFate(t *testing.T) {
	Convey("The error tells whether a request may have been received", t, func() {
		client := NewClient(Peer{Name: "caller"}, nil)
		Reset(client.Close)
		call := func(address string) error {
			_, err := Call[echoRequest, echoResponse](context.Background(), client, address, echoRequest{Text: "x"})
			return err
		}
		Convey("not sent when the dial is refused", func() {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			So(err, ShouldBeNil)
			listener.Close()
			So(errors.Is(call(listener.Addr().String()), ErrNotSent), ShouldBeTrue)
		})
		Convey("lost when the connection is cut before the reply, the reply is cut in mid-frame, or is garbage", func() {
			for _, answer := range [][]byte{nil, {0, 0, 1, 0, 9, 9}, {0xff, 0xff, 0xff, 0xff}, {0, 0, 0, 2, 0xf8, 0xff}} {
				address := scripted(func(conn net.Conn) {
					reader := newFrameReader(conn, testLimit)
					io.ReadFull(conn, make([]byte, len(preamble)))
					for range 2 { // the hello and the request
						reader.next()
						reader.body(nil)
					}
					conn.Write(answer)
				})
				err := call(address)
				So(errors.Is(err, ErrLost), ShouldBeTrue)
				So(errors.Is(err, ErrNotSent), ShouldBeFalse)
			}
		})
		Convey("not sent when no byte of the request could be written, lost when some were", func() {
			for allowed, want := range map[int]error{0: ErrNotSent, 1: ErrLost} {
				n := newNode(nil)
				var conn *cutConn
				n.client.dial = func(ctx context.Context, address string) (net.Conn, error) {
					inner, err := DialTCP(ctx, address)
					conn = &cutConn{Conn: inner}
					return conn, err
				}
				_, err := n.echo("whole")
				So(err, ShouldBeNil)
				conn.cut(allowed)
				_, err = n.echo("cut")
				So(errors.Is(err, want), ShouldBeTrue)
			}
		})
		Convey("the next call opens a new connection", func() {
			n := newNode(nil)
			_, err := n.echo("first")
			So(err, ShouldBeNil)
			n.client.mu.Lock()
			n.client.links[n.address].conn.Close()
			n.client.mu.Unlock()
			deadline := time.Now().Add(waitLimit)
			for time.Now().Before(deadline) {
				if _, err = n.echo("again"); err == nil {
					break
				}
			}
			So(err, ShouldBeNil)
		})
	})
}

func TestPeerThatReadsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A peer that reads nothing holds a caller up no longer than its own time and one write", t, func() {
			near, far := net.Pipe()
			client := NewClient(Peer{Name: "caller"}, func(context.Context, string) (net.Conn, error) { return near, nil })
			go func() {
				io.CopyN(io.Discard, far, int64(len(preamble)))
				reader := newFrameReader(far, testLimit)
				reader.next()
			}()
			const patience = 50 * time.Millisecond
			start := time.Now()
			spent := make(chan time.Duration, 8)
			for range cap(spent) {
				go func() {
					ctx, cancel := context.WithTimeout(context.Background(), patience)
					defer cancel()
					_, err := Call[echoRequest, echoResponse](ctx, client, "peer", echoRequest{Text: "x"})
					if errors.Is(err, ErrNotSent) {
						spent <- time.Since(start)
						return
					}
					spent <- -1
				}()
			}
			for range cap(spent) - 1 {
				So(<-spent, ShouldEqual, patience)
			}
			So(<-spent, ShouldEqual, writeTimeout)
			client.Close()
			far.Close()
		})
	})
}
