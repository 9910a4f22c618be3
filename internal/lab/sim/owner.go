package sim

import (
	"cmp"
	"maps"
	"slices"
	"time"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/dispatch"
	"github.com/covelink/covelink/internal/rollout"
)

const (
	// ownerTick is the interval at which an owner looks for stragglers, as in the product.
	ownerTick = 100 * time.Millisecond
	// unbounded is the bound of a policy that hands over samples however old they are.
	unbounded = 1 << 40
)

// ownerHost is one term of a trainer's batch owner on a node: it calls the owner, makes its entries durable, and only then
// answers and acts.
type ownerHost struct {
	sim     *simulation
	trainer *trainerHost
	term    uint64
	node    *node
	owner   *rollout.Owner
	inputs  []func(time.Time)
	// busy is true while entries are being made durable, planned while a turn is planned.
	busy    bool
	planned bool
	ended   bool
	// paused is true while the owner's process stands still; commitLost counts the commits whose answer is to be lost.
	paused     bool
	commitLost int
	replies    []func()
	waiters    []*fetchWaiter
	running    map[ownerAttempt]*task
	target     v1.WeightVersion
	// lost holds what to do for the calls in progress when the owner is lost.
	lost   map[uint64]func()
	nextID uint64
}

type ownerAttempt struct {
	identity rollout.Identity
	number   uint32
}

// fetchWaiter is a fetch that waits for a first sample.
type fetchWaiter struct {
	batch    string
	request  v1.FetchRequest
	deadline time.Time
	reply    func(v1.FetchResponse, error)
}

// newOwner starts a term on a node over the entries that earlier terms made durable.
func (s *simulation) newOwner(trainer *trainerHost, at *node) {
	ledger := rollout.NewLedger(trainer.spec.Name)
	for _, group := range trainer.log {
		entries, err := rollout.DecodeEntries(group)
		if err != nil {
			panic("sim: entries that were encoded cannot be decoded: " + err.Error())
		}
		for _, entry := range entries {
			if err := ledger.Apply(entry); err != nil {
				panic("sim: committed entry is refused on recovery: " + err.Error())
			}
		}
	}
	trainer.terms++
	h := &ownerHost{
		sim: s, trainer: trainer, node: at, term: trainer.terms, running: make(map[ownerAttempt]*task), lost: make(map[uint64]func()),
	}
	owner, err := rollout.NewOwner(s.now, ledger, trainer.terms, h.config(), trainer)
	if err != nil {
		panic("sim: owner refuses its ledger: " + err.Error())
	}
	h.owner = owner
	s.owners[trainer.spec.Name] = h
	h.tick()
}

func (h *ownerHost) config() rollout.Config {
	spec, scenario := h.trainer.spec, &h.sim.scenario
	bound := spec.StalenessBound
	if scenario.Policy.NoBound {
		bound = unbounded
	}
	maxTokens := spec.MaxTokens
	for _, pool := range scenario.Pools {
		if pool.Name == spec.Pool {
			maxTokens = pool.MaxTokens
		}
	}
	return rollout.Config{
		Pool: spec.Pool, Bound: bound, MaxInFlight: spec.MaxInFlight, Weight: spec.Weight, MaxTokens: maxTokens,
		MaxBatchSamples: 1 << 20, MaxFetchBytes: 1 << 30, Replicas: []string{h.node.name}, Without: scenario.Policy.Without,
	}
}

func (h *ownerHost) tick() {
	if h.ended {
		return
	}
	h.turnSoon()
	h.sim.after(ownerTick, h.tick)
}

// submit calls the owner in its next turn.
func (h *ownerHost) submit(input func(now time.Time)) {
	if h.ended {
		return
	}
	h.inputs = append(h.inputs, input)
	h.turnSoon()
}

func (h *ownerHost) turnSoon() {
	if h.busy || h.planned || h.paused {
		return
	}
	h.planned = true
	h.sim.after(0, func() {
		h.planned = false
		if !h.ended && !h.busy && !h.paused {
			h.turn()
		}
	})
}

// turn handles the inputs that wait, and makes durable what the owner decided.
func (h *ownerHost) turn() {
	inputs := h.inputs
	h.inputs = nil
	for _, input := range inputs {
		input(h.sim.now)
	}
	h.owner.Schedule(h.sim.now)
	h.serveWaiters()
	actions := h.owner.Actions()
	replies := h.replies
	h.replies = nil
	if len(actions) == 0 {
		h.act(nil, replies)
		return
	}
	group, ok := actions[0].(rollout.Append)
	if !ok {
		h.act(actions, replies)
		return
	}
	h.busy = true
	h.sim.after(h.sim.scenario.System.CommitTime, func() {
		if h.ended {
			return
		}
		h.whenAwake(func() { h.committed(group.Entries, actions[1:], replies) })
	})
}

// committed makes entries durable and carries out what waited for it. An owner that another has superseded, or that
// cannot tell whether its entries were kept, ends its term.
func (h *ownerHost) committed(entries []rollout.Entry, actions []rollout.Action, replies []func()) {
	if h.superseded() {
		h.retire()
		return
	}
	h.trainer.keep(entries)
	if h.commitLost > 0 {
		h.commitLost--
		h.finish(h.sim.scenario.System.CommitTime)
		return
	}
	h.busy = false
	h.act(actions, replies)
	h.turnSoon()
}

func (h *ownerHost) act(actions []rollout.Action, replies []func()) {
	for _, reply := range replies {
		reply()
	}
	for _, action := range actions {
		h.perform(action)
	}
	if published := h.owner.Ledger().Weights(); published != h.target {
		h.target = published
		h.publish(published)
	}
}

func (h *ownerHost) serveWaiters() {
	var left []*fetchWaiter
	for _, w := range h.waiters {
		response, ready, err := h.owner.Fetch(h.sim.now, w.batch, w.request)
		if !ready && err == nil && h.sim.now.Before(w.deadline) {
			left = append(left, w)
			continue
		}
		h.replies = append(h.replies, func() { w.reply(response, err) })
	}
	h.waiters = left
}

func (h *ownerHost) perform(action rollout.Action) {
	switch a := action.(type) {
	case rollout.Start:
		h.start(a)
	case rollout.Cancel:
		key := ownerAttempt{a.Identity, a.Attempt}
		if running, ok := h.running[key]; ok {
			delete(h.running, key)
			running.cancel()
		}
	}
}

func (h *ownerHost) start(a rollout.Start) {
	key := ownerAttempt{a.Identity, a.Attempt}
	if len(a.Task.AvoidEngines) > 0 {
		h.trainer.result.Hedges++ // only a second attempt avoids an engine: that of the first
	}
	progress := func(told dispatch.Progress) {
		h.submit(func(now time.Time) { h.owner.Progress(now, a.Identity, a.Attempt, told) })
	}
	done := func(result dispatch.Result) {
		delete(h.running, key)
		h.submit(func(now time.Time) { h.owner.Finished(now, a.Identity, a.Attempt, result) })
	}
	running := h.node.dispatch(a.Task, progress, done)
	if !running.ended {
		h.running[key] = running
	}
}

// publish tells the coordinators of the pool's permitted zones of new weights until they have them.
func (h *ownerHost) publish(wanted v1.WeightVersion) {
	for _, pool := range h.sim.scenario.Pools {
		if pool.Name != h.trainer.spec.Pool {
			continue
		}
		for _, zone := range pool.PermittedZones {
			h.publishTo(h.sim.zoneOf[zone], wanted)
		}
	}
}

func (h *ownerHost) publishTo(z *zone, wanted v1.WeightVersion) {
	if h.ended || h.target != wanted {
		return
	}
	arrives := !z.down && h.sim.network.send(h.node.zone.name, z.name, func() { z.target(h.trainer.spec.Pool, wanted) })
	if !arrives {
		h.sim.after(time.Second, func() { h.publishTo(z, wanted) })
	}
}

// crash ends the term without warning; another node takes over after a while.
func (h *ownerHost) crash() { h.finish(h.sim.scenario.System.TakeOver) }

// handOver ends the term as planned: verified tokens are saved and another node takes over at once.
func (h *ownerHost) handOver() {
	if h.ended {
		return
	}
	for _, input := range h.inputs {
		input(h.sim.now)
	}
	h.inputs = nil
	h.owner.Suspend()
	for _, action := range h.owner.Actions() {
		if group, ok := action.(rollout.Append); ok && !h.superseded() {
			h.trainer.keep(group.Entries)
		}
	}
	h.finish(h.sim.scenario.System.CommitTime)
}

func sortedRunning(running map[ownerAttempt]*task) []*task {
	tasks := slices.Collect(maps.Values(running))
	slices.SortFunc(tasks, func(a, b *task) int { return cmp.Compare(a.id, b.id) })
	return tasks
}

func (h *ownerHost) finish(pause time.Duration) {
	if h.ended {
		return
	}
	h.ended = true
	current := !h.superseded()
	if current {
		delete(h.sim.owners, h.trainer.spec.Name)
	}
	for _, running := range sortedRunning(h.running) {
		running.cancel()
	}
	for id := uint64(1); id <= h.nextID; id++ {
		if lost := h.lost[id]; lost != nil {
			lost()
		}
	}
	if current {
		h.sim.after(pause, h.trainer.elect)
	}
}
