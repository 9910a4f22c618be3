package coldstart

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/routing"
)

const (
	// GrantLife is for how long after it was given a send may leave by a grant: grantReturn, and forward.GrantedSendTime from then on.
	GrantLife = 250 * time.Millisecond
	// quietTime is how long a new term gives no grants: the former holder may give some at its full rate until freshness after it last saw
	// its lease, which was at least electionTime before the term began; they last GrantLife, and a second later none of them counts.
	quietTime = freshness + GrantLife + time.Second - electionTime
	// electionTime is the least time between the last moment at which a holder may have seen its lease unchallenged and the next term: how
	// long package election waits for the answer to a challenge.
	electionTime = 1200 * time.Millisecond
	// freshness is how long ago the store must have shown a holder its lease for it to grant at the full rate: the lease's watch answers each
	// second, or breaks off 0.4 s later.
	freshness = 1500 * time.Millisecond
	// StaleLife is for how long after that a holder grants at StaleShare of the rate. A store that is down for all looks the same to it, and
	// changes no coordinator. Of two holders that were replaced one after the other without knowing, the first has stopped when the third
	// begins to grant.
	StaleLife = 1500 * time.Millisecond
	// StaleShare keeps the sum of a process that coordinates and one that does not know that it does no more below 1.5 times the rate:
	// (1 + 0.2) * (1 s + GrantLife) is 1.5.
	StaleShare = 0.2
	// maxWaiting bounds the questions that wait for a grant: some 100 bytes and a waiting call each.
	maxWaiting = 1024
	// forgetBucket is how long an engine is remembered after the last grant: by then its bucket is full at any rate that matters.
	forgetBucket = 30 * time.Second
	// looseWait is the longest pause between two looks at buckets.
	looseWait = 100 * time.Millisecond
)

// Request asks for a grant.
type Request struct {
	Service string
	// Engines are the cold engines that may be sent the request.
	Engines []string
	Rank    routing.Rank
	// Wait is how long the question may wait.
	Wait time.Duration
}

// Reply answers a Request.
type Reply struct {
	// Leading is false if the process does not coordinate; the rest is empty then.
	Leading bool
	// Engine is the one that may be sent the request; empty for none.
	Engine string
	// Held is how long the question waited here.
	Held time.Duration
	// RetryAfter is, without a grant, for how long no question of this rank or a later one for the service will be granted.
	RetryAfter time.Duration
}

// KeeperParams are what a Keeper works with.
type KeeperParams struct {
	// Rate returns how many requests a second a cold engine of a service bears; zero grants nothing.
	Rate func(service string) float64
	// ShownAt returns when, by the keeper's clock, the store last showed this process the lease.
	ShownAt func() time.Time
	// Now is a clock that counts suspensions of the machine.
	Now    func() time.Time
	Logger log.Logger
}

// Keeper gives the grants of the process that coordinates. It is safe for concurrent use.
type Keeper struct {
	KeeperParams

	mu sync.Mutex
	// leading is true during a term, and grantsFrom when its first grant may be given.
	leading    bool
	grantsFrom time.Time
	buckets    map[string]*bucket
	// waiting are the questions, the most urgent first, in the order of their arrival among those of one rank.
	waiting []*question
	wake    chan struct{}
	counts  Counts
	stale   bool
}

// Counts are what a Keeper has decided since it was made.
type Counts struct{ Granted, Refused int64 }

// question is a Request that waits.
type question struct {
	Request
	until   time.Time
	entered time.Time
	// answer holds the grant, or one without an engine once there will be none.
	answer chan grant
}

// grant lets one request be sent to an engine.
type grant struct {
	engine string
	at     time.Time
}

// NewKeeper returns a Keeper that grants nothing until Lead.
func NewKeeper(params KeeperParams) *Keeper {
	return &Keeper{KeeperParams: params, buckets: make(map[string]*bucket), wake: make(chan struct{}, 1)}
}

// Lead gives grants until ctx ends, which is the end of the term.
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

// Ask answers a Request once there is a grant, or there will be none in time.
func (k *Keeper) Ask(ctx context.Context, request Request) Reply {
	asked, refused := k.enter(request)
	if refused != nil {
		return *refused
	}
	select {
	case given := <-asked.answer:
		return k.reply(asked, given)
	case <-ctx.Done():
		// Nobody waits for the answer any more; one that came at the same moment is not used.
		k.leave(asked)
		return Reply{Leading: true}
	}
}

// enter queues a request, or returns the reply if it can be told at once that there will be no grant in time.
func (k *Keeper) enter(request Request) (*question, *Reply) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.Now()
	if !k.leading {
		return nil, &Reply{}
	}
	place, _ := slices.BinarySearchFunc(k.waiting, request.Rank, func(known *question, rank routing.Rank) int {
		if known.Rank.Compare(rank) > 0 {
			return 1
		}
		return -1
	})
	if late := k.lateBy(request, place, now); late > 0 || len(k.waiting) >= maxWaiting {
		k.counts.Refused++
		return nil, &Reply{Leading: true, RetryAfter: min(max(late, minRetry), maxRetry)}
	}
	asked := &question{Request: request, until: now.Add(request.Wait), entered: now, answer: make(chan grant, 1)}
	k.waiting = slices.Insert(k.waiting, place, asked)
	select {
	case k.wake <- struct{}{}:
	default:
	}
	return asked, nil
}

const (
	// minRetry and maxRetry bound for how long an asker is told to ask no more.
	minRetry = 20 * time.Millisecond
	maxRetry = 300 * time.Millisecond
)

// lateBy returns by how much the questions before a place in the queue, and this one, take longer than the request can wait; negative or zero if
// they do not. The mutex must be held.
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
	ready := 0.0
	for _, engine := range request.Engines {
		known := k.bucket(engine)
		known.fill(now, k.rate(request.Service, now))
		ready += known.level
	}
	takes := max(0, time.Duration((float64(ahead)+1-ready)/rate*float64(time.Second)))
	takes = max(takes, k.grantsFrom.Sub(now))
	return takes - request.Wait
}

// rate returns how many grants a second an engine of a service may have now. The mutex must be held.
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

// bucket returns an engine's. The mutex must be held.
func (k *Keeper) bucket(engine string) *bucket {
	known, ok := k.buckets[engine]
	if !ok {
		known = &bucket{level: Depth, at: k.Now()}
		k.buckets[engine] = known
	}
	return known
}

// serve gives the grants that there are, and returns when to look again.
func (k *Keeper) serve() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.Now()
	k.noteStale(now)
	next := looseWait
	k.waiting = slices.DeleteFunc(k.waiting, func(known *question) bool {
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
		next = max(min(next, wait, known.until.Sub(now)), time.Millisecond)
		return false
	})
	for id, known := range k.buckets {
		if now.Sub(known.at) > forgetBucket {
			delete(k.buckets, id)
		}
	}
	if len(k.waiting) == 0 {
		return time.Hour
	}
	return next
}

// choose returns an engine with a grant for a request, or after which time there may be one. The mutex must be held.
func (k *Keeper) choose(request Request, now time.Time) (engine string, wait time.Duration) {
	rate := k.rate(request.Service, now)
	wait = looseWait
	if rate <= 0 {
		return "", wait
	}
	if quiet := k.grantsFrom.Sub(now); quiet > 0 {
		return "", quiet
	}
	// Engines are asked from a random one on: the first of a list would get all grants while few are asked for.
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

// reply tells when the grant was given, not when this is told: a coordinator that was suspended in between has granted others since.
func (k *Keeper) reply(asked *question, given grant) Reply {
	k.mu.Lock()
	defer k.mu.Unlock()
	if given.engine == "" {
		return Reply{Leading: k.leading, RetryAfter: minRetry}
	}
	return Reply{Leading: k.leading, Engine: given.engine, Held: given.at.Sub(asked.entered)}
}

func (k *Keeper) leave(asked *question) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.waiting = slices.DeleteFunc(k.waiting, func(known *question) bool { return known == asked })
}

// Free reports whether Take would give a grant to a request of this process.
func (k *Keeper) Free(service, engine string, rank routing.Rank) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.free(service, engine, rank)
}

// Take gives a grant to a request of this process, if there is one now and no question as urgent waits for it.
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

// noteStale logs when the store stops, and begins again, to show the lease. The mutex must be held.
func (k *Keeper) noteStale(now time.Time) {
	unseen := now.Sub(k.ShownAt())
	if stale := unseen > freshness; stale != k.stale {
		k.stale = stale
		level.Info(k.Logger).Log("msg", "grants for cold engines", "reduced", stale, "lease_age", unseen.Round(time.Millisecond), "waiting", len(k.waiting))
	}
}

// Waiting returns the number of questions that wait.
func (k *Keeper) Waiting() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.waiting)
}

// Counts returns what was decided so far.
func (k *Keeper) Counts() Counts {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.counts
}
