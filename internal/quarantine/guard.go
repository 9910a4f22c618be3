package quarantine

import (
	"context"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/google/uuid"

	"github.com/covelink/covelink/internal/fleet"
)

const (
	// trialRequestTimeout bounds the call to the coordinator, during which the caller of a held request waits.
	trialRequestTimeout = 250 * time.Millisecond
	// returnAttempts is how often a trial is returned. The call for a trial whose grant was lost may arrive after the first of them.
	returnAttempts   = 4
	returnRetryDelay = 300 * time.Millisecond
	// unavailableRetryAfter is the Retry-After of a held request while no coordinator grants trials.
	unavailableRetryAfter = time.Second
)

// Admission is a Guard's decision on an incoming request.
type Admission struct {
	// Refused is true if the request must not run now.
	Refused bool
	// RetryAfter is the time after which a refused request may be retried.
	RetryAfter time.Duration
	// Isolated is true if the request may run at one engine only, and not beside other isolated requests.
	Isolated bool
	// Trial is the trial that the request runs in, if it is held.
	Trial TrialRun
}

// TrialRun is a granted trial together with the ID of the request for it. The zero value stands for none.
type TrialRun struct {
	Trial
	RequestID string
}

// GuardParams configures a Guard.
type GuardParams struct {
	Table    *Table
	Detector *Detector
	// CallTrial asks the coordinator for a trial run, and CallReturn returns one.
	CallTrial  func(ctx context.Context, request TrialRequest) (TrialReply, error)
	CallReturn func(ctx context.Context, request ReturnRequest) (ReturnReply, error)
	// Observe receives each decision for metrics; may be nil.
	Observe func(decision Decision)
	Logger  log.Logger
}

// Decision is the outcome of a Guard's check, used as a metric label.
type Decision string

// Decision values.
const (
	// DecisionRefused means that a held request was refused.
	DecisionRefused Decision = "refused"
	// DecisionTrial means that a held request was granted a trial run.
	DecisionTrial Decision = "trial"
	// DecisionIsolated means that a request may run at one engine only.
	DecisionIsolated Decision = "isolated"
	// DecisionHeld means that an engine exited under a request that is now held, or already was.
	DecisionHeld Decision = "held"
	// DecisionReleased means that a request was cleared by a successful run or by an operator.
	DecisionReleased Decision = "released"
)

// Guard admits, isolates or refuses requests by their records, and records crashes and successful runs. A nil Guard admits everything. It
// is safe for concurrent use.
type Guard struct {
	GuardParams
}

// NewGuard returns a Guard.
func NewGuard(params GuardParams) *Guard { return &Guard{GuardParams: params} }

// Admit decides whether a request may run. fingerprintOf is called only if the table is not empty.
func (g *Guard) Admit(ctx context.Context, request string, fingerprintOf func() Fingerprint) Admission {
	if g == nil || g.Table.Empty() {
		return Admission{}
	}
	fingerprint := fingerprintOf()
	switch status := g.Table.Status(fingerprint); status.State {
	case Held:
		return g.admitHeld(ctx, request, fingerprint, status)
	case Isolated:
		g.observe(DecisionIsolated)
		return Admission{Isolated: true}
	}
	return Admission{}
}

// admitHeld requests a trial run unless the backoff has not passed.
func (g *Guard) admitHeld(ctx context.Context, request string, fingerprint Fingerprint, status Status) Admission {
	reply, wait, err := TrialReply{}, status.Wait, error(nil)
	run := TrialRun{}
	if wait == 0 {
		run, reply, err = g.RequestTrial(ctx, fingerprint)
		wait = reply.Wait
	}
	if !reply.Granted {
		g.observe(DecisionRefused)
		level.Info(g.Logger).Log("msg", "held request refused", "request", request, "fingerprint", fingerprint.Short(), "engines_ended", status.Crashes,
			"retry_after", wait.Round(time.Millisecond), "err", err)
		return Admission{Refused: true, RetryAfter: wait}
	}
	g.observe(DecisionTrial)
	level.Info(g.Logger).Log("msg", "trial run of held request started", "request", request, "fingerprint", fingerprint.Short())
	return Admission{Isolated: true, Trial: run}
}

// RequestTrial asks the coordinator for a trial run of a held request. A trial that does not come to an outcome must be returned with
// ReturnTrial. After an error, a trial that the coordinator may have granted is returned.
func (g *Guard) RequestTrial(ctx context.Context, fingerprint Fingerprint) (TrialRun, TrialReply, error) {
	ctx, cancel := context.WithTimeout(ctx, trialRequestTimeout)
	defer cancel()
	request := TrialRequest{Known: g.Table.Record(fingerprint), ID: uuid.NewString()}
	reply, err := g.CallTrial(ctx, request)
	if err != nil {
		g.ReturnTrial(TrialRun{RequestID: request.ID})
	}
	if err != nil || !reply.Leading {
		return TrialRun{}, TrialReply{Wait: unavailableRetryAfter}, err
	}
	if !reply.Trial.Granted() {
		// The request has to wait, or is not held any more.
		return TrialRun{}, reply, nil
	}
	return TrialRun{Trial: reply.Trial, RequestID: request.ID}, reply, nil
}

// ReturnTrial returns a trial that ended without an outcome: the request reached no engine, or its run was ended while its engine was sound.
// It does not block. If the coordinator cannot be reached, the trial counts as one with an outcome.
func (g *Guard) ReturnTrial(run TrialRun) {
	if g == nil || run.RequestID == "" || g.CallReturn == nil {
		return
	}
	go g.returnTrial(run)
}

func (g *Guard) returnTrial(run TrialRun) {
	var err error
	for range returnAttempts {
		var reply ReturnReply
		ctx, cancel := context.WithTimeout(context.Background(), trialRequestTimeout)
		reply, err = g.CallReturn(ctx, ReturnRequest{ID: run.RequestID, Trial: run.Trial})
		cancel()
		if err == nil && reply.Known {
			return
		}
		time.Sleep(returnRetryDelay)
	}
	if run.Granted() {
		level.Info(g.Logger).Log("msg", "trial not returned", "fingerprint", run.Fingerprint.Short(), "err", err)
	}
}

// Loss is a connection to an engine that broke during an attempt of a request without a local cause.
type Loss struct {
	Request     string
	Fingerprint Fingerprint
	Engine      *fleet.Engine
	// Deferred is true for a batch item or its reward call.
	Deferred bool
}

// ConnectionLost handles a lost connection. It reports whether the request may be sent to another engine, and whether the engine is known to be running
// still.
func (g *Guard) ConnectionLost(lost Loss) (retry, engineRuns bool) {
	if g == nil {
		return true, false
	}
	recordCrash := func() State { return g.recordCrash(lost) }
	evidence := g.Detector.CheckEngine(lost.Request, lost.Fingerprint, lost.Engine, func() { recordCrash() })
	if evidence != EngineExited {
		return true, evidence == EngineListening
	}
	return recordCrash() < Isolated, false
}

// recordCrash records that an engine exited while running a request.
func (g *Guard) recordCrash(lost Loss) State {
	record := g.Table.RecordCrash
	if lost.Deferred {
		record = g.Table.RecordDeferredCrash
	}
	state, crashes := record(lost.Fingerprint, lost.Engine.ID)
	level.Info(g.Logger).Log("msg", "engine exited while running request", "request", lost.Request, "fingerprint", lost.Fingerprint.Short(), "engine", lost.Engine.ID,
		"engines_ended", crashes, "exits", g.Table.Record(lost.Fingerprint).Exits, "standing", state)
	if state == Held {
		g.observe(DecisionHeld)
	}
	return state
}

// Completed clears a request that an engine ran successfully. Error responses do not clear: a faulty engine may fail before running the
// request.
func (g *Guard) Completed(request string, fingerprintOf func() Fingerprint) {
	if g == nil || g.Table.Empty() {
		return
	}
	fingerprint := fingerprintOf()
	if !g.Table.Release(fingerprint) {
		return
	}
	g.observe(DecisionReleased)
	level.Info(g.Logger).Log("msg", "request cleared by successful run", "request", request, "fingerprint", fingerprint.Short())
}

// Release clears a request on behalf of an operator. It reports whether the request was suspect, isolated or held.
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
