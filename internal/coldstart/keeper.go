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
	// GrantLife is how long after a grant was given its send may leave: grantReturn to reach the Asker, then forward.GrantedSendTime.
	GrantLife = 250 * time.Millisecond
	// quietTime is how long a new term gives no grants. The former holder of the lease may grant at the full rate until freshness after it last saw
	// its lease, which was at least electionTime before the new term began. Those grants last GrantLife, and the bound on sends holds over a second.
	quietTime = freshness + GrantLife + time.Second - electionTime
	// electionTime is the least time between the last moment at which a holder can have seen its lease unchallenged and the next term: as long as
	// package election waits for the answer to a challenge.
	electionTime = election.ChallengeTime
	// freshness is how recently the store must have shown the holder its lease for it to grant at the full rate: the lease's watch answers at
	// least once a second, or fails 0.4 s later.
	freshness = 1500 * time.Millisecond
	// StaleLife is how long after freshness a holder still grants, at StaleShare of the rate: the store may be down for all, and then no other
	// process coordinates. It is short enough that, if two holders are replaced in turn without knowing it, the first has stopped when the third
	// begins to grant.
	StaleLife = 1500 * time.Millisecond
	// StaleShare keeps the sum of the grants of a holder and of a former holder that does not know it within 1.5 times the rate:
	// (1 + 0.2) * (1 s + GrantLife) is 1.5 s.
	StaleShare = 0.2
	// maxWaiting bounds the Requests that wait for a grant, each of which holds some 100 bytes and an open call.
	maxWaiting = 1024
	// forgetBucket is how long an unused bucket is kept: by then it is full at any rate above 1 in 30 s.
	forgetBucket = 30 * time.Second
	// maxServePause is the longest pause between two rounds of grants while Requests wait: rates and the age of the lease change without notice.
	maxServePause = 100 * time.Millisecond
	// minRetry and maxRetry bound how long an Asker is told not to ask again: the lower bounds the calls of a gateway for a service and rank, the
	// upper is how late a gateway learns that there are grants again.
	minRetry = 20 * time.Millisecond
	maxRetry = 300 * time.Millisecond
)

// KeeperParams are the dependencies of a Keeper. All must be set.
type KeeperParams struct {
	// Rate returns the cold rate of a service, in requests a second for each engine; at zero nothing is granted.
	Rate func(service string) float64
	// ShownAt returns when, by the keeper's clock, the store last showed this process the lease.
	ShownAt func() time.Time
	// Now is a clock that counts suspensions of the machine.
	Now    func() time.Time
	Logger log.Logger
}

// Keeper gives the grants of the coordinating process. It is safe for concurrent use.
type Keeper struct {
	KeeperParams

	mu sync.Mutex
	// leading is true during a term, and grantsFrom when its first grant may be given.
	leading    bool
	grantsFrom time.Time
	buckets    map[string]*bucket
	// waiting are the Requests that wait, by rank and then by arrival.
	waiting []*waitingRequest
	// wake makes Lead look at once after a Request came.
	wake   chan struct{}
	counts Counts
	// stale is true while the lease is older than freshness, as it was logged last.
	stale bool
}

// Counts are a Keeper's decisions since it was made.
type Counts struct{ Granted, Refused int64 }

// waitingRequest is a Request that waits for a grant.
type waitingRequest struct {
	Request
	until   time.Time
	entered time.Time
	// answer receives the grant, or the zero grant if there will be none. It has room for one, so that the Keeper never blocks.
	answer chan grant
}

// grant permits one send to an engine, and was given at a moment of the Keeper's clock. The zero value is no grant.
type grant struct {
	engine string
	at     time.Time
}

// NewKeeper returns a Keeper that grants nothing until Lead.
func NewKeeper(params KeeperParams) *Keeper {
	return &Keeper{KeeperParams: params, buckets: make(map[string]*bucket), wake: make(chan struct{}, 1)}
}

// Lead gives grants until the end of the term, which is that of ctx.
func (k *Keeper) Lead(ctx context.Context) {
	k.begin()
	defer k.end()
	for ctx.Err() == nil {
		wait := k.serve()
		timer := time.NewTimer(wait)
		select {
		case <-k.wake:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

func (k *Keeper) begin() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.leading, k.stale = true, false
	k.grantsFrom = k.Now().Add(quietTime)
	k.buckets = make(map[string]*bucket)
}

func (k *Keeper) end() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.leading = false
	for _, waiting := range k.waiting {
		waiting.answer <- grant{}
	}
	k.waiting = nil
}

// Ask answers a Request as soon as it is granted, or it is known that it will not be in time.
func (k *Keeper) Ask(ctx context.Context, request Request) Reply {
	asked, refused := k.enter(request)
	if refused != nil {
		return *refused
	}
	select {
	case given := <-asked.answer:
		return k.reply(asked, given)
	case <-ctx.Done():
		// The caller is gone. A grant that was given at the same moment stays unused.
		k.leave(asked)
		return Reply{Leading: true}
	}
}

// enter queues a Request, or returns the Reply if it is known at once that there will be no grant in time.
func (k *Keeper) enter(request Request) (*waitingRequest, *Reply) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.Now()
	if !k.leading {
		return nil, &Reply{}
	}
	place, _ := slices.BinarySearchFunc(k.waiting, request.Rank, func(known *waitingRequest, rank routing.Rank) int {
		if known.Rank.Compare(rank) > 0 {
			return 1
		}
		return -1
	})
	if late := k.lateBy(request, place, now); late > 0 || len(k.waiting) >= maxWaiting {
		k.counts.Refused++
		return nil, &Reply{Leading: true, RetryAfter: min(max(late, minRetry), maxRetry)}
	}
	asked := &waitingRequest{Request: request, until: now.Add(request.Wait), entered: now, answer: make(chan grant, 1)}
	k.waiting = slices.Insert(k.waiting, place, asked)
	select {
	case k.wake <- struct{}{}:
	default:
	}
	return asked, nil
}

// lateBy returns by how much a Request at a place in the queue would be granted too late; zero or less if it would be in time. The mutex must be
// held.
func (k *Keeper) lateBy(request Request, place int, now time.Time) time.Duration {
	rate := k.rate(request.Service, now) * float64(len(request.Engines))
	if rate <= 0 {
		return maxRetry
	}
	ahead := 0
	for _, known := range k.waiting[:place] {
		if known.Service == request.Service {
			ahead++
		}
	}
	tokens := 0.0
	for _, engine := range request.Engines {
		known := k.bucket(engine)
		known.fill(now, k.rate(request.Service, now))
		tokens += known.level
	}
	takes := max(0, time.Duration((float64(ahead)+1-tokens)/rate*float64(time.Second)))
	takes = max(takes, k.grantsFrom.Sub(now))
	return takes - request.Wait
}

// rate returns the grants a second for each engine of a service, reduced by the age of the lease. The mutex must be held.
func (k *Keeper) rate(service string, now time.Time) float64 {
	rate := k.Rate(service)
	switch unseen := now.Sub(k.ShownAt()); {
	case unseen > freshness+StaleLife:
		return 0
	case unseen > freshness:
		return StaleShare * rate
	}
	return rate
}

// bucket returns an engine's bucket, a full one if it has none yet. The mutex must be held.
func (k *Keeper) bucket(engine string) *bucket {
	known, ok := k.buckets[engine]
	if !ok {
		known = &bucket{level: Depth, at: k.Now()}
		k.buckets[engine] = known
	}
	return known
}

// serve gives the grants that are due, and returns how long to pause before the next round.
func (k *Keeper) serve() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.Now()
	k.noteStale(now)
	pause := maxServePause
	k.waiting = slices.DeleteFunc(k.waiting, func(known *waitingRequest) bool {
		engine, wait := k.choose(known.Request, now)
		if engine != "" {
			k.bucket(engine).take()
			k.counts.Granted++
			known.answer <- grant{engine: engine, at: now}
			return true
		}
		if !now.Before(known.until) {
			k.counts.Refused++
			known.answer <- grant{}
			return true
		}
		pause = max(min(pause, wait, known.until.Sub(now)), time.Millisecond)
		return false
	})
	for id, known := range k.buckets {
		if now.Sub(known.at) > forgetBucket {
			delete(k.buckets, id)
		}
	}
	if len(k.waiting) == 0 {
		// Lead is woken by the next Request.
		return time.Hour
	}
	return pause
}

// choose returns an engine that may be granted to a Request now, or after what time there may be one. It takes no token. The mutex must be held.
func (k *Keeper) choose(request Request, now time.Time) (engine string, wait time.Duration) {
	rate := k.rate(request.Service, now)
	wait = maxServePause
	if rate <= 0 {
		return "", wait
	}
	if quiet := k.grantsFrom.Sub(now); quiet > 0 {
		return "", quiet
	}
	// The search begins at a random engine: otherwise the first of the list would get all grants while demand is low.
	first := 0
	if len(request.Engines) > 1 {
		first = rand.IntN(len(request.Engines))
	}
	for i := range request.Engines {
		id := request.Engines[(first+i)%len(request.Engines)]
		ready := k.bucket(id).wait(now, rate)
		if ready == 0 {
			return id, 0
		}
		wait = min(wait, ready)
	}
	return "", wait
}

// reply returns the Reply with a grant. Held ends when the grant was given, not now: a process that was suspended in between may have granted others
// since.
func (k *Keeper) reply(asked *waitingRequest, given grant) Reply {
	k.mu.Lock()
	defer k.mu.Unlock()
	if given.engine == "" {
		return Reply{Leading: k.leading, RetryAfter: minRetry}
	}
	return Reply{Leading: k.leading, Engine: given.engine, Held: given.at.Sub(asked.entered)}
}

func (k *Keeper) leave(asked *waitingRequest) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.waiting = slices.DeleteFunc(k.waiting, func(known *waitingRequest) bool { return known == asked })
}

// Free reports whether Take would grant a send now.
func (k *Keeper) Free(service, engine string, rank routing.Rank) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.free(service, engine, rank)
}

// Take grants one send of this process to an engine. It reports false if there is no grant now, or a Request that is as urgent waits for it.
func (k *Keeper) Take(service, engine string, rank routing.Rank) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.free(service, engine, rank) {
		k.counts.Refused++
		return false
	}
	k.bucket(engine).take()
	k.counts.Granted++
	return true
}

// free is Free. The mutex must be held.
func (k *Keeper) free(service, engine string, rank routing.Rank) bool {
	if !k.leading {
		return false
	}
	for _, known := range k.waiting {
		if known.Rank.Compare(rank) > 0 {
			break
		}
		if slices.Contains(known.Engines, engine) {
			return false
		}
	}
	granted, _ := k.choose(Request{Service: service, Engines: []string{engine}}, k.Now())
	return granted != ""
}

// noteStale logs when grants begin or end to be reduced because of the lease's age. The mutex must be held.
func (k *Keeper) noteStale(now time.Time) {
	unseen := now.Sub(k.ShownAt())
	if stale := unseen > freshness; stale != k.stale {
		k.stale = stale
		level.Info(k.Logger).Log("msg", "grants for cold engines", "reduced", stale, "lease_age", unseen.Round(time.Millisecond), "waiting", len(k.waiting))
	}
}

// Waiting returns the number of Requests that wait.
func (k *Keeper) Waiting() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.waiting)
}

// Counts returns the counts so far.
func (k *Keeper) Counts() Counts {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.counts
}
