package coldstart

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/routing"
	"github.com/covelink/covelink/internal/rpc"
)

func TestCalls(t *testing.T) {
	Convey("Grants are requested over a connection, and a process that is not the coordinator says so", t, func() {
		limiter := NewLimiter(LimiterParams{
			Rate: func(string) float64 { return 14 }, LeaseConfirmedAt: boottime.Now, Logger: log.NewNopLogger(),
			Now: boottime.Now,
		})
		server := rpc.NewServer(log.NewNopLogger())
		Register(server, limiter)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		go server.Serve(listener)
		defer server.Close()
		defer listener.Close()
		client := rpc.NewClient(rpc.Peer{Name: "gateway"}, nil)
		defer client.Close()
		request := Request{Service: "s", Engines: []string{"a"}, Rank: routing.Rank{Tenant: 1, Route: 2}, Wait: time.Second}
		reply, err := Ask(context.Background(), client, listener.Addr().String(), request)
		So(err, ShouldBeNil)
		So(reply, ShouldResemble, Reply{})
		limiter.beginTerm()
		// Skips the start delay of the term.
		limiter.grantsFrom = boottime.Now()
		answered := make(chan struct{})
		go func() {
			defer close(answered)
			<-limiter.wake
			limiter.serve()
		}()
		reply, err = Ask(context.Background(), client, listener.Addr().String(), request)
		So(err, ShouldBeNil)
		So(reply.Leading, ShouldBeTrue)
		So(reply.Engine, ShouldEqual, "a")
		<-answered
	})
}
