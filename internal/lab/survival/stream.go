package survival

import (
	"slices"
	"time"

	"github.com/covelink/covelink/api/enginev1"
	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/dispatch"
	"github.com/covelink/covelink/internal/engine"
)

const (
	// streamSilence is how long a stream may tell nothing.
	streamSilence = 3 * time.Second
	noEngineWait  = 50 * time.Millisecond
	closeDelay    = 2 * maxLatency
)

// stream is one attempt on one engine as a node sees it.
type stream struct {
	id       uint64
	node     *node
	task     dispatch.Task
	host     *engineHost
	assembly *engine.Assembly
	progress func(dispatch.Progress)
	done     func(dispatch.Result)
	heard    time.Duration
	ended    bool
	// cutOff is true once the connection carries nothing more.
	cutOff bool
}

// startStream runs a task on an engine that may run it.
func (n *node) startStream(task dispatch.Task, progress func(dispatch.Progress), done func(dispatch.Result)) *stream {
	w := n.world
	w.streams++
	if len(task.AvoidEngines) > 0 {
		w.hedges++ // only a second attempt avoids an engine: that of the first
	}
	s := &stream{id: w.streams, node: n, task: task, progress: progress, done: done, heard: w.clock.Now()}
	if s.host = n.chooseEngine(task); s.host == nil {
		n.after(noEngineWait, func() { s.finish(notRun(task)) })
		return s
	}
	incarnation := s.host.seen
	s.assembly = engine.NewAssembly(engine.Expectation{
		RequestID: task.RequestID, Attempt: task.Attempt, Incarnation: incarnation, Engine: s.host.name,
		MinVersion: task.MinVersion, Resume: task.Resume, ResumeSegments: task.ResumeSegments, MaxTokens: task.MaxTokens,
	})
	request := enginev1.CompletionRequest{
		Model: poolName, RequestID: task.RequestID, Attempt: task.Attempt, Incarnation: incarnation, Prompt: task.Prompt,
		Resume: task.Resume, MaxTokens: task.MaxTokens, Seed: task.Seed, MinVersion: task.MinVersion,
		PermittedZones: zoneNames, Stream: true,
	}
	w.clock.After(w.latency(), func() { s.arrive(request) })
	s.watch()
	return s
}

// chooseEngine returns an engine of the least load among those that may run the task; nil if there is none.
func (n *node) chooseEngine(task dispatch.Task) *engineHost {
	var best *engineHost
	least := 0
	for _, at := range n.world.rand.Perm(len(n.world.engines)) {
		host := n.world.engines[at]
		load := host.engine.Load(n.world.now())
		busy := load.Running + load.Waiting
		if load.ActiveVersion < task.MinVersion || slices.Contains(task.AvoidEngines, host.name) {
			continue
		}
		if best == nil || busy < least {
			best, least = host, busy
		}
	}
	return best
}

func notRun(task dispatch.Task) dispatch.Result {
	return dispatch.Result{
		Outcome: v1.OutcomeNotRun, Tokens: task.Resume, Segments: task.ResumeSegments,
		Err: v1.NotRun(v1.CodeUnavailable, 0, "no engine runs the request"),
	}
}

// arrive is the request at its engine.
func (s *stream) arrive(request enginev1.CompletionRequest) {
	w := s.node.world
	if !w.open(s.node.zone, s.host.zone) {
		return
	}
	if refusal := s.host.submit(s, request); refusal != nil {
		w.clock.After(w.latency(), func() {
			if w.open(s.node.zone, s.host.zone) {
				s.node.run(func() { s.finish(notRun(s.task)) })
			}
		})
	}
}

// accept takes one event of the engine.
func (s *stream) accept(event enginev1.TokenEvent) {
	if s.ended {
		return
	}
	s.heard = s.node.world.clock.Now()
	if s.node.world.guards.acceptForeign {
		event.RequestID, event.Incarnation = s.task.RequestID, s.host.seen
	}
	chunks, err := s.assembly.Accept(event)
	for _, chunk := range chunks {
		s.progress(dispatch.Progress{Index: chunk.Index, Tokens: chunk.Tokens, Version: chunk.Version, Engine: s.host.name})
	}
	if err != nil || s.assembly.Done() {
		s.conclude(err)
	}
}

func (s *stream) conclude(err error) {
	read := s.assembly.Result(err)
	result := dispatch.Result{
		Outcome: read.Outcome, Tokens: read.Tokens, Segments: read.Segments, FinishReason: read.FinishReason,
		Engine: s.host.name, Attempts: 1,
	}
	if read.Outcome != v1.OutcomeCompleted {
		result.Err = v1.Errorf(v1.CodeUnavailable, "the stream broke")
	}
	s.finish(result)
}

func (s *stream) finish(result dispatch.Result) {
	if s.ended {
		return
	}
	s.ended = true
	s.done(result)
}

// closeSoon is the end of the connection.
func (s *stream) closeSoon() {
	s.node.world.clock.After(closeDelay, func() { s.node.run(s.lost) })
}

func (s *stream) lost() {
	if !s.ended {
		s.conclude(s.assembly.End())
	}
}

// watch gives a stream up that tells nothing.
func (s *stream) watch() {
	s.node.after(streamSilence, func() {
		if s.ended {
			return
		}
		if s.node.world.clock.Now()-s.heard >= streamSilence {
			s.lost()
			return
		}
		s.watch()
	})
}

// cancel ends the attempt; nobody is told its result.
func (s *stream) cancel() {
	if s.ended || s.host == nil {
		s.ended = true
		return
	}
	s.ended = true
	w := s.node.world
	w.clock.After(w.latency(), func() {
		if w.open(s.node.zone, s.host.zone) {
			s.host.cancel(s.task.RequestID, s.task.Attempt)
		}
	})
}
