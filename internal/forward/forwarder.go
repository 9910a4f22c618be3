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

// Outcome states whether a request was executed.
type Outcome int

// The outcomes.
const (
	// Completed means that an engine responded, possibly with an error status.
	Completed Outcome = iota
	// NotRun means that no engine has executed the request or ever will.
	NotRun
	// Unknown means that an engine may have executed the request.
	Unknown
)

// String returns the name of the outcome as used in logs and metrics.
func (o Outcome) String() string { return [...]string{"completed", "not_run", "unknown"}[o] }

// Reason is why a request was not completed, as logged.
type Reason string

// The reasons.
const (
	ReasonDeadline     Reason = "deadline"
	ReasonCallerLeft   Reason = "caller left"
	ReasonNoEngine     Reason = "no engine"
	ReasonAttemptsUsed Reason = "attempts used"
	ReasonEnginesFull  Reason = "engines full"
	ReasonAnswerLost   Reason = "answer lost"
	// ReasonUnreachable means that engines could not be reached, as opposed to refusing the request.
	ReasonUnreachable Reason = "engines unreachable"
	// ReasonEnginesCold means that only cold engines are permitted and no grant arrived in time.
	ReasonEnginesCold Reason = "engines cold"
	// ReasonHeld means that the request is quarantined because too many engines ended while running it.
	ReasonHeld Reason = "held"
	// ReasonStopping means that the process stops before the request is sure to end.
	ReasonStopping Reason = "stopping"
	// ReasonRetryBudget means that the retry budget denied a retry on another engine.
	ReasonRetryBudget Reason = "retry budget used"
)

// Result is the result of a forwarded request.
type Result struct {
	Outcome Outcome
	// Status, Header and Body are the engine's, set if Outcome is Completed. Exactly one of Body and Stream is set.
	Status    int
	Header    http.Header
	Signature string
	Body      []byte
	// Stream is a response body that is passed on as it arrives. The caller must close it.
	Stream io.ReadCloser
	// RetryAfter is how long the caller of a request that was not run should wait before a retry.
	RetryAfter time.Duration
	// Reason is why the request was not completed; empty if it was.
	Reason Reason
	// TimedOut is true if the request's deadline has passed.
	TimedOut bool
	// FailedAttempts counts the responses with status 500.
	FailedAttempts int
	// Sent is true if any byte of the request was sent to an engine, whatever the outcome.
	Sent bool
}

const (
	// maxAnswerBytes bounds a response body that is buffered whole, and maxBufferedBytes the part of one that can be passed on as it arrives.
	maxAnswerBytes   = 64 << 20
	maxBufferedBytes = 8 << 20
	// maxFailureBytes bounds the body of a response with status 500 or above.
	maxFailureBytes = 1 << 20
	// maxUnusedBytes bounds a response body that is dropped.
	maxUnusedBytes = 1 << 20
	// ownAnswerBytes is the part of a response that is buffered without asking for room.
	ownAnswerBytes = 4 << 10
	// minAttemptTime is the least remaining time at which another attempt is made.
	minAttemptTime = 5 * time.Millisecond
	// minAttemptTimeout is the shortest time given to an attempt before failover to another engine.
	minAttemptTimeout = 150 * time.Millisecond
	// attemptTimeoutFactor is the attempt timeout as a multiple of the latency objective.
	attemptTimeoutFactor = 1.5
	// queueTimeoutShare is the share of the latency objective for which a request may queue.
	queueTimeoutShare = 0.22
	// defaultQueueTimeout applies to routes without a latency objective.
	defaultQueueTimeout = 50 * time.Millisecond
	// busyRetryAfter and emptyRetryAfter are the retry delays returned for a busy service and for one without engines.
	busyRetryAfter  = 100 * time.Millisecond
	emptyRetryAfter = 300 * time.Millisecond
	// closedRetryAfter is the retry delay if only an operator or a new engine can change the result, and the longest one for a busy service,
	// before retryAfterSpread is added.
	closedRetryAfter = time.Second
	// retryAfterSpread is the largest random share added to the retry delay of a busy service, so that callers do not return together.
	retryAfterSpread = 0.5
	// retryShare is the maximum number of retries per first send within retryWindow. The window must exceed the time that it takes to detect an
	// ended engine, and be short enough that first sends of a calm period do not pay for a burst of retries.
	retryShare  = 0.2
	retryWindow = 10 * time.Second
	// retryReserve is the number of retries granted beyond retryShare, for rarely used services; one is refilled each retryRefill.
	retryReserve = 3
	retryRefill  = 5 * time.Second
)

// Observer receives the end of every request, for metrics.
type Observer interface {
	RequestEnded(kind routing.Kind, outcome Outcome, engines int, took time.Duration)
}

// LoadObserver receives retries and waits, for metrics.
type LoadObserver interface {
	// Retried counts a send after the first of a request, and RetryDenied a retry that the budget denied.
	Retried(service string)
	RetryDenied(service string)
	// Waited records how long a request was queued.
	Waited(service string, took time.Duration)
	// RefusedAtOnce counts a request refused without queueing because its expected wait was too long.
	RefusedAtOnce(service string)
}

// Forwarder forwards requests. It is safe for concurrent use.
type Forwarder struct {
	// Observer may be nil. It must be set before the first request.
	Observer Observer
	// LoadObserver may be nil. It must be set before the first request.
	LoadObserver LoadObserver
	// OnExecution, if not nil, is called once for each tenant's request that an engine ran or may have run, with the boottime of the send; for a
	// stream, that of its first byte. It must be set before the first request.
	OnExecution func(tenant string, at time.Time)
	// Guard refuses requests that crash engines; nil admits all. It must be set before the first request.
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

// Services returns this process's view of the load of each service that it has handled requests for.
func (f *Forwarder) Services() []ServiceStatus { return f.waiting.statuses() }

// job is the state of one request in Do.
type job struct {
	*Forwarder
	route   *routing.Route
	request *Request
	service string
	// version is the version of the route table, and rank the request's rank.
	version int64
	rank    routing.Rank
	// residency restricts the regions in which the request's data may be processed.
	residency placement.Residency
	started   time.Time
	deadline  time.Time
	// queueDeadline is the boottime until which the request may queue for a full service.
	queueDeadline time.Time
	// sends counts the attempts of which at least one byte was sent, repeated ones at one engine included.
	sends int
	// tried holds the IDs of the engines that the request was sent to.
	tried map[string]struct{}
	// attemptLost is true once the response of an attempt was lost.
	attemptLost bool
	// unreachable is true if the last engine that did not accept the request could not be reached.
	unreachable bool
	// executedAt is when the first attempt that ran or may have run was sent; zero if there was none.
	executedAt     time.Time
	failedAttempts int
	lastFailure    *Result
	// engineRuns is true if the connection of the last attempt broke while its engine kept running.
	engineRuns bool
	// noFailover is true if the request must not go to another engine after one that may have run it.
	noFailover bool
	// cachedFingerprint is computed on first use.
	cachedFingerprint *quarantine.Fingerprint
}

// Do forwards the request by the route until the deadline, in boottime. The end of ctx means that the caller has left.
func (f *Forwarder) Do(ctx context.Context, route *routing.Route, request *Request, deadline time.Time) Result {
	j := &job{
		Forwarder: f,
		route:     route,
		request:   request,
		service:   route.PickService(rand.Float64()),
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
	j.queueDeadline = j.started.Add(j.queueTimeout())
	result := j.admitAndRun(ctx)
	result.FailedAttempts = j.failedAttempts
	result.Sent = j.sends > 0
	j.reportExecution(&result)
	j.report(result)
	return result
}

// admitAndRun runs the request unless the guard refuses it.
func (j *job) admitAndRun(ctx context.Context) Result {
	admission := j.Guard.Admit(ctx, j.request.ID, j.fingerprint)
	if admission.Refused {
		return Result{Outcome: NotRun, Reason: ReasonHeld, RetryAfter: admission.RetryAfter}
	}
	j.noFailover = admission.Isolated
	result := j.run(ctx)
	failed := result.Outcome == Completed && result.Status >= http.StatusInternalServerError
	if result.Outcome == NotRun || failed || j.engineRuns {
		j.Guard.ReturnTrial(admission.Trial)
	}
	return result
}

func (j *job) fingerprint() quarantine.Fingerprint {
	if j.cachedFingerprint == nil {
		identity := j.request.Fingerprint()
		j.cachedFingerprint = &identity
	}
	return *j.cachedFingerprint
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
		next := j.trySampled(permitted)
		if next.engine == nil {
			candidates := j.candidates(permitted)
			if len(candidates) == 0 {
				return j.giveUp(j.noEngineReason(), false)
			}
			next = j.nextDecision(ctx, candidates)
		}
		if next.refusal != "" {
			return j.giveUp(next.refusal, false)
		}
		if next.engine == nil {
			continue
		}
		result, retry := j.attempt(ctx, next, len(permitted))
		if !retry {
			return result
		}
		if j.mayHaveExecuted() && (j.noFailover || len(j.tried) >= j.route.MaxAttempts) {
			return j.giveUp(ReasonAttemptsUsed, false)
		}
	}
}

// mayHaveExecuted reports whether an engine may have executed the request.
func (j *job) mayHaveExecuted() bool { return j.attemptLost || j.lastFailure != nil }

func (j *job) permitted() []*fleet.Engine {
	return placement.NewFilter(j.state.View(), j.residency).Engines(j.service)
}

func (j *job) noEngineReason() Reason {
	reason := placement.NewFilter(j.state.View(), j.residency).Explain(j.service)
	if reason == placement.Permitted {
		return ReasonNoEngine
	}
	return Reason(reason)
}

func (j *job) notAcceptedReason() Reason {
	if j.unreachable {
		return ReasonUnreachable
	}
	return ReasonEnginesFull
}

// queueTimeout returns how long the request may queue while its service is full.
func (j *job) queueTimeout() time.Duration {
	if j.request.QueueTimeout > 0 {
		return j.request.QueueTimeout
	}
	if j.route.LatencyObjective == 0 {
		return defaultQueueTimeout
	}
	return time.Duration(queueTimeoutShare * float64(j.route.LatencyObjective))
}

// giveUp returns the result of a request that no engine completed.
func (j *job) giveUp(reason Reason, timedOut bool) Result {
	if j.lastFailure != nil {
		return *j.lastFailure
	}
	result := Result{Outcome: NotRun, Reason: reason, TimedOut: timedOut, RetryAfter: j.retryAfter(reason)}
	if j.attemptLost {
		result.Outcome = Unknown
		result.RetryAfter = 0
	}
	return result
}

// retryAfter returns the retry delay for the caller of a refused request.
func (j *job) retryAfter(reason Reason) time.Duration {
	switch reason {
	case ReasonNoEngine, Reason(placement.EvacuationsUnknown):
		return emptyRetryAfter
	case Reason(placement.EngineDraining), Reason(placement.ZoneEvacuated), Reason(placement.RegionNotAllowed), Reason(placement.NoRegionAllowed):
		return closedRetryAfter
	}
	delay := min(max(j.waiting.expectedWait(j.service, j.rank), busyRetryAfter), closedRetryAfter)
	return time.Duration(float64(delay) * (1 + retryAfterSpread*rand.Float64()))
}

// report logs the result: at debug level if the first engine completed the request, else at info level.
func (j *job) report(result Result) {
	if j.Observer != nil {
		j.Observer.RequestEnded(j.route.Kind, result.Outcome, len(j.tried), boottime.Since(j.started))
	}
	fields := []any{"msg", "request ended", "request", j.request.ID, "route", j.route.Name, "service", j.service, "outcome", result.Outcome,
		"status", result.Status, "reason", result.Reason, "engines", len(j.tried), "sends", j.sends, "failed", j.failedAttempts,
		"took", boottime.Since(j.started).Round(time.Millisecond), "config", j.version}
	if result.Outcome == Completed && result.Status < http.StatusInternalServerError && len(j.tried) == 1 {
		_ = level.Debug(j.logger).Log(fields...)
		return
	}
	_ = level.Info(j.logger).Log(append(fields, "fingerprint", j.fingerprint().Short())...)
}
