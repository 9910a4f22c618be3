// Package answercheck checks what other processes send as HTTP/1.1 answers, below and above net/http, which accepts more than the protocol allows.
//
// Guarantees for an answer that RoundTrip returns: its head has a status from 200 to 599, no malformed line and no ambiguous framing, and it was read
// after its request was given to the connection, which carried no earlier request of the same identity. A body without a length ends with io.EOF only
// if the connection was closed in order. Heads of one exchange, interim ones included, take at most MaxHeadBytes, and those of all exchanges
// together a bounded amount beyond the first bytes of each.
package answercheck

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

const (
	// MaxHeadBytes bounds the heads of one exchange.
	MaxHeadBytes = 32 << 10
	// ownHeadBytes is the part of a head that does not count as shared.
	ownHeadBytes = 4 << 10
	// maxSharedHeadBytes bounds the rest of all heads that are being read.
	maxSharedHeadBytes = 8 << 20
)

// Reason is why an answer was refused, as logged and counted.
type Reason string

// The reasons.
const (
	ReasonStatusLine Reason = "malformed status line"
	ReasonStatus     Reason = "status out of range"
	ReasonFieldName  Reason = "malformed field name"
	ReasonFieldValue Reason = "malformed field value"
	ReasonFraming    Reason = "ambiguous framing"
	ReasonHeadSize   Reason = "head too large"
	ReasonNoRoom     Reason = "no room for heads"
	// ReasonUnasked means that the answer came before its request was sent, or was left over from an earlier exchange.
	ReasonUnasked Reason = "answer to no request"
	// ReasonOtherRequest means that the answer names another request than the one it was taken for.
	ReasonOtherRequest Reason = "answer to another request"
	// ReasonReset means that the connection was reset before the end of an answer that ends with its connection.
	ReasonReset Reason = "connection reset"
)

// RefusedError reports an answer that can't be used. The request may have been carried out.
type RefusedError struct{ Reason Reason }

// Error implements error.
func (e *RefusedError) Error() string { return "answercheck: answer refused: " + string(e.Reason) }

// errCarriedBefore reports a connection that has carried a request of the same identity. Nothing was written to it.
var errCarriedBefore = errors.New("answercheck: the connection has carried this request before")

// The identities of calls whose answers name no request.
const (
	// Unnamed calls do not follow another call without a name on a connection: between them comes a request whose answer names it, in whose place a second
	// answer to the earlier call would have shown.
	Unnamed = "unnamed"
	// Snapshot calls may follow any other: they ask for a state, and may get one that is one call old.
	Snapshot = "snapshot"
)

// Checker checks the answers that a process receives. It is safe for concurrent use.
type Checker struct {
	// Refused is told of each refused answer; it may be nil. It must be set before the first call.
	Refused func(address string, reason Reason)
	// shared counts the bytes of heads that are being read, beyond the own ones of each.
	shared atomic.Int64
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a DialFunc whose connections, of type *Conn, are checked.
func (c *Checker) Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return c.Wrap(connection), nil
	}
}

// Wrap returns a checked connection.
func (c *Checker) Wrap(connection net.Conn) *Conn { return &Conn{Conn: connection, checker: c} }

// RoundTrip sends a request by a transport whose connections were made by Dial or Wrap. identity names the request among those that a connection may
// carry: an answer that arrives twice could be taken for that to the same request sent again, so that this is sent on another connection. Unnamed and
// Snapshot stand for calls without an ID; the empty identity allows everything.
func (c *Checker) RoundTrip(transport http.RoundTripper, request *http.Request, identity string) (*http.Response, error) {
	var connection atomic.Pointer[Conn]
	var exchange atomic.Uint64
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		checked, ok := info.Conn.(*Conn)
		if !ok {
			return
		}
		number, ok := checked.begin(identity)
		if !ok {
			// net/http takes another connection, since nothing was written.
			checked.Seal(errCarriedBefore)
		}
		exchange.Store(number)
		connection.Store(checked)
	}}
	ctx := context.WithValue(request.Context(), connectionKey{}, &connection)
	response, err := transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		var refused *RefusedError
		if errors.As(err, &refused) {
			c.report(request.URL.Host, refused.Reason)
		}
		return nil, err
	}
	if used := connection.Load(); used != nil && !used.headRead(exchange.Load()) {
		return nil, c.Refuse(response, ReasonUnasked)
	}
	return response, nil
}

// Refuse closes an answer that can't be used together with its connection, which may carry further answers that belong to no request, and returns the
// error.
func (c *Checker) Refuse(response *http.Response, reason Reason) error {
	if used, ok := connectionOf(response); ok {
		used.Close()
	}
	response.Body.Close()
	host := ""
	if response.Request != nil {
		host = response.Request.URL.Host
	}
	c.report(host, reason)
	return &RefusedError{Reason: reason}
}

// connectionKey is the key of the connection in the context of a request that RoundTrip has sent.
type connectionKey struct{}

func connectionOf(response *http.Response) (*Conn, bool) {
	if response.Request == nil {
		return nil, false
	}
	connection, ok := response.Request.Context().Value(connectionKey{}).(*atomic.Pointer[Conn])
	if !ok || connection.Load() == nil {
		return nil, false
	}
	return connection.Load(), true
}

func (c *Checker) report(address string, reason Reason) {
	if c.Refused != nil {
		c.Refused(address, reason)
	}
}
