// Package forward sends one opaque request to an engine of its service, and to another where the first attempt may be
// repeated, within the route's attempts and the caller's deadline. Its result says whether the request was executed.
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

// Request is what a caller sent, for an engine to get unaltered.
type Request struct {
	// ID is the caller's name for this attempt of its own.
	ID     string
	Method string
	Host   string
	// Target is the path with the query, as it came.
	Target string
	// Header holds the end-to-end fields.
	Header http.Header
	Body   []byte
	// Tenant names on whose behalf the request is made; empty for nobody's. The engine is told it, whatever the header says.
	Tenant string
	// Patience is how long the request may wait for a full service; zero for waitShare of its route's latency objective, as lookups wait.
	Patience time.Duration
	// Arrived is the moment of boottime of the caller's first try, by which waiting requests of one rank are ordered; zero for now.
	Arrived time.Time
	// Repeated is true if an engine was sent the request in an earlier call of Do: all its sends are retries then.
	Repeated bool
}

// Fingerprint identifies the request among all attempts of its caller.
func (r *Request) Fingerprint() quarantine.Fingerprint {
	return quarantine.FingerprintOf(r.Tenant, r.Method, r.Host, r.Target, r.Body)
}

// SendOptions are what the system adds to an attempt.
type SendOptions struct {
	// TimeLeft is what the engine may take; zero sets no bound.
	TimeLeft time.Duration
	// LeaveBy is the moment of boottime by which the request must leave; after it nothing is sent, and the error wraps ErrNotSent. Zero sets
	// no bound.
	LeaveBy time.Time
	// Once is true if the request must not reach the engine twice: the transport sends it on no other connection once a byte of it has left.
	Once bool
	// Resume continues a stream after the event LastEventID.
	Resume      bool
	LastEventID int64
}

// Answer is the head of an engine's answer. Body must be closed.
type Answer struct {
	Status int
	// NotRun is true if the engine says that it has not executed the request and never will.
	NotRun bool
	// Misdirected is true if the address belongs to another engine; NotRun is true as well.
	Misdirected bool
	// Valid is true if the answer bears the engine's signature and plain content.
	Valid bool
	// Signature is the engine's mark on its answer.
	Signature string
	// WeightVersion is the version that the answer begins with; zero if it is not told.
	WeightVersion int64
	// VersionField is the name of the field of an event at which the weight version changes.
	VersionField string
	Header       http.Header
	Body         io.ReadCloser
}

var (
	// ErrNotSent reports an attempt of which no byte left: the engine has not executed the request.
	ErrNotSent = errors.New("forward: not sent")
	// ErrLost reports an attempt without an answer that can be used: the engine may have executed the request.
	ErrLost = errors.New("forward: answer lost")
	// ErrBroken is an ErrLost whose connection broke before the answer was whole: the engine may have ended.
	ErrBroken = fmt.Errorf("%w: connection broke", ErrLost)
)

// Transport makes one attempt at an engine. The error wraps ErrNotSent, ErrLost or ErrBroken. The end of ctx breaks the attempt off, the
// body included.
type Transport interface {
	Send(ctx context.Context, engine *fleet.Engine, request *Request, options SendOptions) (*Answer, error)
}
