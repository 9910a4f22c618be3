package sim

import (
	"fmt"
	"time"

	"github.com/covelink/covelink/api/enginev1"
	"github.com/covelink/covelink/internal/cluster"
	"github.com/covelink/covelink/internal/lab/enginesim"
	"github.com/covelink/covelink/internal/lab/invariant"
)

// attemptKey names an attempt on an engine.
type attemptKey struct {
	requestID string
	attempt   uint32
}

// engineHost is the machine of one engine, over all its lives.
type engineHost struct {
	sim    *simulation
	name   string
	pool   string
	zone   *zone
	life   int
	engine *enginesim.Engine // nil while dead
	// streams are the open connections of attempts.
	streams map[attemptKey]*stream
	// executions are the indices of the attempts in the history.
	executions map[attemptKey]int
	// silent counts the streams that have been told nothing.
	silent int
	frozen time.Time
	told   time.Time
	wakes  uint64
	wakeAt time.Time
}

func (s *simulation) addEngines() {
	numbers := make(map[[2]string]int)
	for _, group := range s.scenario.Engines {
		for range group.Count {
			place := [2]string{group.Pool, group.Zone}
			numbers[place]++
			host := &engineHost{
				sim: s, name: engineName(group.Pool, group.Zone, numbers[place]), pool: group.Pool, zone: s.zoneOf[group.Zone],
			}
			s.engines = append(s.engines, host)
			s.engineOf[host.name] = host
			host.start()
			host.zone.known[host.name] = host.entry()
		}
	}
	for _, z := range s.zones {
		z.revision = 1
		for _, other := range s.zones {
			other.parts[z.name] = z.entries()
			z.told[other.name] = z.revision
		}
	}
	for _, z := range s.zones {
		z.rebuild()
	}
}

// start begins a new life of the engine.
func (h *engineHost) start() {
	h.life++
	identity := enginesim.Identity{
		Name: h.name, Zone: h.zone.name, Model: h.pool, Incarnation: fmt.Sprintf("%s/%d", h.name, h.life),
	}
	model := h.sim.scenario.Engine
	h.engine = enginesim.New(model.Config, identity, func(order enginev1.Order) (time.Duration, error) {
		if order.Source != "" {
			return model.CopyLoad, nil
		}
		return model.StoreLoad, nil
	})
	h.streams = make(map[attemptKey]*stream)
	h.executions = make(map[attemptKey]int)
	h.silent = 0
	h.frozen = time.Time{}
}

// entry returns the engine as a view names it, up to date.
func (h *engineHost) entry() cluster.Engine {
	load := h.engine.Load(h.sim.now)
	return cluster.Engine{
		Name: h.name, URL: "sim://" + h.name, Incarnation: load.Incarnation, Pool: h.pool, Zone: h.zone.name,
		ActiveVersion: load.ActiveVersion, PreparedVersions: load.PreparedVersions, MaxRunning: load.MaxRunning,
	}
}

// whenAwake does something now, or when the engine is no longer frozen.
func (h *engineHost) whenAwake(do func()) {
	if h.frozen.After(h.sim.now) {
		h.sim.at(h.frozen, do)
		return
	}
	do()
}

// submit takes a request in. A refusal means that it was not executed.
func (h *engineHost) submit(request enginev1.CompletionRequest, from *stream) *enginev1.Refusal {
	h.advance()
	defer h.wakeLater()
	if refusal := h.engine.Submit(h.sim.now, request); refusal != nil {
		return refusal
	}
	h.sim.result.Executions++
	key := attemptKey{request.RequestID, request.Attempt}
	h.streams[key] = from
	h.silent++
	h.recordStart(key, request)
	return nil
}

// cancel ends an attempt whose caller has gone.
func (h *engineHost) cancel(key attemptKey) {
	if h.engine == nil || h.streams[key] == nil {
		return
	}
	h.whenAwake(func() {
		if h.engine == nil {
			return
		}
		h.advance()
		h.engine.Cancel(h.sim.now, enginev1.CancelRequest{RequestID: key.requestID, Attempt: key.attempt})
		h.forget(key)
		h.wakeLater()
	})
}

// forget ends a stream.
func (h *engineHost) forget(key attemptKey) {
	if open := h.streams[key]; open != nil {
		h.heard(open)
		delete(h.streams, key)
	}
}

// heard notes that a stream is silent no more.
func (h *engineHost) heard(open *stream) {
	if !open.told {
		open.told = true
		h.silent--
	}
}

// order carries out an order and returns the answer; neither load nor refusal means that it failed partway.
func (h *engineHost) order(order enginev1.Order) (*enginev1.Load, *enginev1.Refusal) {
	h.advance()
	defer h.wakeLater()
	result, refusal, err := h.engine.Order(h.sim.now, order)
	switch {
	case refusal != nil:
		return nil, refusal
	case err != nil:
		return nil, nil
	}
	return &result.Load, nil
}

func (h *engineHost) report() *enginev1.Load {
	h.advance()
	defer h.wakeLater()
	load := h.engine.Load(h.sim.now)
	return &load
}

// advance brings the engine to now and sends the tokens that it has produced.
func (h *engineHost) advance() {
	events := h.engine.Advance(h.sim.now)
	if len(events) > 0 {
		h.tell(events)
	}
}

// tell sends events to the nodes that hold the connections.
func (h *engineHost) tell(events []enginev1.TokenEvent) {
	h.told = h.sim.now
	var order []*node
	parcels := make(map[*node][]parcel)
	for _, told := range events {
		h.sim.result.ProducedTokens += int64(len(told.Tokens))
		key := attemptKey{told.RequestID, told.Attempt}
		h.recordTokens(key, told)
		open := h.streams[key]
		if open == nil {
			continue
		}
		h.heard(open)
		if told.Final != nil {
			h.forget(key)
		}
		if parcels[open.node] == nil {
			order = append(order, open.node)
		}
		parcels[open.node] = append(parcels[open.node], parcel{stream: open, event: told})
	}
	for _, n := range order {
		h.ship(n, parcels[n])
	}
}

// parcel is an event on its way to a stream.
type parcel struct {
	stream *stream
	event  enginev1.TokenEvent
}

func (h *engineHost) ship(n *node, parcels []parcel) {
	if h.sim.network.send(h.zone.name, n.zone.name, func() { n.receive(parcels) }) {
		return
	}
	for _, lost := range parcels {
		lost.stream.breakLater()
	}
}

// wakeLater plans the next time at which the engine has something to tell.
func (h *engineHost) wakeLater() {
	due, ok := h.due()
	if !ok || (h.wakeAt.Equal(due) && h.wakeAt.After(h.sim.now)) {
		return
	}
	h.wakes++
	h.wakeAt = due
	wake, life := h.wakes, h.life
	h.sim.at(due, func() {
		if wake != h.wakes || life != h.life || h.engine == nil {
			return
		}
		h.whenAwake(func() {
			if life != h.life || h.engine == nil {
				return
			}
			h.advance()
			h.wakeLater()
		})
	})
}

func (h *engineHost) due() (time.Time, bool) {
	interval := h.sim.scenario.Engine.StreamInterval
	if interval <= 0 {
		return h.engine.NextStep()
	}
	if h.silent > 0 {
		// The first token of a stream is told at once.
		return h.engine.NextStep()
	}
	due, ok := h.engine.NextChange()
	stream := h.told.Add(interval)
	if !stream.After(h.sim.now) {
		stream = h.sim.now.Add(interval)
	}
	if ok && len(h.streams) > 0 && stream.Before(due) {
		due = stream
	}
	return due, ok
}

// freeze stops the engine until a time. What it would have done meanwhile is not made up for.
func (h *engineHost) freeze(until time.Time) {
	if h.engine == nil {
		return
	}
	h.advance()
	h.frozen = until
	life := h.life
	h.sim.at(until, func() {
		if life != h.life || h.engine == nil || h.frozen.After(h.sim.now) {
			return
		}
		if events := h.engine.Step(h.sim.now); len(events) > 0 {
			h.tell(events)
		}
		h.wakeLater()
	})
}

// crash ends the engine's life; its connections are reset.
func (h *engineHost) crash() {
	if h.engine == nil {
		return
	}
	if !h.frozen.After(h.sim.now) {
		h.advance()
	}
	open := h.openStreams()
	h.engine = nil
	h.streams = nil
	for _, broken := range open {
		broken.reset()
	}
}

// openStreams returns the streams in a fixed order.
func (h *engineHost) openStreams() []*stream { return sortedStreams(h.streams) }

func (h *engineHost) recordStart(key attemptKey, request enginev1.CompletionRequest) {
	if h.sim.scenario.SkipInvariants {
		return
	}
	h.executions[key] = len(h.sim.history.Executions)
	h.sim.history.Executions = append(h.sim.history.Executions, invariant.Execution{
		RequestID: request.RequestID, Attempt: request.Attempt, Engine: h.name, Zone: h.zone.name, Pool: h.pool,
		Prompt: request.Prompt, Seed: request.Seed, Started: h.sim.now,
	})
}

func (h *engineHost) recordTokens(key attemptKey, told enginev1.TokenEvent) {
	index, ok := h.executions[key]
	if !ok {
		return
	}
	execution := &h.sim.history.Executions[index]
	for offset, text := range told.Tokens {
		token := invariant.Token{Index: told.Index + offset, Text: text, Version: told.Version}
		execution.Tokens = append(execution.Tokens, token)
	}
	if told.Final != nil {
		execution.FinishReason = told.Final.FinishReason
		execution.Length = told.Final.Tokens
	}
}
