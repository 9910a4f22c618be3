// Package forward sends an opaque request to an engine of its service, and retries on another engine where the route permits, within the route's
// attempts and the caller's deadline. The result states whether the request was executed.
package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/quarantine"
)

// Request is a caller's request, which engines receive unaltered.
type Request struct {
	// ID identifies this attempt of the caller.
	ID     string
	Method string
	Host   string
	// Target is the path with the query, as received.
	Target string
	// Header holds the end-to-end header fields.
	Header http.Header
	Body   []byte
	// Tenant is the tenant of the request; empty for none. It is passed to the engine and overrides the header.
	Tenant string
	// QueueTimeout is how long the request may queue for a full service; zero for the default of interactive requests, queueTimeoutShare of the
	// route's latency objective.
	QueueTimeout time.Duration
	// Arrived is the boottime of the caller's first attempt, which orders queued requests of one rank; zero for now.
	Arrived time.Time
	// Repeated is true if an earlier call of Do sent the request to an engine: all its sends count as retries.
	Repeated bool
	// Memory grants room for the response while it is buffered; nil grants it always.
	Memory Memory
	// BodyUnused means that the body of the response is read to its end, up to maxUnusedBytes, and dropped.
	BodyUnused bool
	// Deferred is true for work that is owed however many engines crash while they run it.
	Deferred bool
}

// Memory grants room for bytes that are buffered for a caller.
type Memory interface {
	// Grow returns false if there is no room for more bytes.
	Grow(bytes int64) bool
	// Release gives room back.
	Release(bytes int64)
}

// Fingerprint identifies the request across all attempts of its caller.
func (r *Request) Fingerprint() quarantine.Fingerprint {
	return quarantine.FingerprintOf(r.Tenant, r.Method, r.Host, r.Target, r.Body)
}

// SendOptions are the parameters of one attempt.
type SendOptions struct {
	// TimeLeft is the time that the engine may take; zero for no limit.
	TimeLeft time.Duration
	// LeaveBy is the boottime by which the request must leave; after it nothing is sent, and the error wraps ErrNotSent. Zero for no
	// deadline.
	LeaveBy time.Time
	// Assigned is true if another process has chosen the engine, which may not be on this process's list yet.
	Assigned bool
	// NoReplay is true if the request must not reach the engine twice: once a byte of it was sent, the transport uses no other connection.
	NoReplay bool
	// Resume continues a stream after the event LastEventID.
	Resume      bool
	LastEventID int64
}

// Answer is the head of an engine's response. The caller must close Body.
type Answer struct {
	Status int
	// NotRun is true if the engine reports that it has not executed the request and never will.
	NotRun bool
	// Misdirected is true if the address belongs to another engine; NotRun is then true as well.
	Misdirected bool
	// Valid is true if the response bears the engine's signature and has unencoded content.
	Valid bool
	// Signature is the engine's signature of its response.
	Signature string
	// WeightVersion is the weight version at the start of the response; zero if not reported.
	WeightVersion int64
	// VersionField is the name of the event field that announces a change of the weight version.
	VersionField string
	Header       http.Header
	Body         io.ReadCloser
	// UntilClose is true if the body has no length of its own and ends with its connection.
	UntilClose bool
}

var (
	// ErrNotSent reports an attempt of which no byte was sent: the engine has not executed the request.
	ErrNotSent = errors.New("forward: request not sent to engine")
	// ErrLost reports an attempt without a usable response: the engine may have executed the request.
	ErrLost = errors.New("forward: no usable response from engine")
	// ErrConnectionBroken is an ErrLost whose connection broke before the response was complete: the engine may have ended.
	ErrConnectionBroken = fmt.Errorf("%w: connection broken before the response was complete", ErrLost)
)

// Transport makes one attempt at an engine. Its errors wrap ErrNotSent, ErrLost or ErrConnectionBroken. The end of ctx aborts the attempt,
// the response body included.
type Transport interface {
	Send(ctx context.Context, engine *fleet.Engine, request *Request, options SendOptions) (*Answer, error)
}
