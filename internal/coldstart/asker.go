package coldstart

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/forward"
	"github.com/covelink/covelink/internal/routing"
)

const (
	// grantReturn is how long a Request and its Reply may be under way together: a round trip between regions, and what busy processes add. It
	// is what GrantLife leaves once the send has its time.
	grantReturn = GrantLife - forward.GrantedSendTime
	// maxAsked bounds the engines that one Request names, and so its size.
	maxAsked = 16
	// failedPause is how long no Request is made for a service and rank after one that failed: nobody may coordinate, and every request that waits
	// would ask again at once.
	failedPause = 100 * time.Millisecond
	// lineInterval is the least time between two log lines about Requests that were not answered.
	lineInterval = time.Second
)

// AskerParams are the dependencies of an Asker. All but Observe must be set.
type AskerParams struct {
	Warmth *Warmth
	// Ask sends a Request to the coordinating process.
	Ask func(ctx context.Context, request Request) (Reply, error)
	// Now is a clock that counts suspensions of the machine.
	Now func() time.Time
	// Observe is told of each answer, for metrics; it may be nil.
	Observe func(answer Answer)
	Logger  log.Logger
}

// Answer is the outcome of asking for a grant. Its value is a label of a metric.
type Answer string

// The answers.
const (
	// AnswerGranted: the request may be sent.
	AnswerGranted Answer = "granted"
	// AnswerRefused: there was no grant in time; the request was not sent.
	AnswerRefused Answer = "refused"
	// AnswerLate: the grant arrived too late to be used; the request was not sent.
	AnswerLate Answer = "late"
	// AnswerSpared: the coordinating process was not asked, as it was known that there would be no grant; the request was not sent.
	AnswerSpared Answer = "spared"
	// AnswerFailed: nobody that coordinates answered, or the caller stopped waiting; the request was not sent.
	AnswerFailed Answer = "failed"
)

// Asker gets grants from the coordinating process. It implements forward.Quota.
type Asker struct {
	AskerParams

	mu sync.Mutex
	// spared maps services and ranks to the moment until which no Request is made for them.
	spared map[spareKey]time.Time
	toldAt time.Time
}

type spareKey struct {
	service string
	rank    routing.Rank
}

var _ forward.Quota = (*Asker)(nil)

// NewAsker returns an Asker.
func NewAsker(params AskerParams) *Asker {
	return &Asker{AskerParams: params, spared: make(map[spareKey]time.Time)}
}

// Cold implements forward.Quota.
func (a *Asker) Cold(engine *fleet.Engine) bool { return a.Warmth.Cold(engine) }

// Acquire implements forward.Quota.
func (a *Asker) Acquire(ctx context.Context, engines []*fleet.Engine, rank routing.Rank, until time.Time) *fleet.Engine {
	if len(engines) == 0 {
		return nil
	}
	engine, answer := a.acquire(ctx, engines, rank, until)
	if a.Observe != nil {
		a.Observe(answer)
	}
	return engine
}

func (a *Asker) acquire(ctx context.Context, engines []*fleet.Engine, rank routing.Rank, until time.Time) (*fleet.Engine, Answer) {
	asked := a.Now()
	key := spareKey{service: engines[0].Service, rank: rank}
	request := Request{Service: key.service, Rank: rank, Wait: until.Sub(asked)}
	if request.Wait < 0 || a.isSpared(key, asked) {
		return nil, AnswerSpared
	}
	byID := sample(engines)
	for id := range byID {
		request.Engines = append(request.Engines, id)
	}
	askCtx, cancel := context.WithTimeout(ctx, request.Wait+grantReturn)
	defer cancel()
	reply, err := a.Ask(askCtx, request)
	now := a.Now()
	switch {
	case err != nil || !reply.Leading:
		if ctx.Err() == nil {
			a.logFailed(key.service, now, err)
		}
		if askCtx.Err() == nil {
			// Without the pause each request that waits would ask again at once; one whose time is over does not.
			a.spare(key, now, failedPause)
		}
		return nil, AnswerFailed
	case reply.Engine == "":
		a.spare(key, now, reply.RetryAfter)
		return nil, AnswerRefused
	case reply.late(now.Sub(asked)):
		return nil, AnswerLate
	}
	return byID[reply.Engine], AnswerGranted
}

// late reports whether a grant may be used no more, given the time since it was asked for: the Reply took long, or this process was suspended, and
// the Keeper may have granted others since.
func (r Reply) late(took time.Duration) bool { return took > r.Held+grantReturn }

// sample returns up to maxAsked of the engines by ID, from a random one on.
func sample(engines []*fleet.Engine) map[string]*fleet.Engine {
	first := rand.IntN(len(engines))
	found := make(map[string]*fleet.Engine, min(len(engines), maxAsked))
	for i := range min(len(engines), maxAsked) {
		engine := engines[(first+i)%len(engines)]
		found[engine.ID] = engine
	}
	return found
}

// isSpared reports whether it is known that there will be no grant now.
func (a *Asker) isSpared(key spareKey, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return now.Before(a.spared[key])
}

// spare stops Requests for a service and rank for a time.
func (a *Asker) spare(key spareKey, now time.Time, length time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for known, until := range a.spared {
		if !now.Before(until) {
			delete(a.spared, known)
		}
	}
	a.spared[key] = now.Add(length)
}

// logFailed logs a Request that was not answered, at most once a lineInterval.
func (a *Asker) logFailed(service string, now time.Time, err error) {
	a.mu.Lock()
	due := now.Sub(a.toldAt) >= lineInterval
	if due {
		a.toldAt = now
	}
	a.mu.Unlock()
	if due {
		level.Info(a.Logger).Log("msg", "no grant for cold engines", "service", service, "err", err)
	}
}
