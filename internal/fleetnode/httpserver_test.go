package fleetnode

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/intake"
	"github.com/covelink/covelink/internal/routing"
	"github.com/covelink/covelink/internal/settings"
)

// statusOf sends a request whose head has a field of some length, and returns the status of the answer.
func statusOf(connection net.Conn, field int) int {
	So(connection.SetDeadline(time.Now().Add(time.Minute)), ShouldBeNil)
	_, err := fmt.Fprintf(connection, "GET / HTTP/1.1\r\nHost: x\r\nLong: %s\r\n\r\n", strings.Repeat("h", field))
	So(err, ShouldBeNil)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	So(err, ShouldBeNil)
	response.Body.Close()
	return response.StatusCode
}

func TestLimitsOfConfiguration(t *testing.T) {
	const small, large = 4 << 10, 32 << 10
	var limit atomic.Int64
	limit.Store(small)
	options := listenerOptions{
		pool: intake.NewPool(intake.Params{MaxBytes: 8 << 20, MaxConnections: func() int { return 10 }, Logger: log.NewNopLogger()}),
		limits: func() routing.Limits {
			return routing.Limits{MaxHeaderBytes: int(limit.Load()), HeaderTimeout: time.Minute, IdleTimeout: time.Minute}
		},
	}
	server, err := listenHTTP(t.Context(), "127.0.0.1:0", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), options, log.NewNopLogger())
	if err != nil {
		t.Fatal(err)
	}
	go server.serve()
	t.Cleanup(server.close)
	Convey("Heads are bounded by the limit in force when their connection was accepted", t, func() {
		dial := func() net.Conn {
			connection, err := net.Dial("tcp", server.listener.Addr().String())
			So(err, ShouldBeNil)
			Reset(func() { connection.Close() })
			return connection
		}
		const between = 16 << 10
		kept := dial()
		So(statusOf(kept, 0), ShouldEqual, http.StatusOK)
		So(statusOf(dial(), between), ShouldEqual, http.StatusRequestHeaderFieldsTooLarge)
		limit.Store(large)
		So(statusOf(dial(), between), ShouldEqual, http.StatusOK)
		So(statusOf(kept, 0), ShouldEqual, http.StatusOK)
		limit.Store(small)
		So(statusOf(dial(), between), ShouldEqual, http.StatusRequestHeaderFieldsTooLarge)
		So(server.servers, ShouldHaveLength, 2)
	})
}

// Guards against a stop in which the servers of different limits shut down one after another: connections of the later ones stayed open, and short
// requests on them were cut at the end.
func TestStopClosesIdleConnectionsOfAllLimits(t *testing.T) {
	var limit atomic.Int64
	limit.Store(4 << 10)
	options := listenerOptions{
		pool: intake.NewPool(intake.Params{MaxBytes: 8 << 20, MaxConnections: func() int { return 10 }, Logger: log.NewNopLogger()}),
		limits: func() routing.Limits {
			return routing.Limits{MaxHeaderBytes: int(limit.Load()), HeaderTimeout: time.Minute, IdleTimeout: time.Minute}
		},
	}
	release := make(chan struct{})
	begun := make(chan struct{})
	handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			close(begun)
			<-release
		}
	})
	server, err := listenHTTP(t.Context(), "127.0.0.1:0", handler, options, log.NewNopLogger())
	if err != nil {
		t.Fatal(err)
	}
	go server.serve()
	t.Cleanup(server.close)
	Convey("Idle connections are closed although a request of a server with other limits goes on", t, func() {
		dial := func() net.Conn {
			connection, err := net.Dial("tcp", server.listener.Addr().String())
			So(err, ShouldBeNil)
			Reset(func() { connection.Close() })
			return connection
		}
		long := dial()
		_, err := fmt.Fprint(long, "GET /long HTTP/1.1\r\nHost: x\r\n\r\n")
		So(err, ShouldBeNil)
		<-begun
		var idle []net.Conn
		for range 3 {
			limit.Add(1)
			connection := dial()
			So(statusOf(connection, 0), ShouldEqual, http.StatusOK)
			idle = append(idle, connection)
		}
		drained := make(chan error)
		go func() { drained <- server.drain(t.Context()) }()
		for _, connection := range idle {
			So(connection.SetReadDeadline(time.Now().Add(20*time.Second)), ShouldBeNil)
			_, err := connection.Read(make([]byte, 1))
			So(err, ShouldEqual, io.EOF)
		}
		close(release)
		response, err := http.ReadResponse(bufio.NewReader(long), nil)
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, http.StatusOK)
		So(<-drained, ShouldBeNil)
	})
}

func TestCallerLimits(t *testing.T) {
	Convey("What callers may hold follows from the memory of the process, and from the settings if that is not known", t, func() {
		config := settings.DefaultFleet()
		So(callerMemory(config), ShouldEqual, 256<<20)
		config.Node.MemoryMegabytes = 160
		So(callerMemory(config), ShouldBeLessThan, 160<<20*7/10)
		limits := callerLimitsOf(config)
		So(limits.bytes+int64(limits.connections)*connectionBytes, ShouldBeLessThanOrEqualTo, callerMemory(config))
		So(limits.maxConnections(), ShouldBeBetweenOrEqual, 1, limits.connections)
		config.Node.MemoryMegabytes = 1
		So(callerMemory(config), ShouldEqual, minCallerBytes)
	})
}
