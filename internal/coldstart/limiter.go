package coldstart

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/election"
	"github.com/covelink/covelink/internal/routing"
)

const (
	// GrantLife is the validity of a grant: maxGrantDelay to reach the Client plus forward.GrantedSendTime.
	GrantLife = 250 * time.Millisecond
	// termStartDelay is how long a new term gives no grants. The former coordinator may grant at the full rate until leaseFreshness after it last
	// saw its lease, which was at least electionTime before the new term began; those grants last GrantLife, and the bound on sends applies to any
	// second.
	termStartDelay = leaseFreshness + GrantLife + time.Second - electionTime
	// electionTime is the minimum time between a coordinator's last sight of its unchallenged lease and the next term: package election waits that
	// long for an answer to a challenge.
	electionTime = election.ChallengeTime
	// leaseFreshness is how recently the store must have confirmed the lease for grants at the full rate. The lease's watch answers at least once a
	// second, or fails 0.4 s later.
	leaseFreshness = 1500 * time.Millisecond
	// StaleLife is how long after leaseFreshness grants continue at StaleShare of the rate, as an outage of the store may affect all candidates. It
	// is short enough that of three successive coordinators, the first has stopped granting when the third starts.
	StaleLife = 1500 * time.Millisecond
	// StaleShare bounds the sum of the grants of a coordinator and of a former one to 1.5 times the rate: (1 + 0.2) * (1 s + GrantLife) is 1.5 s.
	StaleShare = 0.2
	// maxWaiting bounds the waiting Requests, each of which holds memory and an open call.
	maxWaiting = 1024
	// bucketTTL is how long an unused bucket is kept. It is full by then at any rate above one grant in 30 s.
	bucketTTL = 30 * time.Second
	// maxServePause is the longest pause between two rounds of grants while Requests wait: the rates and the age of the lease change without
	// notification.
	maxServePause = 100 * time.Millisecond
	// minRetry and maxRetry bound RetryAfter: the lower limits a gateway's call rate for a service and rank, the upper the delay until it notices
	// new grants.
	minRetry = 20 * time.Millisecond
	maxRetry = 300 * time.Millisecond
)

// LimiterParams are the dependencies of a Limiter. All are required.
type LimiterParams struct {
	// Rate returns the cold rate of a service, in requests per second and engine; zero means that nothing is granted.
	Rate func(service string) float64
	// LeaseConfirmedAt returns when, by Now, the store last confirmed this process's lease.
	LeaseConfirmedAt func() time.Time
	// Now is a clock that includes time during which the machine is suspended.
	Now    func() time.Time
	Logger log.Logger
}

// Limiter issues grants in the coordinator. It is safe for concurrent use.
type Limiter struct {
	LimiterParams

	mu sync.Mutex
	// leading is true during a term; grantsFrom is when its first grant may be given.
	leading    bool
	grantsFrom time.Time
	buckets    map[string]*bucket
	// waiting holds the waiting Requests, by rank and then by arrival.
	waiting []*waitingRequest
	// wake makes Lead run a round of grants for a new Request.
	wake   chan struct{}
	counts Counts
	// stale is the last logged state: whether the lease is older than leaseFreshness.
	stale bool
}

// Counts are the total decisions of a Limiter.
type Counts struct{ Granted, Refused int64 }

// waitingRequest is a Request that waits for a grant.
type waitingRequest struct {
	Request
	until      time.Time
	enqueuedAt time.Time
	// answer receives the grant, or the zero grant if there is none. It is buffered so that the Limiter never blocks.
	answer chan grant
}

// grant permits one send to an engine; at is when it was given. The zero value is no grant.
type grant struct {
	engine string
	at     time.Time
}

// NewLimiter returns a Limiter, which grants nothing until Lead.
func NewLimiter(params LimiterParams) *Limiter {
	return &Limiter{LimiterParams: params, buckets: make(map[string]*bucket), wake: make(chan struct{}, 1)}
}

// Lead issues grants for a term until ctx ends.
func (l *Limiter) Lead(ctx context.Context) {
	l.beginTerm()
	defer l.endTerm()
	for ctx.Err() == nil {
		wait := l.serve()
		timer := time.NewTimer(wait)
		select {
		case <-l.wake:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

func (l *Limiter) beginTerm() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leading, l.stale = true, false
	l.grantsFrom = l.Now().Add(termStartDelay)
	l.buckets = make(map[string]*bucket)
}

func (l *Limiter) endTerm() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leading = false
	for _, waiting := range l.waiting {
		waiting.answer <- grant{}
	}
	l.waiting = nil
}

// Ask answers a Request once it is granted or cannot be granted in time.
func (l *Limiter) Ask(ctx context.Context, request Request) Reply {
	entry, refused := l.enqueue(request)
	if refused != nil {
		return *refused
	}
	select {
	case given := <-entry.answer:
		return l.reply(entry, given)
	case <-ctx.Done():
		// The caller has disconnected. A grant issued at the same moment stays unused.
		l.dequeue(entry)
		return Reply{Leading: true}
	}
}

// enqueue queues a Request, or returns the Reply if it cannot be granted in time.
func (l *Limiter) enqueue(request Request) (*waitingRequest, *Reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	if !l.leading {
		return nil, &Reply{}
	}
	position, _ := slices.BinarySearchFunc(l.waiting, request.Rank, func(known *waitingRequest, rank routing.Rank) int {
		if known.Rank.Compare(rank) > 0 {
			return 1
		}
		return -1
	})
	if late := l.lateBy(request, position, now); late > 0 || len(l.waiting) >= maxWaiting {
		l.counts.Refused++
		return nil, &Reply{Leading: true, RetryAfter: min(max(late, minRetry), maxRetry)}
	}
	entry := &waitingRequest{Request: request, until: now.Add(request.Wait), enqueuedAt: now, answer: make(chan grant, 1)}
	l.waiting = slices.Insert(l.waiting, position, entry)
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return entry, nil
}

// lateBy returns how far beyond its wait a Request at a position in the queue would be granted; zero or less if in time. The mutex must be held.
func (l *Limiter) lateBy(request Request, position int, now time.Time) time.Duration {
	rate := l.rate(request.Service, now) * float64(len(request.Engines))
	if rate <= 0 {
		return maxRetry
	}
	ahead := 0
	for _, known := range l.waiting[:position] {
		if known.Service == request.Service {
			ahead++
		}
	}
	tokens := 0.0
	for _, engine := range request.Engines {
		known := l.bucket(engine)
		known.fill(now, l.rate(request.Service, now))
		tokens += known.level
	}
	wait := max(0, time.Duration((float64(ahead)+1-tokens)/rate*float64(time.Second)))
	wait = max(wait, l.grantsFrom.Sub(now))
	return wait - request.Wait
}

// rate returns the grants per second and engine of a service, reduced by the age of the lease. The mutex must be held.
func (l *Limiter) rate(service string, now time.Time) float64 {
	rate := l.Rate(service)
	switch leaseAge := now.Sub(l.LeaseConfirmedAt()); {
	case leaseAge > leaseFreshness+StaleLife:
		return 0
	case leaseAge > leaseFreshness:
		return StaleShare * rate
	}
	return rate
}

// bucket returns an engine's bucket, creating a full one if needed. The mutex must be held.
func (l *Limiter) bucket(engine string) *bucket {
	known, ok := l.buckets[engine]
	if !ok {
		known = &bucket{level: Depth, at: l.Now()}
		l.buckets[engine] = known
	}
	return known
}

// serve issues the grants that are due and returns the pause until the next round.
func (l *Limiter) serve() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	l.logStale(now)
	pause := maxServePause
	l.waiting = slices.DeleteFunc(l.waiting, func(known *waitingRequest) bool {
		engine, wait := l.choose(known.Request, now)
		if engine != "" {
			l.bucket(engine).take()
			l.counts.Granted++
			known.answer <- grant{engine: engine, at: now}
			return true
		}
		if !now.Before(known.until) {
			l.counts.Refused++
			known.answer <- grant{}
			return true
		}
		pause = max(min(pause, wait, known.until.Sub(now)), time.Millisecond)
		return false
	})
	for id, known := range l.buckets {
		if now.Sub(known.at) > bucketTTL {
			delete(l.buckets, id)
		}
	}
	if len(l.waiting) == 0 {
		// The next Request wakes Lead.
		return time.Hour
	}
	return pause
}

// choose returns an engine that may be granted to a Request now, or the time until one may be available. It takes no token. The mutex must be held.
func (l *Limiter) choose(request Request, now time.Time) (engine string, wait time.Duration) {
	rate := l.rate(request.Service, now)
	wait = maxServePause
	if rate <= 0 {
		return "", wait
	}
	if startDelay := l.grantsFrom.Sub(now); startDelay > 0 {
		return "", startDelay
	}
	// Starts at a random engine; the first in the list would otherwise get all grants under low demand.
	first := 0
	if len(request.Engines) > 1 {
		first = rand.IntN(len(request.Engines))
	}
	for i := range request.Engines {
		id := request.Engines[(first+i)%len(request.Engines)]
		ready := l.bucket(id).wait(now, rate)
		if ready == 0 {
			return id, 0
		}
		wait = min(wait, ready)
	}
	return "", wait
}

// reply returns the Reply for a grant. Held ends when the grant was issued, not now: if the process was suspended in between, others may have been
// granted since.
func (l *Limiter) reply(entry *waitingRequest, given grant) Reply {
	l.mu.Lock()
	defer l.mu.Unlock()
	if given.engine == "" {
		return Reply{Leading: l.leading, RetryAfter: minRetry}
	}
	return Reply{Leading: l.leading, Engine: given.engine, Held: given.at.Sub(entry.enqueuedAt)}
}

func (l *Limiter) dequeue(entry *waitingRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting = slices.DeleteFunc(l.waiting, func(known *waitingRequest) bool { return known == entry })
}

// Available reports whether TryAcquire would grant a send now.
func (l *Limiter) Available(service, engine string, rank routing.Rank) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.available(service, engine, rank)
}

// TryAcquire grants one send of this process to an engine. It returns false if no grant is available now or a waiting Request of at least the same
// urgency competes for it.
func (l *Limiter) TryAcquire(service, engine string, rank routing.Rank) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.available(service, engine, rank) {
		l.counts.Refused++
		return false
	}
	l.bucket(engine).take()
	l.counts.Granted++
	return true
}

// The mutex must be held.
func (l *Limiter) available(service, engine string, rank routing.Rank) bool {
	if !l.leading {
		return false
	}
	for _, known := range l.waiting {
		if known.Rank.Compare(rank) > 0 {
			break
		}
		if slices.Contains(known.Engines, engine) {
			return false
		}
	}
	granted, _ := l.choose(Request{Service: service, Engines: []string{engine}}, l.Now())
	return granted != ""
}

// logStale logs when the age of the lease starts or stops reducing the grants. The mutex must be held.
func (l *Limiter) logStale(now time.Time) {
	leaseAge := now.Sub(l.LeaseConfirmedAt())
	if stale := leaseAge > leaseFreshness; stale != l.stale {
		l.stale = stale
		level.Info(l.Logger).Log("msg", "cold-start grant rate changed", "reduced", stale, "lease_age", leaseAge.Round(time.Millisecond), "waiting", len(l.waiting))
	}
}

// Waiting returns the number of waiting Requests.
func (l *Limiter) Waiting() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiting)
}

// Counts returns the total decisions so far.
func (l *Limiter) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}
