package sim

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/covelink/covelink/api/enginev1"
	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/cluster"
	"github.com/covelink/covelink/internal/dispatch"
	"github.com/covelink/covelink/internal/engine"
	"github.com/covelink/covelink/internal/scheduler"
)

// resyncInterval is how often waiting tasks are tried again without an event, as by the product's Manager.
const resyncInterval = 50 * time.Millisecond

// The reasons for which the simulator itself ends a task.
const (
	reasonDeadline  = "deadline"
	reasonCancelled = "cancelled"
	reasonStopped   = "draining"
	reasonView      = "not_serving"
)

// node is one node: it carries out what its dispatch.Core decides.
type node struct {
	sim  *simulation
	name string
	zone *zone
	core *dispatch.Core
	view *cluster.View
	// up is false while the node is dead, draining is true while it takes no new work.
	up       bool
	draining bool
	life     int
	waiting  map[uint64]*task
	tasks    map[uint64]*task
	nextID   uint64
	placing  bool
	resync   bool
	random   *rand.Rand
}

func (s *simulation) addNodes() {
	for _, spec := range s.scenario.Zones {
		for number := range spec.Nodes {
			n := &node{sim: s, name: nodeName(spec.Name, number+1), zone: s.zoneOf[spec.Name]}
			n.random = s.random(streamNodes, uint64(len(s.nodes)))
			n.start()
			n.zone.nodes = append(n.zone.nodes, n)
			s.nodes = append(s.nodes, n)
			s.nodeOf[n.name] = n
		}
	}
}

// start begins a new life of the node.
func (n *node) start() {
	n.life++
	n.up, n.draining = true, false
	n.view = n.zone.view
	n.core = dispatch.NewCore(n.view, n.zone.name, scheduler.QueueLimits{
		Requests: n.sim.scenario.System.MaxQueued, Tokens: n.sim.scenario.System.MaxQueuedTokens,
	})
	if placer := newPlacer(n.sim.scenario.Policy.Placement); placer != nil {
		n.core.SetPlacer(placer)
	}
	n.waiting = make(map[uint64]*task)
	n.tasks = make(map[uint64]*task)
}

// task is one dispatch.Task on a node.
type task struct {
	node *node
	id   uint64
	run  *dispatch.Run
	// progress may be nil; done is called once.
	progress func(dispatch.Progress)
	done     func(dispatch.Result)
	queued   uint64 // its number in the queue, or 0
	stream   *stream
	ended    bool
}

// dispatch runs a task to its result, as the product's Manager does.
func (n *node) dispatch(work dispatch.Task, progress func(dispatch.Progress), done func(dispatch.Result)) *task {
	n.nextID++
	t := &task{node: n, id: n.nextID, run: dispatch.NewRun(work), progress: progress, done: done}
	if refusal := n.enter(&work); refusal != nil {
		t.finish(t.run.GiveUp(refusal))
		return t
	}
	n.tasks[t.id] = t
	if !work.Deadline.IsZero() {
		n.sim.at(work.Deadline, func() { t.end(refusalOf(reasonDeadline, v1.CodeDeadlineExceeded)) })
	}
	t.enqueue()
	return t
}

func (n *node) enter(work *dispatch.Task) *dispatch.Refusal {
	switch {
	case n.draining || !n.up:
		return refusalOf(reasonStopped, v1.CodeUnavailable)
	case !n.view.Serving:
		return refusalOf(reasonView, v1.CodeUnavailable)
	case !work.Deadline.IsZero() && !n.sim.now.Before(work.Deadline):
		return refusalOf(reasonDeadline, v1.CodeDeadlineExceeded)
	}
	return nil
}

func refusalOf(reason string, code v1.ErrorCode) *dispatch.Refusal {
	return &dispatch.Refusal{Reason: reason, Err: v1.NotRun(code, time.Second, "%s", reason)}
}

func (t *task) enqueue() {
	n := t.node
	item, request := t.run.Item(), t.run.SchedulerRequest()
	n.sim.scenario.Policy.shape(&item, &request)
	id, refused := n.core.Enqueue(n.sim.now, item, request, t.run.Task.Class)
	if refused != nil {
		t.finish(t.run.GiveUp(refused))
		return
	}
	t.queued = id
	n.waiting[id] = t
	n.placeSoon()
}

// end gives a task up.
func (t *task) end(why *dispatch.Refusal) {
	switch {
	case t.ended:
	case t.queued != 0:
		t.node.core.Remove(t.queued)
		delete(t.node.waiting, t.queued)
		t.queued = 0
		t.finish(t.run.GiveUp(why))
	case t.stream != nil:
		t.stream.abandon(why)
	default:
		t.finish(t.run.GiveUp(why))
	}
}

// cancel gives a task up whose result nobody wants.
func (t *task) cancel() { t.end(refusalOf(reasonCancelled, v1.CodeUnavailable)) }

func (t *task) finish(step dispatch.Step) {
	if t.ended {
		return
	}
	t.ended = true
	delete(t.node.tasks, t.id)
	t.done(*step.Result)
}

// tell passes verified tokens on.
func (t *task) tell(from *stream, chunk engine.Chunk) {
	if t.progress == nil {
		return
	}
	t.run.SetReported(chunk.Index + len(chunk.Tokens))
	t.progress(dispatch.Progress{Index: chunk.Index, Tokens: chunk.Tokens, Version: chunk.Version, Engine: from.host.name})
}

// placeSoon places once for everything that happens at this moment.
func (n *node) placeSoon() {
	if n.placing {
		return
	}
	n.placing = true
	life := n.life
	n.sim.after(0, func() {
		n.placing = false
		if life == n.life && n.up {
			n.place()
		}
	})
}

func (n *node) place() {
	n.core.Place(n.sim.now, n.placed)
	if len(n.waiting) == 0 || n.resync {
		return
	}
	n.resync = true
	n.sim.after(resyncInterval, func() {
		n.resync = false
		if len(n.waiting) > 0 {
			n.placeSoon()
		}
	})
}

// placed carries out a placement.
func (n *node) placed(decision dispatch.Placement) {
	t := n.waiting[decision.ID]
	delete(n.waiting, decision.ID)
	t.queued = 0
	if decision.Refusal != nil {
		t.finish(t.run.GiveUp(decision.Refusal))
		return
	}
	t.run.MarkGranted()
	t.attempt(decision.Grant)
}

// attempt uses a granted slot once.
func (t *task) attempt(held *dispatch.Grant) {
	n := t.node
	zones, ok := dispatch.Permitted(n.sim.now, n.view, t.run.Task.Pool, held)
	if !ok {
		n.core.ReleaseUnused(held)
		t.again(0)
		return
	}
	request := t.run.Request(held, n.view.Pools[t.run.Task.Pool].Spec, zones)
	if n.sim.scenario.Policy.NoPriorities {
		request.Priority = enginev1.PriorityRollout
	}
	if n.sim.scenario.Policy.NoEngineBound {
		request.MaxInFlight = 0
	}
	n.sim.streams++
	t.stream = &stream{
		node: n, task: t, grant: held, host: n.sim.engineOf[held.Engine().Name], request: request, sequence: n.sim.streams,
		assembly: engine.NewAssembly(engine.Expectation{
			RequestID: request.RequestID, Attempt: request.Attempt, Incarnation: request.Incarnation,
			Engine: held.Engine().Name, MinVersion: request.MinVersion, Resume: request.Resume,
			ResumeSegments: t.run.ResumeSegments(), MaxTokens: request.MaxTokens,
		}),
	}
	t.stream.open()
}

// concluded takes in the outcome of an attempt.
func (n *node) concluded(c *stream, result *engine.StreamResult, ended *dispatch.Refusal) {
	t := c.task
	t.stream = nil
	if !n.up || t.ended {
		return
	}
	t.run.RecordAttempt(c.grant, result)
	n.core.FinishAttempt(n.sim.now, c.grant, result, ended != nil, n.random.Float64())
	n.placeSoon()
	step := t.run.NextStep(n.core, ended, result, n.random.Float64())
	if step.Result != nil {
		t.finish(step)
		return
	}
	t.again(step.Delay)
}

func (t *task) again(delay time.Duration) {
	t.node.sim.after(delay, func() {
		if !t.ended {
			t.enqueue()
		}
	})
}

// receive takes in events of several streams.
func (n *node) receive(parcels []parcel) {
	if !n.up {
		return
	}
	for _, one := range parcels {
		one.stream.accept(one.event)
	}
}

// setView takes over a view and ends the attempts on engines that have restarted.
func (n *node) setView(view *cluster.View) {
	if !n.up {
		return
	}
	n.view = view
	n.core.Refresh(view)
	for _, t := range n.sortedTasks() {
		if t.stream != nil && n.core.EngineRestarted(t.stream.grant) {
			t.stream.abandon(nil)
		}
	}
	n.placeSoon()
}

func (n *node) sortedTasks() []*task {
	ids := make([]uint64, 0, len(n.tasks))
	for id := range n.tasks {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	tasks := make([]*task, 0, len(ids))
	for _, id := range ids {
		tasks = append(tasks, n.tasks[id])
	}
	return tasks
}

// stop is a planned stop: nothing new is taken, owners hand over, and the node ends when its last task has.
func (n *node) stop(down time.Duration) {
	if !n.up || n.draining {
		return
	}
	n.draining = true
	for _, trainer := range n.sim.trainers {
		if owner := n.sim.owners[trainer.spec.Name]; owner != nil && owner.node == n {
			owner.handOver()
		}
	}
	n.awaitIdle(down)
}

func (n *node) awaitIdle(down time.Duration) {
	if len(n.tasks) > 0 {
		n.sim.after(resyncInterval, func() { n.awaitIdle(down) })
		return
	}
	n.kill(down)
}

// kill is the death of the node: connections are reset, and it starts again after down, unless that is 0.
func (n *node) kill(down time.Duration) {
	if !n.up {
		return
	}
	tasks := n.sortedTasks()
	n.up = false
	for _, trainer := range n.sim.trainers {
		if owner := n.sim.owners[trainer.spec.Name]; owner != nil && owner.node == n {
			owner.crash()
		}
	}
	for _, t := range tasks {
		if t.stream != nil && !t.stream.closed {
			t.stream.closed = true
			t.stream.hangUp()
		}
		if !t.ended {
			t.ended = true
			n.sim.callers.lost(t)
		}
	}
	n.waiting, n.tasks = nil, nil
	n.life++
	if down > 0 {
		n.sim.after(down, n.start)
	}
}
