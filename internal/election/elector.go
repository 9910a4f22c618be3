package election

import (
	"context"
	"hash/fnv"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/google/uuid"

	"github.com/covelink/covelink/internal/metastore"
	"github.com/covelink/covelink/internal/pause"
)

const (
	// pingInterval is the pause between two questions to the holder: with pingTimeout it makes at most 1.2 s until a lost holder is
	// challenged, during which trainers' jobs stand still.
	pingInterval = 250 * time.Millisecond
	// pingTimeout bounds a question. A holder that answers none in time for want of processor answers the challenge.
	pingTimeout = 350 * time.Millisecond
	// maxMisses is how many questions in a row may stay without answer before the holder is challenged.
	maxMisses = 2
	// ChallengeTime is how long the holder has to answer a challenge: it takes it two calls to the store, of 240 ms each where the store is
	// sixty times slower than usual. A holder that shows no sign of life is succeeded no sooner than that after its lease was unchallenged.
	ChallengeTime = 900 * time.Millisecond
	// challengePause is how long a candidate leaves a holder in peace that has answered a challenge.
	challengePause = 3 * time.Second
	// namesakePause is the pause before the lease is taken from another process that bears this node's name.
	namesakePause = 5 * time.Second
	// writeTimeout bounds one write of the lease.
	writeTimeout = time.Second
	// challengeTimeout bounds the write of a challenge: a store that serves answers within some hundred milliseconds, and one that was
	// silent must not hold up the next attempt.
	challengeTimeout = 600 * time.Millisecond
	// challengeRetry is the pause before a challenge is tried again that could not be written.
	challengeRetry = 150 * time.Millisecond
	// maxJitter spreads the candidates' attempts at a lease that is free, their challenges and their requests to yield: of ten, the first
	// is some 10 ms ahead of the second, in which the others learn of what it wrote. With two it is the price of a takeover.
	maxJitter = 100 * time.Millisecond
)

// Params are what an Elector works with.
type Params struct {
	// Name and Address are this process's.
	Name    string
	Address string
	Store   metastore.Client
	// Followers follow the lease in the store.
	Followers metastore.Follower
	// Ping asks the process at an address whether it is the instance and holds the lease, and for how long the store has served no
	// call of it.
	Ping func(ctx context.Context, address, instance string) (unserved time.Duration, err error)
	// Yield asks the process at an address to stop its term, if it is the instance and the store does not serve it. It returns nil
	// once nothing of the term goes on. A nil function leaves such a holder alone.
	Yield func(ctx context.Context, address, instance string, token int64) error
	// Unserved returns for how long the store has served no call of this process, and Served for how long it has served all; both are
	// nil if Yield is.
	Unserved func() time.Duration
	Served   func() time.Duration
	// Lead coordinates until ctx ends. It must return soon after.
	Lead func(ctx context.Context, term Term)
	// Zone is this process's, and Region returns the region of a zone, empty if it is not known. A nil function means that no process is
	// away from home.
	Zone   string
	Region func(zone string) string
	// Distance returns how long a call of this process to the store takes, zero if that is not known; nil if it does not matter.
	Distance func() time.Duration
	// Eligible is false while this process must not hold the lease; nil means always true.
	Eligible func() bool
	Logger   log.Logger
}

// Elector campaigns for the lease and leads while it holds it.
type Elector struct {
	Params
	*Watcher
	instance string
	// held is true once this start of the process has held the lease. It belongs to Run.
	held bool
	// yields are requests to stop the term that lasts.
	yields chan yieldRequest
	// yieldMutex guards yieldedToken, the token of the last term that this process has yielded.
	yieldMutex   sync.Mutex
	yieldedToken int64
	home         home
}

// New returns an Elector. Run starts it.
func New(params Params) *Elector {
	return &Elector{Params: params, Watcher: NewWatcher(params.Followers, params.Logger), instance: uuid.NewString(), yields: make(chan yieldRequest)}
}

// Instance returns the name of this start of the process.
func (e *Elector) Instance() string { return e.instance }

// Leading reports whether this process holds the lease, as far as it knows, for answers to Ping.
func (e *Elector) Leading() bool {
	lease, known, _ := e.current()
	return known && lease.Instance == e.instance && !e.yielded(lease.Token)
}

// Run follows the lease and campaigns until ctx ends, then gives the lease back.
func (e *Elector) Run(ctx context.Context) {
	following, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go e.Watcher.Run(following)
	e.campaign(ctx)
}

func (e *Elector) campaign(ctx context.Context) {
	for ctx.Err() == nil {
		lease, known, changed := e.current()
		switch {
		case !known:
			pause.Unless(ctx, changed, time.Hour)
		case lease.Instance == e.instance && e.yielded(lease.Token):
			e.awaitSuccessor(ctx, lease, changed)
		case lease.Instance == e.instance:
			e.lead(ctx, lease)
		case !e.eligible():
			pause.Unless(ctx, changed, pingInterval)
		case lease.Holder == "":
			if pause.Unless(ctx, changed, e.turn(lease)) {
				// Another candidate was first.
				continue
			}
			e.acquire(ctx, lease)
		case lease.Holder == e.Name:
			// This machine held it before the process was started again, or another process bears the same name.
			if e.held {
				level.Error(e.Logger).Log("msg", "another process bears this node's name", "instance", lease.Instance)
				pause.Unless(ctx, nil, namesakePause)
			}
			e.acquire(ctx, lease)
		default:
			e.watchHolder(ctx, lease, changed)
		}
	}
}

func (e *Elector) eligible() bool { return e.Eligible == nil || e.Eligible() }

// jitter differs between candidates and is the same for one of them.
func (e *Elector) jitter() time.Duration {
	digest := fnv.New32a()
	digest.Write([]byte(e.Name))
	return time.Duration(digest.Sum32()) % maxJitter
}

// acquire takes the lease if it is still as this process knows it.
func (e *Elector) acquire(ctx context.Context, previous Lease) bool {
	next := Lease{Holder: e.Name, Instance: e.instance, Address: e.Address, Zone: e.Zone, Home: previous.Home, Token: previous.Token + 1}
	return e.store(ctx, previous, next, "lease acquired")
}

func (e *Elector) store(ctx context.Context, previous, next Lease, message string) bool {
	return e.storeWithin(ctx, writeTimeout, previous, next, message)
}

func (e *Elector) storeWithin(ctx context.Context, timeout time.Duration, previous, next Lease, message string) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	stored, err := write(ctx, e.Store, previous, next)
	if err != nil {
		level.Info(e.Logger).Log("msg", "lease not written", "purpose", message, "err", err)
		e.reread(ctx)
		return false
	}
	level.Info(e.Logger).Log("msg", message, "holder", next.Holder, "token", next.Token)
	e.set(stored)
	return true
}

// reread asks the store for the lease, after a write that failed or whose outcome is unknown.
func (e *Elector) reread(ctx context.Context) {
	pause.Unless(ctx, nil, pingInterval/4)
	object, err := e.Store.Get(ctx, KindLeases, leaseName)
	if err == nil {
		e.observe(object)
	}
}

// watchHolder asks the holder whether it lives, and challenges one that does not answer.
func (e *Elector) watchHolder(ctx context.Context, lease Lease, changed <-chan struct{}) {
	misses := 0
	var replaceAfter time.Time
	for misses < maxMisses {
		if pause.Unless(ctx, changed, pingInterval) {
			return
		}
		unserved, err := e.ping(ctx, lease)
		if err != nil {
			misses++
			continue
		}
		misses = 0
		replaces := e.replaces(lease) && time.Now().After(replaceAfter)
		if unserved < unservedLimit && !replaces {
			continue
		}
		// Another candidate may be first.
		if pause.Unless(ctx, changed, e.turn(lease)) {
			return
		}
		e.succeed(ctx, lease)
		if replaces {
			replaceAfter = time.Now().Add(replacePause)
		}
	}
	if pause.Unless(ctx, changed, e.turn(lease)) {
		return
	}
	if e.away(lease) {
		// The holder may have been silent for less than this process's longer wait.
		if _, err := e.ping(ctx, lease); err == nil {
			return
		}
	}
	for !e.challenge(ctx, lease) {
		// The store did not take the challenge. The holder is judged again before the next attempt, not from the start.
		if pause.Unless(ctx, changed, challengeRetry) {
			return
		}
		if _, err := e.ping(ctx, lease); err == nil {
			return
		}
	}
}

func (e *Elector) ping(ctx context.Context, lease Lease) (unserved time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	return e.Ping(ctx, lease.Address, lease.Instance)
}

// challenge asks the holder, through the store, to show that it lives, and takes the lease if it does not. It returns false if the
// store has not taken the challenge and the lease is as it was.
func (e *Elector) challenge(ctx context.Context, lease Lease) (settled bool) {
	if lease.Challenger == "" {
		next := lease
		next.Challenger = e.instance
		if !e.storeWithin(ctx, challengeTimeout, lease, next, "holder challenged") {
			current, _, _ := e.current()
			return ctx.Err() != nil || current.revision != lease.revision
		}
	}
	challenged, _, changed := e.current()
	if challenged.Instance != lease.Instance || challenged.Challenger == "" {
		return true
	}
	patience := ChallengeTime
	if challenged.Challenger != e.instance {
		// Who wrote the challenge goes first.
		patience += maxJitter + e.turn(lease)
	}
	if !pause.Unless(ctx, changed, patience) {
		e.acquire(ctx, challenged)
		return true
	}
	if answered, _, changed := e.current(); answered.Instance == lease.Instance {
		level.Info(e.Logger).Log("msg", "holder answered the challenge", "holder", answered.Holder, "token", answered.Token)
		pause.Unless(ctx, changed, challengePause)
	}
	return true
}

// lead coordinates while the lease is this process's.
func (e *Elector) lead(ctx context.Context, lease Lease) {
	term, cancel := context.WithCancel(ctx)
	defer cancel()
	e.held = true
	e.home.forget()
	var leading sync.WaitGroup
	leading.Go(func() { e.Lead(term, Term{Address: lease.Address, Zone: e.Zone, Token: lease.Token}) })
	for ctx.Err() == nil && e.eligible() {
		current, _, changed := e.current()
		if current.Instance != e.instance || current.Token != lease.Token {
			cancel()
			leading.Wait()
			return
		}
		if current.Challenger != "" {
			e.answer(ctx, current)
			continue
		}
		if e.tellHome(ctx, current) {
			continue
		}
		request, asked := e.awaitYield(ctx, changed)
		if !asked || request.token != lease.Token {
			continue
		}
		e.noteYield(lease.Token)
		cancel()
		leading.Wait()
		level.Info(e.Logger).Log("msg", "lease yielded", "token", lease.Token, "unserved", e.unserved().Round(time.Millisecond))
		close(request.stopped)
		return
	}
	cancel()
	leading.Wait()
	e.release()
}

// awaitYield waits for a request to stop the term, a change of the lease or the next look at it.
func (e *Elector) awaitYield(ctx context.Context, changed <-chan struct{}) (request yieldRequest, asked bool) {
	timer := time.NewTimer(pingInterval)
	defer timer.Stop()
	select {
	case request = <-e.yields:
		return request, true
	case <-changed:
	case <-e.home.changed():
	case <-timer.C:
	case <-ctx.Done():
	}
	return yieldRequest{}, false
}

// answer removes a challenge.
func (e *Elector) answer(ctx context.Context, lease Lease) {
	next := lease
	next.Challenger = ""
	e.store(ctx, lease, next, "challenge answered")
}

// release gives the lease back, so that another candidate need not wait.
func (e *Elector) release() {
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	lease, _, _ := e.current()
	if lease.Instance != e.instance {
		return
	}
	e.store(ctx, lease, Lease{Token: lease.Token, Home: lease.Home}, "lease released")
}
