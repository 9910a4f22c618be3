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
	// grantReturn is how long the question and the answer may take on their way: two ways between regions, and what busy processes add.
	grantReturn = GrantLife - forward.GrantedSendTime
	// maxAsked bounds the engines of one question, and with them its size.
	maxAsked = 16
	// failedPause is how long nobody is asked after a question that nobody has answered.
	failedPause = 100 * time.Millisecond
	// lineInterval is the least time between two lines about questions that were not answered.
	lineInterval = time.Second
)

// AskerParams are what an Asker works with.
type AskerParams struct {
	Warmth *Warmth
	// Ask asks the process that coordinates.
	Ask func(ctx context.Context, request Request) (Reply, error)
	// Now is a clock that counts suspensions of the machine.
	Now func() time.Time
	// Observe is told of each answer, for metrics; nil for nobody.
	Observe func(answer Answer)
	Logger  log.Logger
}

// Answer is what became of a request that needed a grant.
type Answer string

// The answers.
const (
	// AnswerGranted: the request may be sent.
	AnswerGranted Answer = "granted"
	// AnswerRefused: there was no grant in time; the request was not sent.
	AnswerRefused Answer = "refused"
	// AnswerLate: the grant came when its life was over; the request was not sent.
	AnswerLate Answer = "late"
	// AnswerSpared: the coordinating process was not asked again so soon; the request was not sent.
	AnswerSpared Answer = "spared"
	// AnswerFailed: nobody answered; the request was not sent.
	AnswerFailed Answer = "failed"
)

// Asker grants what the coordinating process grants. It implements forward.Quota.
type Asker struct {
	AskerParams

	mu sync.Mutex
	// spared are the services for which nobody is asked for now, by rank.
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
	ctx, cancel := context.WithTimeout(ctx, request.Wait+grantReturn)
	defer cancel()
	reply, err := a.Ask(ctx, request)
	now := a.Now()
	switch {
	case ctx.Err() == nil && (err != nil || !reply.Leading):
		a.spare(key, now, failedPause)
		a.tellFailed(key.service, now, err)
		return nil, AnswerFailed
	case err != nil || !reply.Leading:
		return nil, AnswerFailed
	case reply.Engine == "":
		a.spare(key, now, reply.RetryAfter)
		return nil, AnswerRefused
	case reply.late(now.Sub(asked)):
		return nil, AnswerLate
	}
	return byID[reply.Engine], AnswerGranted
}

// late reports whether the life of a grant may be over a time after it was asked for: the answer was long on its way, or this process did not
// get to run, and others may have been granted the time since.
func (r Reply) late(took time.Duration) bool { return took > r.Held+grantReturn }

// sample returns some of the engines by ID, as many as one question names.
func sample(engines []*fleet.Engine) map[string]*fleet.Engine {
	first := rand.IntN(len(engines))
	found := make(map[string]*fleet.Engine, min(len(engines), maxAsked))
	for i := range min(len(engines), maxAsked) {
		engine := engines[(first+i)%len(engines)]
		found[engine.ID] = engine
	}
	return found
}

// isSpared reports whether it is known that there will be no grant yet.
func (a *Asker) isSpared(key spareKey, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return now.Before(a.spared[key])
}

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

// tellFailed logs a question that nobody answered, once a lineInterval.
func (a *Asker) tellFailed(service string, now time.Time, err error) {
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
