package gateway

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/cluster"
)

// The limits of an application that states none.
const (
	defaultRequestsPerSecond = 100
	defaultBurst             = 200
	defaultMaxInFlight       = 256
	inFlightRetryAfter       = time.Second
)

// admission limits the rate and the requests in flight of each application on this node.
type admission struct {
	now func() time.Time

	mu           sync.Mutex
	applications map[string]*applicationLimit
}

type applicationLimit struct {
	limiter  *rate.Limiter
	inFlight int
}

func newAdmission(now func() time.Time) *admission {
	return &admission{now: now, applications: make(map[string]*applicationLimit)}
}

// acquire admits one request of the application and returns the function that ends it. Refusals are not run.
func (a *admission) acquire(application *v1.Application, view *cluster.View) (release func(), err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	limit := a.limitOf(application, view)
	if limit.inFlight >= positive(application.Spec.MaxInFlight, defaultMaxInFlight) {
		return nil, v1.NotRun(v1.CodeRateLimited, inFlightRetryAfter, "too many requests of the application are in flight")
	}
	if wait := limit.delay(a.now()); wait > 0 {
		return nil, v1.NotRun(v1.CodeRateLimited, wait, "the application's request rate is exceeded")
	}
	limit.inFlight++
	return func() { a.release(limit) }, nil
}

func (a *admission) release(limit *applicationLimit) {
	a.mu.Lock()
	defer a.mu.Unlock()
	limit.inFlight--
}

// limitOf returns the limit of the application, brought up to its spec.
func (a *admission) limitOf(application *v1.Application, view *cluster.View) *applicationLimit {
	name := application.Metadata.Name
	perSecond := rate.Limit(positive(application.Spec.RequestsPerSecond, defaultRequestsPerSecond))
	burst := positive(application.Spec.Burst, defaultBurst)
	limit, ok := a.applications[name]
	if !ok {
		a.prune(view)
		limit = &applicationLimit{limiter: rate.NewLimiter(perSecond, burst)}
		a.applications[name] = limit
	}
	if limit.limiter.Limit() != perSecond {
		limit.limiter.SetLimitAt(a.now(), perSecond)
	}
	if limit.limiter.Burst() != burst {
		limit.limiter.SetBurstAt(a.now(), burst)
	}
	return limit
}

// prune forgets the idle applications that exist no more.
func (a *admission) prune(view *cluster.View) {
	for name, limit := range a.applications {
		if _, exists := view.Applications[name]; !exists && limit.inFlight == 0 {
			delete(a.applications, name)
		}
	}
}

// delay takes one request from the rate and returns zero, or returns how long the caller has to wait.
func (l *applicationLimit) delay(now time.Time) time.Duration {
	reservation := l.limiter.ReserveN(now, 1)
	wait := reservation.DelayFrom(now)
	if wait > 0 {
		reservation.CancelAt(now)
	}
	return wait
}

func positive[T int | float64](value, otherwise T) T {
	if value > 0 {
		return value
	}
	return otherwise
}
