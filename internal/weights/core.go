package weights

import (
	"errors"
	"time"

	"github.com/covelink/covelink/api/enginev1"
	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/cluster"
)

// errNoAnswer is the outcome of an order whose fate is unknown.
var errNoAnswer = errors.New("no answer to the order")

// Core is the pure part of one term of a zone's coordinator: what it has observed and what it would order next. It has no
// clock and no I/O, and is not safe for concurrent use. Lead does the same in real time.
type Core struct {
	tracker *tracker
	token   uint64
}

// SentOrder is an order that was planned and counts as in flight until Finish is called with its ID.
type SentOrder struct {
	ID uint64
	Order
}

// PollTarget is an engine whose load report is wanted.
type PollTarget struct {
	Name string
	URL  string
}

// NewCore returns the core of a term with its fencing token.
func NewCore(zone string, token uint64, limits Limits) *Core {
	return &Core{tracker: newTracker(zone, limits), token: token}
}

// Reconcile takes in a view and returns the orders to send and the engines to poll now, each sorted by engine.
func (c *Core) Reconcile(now time.Time, view *cluster.View, targets map[string]v1.WeightVersion) ([]SentOrder, []PollTarget) {
	c.tracker.applyView(now, view)
	var orders []SentOrder
	for _, order := range Plan(c.tracker.snapshot(now, c.token, view, targets), c.tracker.limits) {
		orders = append(orders, SentOrder{ID: c.tracker.begin(now, order), Order: order})
	}
	var polls []PollTarget
	for _, target := range c.tracker.beginPolls(now) {
		polls = append(polls, PollTarget(target))
	}
	return orders, polls
}

// Finish takes in the end of an order: the engine's load, its refusal, or neither when its fate is unknown. It returns
// false for an order that a new incarnation has made void.
func (c *Core) Finish(now time.Time, order SentOrder, load *enginev1.Load, refusal *enginev1.Refusal) bool {
	result := outcome{load: load, refusal: refusal}
	if load == nil && refusal == nil {
		result.err = errNoAnswer
	}
	return c.tracker.finish(now, order.Engine, order.ID, result)
}

// FinishPoll takes in a load report asked for at started; load is nil when the engine did not answer.
func (c *Core) FinishPoll(started time.Time, target PollTarget, load *enginev1.Load) {
	c.tracker.finishPoll(started, pollTarget(target), load)
}
