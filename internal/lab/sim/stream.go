package sim

import (
	"cmp"
	"slices"

	"github.com/covelink/covelink/api/enginev1"
	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/dispatch"
	"github.com/covelink/covelink/internal/engine"
)

// stream is one attempt on one engine as its node sees it: a connection.
type stream struct {
	node     *node
	task     *task
	grant    *dispatch.Grant
	host     *engineHost
	life     int
	request  enginev1.CompletionRequest
	assembly *engine.Assembly
	// sequence orders streams.
	sequence uint64
	closed   bool
	// told is true once the engine has sent something.
	told bool
}

func (c *stream) key() attemptKey { return attemptKey{c.request.RequestID, c.request.Attempt} }

// open sends the request.
func (c *stream) open() {
	s := c.node.sim
	s.result.Attempts++
	arrives := s.network.send(c.node.zone.name, c.host.zone.name, func() { c.host.whenAwake(c.arrive) })
	if arrives {
		return
	}
	if s.network.cut(c.node.zone.name, c.host.zone.name) {
		// Not even a connection comes about.
		s.after(s.scenario.System.DialTimeout, func() { c.fail(v1.OutcomeNotRun, engine.ErrNotSent) })
		return
	}
	c.breakLater()
}

// arrive is the arrival of the request at the engine's machine.
func (c *stream) arrive() {
	s := c.node.sim
	if c.host.engine == nil {
		c.answer(func() { c.fail(v1.OutcomeNotRun, engine.ErrNotSent) })
		return
	}
	if c.closed {
		return
	}
	c.life = c.host.life
	if refusal := c.host.submit(c.request, c); refusal != nil {
		c.answer(func() { c.refused(refusal) })
		return
	}
	if !c.node.up {
		s.after(s.network.delay(c.node.zone.name, c.host.zone.name), func() { c.host.cancel(c.key()) })
	}
}

// answer carries an answer that is not a stream back.
func (c *stream) answer(deliver func()) {
	if !c.node.sim.network.send(c.host.zone.name, c.node.zone.name, deliver) {
		c.breakLater()
	}
}

// breakLater is a connection over which nothing passes any more: each end finds out by itself.
func (c *stream) breakLater() {
	c.node.sim.after(c.node.sim.scenario.System.BreakDetect, func() {
		c.host.drop(c)
		c.fail(v1.OutcomeUnknown, engine.ErrLost)
	})
}

// reset is the death of the engine: the node hears of it.
func (c *stream) reset() {
	c.answer(func() { c.fail(v1.OutcomeUnknown, engine.ErrLost) })
}

// drop ends the engine's side of a connection.
func (h *engineHost) drop(c *stream) {
	if h.life == c.life && h.engine != nil && h.streams[c.key()] == c {
		h.cancel(c.key())
	}
}

// accept takes in an event.
func (c *stream) accept(event enginev1.TokenEvent) {
	if c.closed {
		return
	}
	chunks, err := c.assembly.Accept(event)
	for _, chunk := range chunks {
		c.node.core.ObserveVersion(c.grant, chunk.Version)
		c.task.tell(c, chunk)
		if c.closed {
			return
		}
	}
	if err != nil || c.assembly.Done() {
		c.conclude(c.assembly.Result(err), nil)
	}
}

func (c *stream) refused(refusal *enginev1.Refusal) {
	if !c.closed {
		result := engine.StreamResult{
			Outcome: v1.OutcomeNotRun, Tokens: c.assembly.Tokens(), Segments: c.assembly.Segments(),
			Refusal: refusal, Load: refusal.Load, Err: engine.ErrRefused,
		}
		c.conclude(result, nil)
	}
}

func (c *stream) fail(outcome v1.Outcome, err error) {
	if !c.closed {
		result := engine.StreamResult{Outcome: outcome, Tokens: c.assembly.Tokens(), Segments: c.assembly.Segments(), Err: err}
		c.conclude(result, nil)
	}
}

// abandon is the end of the attempt by its node; ended tells why, or is nil when the engine has restarted.
func (c *stream) abandon(ended *dispatch.Refusal) {
	if c.closed {
		return
	}
	c.hangUp()
	result := engine.StreamResult{
		Outcome: v1.OutcomeUnknown, Tokens: c.assembly.Tokens(), Segments: c.assembly.Segments(), Err: engine.ErrLost,
	}
	c.conclude(result, ended)
}

// hangUp lets the engine know that the caller has gone.
func (c *stream) hangUp() {
	s := c.node.sim
	if !s.network.send(c.node.zone.name, c.host.zone.name, func() { c.host.drop(c) }) {
		s.after(s.scenario.System.BreakDetect, func() { c.host.drop(c) })
	}
}

// conclude hands the outcome of the attempt to the task.
func (c *stream) conclude(result engine.StreamResult, ended *dispatch.Refusal) {
	c.closed = true
	c.node.concluded(c, &result, ended)
}

func sortedStreams(streams map[attemptKey]*stream) []*stream {
	sorted := make([]*stream, 0, len(streams))
	for _, open := range streams {
		sorted = append(sorted, open)
	}
	slices.SortFunc(sorted, func(a, b *stream) int { return cmp.Compare(a.sequence, b.sequence) })
	return sorted
}
