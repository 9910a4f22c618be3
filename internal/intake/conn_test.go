package intake

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"
)

// poolListener admits the connections of a listener to a pool.
type poolListener struct {
	net.Listener
	pool     *Pool
	timeouts Timeouts
}

func (l poolListener) Accept() (net.Conn, error) {
	for {
		connection, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c, ok := l.pool.Admit(connection, l.timeouts); ok {
			return c, nil
		}
	}
}

// serve starts a server whose connections belong to a pool.
func serve(t *testing.T, bytes int64, timeouts Timeouts, handler http.HandlerFunc) (*httptest.Server, *Pool) {
	t.Helper()
	pool := NewPool(Params{MaxBytes: bytes, MaxConnections: func() int { return 100 }, Logger: log.NewNopLogger()})
	server := httptest.NewUnstartedServer(Handler(handler))
	server.Config.ConnContext = ConnContext
	server.Config.IdleTimeout = timeouts.Idle
	server.Config.ReadHeaderTimeout = timeouts.Header
	server.Listener = poolListener{Listener: server.Listener, pool: pool, timeouts: timeouts}
	server.Start()
	t.Cleanup(server.Close)
	return server, pool
}

const generous = time.Minute

// readWhole answers with the status of what became of the body.
func readWhole(limit int64, within time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c := FromContext(r.Context())
		err := c.Receive(time.Now().Add(within), func() error {
			body, err := c.ReadBody(r.Body, r.ContentLength, limit)
			if err == nil {
				w.Header().Set("Received", fmt.Sprint(len(body)))
			}
			return err
		})
		if err == nil {
			return
		}
		w.Header().Set("Connection", "close")
		switch {
		case errors.Is(err, ErrTooLarge):
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		case errors.Is(err, ErrNoRoom):
			w.WriteHeader(http.StatusServiceUnavailable)
		case errors.Is(err, ErrTimeout):
			w.WriteHeader(http.StatusRequestTimeout)
		default:
			w.WriteHeader(http.StatusBadRequest)
		}
	}
}

func TestBodies(t *testing.T) {
	const limit = 1 << 20
	// The least room in which a body of the largest size must be received.
	room := bufferPeak(limit)*(reservedShare+1)/reservedShare + smallBytes
	server, pool := serve(t, room, Timeouts{Header: generous, Idle: generous}, readWhole(limit, generous))
	post := func(body io.Reader) *http.Response {
		response, err := http.Post(server.URL, "", body)
		So(err, ShouldBeNil)
		response.Body.Close()
		return response
	}
	Convey("Bodies up to the limit are received, with a length and in chunks, and their room is given back", t, func() {
		for _, size := range []int{0, 1, 4095, 4096, 4097, 100000, limit} {
			content := bytes.Repeat([]byte("x"), size)
			So(post(bytes.NewReader(content)).Header.Get("Received"), ShouldEqual, fmt.Sprint(size))
			So(post(io.MultiReader(bytes.NewReader(content))).Header.Get("Received"), ShouldEqual, fmt.Sprint(size))
		}
		awaitEmpty(pool)
	})
	Convey("Bodies above the limit are refused", t, func() {
		content := strings.Repeat("x", limit+1)
		So(post(strings.NewReader(content)).StatusCode, ShouldEqual, http.StatusRequestEntityTooLarge)
		So(post(io.MultiReader(strings.NewReader(content))).StatusCode, ShouldEqual, http.StatusRequestEntityTooLarge)
		awaitEmpty(pool)
	})
}

// awaitEmpty waits until no connection holds room.
func awaitEmpty(pool *Pool) {
	deadline := time.Now().Add(generous)
	for {
		_, held := pool.Usage()
		if held == 0 {
			return
		}
		if time.Now().After(deadline) {
			So(held, ShouldEqual, 0)
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// raw sends bytes on a connection of its own and returns the status line of the answer; empty if the connection was closed without one.
func raw(server *httptest.Server, request string) string {
	connection, err := net.Dial("tcp", server.Listener.Addr().String())
	So(err, ShouldBeNil)
	defer connection.Close()
	_, err = io.WriteString(connection, request)
	So(err, ShouldBeNil)
	So(connection.SetReadDeadline(time.Now().Add(generous)), ShouldBeNil)
	answer, err := io.ReadAll(connection)
	var timeout net.Error
	So(errors.As(err, &timeout) && timeout.Timeout(), ShouldBeFalse)
	line, _, _ := strings.Cut(string(answer), "\r\n")
	return line
}

func TestLateBodies(t *testing.T) {
	server, pool := serve(t, 8<<20, Timeouts{Header: generous, Idle: generous}, readWhole(1<<20, time.Millisecond))
	Convey("A body that does not arrive in time is refused as not received, and the connection is closed", t, func() {
		line := raw(server, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nshort")
		So(line, ShouldEqual, "HTTP/1.1 408 Request Timeout")
		awaitEmpty(pool)
	})
}

func TestBodiesWithoutRoom(t *testing.T) {
	const room = 1 << 20
	server, _ := serve(t, room, Timeouts{Header: generous, Idle: generous}, readWhole(8<<20, generous))
	Convey("A body whose announced length cannot find room is refused before it is sent", t, func() {
		line := raw(server, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4194304\r\n\r\n")
		So(line, ShouldEqual, "HTTP/1.1 503 Service Unavailable")
	})
}

func TestTimeouts(t *testing.T) {
	const short = 10 * time.Millisecond
	Convey("A head that does not end is given up", t, func() {
		server, _ := serve(t, 1<<20, Timeouts{Header: short, Idle: generous}, func(http.ResponseWriter, *http.Request) {})
		So(raw(server, "GET / HTTP/1.1\r\nHost: x\r\n"), ShouldBeEmpty)
	})
	Convey("A connection that says nothing is closed after the idle timeout, and not after that of heads", t, func() {
		server, _ := serve(t, 1<<20, Timeouts{Header: generous, Idle: short}, func(http.ResponseWriter, *http.Request) {})
		So(raw(server, ""), ShouldBeEmpty)
	})
	Convey("A client that reads nothing of its answer is given up", t, func() {
		ended := make(chan error, 1)
		server, _ := serve(t, 1<<20, Timeouts{Header: generous, Idle: short}, func(w http.ResponseWriter, _ *http.Request) {
			var err error
			for piece := make([]byte, 1<<20); err == nil; {
				_, err = w.Write(piece)
			}
			ended <- err
		})
		connection, err := net.Dial("tcp", server.Listener.Addr().String())
		So(err, ShouldBeNil)
		defer connection.Close()
		_, err = io.WriteString(connection, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		So(err, ShouldBeNil)
		select {
		case err := <-ended:
			So(err, ShouldNotBeNil)
		case <-time.After(generous):
			So("the answer is still being sent", ShouldBeEmpty)
		}
	})
}

func TestFromContext(t *testing.T) {
	Convey("Without a pool there is room for everything", t, func() {
		c := FromContext(context.Background())
		So(c, ShouldBeNil)
		So(c.Grow(1<<40), ShouldBeTrue)
		c.Release(1 << 40)
		body, err := c.ReadBody(strings.NewReader("body"), -1, 10)
		So(err, ShouldBeNil)
		So(string(body), ShouldEqual, "body")
	})
}
