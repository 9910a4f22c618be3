// Package duty makes the calls to the deployment's platform that fall to one process at a time, such as reports of use and orders of
// engines.
//
// Guarantees, those of package permits: a call leaves only within a short time after it was recorded in the store under the term's token,
// and not before the last call of another process on the same subject is a lease length old.
package duty

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/covelink/covelink/internal/permits"
)

// Stamp is what a call bears: who makes it, and a token that is higher with each holder.
type Stamp struct {
	Holder string
	Token  int64
}

var (
	// ErrWait reports a call that was not made: another process made the last one, less than a lease length ago.
	ErrWait = errors.New("duty: another process acted lately")
	// ErrNotSent reports a call of which no byte left.
	ErrNotSent = errors.New("duty: not sent")
	// ErrUnanswered reports a call that may have been carried out, or may be later.
	ErrUnanswered = errors.New("duty: no answer")
	// ErrNoneAvailable reports an order of engines that are not to be had at present.
	ErrNoneAvailable = errors.New("duty: none available at present")
)

// RefusedError reports a call that the platform answered and did not carry out.
type RefusedError struct{ Status int }

// Error implements error.
func (e *RefusedError) Error() string { return fmt.Sprintf("duty: refused with status %d", e.Status) }

// Performer makes the calls of one term.
type Performer struct {
	Stamp   Stamp
	Journal *permits.Journal
	// Observe is told of each call that was made; nil for nobody.
	Observe func(subject string, err error, took time.Duration)
}

// TakeOver ends the calls of earlier terms, as often as it takes, until ctx ends.
func (p *Performer) TakeOver(ctx context.Context) { p.Journal.TakeOver(ctx) }

// Do records a call on a subject and makes it; call must not let it leave after the time it is given. It returns ErrWait if it may not be
// made yet, the journal's error if it was not recorded, or that of call.
func (p *Performer) Do(ctx context.Context, subject string, call func(ctx context.Context, stamp Stamp, leaveBy time.Time) error) error {
	allowed, leaveBy, err := p.Journal.Permit(ctx, []string{subject})
	if err != nil {
		return err
	}
	if len(allowed) == 0 {
		return ErrWait
	}
	started := time.Now()
	err = call(ctx, p.Stamp, leaveBy)
	if p.Observe != nil {
		p.Observe(subject, err, time.Since(started))
	}
	return err
}
