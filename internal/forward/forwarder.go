package forward

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/placement"
	"github.com/covelink/covelink/internal/quarantine"
	"github.com/covelink/covelink/internal/retrybudget"
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
	// ReasonEnginesCold is given where only cold engines may run the request, and none was granted in time.
	ReasonEnginesCold Reason = "engines cold"
	// ReasonHeld is given for requests under which too many engines have ended.
	ReasonHeld Reason = "held"
	// ReasonRetryBudget is given where the retry budget did not grant a send to another engine.
	ReasonRetryBudget Reason = "retry budget used"
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
	// Sent is true if a byte of the request left for an engine, whatever the outcome.
	Sent bool
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
	// waitShare is the share of the latency objective that a request may wait for a full service.
	waitShare = 0.22
	// defaultWait is the wait on routes without an objective.
	defaultWait = 50 * time.Millisecond
	// busyRetryAfter and emptyRetryAfter are what refused callers are told.
	busyRetryAfter  = 100 * time.Millisecond
	emptyRetryAfter = 300 * time.Millisecond
	// closedRetryAfter is what callers are told where only an operator, or engines that have yet to start, can change the answer, and the longest
	// time told to callers of a full service, before the spread.
	closedRetryAfter = time.Second
	// retryAfterSpread is the greatest random share added to what callers of a full service are told, so that they do not return together.
	retryAfterSpread = 0.5
	// retryShare is the most retries for each first send, so that retries raise the load of an outage to at most 1.2 times. It holds over
	// retryWindow: longer than it takes to notice that an engine has ended, and short enough that a calm hour does not pay for many retries at once.
	retryShare  = 0.2
	retryWindow = 10 * time.Second
	// retryReserve is how many retries a process that rarely uses a service may make beyond the share; one more is granted each retryRefill. That
	// is longer than the 3 s that a reward call may take, and short beside an engine's start.
	retryReserve = 3
	retryRefill  = 5 * time.Second
)

// Observer is told of every request's end, for metrics.
type Observer interface {
	RequestEnded(kind routing.Kind, outcome Outcome, engines int, took time.Duration)
}

// LoadObserver is told of retries and waits, for metrics.
type LoadObserver interface {
	// Retried counts a send beyond the first of a request, and RetryDenied a retry that the budget did not grant.
	Retried(service string)
	RetryDenied(service string)
	// Waited tells how long a request waited for capacity.
	Waited(service string, took time.Duration)
	// RefusedAtOnce counts a request that was refused without a wait, because its turn would have come too late.
	RefusedAtOnce(service string)
}

// Forwarder forwards requests. It is safe for concurrent use.
type Forwarder struct {
	// Observer may be nil. It must be set before the first request.
	Observer Observer
	// LoadObserver may be nil. It must be set before the first request.
	LoadObserver LoadObserver
	// Began is told of each request that an engine began to run, or may have begun, once, with the moment of boottime; nil for nobody. Of a stream that is
	// the moment of its first byte. It must be set before the first request.
	Began func(tenant string, at time.Time)
	// Guard refuses requests that end the engines that run them; nil admits all. It must be set before the first request.
	Guard *quarantine.Guard
	// Quota grants sends to cold engines; nil if no engine is ever cold. It must be set before the first request.
	Quota     Quota
	state     *fleet.State
	transport Transport
	picker    *Picker
	budget    *retrybudget.Budget
	waiting   *waitQueues
	logger    log.Logger
}

// New returns a Forwarder.
func New(state *fleet.State, transport Transport, picker *Picker, logger log.Logger) *Forwarder {
	budget := retrybudget.New(retrybudget.Params{Share: retryShare, Window: retryWindow, Reserve: retryReserve, RefillTime: retryRefill, Now: boottime.Now})
	return &Forwarder{state: state, transport: transport, picker: picker, budget: budget, waiting: newWaitQueues(budget, logger), logger: logger}
}

// Services returns what this process knows of the load of each service that it sent requests to.
func (f *Forwarder) Services() []ServiceStatus { return f.waiting.statuses() }

// job is one request on its way.
type job struct {
	*Forwarder
	route   *routing.Route
	request *Request
	service string
	// version is that of the routes that the request came by, and rank the request's.
	version int64
	rank    routing.Rank
	// residency is where the request's data may be.
	residency placement.Residency
	started   time.Time
	deadline  time.Time
	// waitUntil is the moment of boottime until which the request may wait for a full service.
	waitUntil time.Time
	// sends counts the attempts of which a byte left; several at one engine count each.
	sends int
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
		j.residency = placement.ResidencyOf(routes, route, request.Tenant)
	}
	if route.Timeout > 0 && j.started.Add(route.Timeout).Before(deadline) {
		j.deadline = j.started.Add(route.Timeout)
	}
	j.waitUntil = j.started.Add(j.maxWait())
	result := j.admitted(ctx)
	result.FailedAttempts = j.failed
	result.Sent = j.sends > 0
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
	for {
		if boottime.Until(j.deadline) < minAttemptTime {
			return j.giveUp(ReasonDeadline, true)
		}
		if ctx.Err() != nil {
			return j.giveUp(ReasonCallerLeft, true)
		}
		permitted := j.permitted()
		turn := j.firstTry(permitted)
		if turn.engine == nil {
			candidates := j.candidates(permitted)
			if len(candidates) == 0 {
				return j.giveUp(j.reasonNoEngine(), false)
			}
			turn = j.nextTurn(ctx, candidates)
		}
		if turn.refusal != "" {
			return j.giveUp(turn.refusal, false)
		}
		if turn.engine == nil {
			continue
		}
		result, again := j.attempt(ctx, turn, len(permitted))
		if !again {
			return result
		}
		if j.begun() && (j.once || len(j.tried) >= j.route.MaxAttempts) {
			return j.giveUp(ReasonAttemptsUsed, false)
		}
	}
}

// begun reports whether an engine may have executed the request.
func (j *job) begun() bool { return j.mayHaveRun || j.last != nil }

// permitted returns the engines that may run the request now.
func (j *job) permitted() []*fleet.Engine {
	return placement.NewFilter(j.state.View(), j.residency).Engines(j.service)
}

// reasonNoEngine returns why no engine may run the request.
func (j *job) reasonNoEngine() Reason {
	reason := placement.NewFilter(j.state.View(), j.residency).Explain(j.service)
	if reason == placement.Permitted {
		return ReasonNoEngine
	}
	return Reason(reason)
}

// reasonNotTaken returns why no engine has taken the request.
func (j *job) reasonNotTaken() Reason {
	if j.unreachable {
		return ReasonUnreachable
	}
	return ReasonEnginesFull
}

// maxWait is how long the request may wait while its service is full.
func (j *job) maxWait() time.Duration {
	if j.request.Patience > 0 {
		return j.request.Patience
	}
	if j.route.LatencyObjective == 0 {
		return defaultWait
	}
	return time.Duration(waitShare * float64(j.route.LatencyObjective))
}

// giveUp returns the result of a request that no engine completed.
func (j *job) giveUp(reason Reason, timedOut bool) Result {
	if j.last != nil {
		return *j.last
	}
	result := Result{Outcome: NotRun, Reason: reason, TimedOut: timedOut, RetryAfter: j.retryAfter(reason)}
	if j.mayHaveRun {
		result.Outcome = Unknown
		result.RetryAfter = 0
	}
	return result
}

// retryAfter returns how long the caller of a refused request is told to wait.
func (j *job) retryAfter(reason Reason) time.Duration {
	switch reason {
	case ReasonNoEngine, Reason(placement.EvacuationsUnknown):
		return emptyRetryAfter
	case Reason(placement.EngineLeaving), Reason(placement.ZoneEvacuated), Reason(placement.RegionNotAllowed), Reason(placement.NoRegionAllowed):
		return closedRetryAfter
	}
	turn := min(max(j.waiting.turnAfter(j.service, j.rank), busyRetryAfter), closedRetryAfter)
	return time.Duration(float64(turn) * (1 + retryAfterSpread*rand.Float64()))
}

// report logs the decision. Requests that were completed as they should are told at the debug level.
func (j *job) report(result Result) {
	if j.Observer != nil {
		j.Observer.RequestEnded(j.route.Kind, result.Outcome, len(j.tried), boottime.Since(j.started))
	}
	fields := []any{"msg", "request ended", "request", j.request.ID, "route", j.route.Name, "service", j.service, "outcome", result.Outcome,
		"status", result.Status, "reason", result.Reason, "engines", len(j.tried), "sends", j.sends, "failed", j.failed,
		"took", boottime.Since(j.started).Round(time.Millisecond), "config", j.version}
	if result.Outcome == Completed && result.Status < http.StatusInternalServerError && len(j.tried) == 1 {
		_ = level.Debug(j.logger).Log(fields...)
		return
	}
	_ = level.Info(j.logger).Log(append(fields, "fingerprint", j.fingerprint().Short())...)
}
