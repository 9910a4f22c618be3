// Package duty makes platform calls that only one process at a time may make, such as usage reports and engine orders.
//
// It gives the guarantees of package permits: a call is sent only shortly after it was recorded in the store under the term's
// token, and only once the last call of another process on the same subject can no longer arrive.
package duty

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/covelink/covelink/internal/permits"
)

// Stamp identifies the caller in each call. Token is the fencing token, which increases with each term.
type Stamp struct {
	Holder string
	Token  int64
}

var (
	// ErrHandoverPending reports a call that was not made because another process's call on the subject is too recent.
	ErrHandoverPending = errors.New("duty: call deferred: another process acted on the subject recently")
	// ErrNotSent reports a call of which no byte was sent.
	ErrNotSent = errors.New("duty: call not sent")
	// ErrUnanswered reports a call without a response. The platform may have executed it, or may still do so.
	ErrUnanswered = errors.New("duty: no response from platform")
	// ErrNoneAvailable reports an order for engines that the platform cannot supply at present.
	ErrNoneAvailable = errors.New("duty: no engines available at present")
)

// RefusedError reports a call that the platform rejected without executing it.
type RefusedError struct{ Status int }

// Error implements error.
func (e *RefusedError) Error() string { return fmt.Sprintf("duty: refused with status %d", e.Status) }

// Executor makes the calls of one term.
type Executor struct {
	Stamp   Stamp
	Journal *permits.Journal
	// Observe, if not nil, is called after each call that was made.
	Observe func(subject string, err error, took time.Duration)
}

// TakeOver takes the journal over, which stops the calls of earlier terms. It retries until it succeeds or ctx ends.
func (p *Executor) TakeOver(ctx context.Context) { p.Journal.TakeOver(ctx) }

// Do records a call on a subject and makes it. The function call must not send it after leaveBy. Do returns ErrHandoverPending
// if the call may not be made yet, the journal's error if it could not be recorded, or the error of call.
func (p *Executor) Do(ctx context.Context, subject string, call func(ctx context.Context, stamp Stamp, leaveBy time.Time) error) error {
	allowed, leaveBy, err := p.Journal.Permit(ctx, []string{subject})
	if err != nil {
		return err
	}
	if len(allowed) == 0 {
		return ErrHandoverPending
	}
	started := time.Now()
	err = call(ctx, p.Stamp, leaveBy)
	if p.Observe != nil {
		p.Observe(subject, err, time.Since(started))
	}
	return err
}
