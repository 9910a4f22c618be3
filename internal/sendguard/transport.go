// Package sendguard is the last stage before a request leaves for an engine. It keeps requests from engines that may have been draining for longer
// than the drain time.
//
// Guarantee: a request leaves only while the engine is known to have been ready at most MaxAge ago, either by this process's engine list or by the
// engine's own answer. What cannot be shown is refused, and the error wraps forward.ErrNotSent.
package sendguard

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/forward"
)

var (
	// ErrDraining reports a request that was not sent because the engine is draining or has left the list.
	ErrDraining = errors.New("sendguard: engine is draining or not listed")
	// ErrUnconfirmed reports a request that was not sent because nothing recent shows that the engine is ready.
	ErrUnconfirmed = errors.New("sendguard: engine list is too old and the engine has not confirmed that it is ready")
)

// Evidence is what shows that an engine is ready, as used in logs and metrics.
type Evidence string

// The evidences.
const (
	// EvidenceList is an engine list that is young enough.
	EvidenceList Evidence = "list"
	// EvidenceEngine is the engine's own answer.
	EvidenceEngine Evidence = "engine"
	// EvidenceNone means that the request was refused.
	EvidenceNone Evidence = "none"
)

// Params configures a Transport.
type Params struct {
	// Next sends the requests.
	Next forward.Transport
	// State holds the engine list.
	State *fleet.State
	// ListConfirmedAt returns the boottime as of which the engine list is known to be current; zero if it never was.
	ListConfirmedAt func() time.Time
	// AskReady asks an engine whether it is ready. An error means that it is not, or did not answer.
	AskReady func(ctx context.Context, engine *fleet.Engine) error
	// MaxAge is the age up to which a confirmation is relied on.
	MaxAge time.Duration
	// Observe is called for each request; may be nil.
	Observe func(Evidence)
	Logger  log.Logger
}

// Transport sends requests to engines. It implements forward.Transport and is safe for concurrent use.
type Transport struct {
	Params
	confirmations *confirmations
}

var _ forward.Transport = (*Transport)(nil)

// New returns a Transport.
func New(params Params) *Transport {
	if params.Observe == nil {
		params.Observe = func(Evidence) {}
	}
	return &Transport{Params: params, confirmations: newConfirmations(params.AskReady, params.MaxAge)}
}

// Send implements forward.Transport.
func (t *Transport) Send(ctx context.Context, engine *fleet.Engine, request *forward.Request, options forward.SendOptions) (*forward.Answer, error) {
	evidence, until, err := t.permit(ctx, engine, options)
	t.Observe(evidence)
	age := boottime.Since(t.ListConfirmedAt()).Round(time.Millisecond)
	if err != nil {
		level.Info(t.Logger).Log("msg", "send withheld", "request", request.ID, "engine", engine.ID, "list_age", age, "max_age", t.MaxAge, "err", err)
		return nil, fmt.Errorf("%w: %w", forward.ErrNotSent, err)
	}
	level.Debug(t.Logger).Log("msg", "request sent", "request", request.ID, "engine", engine.ID, "evidence", evidence, "list_age", age)
	if options.LeaveBy.IsZero() || until.Before(options.LeaveBy) {
		options.LeaveBy = until
	}
	return t.Next.Send(ctx, engine, request, options)
}

// permit returns the boottime until which a request may leave for an engine, and what shows that.
func (t *Transport) permit(ctx context.Context, engine *fleet.Engine, options forward.SendOptions) (Evidence, time.Time, error) {
	// The age is read before the list, so that the list is at least as young.
	listUntil := t.ListConfirmedAt().Add(t.MaxAge)
	listed, found := t.State.View().Engines.Get(engine.ID)
	switch {
	case found && !listed.Ready, !found && !options.Assigned:
		return EvidenceNone, time.Time{}, ErrDraining
	case found && boottime.Now().Before(listUntil):
		return EvidenceList, listUntil, nil
	}
	until, err := t.confirmations.until(ctx, engine)
	if err != nil {
		return EvidenceNone, time.Time{}, fmt.Errorf("%w: %w", ErrUnconfirmed, err)
	}
	return EvidenceEngine, until, nil
}
