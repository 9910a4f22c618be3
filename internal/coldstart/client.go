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
	// maxGrantDelay is the time that a Request and its Reply may take in transit together: the part of GrantLife that the send does not need.
	maxGrantDelay     = GrantLife - forward.GrantedSendTime
	maxRequestEngines = 16
	// failureBackoff is how long Requests for a service and rank are suppressed after one failed, so that waiting requests do not all retry at once
	// while there is no coordinator.
	failureBackoff = 100 * time.Millisecond
	// logInterval is the minimum time between two log lines about failed Requests.
	logInterval = time.Second
)

// ClientParams are the dependencies of a Client. All but Observe are required.
type ClientParams struct {
	Tracker *Tracker
	// Ask sends a Request to the coordinator.
	Ask func(ctx context.Context, request Request) (Reply, error)
	// Now is a clock that includes time during which the machine is suspended.
	Now func() time.Time
	// Observe is called with each answer, for metrics; it may be nil.
	Observe func(answer Answer)
	Logger  log.Logger
}

// Answer is the outcome of a request for a grant. Its value is a metric label.
type Answer string

// The answers.
const (
	// AnswerGranted: the request may be sent.
	AnswerGranted Answer = "granted"
	// AnswerRefused: there was no grant in time; the request was not sent.
	AnswerRefused Answer = "refused"
	// AnswerLate: the grant expired before it could be used; the request was not sent.
	AnswerLate Answer = "late"
	// AnswerSkipped: the coordinator was not asked because of a recent refusal or failure, or because no time was left; the request was not sent.
	AnswerSkipped Answer = "spared"
	// AnswerFailed: no coordinator answered, or the caller stopped waiting; the request was not sent.
	AnswerFailed Answer = "failed"
)

// Client requests grants from the coordinator. It implements forward.Quota.
type Client struct {
	ClientParams

	mu sync.Mutex
	// suppressed maps services and ranks to the moment until which no Request is sent for them.
	suppressed map[suppressionKey]time.Time
	lastLogged time.Time
}

type suppressionKey struct {
	service string
	rank    routing.Rank
}

var _ forward.Quota = (*Client)(nil)

// NewClient returns a Client.
func NewClient(params ClientParams) *Client {
	return &Client{ClientParams: params, suppressed: make(map[suppressionKey]time.Time)}
}

// Cold implements forward.Quota.
func (c *Client) Cold(engine *fleet.Engine) bool { return c.Tracker.Cold(engine) }

// Acquire implements forward.Quota.
func (c *Client) Acquire(ctx context.Context, engines []*fleet.Engine, rank routing.Rank, until time.Time) *fleet.Engine {
	if len(engines) == 0 {
		return nil
	}
	engine, answer := c.acquire(ctx, engines, rank, until)
	if c.Observe != nil {
		c.Observe(answer)
	}
	return engine
}

func (c *Client) acquire(ctx context.Context, engines []*fleet.Engine, rank routing.Rank, until time.Time) (*fleet.Engine, Answer) {
	requested := c.Now()
	key := suppressionKey{service: engines[0].Service, rank: rank}
	request := Request{Service: key.service, Rank: rank, Wait: until.Sub(requested)}
	if request.Wait < 0 || c.isSuppressed(key, requested) {
		return nil, AnswerSkipped
	}
	byID := sample(engines)
	for id := range byID {
		request.Engines = append(request.Engines, id)
	}
	askCtx, cancel := context.WithTimeout(ctx, request.Wait+maxGrantDelay)
	defer cancel()
	reply, err := c.Ask(askCtx, request)
	now := c.Now()
	switch {
	case err != nil || !reply.Leading:
		if ctx.Err() == nil {
			c.logFailed(key.service, now, err)
		}
		if askCtx.Err() == nil {
			// Without the backoff, waiting requests would retry at once; one whose time is up does not retry.
			c.suppress(key, now, failureBackoff)
		}
		return nil, AnswerFailed
	case reply.Engine == "":
		c.suppress(key, now, reply.RetryAfter)
		return nil, AnswerRefused
	case reply.late(now.Sub(requested)):
		return nil, AnswerLate
	}
	return byID[reply.Engine], AnswerGranted
}

// late reports whether a grant has expired, given the time since it was requested: the Reply was delayed or this process was suspended, and the
// Limiter may have granted more sends since.
func (r Reply) late(took time.Duration) bool { return took > r.Held+maxGrantDelay }

// sample returns up to maxRequestEngines of the engines by ID, starting at a random one.
func sample(engines []*fleet.Engine) map[string]*fleet.Engine {
	first := rand.IntN(len(engines))
	found := make(map[string]*fleet.Engine, min(len(engines), maxRequestEngines))
	for i := range min(len(engines), maxRequestEngines) {
		engine := engines[(first+i)%len(engines)]
		found[engine.ID] = engine
	}
	return found
}

func (c *Client) isSuppressed(key suppressionKey, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Before(c.suppressed[key])
}

func (c *Client) suppress(key suppressionKey, now time.Time, length time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for known, until := range c.suppressed {
		if !now.Before(until) {
			delete(c.suppressed, known)
		}
	}
	c.suppressed[key] = now.Add(length)
}

func (c *Client) logFailed(service string, now time.Time, err error) {
	c.mu.Lock()
	due := now.Sub(c.lastLogged) >= logInterval
	if due {
		c.lastLogged = now
	}
	c.mu.Unlock()
	if due {
		level.Info(c.Logger).Log("msg", "request for a cold-start grant failed", "service", service, "err", err)
	}
}
