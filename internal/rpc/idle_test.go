package rpc

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// connections returns how many connections a server has.
func (s *Server) connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// awaitConnections waits until the server has that many connections, and calls a function meanwhile.
func awaitConnections(server *Server, count int, meanwhile func()) {
	for deadline := time.Now().Add(waitLimit); server.connections() != count && time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		meanwhile()
	}
	So(server.connections(), ShouldEqual, count)
}

// A process that everybody had called once kept a connection of each, which grew with the fleet.
func TestIdleConnections(t *testing.T) {
	Convey("A connection without calls is closed, one with calls is not, and the next call opens another", t, func() {
		once, often := newNode(nil), newNode(nil)
		once.client.IdleTime = 50 * time.Millisecond
		call := func(address string) {
			_, err := Call[echoRequest, echoResponse](context.Background(), once.client, address, echoRequest{Text: "a"})
			So(err, ShouldBeNil)
		}
		call(once.address)
		awaitConnections(once.server, 1, func() {})
		awaitConnections(once.server, 0, func() { call(often.address) })
		So(often.server.connections(), ShouldEqual, 1)
		call(once.address)
		awaitConnections(once.server, 1, func() {})
	})
	Convey("A call that waits longer than the idle time keeps its connection", t, func() {
		n, other := newNode(nil), newNode(nil)
		n.client.IdleTime = 20 * time.Millisecond
		answered := make(chan error, 1)
		go func() {
			_, err := Call[blockRequest, blockResponse](context.Background(), n.client, n.address, blockRequest{})
			answered <- err
		}()
		<-n.entered
		for range 20 {
			_, err := Call[echoRequest, echoResponse](context.Background(), n.client, other.address, echoRequest{Text: "a"})
			So(err, ShouldBeNil)
			time.Sleep(5 * time.Millisecond)
		}
		close(n.release)
		So(<-answered, ShouldBeNil)
	})
}
