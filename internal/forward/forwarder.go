package forward

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/pause"
	"github.com/covelink/covelink/internal/quarantine"
	"github.com/covelink/covelink/internal/routing"
)

// Outcome says whether a request was executed.
type Outcome int

// The outcomes.
const (
	// Completed means that an engine answered; the answer may be a failure of its own.
	Completed Outcome = iota
	// NotRun means that no engine has executed the request or ever will.
	NotRun
	// Unknown means that an engine may have executed it.
	Unknown
)

// String returns the outcome's name in logs and metrics.
func (o Outcome) String() string { return [...]string{"completed", "not_run", "unknown"}[o] }

// Reason is what kept a request from being completed, as logs tell it.
type Reason string

// The reasons.
const (
	ReasonDeadline     Reason = "deadline"
	ReasonCallerLeft   Reason = "caller left"
	ReasonNoEngine     Reason = "no engine"
	ReasonAttemptsUsed Reason = "attempts used"
	ReasonEnginesFull  Reason = "engines full"
	ReasonAnswerLost   Reason = "answer lost"
	// ReasonUnreachable is given where no engine could be sent the request, rather than refused it.
	ReasonUnreachable Reason = "engines unreachable"
	// ReasonHeld is given for requests under which too many engines have ended.
	ReasonHeld Reason = "held"
)

// Result is the end of a request.
type Result struct {
	Outcome Outcome
	// Status, Header and Body are the engine's, if Completed. Exactly one of Body and Stream is set.
	Status    int
	Header    http.Header
	Signature string
	Body      []byte
	// Stream is an answer that is passed on as it arrives. It must be closed.
	Stream io.ReadCloser
	// RetryAfter is when a request that was not run may come again.
	RetryAfter time.Duration
	// Reason is what kept the request from being completed; empty if nothing did.
	Reason Reason
	// TimedOut is true if the time that the request had is over.
	TimedOut bool
	// FailedAttempts counts the answers of 500 that engines gave.
	FailedAttempts int
}

const (
	// maxAnswer bounds an answer that is held in memory.
	maxAnswer = 64 << 20
	// minAttemptTime is the least time for an attempt to be worth making.
	minAttemptTime = 5 * time.Millisecond
	// minPatience is the least time that an attempt gets before another engine is asked.
	minPatience = 150 * time.Millisecond
	// patienceObjectives is the patience in latency objectives.
	patienceObjectives = 1.5
	// busyPause is the pause before a full service is asked again.
	busyPause = 15 * time.Millisecond
	// waitShare is the share of the latency objective that a request may wait for a full service.
	waitShare = 0.22
	// defaultWait is the wait on routes without an objective.
	defaultWait = 50 * time.Millisecond
	// busyRetryAfter and emptyRetryAfter are what refused callers are told.
	busyRetryAfter  = 100 * time.Millisecond
	emptyRetryAfter = 300 * time.Millisecond
)

// Observer is told of every request's end, for metrics.
type Observer interface {
	RequestEnded(kind routing.Kind, outcome Outcome, engines int, took time.Duration)
}

// Forwarder forwards requests. It is safe for concurrent use.
type Forwarder struct {
	// Observer may be nil. It must be set before the first request.
	Observer Observer
	// Began is told of each request that an engine began to run, or may have begun, once, with the moment of boottime; nil for nobody. Of a stream that is
	// the moment of its first byte. It must be set before the first request.
	Began func(tenant string, at time.Time)
	// Guard refuses requests that end the engines that run them; nil admits all. It must be set before the first request.
	Guard     *quarantine.Guard
	state     *fleet.State
	transport Transport
	picker    *Picker
	waiting   *waitingRoom
	logger    log.Logger
}

// New returns a Forwarder.
func New(state *fleet.State, transport Transport, picker *Picker, logger log.Logger) *Forwarder {
	return &Forwarder{state: state, transport: transport, picker: picker, waiting: newWaitingRoom(), logger: logger}
}

// job is one request on its way.
type job struct {
	*Forwarder
	route   *routing.Route
	request *Request
	service string
	// version is that of the routes that the request came by, and rank the request's.
	version  int64
	rank     routing.Rank
	started  time.Time
	deadline time.Time
	// tried are the engines that the request was sent to; several attempts at one engine count once.
	tried map[string]struct{}
	// mayHaveRun is true once an attempt was lost.
	mayHaveRun bool
	// unreachable is true if the last engine that did not take the request could not be sent it.
	unreachable bool
	// beganAt is when the first attempt was sent that ran or may have run; zero if there was none.
	beganAt time.Time
	failed  int
	last    *Result
	// once is true if the request goes to no further engine once one may have run it.
	once bool
	// identity is the request's fingerprint; nil until it is needed.
	identity *quarantine.Fingerprint
}

// Do forwards the request by the route until the deadline, a moment of boottime. The end of ctx means that the caller has left.
func (f *Forwarder) Do(ctx context.Context, route *routing.Route, request *Request, deadline time.Time) Result {
	j := &job{
		Forwarder: f,
		route:     route,
		request:   request,
		service:   route.Pick(rand.Float64()),
		started:   boottime.Now(),
		deadline:  deadline,
		tried:     make(map[string]struct{}),
	}
	if routes := f.state.View().Routes; routes != nil {
		j.version, j.rank = routes.Version, routes.Rank(route, request.Tenant)
	}
	defer f.waiting.leave(j)
	if route.Timeout > 0 && j.started.Add(route.Timeout).Before(deadline) {
		j.deadline = j.started.Add(route.Timeout)
	}
	result := j.admitted(ctx)
	result.FailedAttempts = j.failed
	j.tellBegan(&result)
	j.report(result)
	return result
}

// admitted runs the request unless it is held.
func (j *job) admitted(ctx context.Context) Result {
	admission := j.Guard.Admit(ctx, j.request.ID, j.fingerprint)
	if admission.Refused {
		return Result{Outcome: NotRun, Reason: ReasonHeld, RetryAfter: admission.RetryAfter}
	}
	j.once = admission.Isolated
	return j.run(ctx)
}

func (j *job) fingerprint() quarantine.Fingerprint {
	if j.identity == nil {
		identity := j.request.Fingerprint()
		j.identity = &identity
	}
	return *j.identity
}

func (j *job) run(ctx context.Context) Result {
	waitUntil := j.started.Add(j.maxWait())
	for {
		if boottime.Until(j.deadline) < minAttemptTime {
			return j.giveUp(ReasonDeadline, true)
		}
		if ctx.Err() != nil {
			return j.giveUp(ReasonCallerLeft, true)
		}
		engine := j.picker.Acquire(j.state.View().Ready(j.service), j.allowed)
		if engine == nil {
			return j.giveUp(ReasonNoEngine, false)
		}
		result, again := j.attempt(ctx, engine)
		if !again {
			return result
		}
		if j.mayHaveRun || j.last != nil {
			if j.once || len(j.tried) >= j.route.MaxAttempts {
				return j.giveUp(ReasonAttemptsUsed, false)
			}
			continue
		}
		if len(j.tried) < j.route.MaxAttempts && len(j.tried) < len(j.state.View().Ready(j.service)) {
			continue
		}
		if boottime.Now().After(waitUntil) {
			return j.giveUp(j.reasonNotTaken(), false)
		}
		j.awaitTurn(ctx, waitUntil)
	}
}

// reasonNotTaken returns why no engine has taken the request.
func (j *job) reasonNotTaken() Reason {
	if j.unreachable {
		return ReasonUnreachable
	}
	return ReasonEnginesFull
}

// awaitTurn waits until a full service may be asked again: after a pause, and once no more urgent request of this process waits for it.
func (j *job) awaitTurn(ctx context.Context, until time.Time) {
	j.waiting.enter(j, j.rank)
	pause.For(ctx, busyPause)
	for ctx.Err() == nil && boottime.Now().Before(until) && !j.waiting.isNext(j) {
		pause.For(ctx, busyPause)
	}
}

// maxWait is how long the request may wait while its service is full.
func (j *job) maxWait() time.Duration {
	if j.route.LatencyObjective == 0 {
		return defaultWait
	}
	return time.Duration(waitShare * float64(j.route.LatencyObjective))
}

// allowed keeps to the route's number of engines, and prefers those that have not been tried.
func (j *job) allowed(engine *fleet.Engine) bool {
	_, tried := j.tried[engine.ID]
	if len(j.tried) >= j.route.MaxAttempts {
		return tried
	}
	return !tried
}

// attempt sends the request to the engine. again is true if another attempt may be made.
func (j *job) attempt(ctx context.Context, engine *fleet.Engine) (result Result, again bool) {
	_, triedBefore := j.tried[engine.ID]
	j.tried[engine.ID] = struct{}{}
	attemptCtx, cancel := context.WithTimeout(ctx, boottime.Until(j.attemptDeadline()))
	defer func() {
		if result.Stream == nil {
			cancel()
		}
	}()
	sent := boottime.Now()
	answer, err := j.transport.Send(attemptCtx, engine, j.request, SendOptions{TimeLeft: boottime.Until(j.deadline)})
	if err == nil {
		result, err = j.read(attemptCtx, engine, answer, cancel)
	}
	took := boottime.Since(sent)
	if err != nil {
		attempt := lostAttempt{engine: engine, err: err, sent: sent, broke: errors.Is(err, ErrBroken) && attemptCtx.Err() == nil, repeated: triedBefore}
		return j.lost(ctx, attempt)
	}
	if answer.NotRun {
		j.unreachable = false
		j.picker.Release(engine, busyVerdict(answer), took)
		return Result{}, true
	}
	j.noteBegan(sent)
	if answer.Status == http.StatusInternalServerError {
		j.failed++
		j.picker.Release(engine, VerdictFailed, took)
		j.last = &result
		return result, j.route.Repeatable()
	}
	j.picker.Release(engine, VerdictServed, took)
	return result, false
}

func busyVerdict(answer *Answer) Verdict {
	if answer.Misdirected {
		return VerdictGone
	}
	return VerdictBusy
}

// lostAttempt is an attempt without a usable answer.
type lostAttempt struct {
	engine *fleet.Engine
	err    error
	sent   time.Time
	// broke is true if the connection broke without a cause on this side.
	broke bool
	// repeated is true if the request had been sent to the engine before.
	repeated bool
}

// lost handles an attempt without a usable answer.
func (j *job) lost(ctx context.Context, attempt lostAttempt) (Result, bool) {
	engine, err := attempt.engine, attempt.err
	took := boottime.Since(attempt.sent)
	verdict := VerdictFailed
	if ctx.Err() != nil {
		verdict = VerdictCanceled
	}
	j.picker.Release(engine, verdict, took)
	if !attempt.repeated {
		// A request that waits for engines that are gone dials them every 15 ms: one line for each engine tells it.
		level.Debug(j.logger).Log("msg", "attempt lost", "request", j.request.ID, "engine", engine.ID, "took", took, "err", err)
	}
	if errors.Is(err, ErrNotSent) {
		j.unreachable = true
		return Result{}, true
	}
	if attempt.broke && !j.Guard.Broke(j.request.ID, j.fingerprint(), engine) {
		// Retries of one try are how a request that ends engines reaches the next one soonest: two ended 57 ms apart.
		j.once = true
	}
	j.mayHaveRun = true
	j.noteBegan(attempt.sent)
	if !j.route.Repeatable() {
		return j.giveUp(ReasonAnswerLost, false), false
	}
	return Result{}, true
}

// noteBegan notes an attempt that ran or may have run.
func (j *job) noteBegan(sent time.Time) {
	if j.beganAt.IsZero() {
		j.beganAt = sent
	}
}

// tellBegan tells of the request if an engine began to run it, of a stream once it has its first byte.
func (j *job) tellBegan(result *Result) {
	if j.Began == nil || j.request.Tenant == "" || j.beganAt.IsZero() {
		return
	}
	if result.Stream == nil {
		j.Began(j.request.Tenant, j.beganAt)
		return
	}
	tenant := j.request.Tenant
	result.Stream = &firstByteBody{ReadCloser: result.Stream, first: func() { j.Began(tenant, boottime.Now()) }}
}

// firstByteBody tells of the first byte that is read.
type firstByteBody struct {
	io.ReadCloser
	first func()
}

// Read implements io.Reader.
func (b *firstByteBody) Read(into []byte) (int, error) {
	n, err := b.ReadCloser.Read(into)
	if n > 0 && b.first != nil {
		b.first()
		b.first = nil
	}
	return n, err
}

// attemptDeadline leaves time for another engine where there may be another attempt.
func (j *job) attemptDeadline() time.Time {
	if !j.route.Repeatable() || len(j.tried) >= j.route.MaxAttempts || len(j.state.View().Ready(j.service)) < 2 {
		return j.deadline
	}
	patience := max(minPatience, time.Duration(patienceObjectives*float64(j.route.LatencyObjective)))
	patience = min(patience, boottime.Until(j.deadline)/2)
	return boottime.Now().Add(patience)
}

// read takes in an answer. An answer that is passed on as it arrives keeps the attempt's context until it is closed.
func (j *job) read(ctx context.Context, engine *fleet.Engine, answer *Answer, cancel context.CancelFunc) (Result, error) {
	result := Result{Outcome: Completed, Status: answer.Status, Header: answer.Header, Signature: answer.Signature}
	success := answer.Status >= 200 && answer.Status < 300
	if success && !answer.Valid {
		answer.Body.Close()
		return Result{}, ErrLost
	}
	if success && j.route.Kind == routing.KindStream {
		result.Stream = &streamBody{ReadCloser: answer.Body, cancel: cancel, ended: func(err error) { j.streamEnded(ctx, engine, err) }}
		return result, nil
	}
	defer answer.Body.Close()
	content, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswer))
	if err != nil {
		return Result{}, errors.Join(ErrBroken, err)
	}
	result.Body = content
	if !answer.NotRun {
		j.Guard.Completed(j.request.ID, j.fingerprint)
	}
	return result, nil
}

// streamEnded takes in how an answer ended that was passed on as it arrived.
func (j *job) streamEnded(ctx context.Context, engine *fleet.Engine, err error) {
	switch {
	case errors.Is(err, io.EOF):
		j.Guard.Completed(j.request.ID, j.fingerprint)
	case ctx.Err() == nil:
		j.Guard.Broke(j.request.ID, j.fingerprint(), engine)
	}
}

// streamBody ends an attempt's context with its body, and tells how that ended.
type streamBody struct {
	io.ReadCloser
	cancel context.CancelFunc
	// ended is called with the first error that a read returns, io.EOF among them; nil after that.
	ended func(err error)
}

// Read implements io.Reader.
func (b *streamBody) Read(into []byte) (int, error) {
	n, err := b.ReadCloser.Read(into)
	if err != nil && b.ended != nil {
		b.ended(err)
		b.ended = nil
	}
	return n, err
}

// Close implements io.Closer.
func (b *streamBody) Close() error {
	b.cancel()
	return b.ReadCloser.Close()
}

// giveUp returns the result of a request that no engine completed.
func (j *job) giveUp(reason Reason, timedOut bool) Result {
	if j.last != nil {
		return *j.last
	}
	result := Result{Outcome: NotRun, Reason: reason, TimedOut: timedOut, RetryAfter: busyRetryAfter}
	if reason == ReasonNoEngine {
		result.RetryAfter = emptyRetryAfter
	}
	if j.mayHaveRun {
		result.Outcome = Unknown
		result.RetryAfter = 0
	}
	return result
}

// report logs the decision. Requests that were completed as they should are told at the debug level.
func (j *job) report(result Result) {
	if j.Observer != nil {
		j.Observer.RequestEnded(j.route.Kind, result.Outcome, len(j.tried), boottime.Since(j.started))
	}
	fields := []any{"msg", "request ended", "request", j.request.ID, "route", j.route.Name, "service", j.service, "outcome", result.Outcome,
		"status", result.Status, "reason", result.Reason, "engines", len(j.tried), "failed", j.failed,
		"took", boottime.Since(j.started).Round(time.Millisecond), "config", j.version}
	if result.Outcome == Completed && result.Status < http.StatusInternalServerError && len(j.tried) == 1 {
		_ = level.Debug(j.logger).Log(fields...)
		return
	}
	_ = level.Info(j.logger).Log(append(fields, "fingerprint", j.fingerprint().Short())...)
}
