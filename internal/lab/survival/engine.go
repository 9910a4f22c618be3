package survival

import (
	"fmt"
	"time"

	"github.com/covelink/covelink/api/enginev1"
	"github.com/covelink/covelink/internal/lab/enginesim"
	"github.com/covelink/covelink/internal/lab/invariant"
)

const (
	stepTime     = 20 * time.Millisecond
	medianTokens = 24
	// viewLag is how long the nodes go on to believe in an engine's former life.
	viewLag = 300 * time.Millisecond
)

// engineHost is an engine, its links to the nodes, and the record of what it ran.
type engineHost struct {
	world   *world
	name    string
	zone    string
	life    int
	engine  *enginesim.Engine
	streams map[executionKey]*stream
	ran     map[executionKey]*invariant.Execution
	// seen is the life that the nodes believe in.
	seen    string
	planned bool
	version int64
}

type executionKey struct {
	request string
	attempt uint32
}

func newEngineHost(w *world, name, zone string) *engineHost {
	h := &engineHost{world: w, name: name, zone: zone}
	h.start(1)
	h.seen = h.engine.Identity().Incarnation
	return h
}

// start begins a life with a version. The streams of the last one break.
func (h *engineHost) start(version int64) {
	for _, s := range h.streams {
		s.closeSoon()
	}
	h.life++
	h.version = version
	config := enginesim.DefaultConfig()
	config.StepBase, config.InitialVersion, config.MaxTokens, config.MaxPrepared = stepTime, version, maxTokens, 4
	config.Lengths.Median = medianTokens
	identity := enginesim.Identity{Name: h.name, Zone: h.zone, Model: poolName, Incarnation: fmt.Sprintf("%s-life-%d", h.name, h.life)}
	h.engine = enginesim.New(config, identity, nil)
	h.streams = make(map[executionKey]*stream)
	h.ran = make(map[executionKey]*invariant.Execution)
	h.planned = false
	h.world.clock.After(viewLag, func() { h.seen = h.engine.Identity().Incarnation })
}

// swap loads a version and serves it from the next token on.
func (h *engineHost) swap(version int64) {
	incarnation := h.engine.Identity().Incarnation
	if version <= h.version {
		return
	}
	order := enginev1.Order{Kind: enginev1.OrderPrepare, Fence: 1, Incarnation: incarnation, Version: version, Digest: fmt.Sprint(version)}
	if _, refusal, err := h.engine.Order(h.world.now(), order); refusal != nil || err != nil {
		return
	}
	h.engine.FinishPrepare(version, nil)
	order.Kind = enginev1.OrderActivate
	if _, refusal, err := h.engine.Order(h.world.now(), order); refusal == nil && err == nil {
		h.version = version
	}
}

// submit hands a request to the engine; its answer goes to the stream.
func (h *engineHost) submit(s *stream, request enginev1.CompletionRequest) *enginev1.Refusal {
	now := h.world.now()
	if refusal := h.engine.Submit(now, request); refusal != nil {
		return refusal
	}
	key := executionKey{request.RequestID, request.Attempt}
	h.streams[key] = s
	execution := &invariant.Execution{
		RequestID: request.RequestID, Attempt: request.Attempt, Engine: h.name, Zone: h.zone, Pool: poolName,
		Prompt: request.Prompt, Seed: request.Seed, Started: now,
	}
	h.ran[key] = execution
	h.world.executions = append(h.world.executions, execution)
	h.plan()
	return nil
}

// plan makes sure that the next step is taken.
func (h *engineHost) plan() {
	next, ok := h.engine.NextStep()
	if !ok || h.planned {
		return
	}
	h.planned = true
	life := h.life
	h.world.clock.At(next.Sub(epoch), func() {
		if h.life != life {
			return
		}
		h.planned = false
		for _, event := range h.engine.Step(h.world.now()) {
			h.emit(event)
		}
		h.plan()
	})
}

// emit records an event and sends it.
func (h *engineHost) emit(event enginev1.TokenEvent) {
	key := executionKey{event.RequestID, event.Attempt}
	execution := h.ran[key]
	for offset, text := range event.Tokens {
		execution.Tokens = append(execution.Tokens, invariant.Token{Index: event.Index + offset, Text: text, Version: event.Version})
	}
	if event.Final != nil && event.Final.FinishReason != enginesim.FinishCancelled {
		execution.FinishReason, execution.Length = event.Final.FinishReason, event.Final.Tokens
	}
	if s := h.streams[key]; s != nil {
		h.carry(s, event)
	}
	if event.Final != nil {
		delete(h.streams, key)
	}
}

// carry brings an event to its stream: in order, unless frames are disturbed.
func (h *engineHost) carry(s *stream, event enginev1.TokenEvent) {
	w := h.world
	if s.cutOff {
		return
	}
	delays := []time.Duration{maxLatency}
	if w.frames {
		delays = h.disturb(s, event)
	}
	for _, delay := range delays {
		deliver := func() {
			if w.open(h.zone, s.node.zone) {
				s.node.run(func() { s.accept(event) })
			}
		}
		if w.holdEvents && h.holds(s) {
			w.held = append(w.held, deliver)
			continue
		}
		w.clock.After(delay, deliver)
	}
}

// holds reports whether the stream's events are held back: those of second attempts, and on two engines those of first
// ones that have told something, since there is no second attempt beside one that has not.
func (h *engineHost) holds(s *stream) bool {
	if len(s.task.AvoidEngines) > 0 {
		return true
	}
	slow := h == h.world.engines[0] || h == h.world.engines[1]
	return slow && len(s.assembly.Tokens()) > len(s.task.Resume)
}

// disturb delays, repeats and cuts off, and brings events of other requests and lives in between.
func (h *engineHost) disturb(s *stream, event enginev1.TokenEvent) []time.Duration {
	w := h.world
	delays := []time.Duration{maxLatency}
	switch w.rand.IntN(40) {
	case 0, 1, 2, 3, 4, 5:
		delays = []time.Duration{maxLatency + w.between(0, 4*stepTime)}
	case 6, 7, 8, 9:
		delays = append(delays, w.between(maxLatency, 4*stepTime))
	case 10:
		s.cutOff = true
		s.closeSoon()
		return nil
	case 11, 12:
		foreign := event
		foreign.RequestID += "-other"
		w.clock.After(maxLatency/2, func() { s.node.run(func() { s.accept(foreign) }) })
	case 13, 14:
		former := event
		former.Incarnation += "-former"
		former.Tokens = []string{"former "}
		w.clock.After(maxLatency/2, func() { s.node.run(func() { s.accept(former) }) })
	}
	return delays
}

// cancel ends an attempt.
func (h *engineHost) cancel(request string, attempt uint32) {
	event, running := h.engine.Cancel(h.world.now(), enginev1.CancelRequest{RequestID: request, Attempt: attempt})
	if running {
		h.emit(event)
	}
}
