package quarantine

import (
	"context"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/fleet"
)

const (
	// askTimeout bounds the question for a trial, which the caller of a held request waits for: two round trips between zones and what a
	// busy process takes to answer.
	askTimeout = 250 * time.Millisecond
	// unreachedRetryAfter is what the caller of a held request is told while nobody grants trials.
	unreachedRetryAfter = time.Second
)

// Admission is a Guard's decision on a request that has arrived.
type Admission struct {
	// Refused is true if the request must not run now.
	Refused bool
	// RetryAfter is after which time a refused request may be tried.
	RetryAfter time.Duration
	// Isolated is true if the request may run at one engine only, apart from others like it.
	Isolated bool
}

// GuardParams are what a Guard works with.
type GuardParams struct {
	Table    *Table
	Detector *Detector
	// Ask asks the coordinating process for a trial of a request of which this is known.
	Ask func(ctx context.Context, known Record) (TrialReply, error)
	// Observe is told of each decision, for metrics; nil for nobody.
	Observe func(decision Decision)
	Logger  log.Logger
}

// Decision is what a Guard decided on a request.
type Decision string

// The decisions.
const (
	// DecisionRefused: a held request was not run.
	DecisionRefused Decision = "refused"
	// DecisionTrial: a held request was granted one run.
	DecisionTrial Decision = "trial"
	// DecisionIsolated: a request goes to one engine only.
	DecisionIsolated Decision = "isolated"
	// DecisionHeld: an engine ended under a request that is held from now on, or was before.
	DecisionHeld Decision = "held"
	// DecisionReleased: a request was cleared by a run that ended well, or by an operator.
	DecisionReleased Decision = "released"
)

// Guard decides on requests by what is known of them, and adds to that. A nil Guard admits all. It is safe for concurrent use.
type Guard struct {
	GuardParams
}

// NewGuard returns a Guard.
func NewGuard(params GuardParams) *Guard { return &Guard{GuardParams: params} }

// Admit decides whether a request may run. Its fingerprint is asked for only if something is known of any request.
func (g *Guard) Admit(ctx context.Context, request string, fingerprintOf func() Fingerprint) Admission {
	if g == nil || g.Table.Empty() {
		return Admission{}
	}
	fingerprint := fingerprintOf()
	switch status := g.Table.Status(fingerprint); status.Standing {
	case Held:
		return g.admitHeld(ctx, request, fingerprint, status)
	case Isolated:
		g.observe(DecisionIsolated)
		return Admission{Isolated: true}
	}
	return Admission{}
}

// admitHeld asks for a trial.
func (g *Guard) admitHeld(ctx context.Context, request string, fingerprint Fingerprint, status Status) Admission {
	granted, wait, err := false, status.Wait, error(nil)
	if wait == 0 {
		granted, wait, err = g.ask(ctx, fingerprint)
	}
	if !granted {
		g.observe(DecisionRefused)
		level.Info(g.Logger).Log("msg", "held request refused", "request", request, "fingerprint", fingerprint.Short(), "engines_ended", status.Ends,
			"retry_after", wait.Round(time.Millisecond), "err", err)
		return Admission{Refused: true, RetryAfter: wait}
	}
	g.observe(DecisionTrial)
	level.Info(g.Logger).Log("msg", "held request tried", "request", request, "fingerprint", fingerprint.Short())
	return Admission{Isolated: true}
}

func (g *Guard) ask(ctx context.Context, fingerprint Fingerprint) (granted bool, wait time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	reply, err := g.Ask(ctx, g.Table.Record(fingerprint))
	if err != nil || !reply.Leading {
		return false, unreachedRetryAfter, err
	}
	return reply.Granted, reply.Wait, nil
}

// Broke takes in that the connection of an attempt broke, without a cause on this side, and returns whether the request may be sent to another
// engine.
func (g *Guard) Broke(request string, fingerprint Fingerprint, engine *fleet.Engine) (again bool) {
	if g == nil {
		return true
	}
	noteEnd := func() Standing { return g.noteEnd(request, fingerprint, engine) }
	if g.Detector.Broke(request, fingerprint, engine, func() { noteEnd() }) != EngineEnded {
		return true
	}
	return noteEnd() < Isolated
}

// noteEnd notes that an engine has ended under a request.
func (g *Guard) noteEnd(request string, fingerprint Fingerprint, engine *fleet.Engine) Standing {
	standing, ends := g.Table.NoteEnd(fingerprint, engine.ID)
	level.Info(g.Logger).Log("msg", "engine ended under request", "request", request, "fingerprint", fingerprint.Short(), "engine", engine.ID,
		"engines_ended", ends, "standing", standing)
	if standing == Held {
		g.observe(DecisionHeld)
	}
	return standing
}

// Completed takes in that an engine has run a request to a good end. That it has answered with a failure does not clear a request: an engine at
// fault may fail it before it runs.
func (g *Guard) Completed(request string, fingerprintOf func() Fingerprint) {
	if g == nil || g.Table.Empty() {
		return
	}
	fingerprint := fingerprintOf()
	if !g.Table.Release(fingerprint) {
		return
	}
	g.observe(DecisionReleased)
	level.Info(g.Logger).Log("msg", "request cleared", "request", request, "fingerprint", fingerprint.Short())
}

// Release clears a request for an operator. It reports whether the request was suspect or held.
func (g *Guard) Release(fingerprint Fingerprint) bool {
	if !g.Table.Release(fingerprint) {
		return false
	}
	g.observe(DecisionReleased)
	level.Info(g.Logger).Log("msg", "request released by an operator", "fingerprint", fingerprint.Short())
	return true
}

func (g *Guard) observe(decision Decision) {
	if g.Observe != nil {
		g.Observe(decision)
	}
}
