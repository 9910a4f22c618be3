package rpc

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/lab/faultproxy"
)

type silentRequest struct{ Wait time.Duration }

type silentReply struct{}

// silentTimeout is the time of calls that are not to be answered: enough to send them on a busy machine.
const silentTimeout = time.Second

// untilSent repeats a call whose time was over before it was sent.
func untilSent(call func() error) error {
	for {
		if err := call(); !errors.Is(err, ErrNotSent) {
			return err
		}
	}
}

// A connection may go silent for good, without a reset and with every byte acknowledged, while new ones work.
func TestSilentConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(log.NewNopLogger())
	// The handler does not heed the time of its call: its answer to one whose time is over could come just before its caller notices.
	stopped := make(chan struct{})
	Handle(server, func(_ context.Context, _ Peer, request silentRequest) (silentReply, error) {
		select {
		case <-time.After(request.Wait):
		case <-stopped:
		}
		return silentReply{}, nil
	})
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(listener)
	}()
	defer func() {
		close(stopped)
		listener.Close()
		server.Close()
		<-served
	}()
	proxy := faultproxy.New(faultproxy.Config{Target: listener.Addr().String()}, log.NewNopLogger())
	if err := proxy.Start(); err != nil {
		t.Fatal(err)
	}
	defer proxy.Stop(context.Background())
	client := NewClient(Peer{Name: "caller"}, nil)
	defer client.Close()
	ask := func(timeout, wait time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		_, err := Call[silentRequest, silentReply](ctx, client, proxy.Address(), silentRequest{Wait: wait})
		return err
	}
	Convey("One call is lost, and the next is served on another connection", t, func() {
		So(ask(time.Minute, 0), ShouldBeNil)
		proxy.Silence()
		So(errors.Is(untilSent(func() error { return ask(silentTimeout, 0) }), ErrLost), ShouldBeTrue)
		So(ask(time.Minute, 0), ShouldBeNil)
	})
	Convey("A call that waits on a connection goes on when another call on it was too slow", t, func() {
		waiting := make(chan error, 1)
		go func() { waiting <- ask(time.Minute, 3*silentTimeout) }()
		So(errors.Is(untilSent(func() error { return ask(silentTimeout, time.Hour) }), ErrLost), ShouldBeTrue)
		So(ask(time.Minute, 0), ShouldBeNil)
		So(<-waiting, ShouldBeNil)
	})
	Convey("A client closes while a call waits on a connection that no new call uses, and after that call was given up", t, func() {
		for _, givenUp := range []bool{false, true} {
			short := NewClient(Peer{Name: "caller"}, nil)
			ctx, cancel := context.WithCancel(context.Background())
			// The proxy silences the connections that it carries already.
			_, err := Call[silentRequest, silentReply](ctx, short, proxy.Address(), silentRequest{})
			So(err, ShouldBeNil)
			waiting := make(chan error, 1)
			go func() {
				_, err := Call[silentRequest, silentReply](ctx, short, proxy.Address(), silentRequest{Wait: time.Hour})
				waiting <- err
			}()
			for !waits(short) {
				time.Sleep(time.Millisecond)
			}
			proxy.Silence()
			err = untilSent(func() error {
				limited, stop := context.WithTimeout(context.Background(), silentTimeout)
				defer stop()
				_, err := Call[silentRequest, silentReply](limited, short, proxy.Address(), silentRequest{})
				return err
			})
			So(errors.Is(err, ErrLost), ShouldBeTrue)
			if givenUp {
				cancel()
				So(errors.Is(<-waiting, ErrLost), ShouldBeTrue)
			}
			closed := make(chan struct{})
			go func() {
				short.Close()
				close(closed)
			}()
			select {
			case <-closed:
			case <-time.After(time.Minute):
				t.Fatal("the client does not close")
			}
			if !givenUp {
				So(errors.Is(<-waiting, ErrLost), ShouldBeTrue)
			}
			cancel()
		}
	})
}

// waits reports whether a call waits for its reply.
func waits(client *Client) bool {
	client.mu.Lock()
	defer client.mu.Unlock()
	for _, l := range client.links {
		l.mu.Lock()
		waiting := len(l.pending)
		l.mu.Unlock()
		if waiting > 0 {
			return true
		}
	}
	return false
}
