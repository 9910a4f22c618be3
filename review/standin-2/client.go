package main

import (
	"bufio"
	"bytes"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// clientConn is a client's connection to a gateway, kept for many requests.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
}

// connectTimeout is what a new connection is given to come up.
const connectTimeout = time.Second

func connect(address string) (*clientConn, error) {
	conn, err := net.DialTimeout("tcp", address, connectTimeout)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// call is a client's request. Its method is POST unless another is set.
type call struct {
	method   string
	id, path string
	deadline time.Duration
	body     []byte
}

// reply is what a client has seen of the answer to a call.
type reply struct {
	status int
	header http.Header
	body   []byte
	// whole is true if the answer was complete, and close if the connection must not be used again.
	whole, close bool
	err          error
}

// retryAfter returns what the answer says of when to come back.
func (r reply) retryAfter() time.Duration {
	seconds, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// promised reports whether the answer promises that the request has not run and never will.
func (r reply) promised() bool {
	switch r.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// do sends a call and reads its answer.
func (c *clientConn) do(request call) reply {
	var out bytes.Buffer
	fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: %s\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n", cmp.Or(request.method, http.MethodPost), request.path, host,
		request.deadline.Milliseconds(), len(request.body))
	if request.id != "" {
		fmt.Fprintf(&out, "Attempt-Id: %s\r\n", request.id)
	}
	out.WriteString("\r\n")
	out.Write(request.body)
	// The client waits a little beyond its deadline for the final answer.
	if err := c.SetDeadline(time.Now().Add(request.deadline + time.Second)); err != nil {
		return reply{err: err, close: true}
	}
	if _, err := c.Write(out.Bytes()); err != nil {
		return reply{err: err, close: true}
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return reply{err: err, close: true}
	}
	defer response.Body.Close()
	got := reply{status: response.StatusCode, header: response.Header, close: response.Close}
	got.body, got.err = io.ReadAll(response.Body)
	got.whole = got.err == nil
	got.close = got.close || got.err != nil
	return got
}
