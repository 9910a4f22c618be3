package sendguard

import (
	"context"
	"sync"
	"time"

	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/fleet"
)

const (
	// askTimeout bounds one question to an engine.
	askTimeout = 400 * time.Millisecond
	// refusalLife is how long an engine that did not confirm is not asked again.
	refusalLife = 300 * time.Millisecond
	// renewShare is the share of the age bound after which an engine is asked again.
	renewShare = 0.6
	// maxConfirmations bounds the engines that are remembered.
	maxConfirmations = 4096
)

// confirmations remembers when engines last said that they are ready. It is safe for concurrent use.
type confirmations struct {
	ask    func(ctx context.Context, engine *fleet.Engine) error
	maxAge time.Duration

	mu       sync.Mutex
	byEngine map[string]*confirmation
}

// confirmation is an engine's last answer, or the question that is on its way.
type confirmation struct {
	// answered is closed with the answer. Only then are the others set.
	answered chan struct{}
	// askedAt is the boottime of the question: the engine was ready at some moment after it.
	askedAt time.Time
	err     error
	// endedAt is the boottime at which the answer was known.
	endedAt time.Time
}

func newConfirmations(ask func(ctx context.Context, engine *fleet.Engine) error, maxAge time.Duration) *confirmations {
	return &confirmations{ask: ask, maxAge: maxAge, byEngine: make(map[string]*confirmation)}
}

// until returns the boottime until which the engine's answer may be relied on, and asks the engine unless it has answered recently. Requests to one
// engine share the question.
func (c *confirmations) until(ctx context.Context, engine *fleet.Engine) (time.Time, error) {
	answer := c.current(engine)
	select {
	case <-answer.answered:
		return answer.askedAt.Add(c.maxAge), answer.err
	case <-ctx.Done():
		return time.Time{}, ctx.Err()
	}
}

// current returns the answer to rely on, or the question that is on its way.
func (c *confirmations) current(engine *fleet.Engine) *confirmation {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := boottime.Now()
	if known, ok := c.byEngine[engine.ID]; ok && c.usable(known, now) {
		return known
	}
	if len(c.byEngine) >= maxConfirmations {
		c.forgetUnusable(now)
	}
	asked := &confirmation{answered: make(chan struct{}), askedAt: now}
	c.byEngine[engine.ID] = asked
	go c.question(engine, asked)
	return asked
}

// usable reports whether an answer still counts, or is awaited.
func (c *confirmations) usable(known *confirmation, now time.Time) bool {
	select {
	case <-known.answered:
	default:
		return now.Sub(known.askedAt) < 2*askTimeout
	}
	if known.err != nil {
		return now.Sub(known.endedAt) < refusalLife
	}
	return now.Sub(known.askedAt) < time.Duration(renewShare*float64(c.maxAge))
}

// forgetUnusable removes the answers that do not count any more. The mutex must be held.
func (c *confirmations) forgetUnusable(now time.Time) {
	for id, known := range c.byEngine {
		if !c.usable(known, now) {
			delete(c.byEngine, id)
		}
	}
}

// question asks the engine. It does not end with the request that caused it, as others may wait for the answer too.
func (c *confirmations) question(engine *fleet.Engine, asked *confirmation) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	err := c.ask(ctx, engine)
	asked.err, asked.endedAt = err, boottime.Now()
	close(asked.answered)
}
