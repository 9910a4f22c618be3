package rpc

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"
)

// Connections that say nothing could take all descriptors of a process.
func TestConnectionsWithoutGreeting(t *testing.T) {
	const bound = 3
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(log.NewNopLogger())
	server.MaxGreetings = func() int { return bound }
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(listener)
	}()
	defer func() {
		listener.Close()
		server.Close()
		<-served
	}()
	Convey("Of connections that say nothing the oldest gives way", t, func() {
		var conns []net.Conn
		for range bound + 1 {
			connection, err := net.Dial("tcp", listener.Addr().String())
			So(err, ShouldBeNil)
			defer connection.Close()
			conns = append(conns, connection)
		}
		// Shorter than the time in which a peer must name itself.
		So(conns[0].SetReadDeadline(time.Now().Add(helloTimeout/2)), ShouldBeNil)
		_, err := conns[0].Read(make([]byte, 1))
		So(err, ShouldEqual, io.EOF)
	})
}
