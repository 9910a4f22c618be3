package itemwork

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/pause"
	"github.com/covelink/covelink/internal/placement"
)

const (
	// permitLife is how long after the coordinating process was heard from a request of the worker's own may run. The items of an
	// ended job must not run from 3 s after its end on.
	permitLife = 2400 * time.Millisecond
	// keepEnded is how long an ended run is kept after it was reported, for a later term.
	keepEnded = 10 * time.Second
	// maxKeptBytes bounds the texts of ended runs.
	maxKeptBytes = 12 << 20
	// progressInterval is the pause between two reports of what running streams make.
	progressInterval = 300 * time.Millisecond
	// retryPause is the pause after a call that failed.
	retryPause = 150 * time.Millisecond
	// callMargin is how long a call may take beyond what it waits.
	callMargin = 700 * time.Millisecond
	// maxReportBytes bounds the texts of one call.
	maxReportBytes = 1 << 20
	// flushTime is how long a worker that stops tries to report what its runs have made.
	flushTime = 600 * time.Millisecond
)

// WorkerParams are what a Worker works with.
type WorkerParams struct {
	// Name is the node's, Zone its zone, and Instance the name of this start of the process.
	Name, Zone, Instance string
	Executor             *Executor
	// Coordinator returns the internal address of the coordinating process, or "".
	Coordinator func() string
	// Poll and Report call the process at an address.
	Poll   func(ctx context.Context, address string, request PollRequest) (PollReply, error)
	Report func(ctx context.Context, address string, request ReportRequest) (ReportReply, error)
	// MayTell reports whether the process at an address may be told of a run that began in a term; nil means always. A process in a region that the
	// run's residency excludes is told only of runs that it began itself: it does not know the jobs of the others, and a later term may continue
	// them.
	MayTell func(address string, term int64, residency placement.Residency) bool
	// Draining is true once the process stops: nothing new is assigned then.
	Draining func() bool
	// Called reports whether the coordinating process wants this process to run items; nil means always.
	Called func() bool
	Logger log.Logger
}

// Worker carries out runs for the coordinating process. It is safe for concurrent use.
type Worker struct {
	WorkerParams

	mu sync.Mutex
	// term is the highest that is known, and taken the number of the last order of it.
	term  int64
	taken uint64
	// meeting is that of the last reply of the term; zero before the first.
	meeting uint64
	// untold is true from a new term or meeting on until the coordinating process has been told of all runs that may make reward calls. What it does
	// not want has ended by then: the job may have ended while nothing was heard.
	untold bool
	// heard is when the call began that the coordinating process answered last.
	heard    time.Time
	interval time.Duration
	// offered is true while a desk may count on the worker: from a poll that offers itself until one that says that it is leaving was answered.
	offered bool
	runs    map[RunID]*workerRun
	order   []RunID
	// ended tells the reporter of runs that have ended.
	ended   chan struct{}
	running sync.WaitGroup
	// life ends all runs.
	life context.Context
	end  context.CancelFunc
}

// NewWorker returns a Worker. Run starts it.
func NewWorker(params WorkerParams) *Worker {
	w := &Worker{WorkerParams: params, runs: make(map[RunID]*workerRun), ended: make(chan struct{}, 1)}
	w.life, w.end = context.WithCancel(context.Background())
	w.Executor.PermittedUntil = w.permittedUntil
	return w
}

// Running returns the number of runs that are not over.
func (w *Worker) Running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	running := 0
	for _, run := range w.runs {
		if !run.over() {
			running++
		}
	}
	return running
}

// permittedUntil returns until when requests of the worker's own may run.
func (w *Worker) permittedUntil() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.heard.Add(permitLife)
}

// Run fetches assignments and reports on them until ctx ends. Then it ends all runs and tells what they have made.
func (w *Worker) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { w.pollUntil(ctx) })
	loops.Go(func() { w.reportUntil(ctx) })
	loops.Wait()
	w.end()
	w.running.Wait()
	w.flush()
}

// pollUntil fetches orders until ctx ends.
func (w *Worker) pollUntil(ctx context.Context) {
	for ctx.Err() == nil {
		if !w.takesPart() {
			pause.For(ctx, retryPause)
			continue
		}
		reply, err := w.pollOnce(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil || !reply.Leading || !w.obey(reply) {
			pause.For(ctx, retryPause)
		}
	}
}

// called reports whether the worker is to take new runs.
func (w *Worker) called() bool { return w.Called == nil || w.Called() }

// takesPart reports whether the worker has to poll: it is called, a desk may count on it, or it holds runs of which a later term must hear.
func (w *Worker) takesPart() bool {
	called := w.called()
	w.mu.Lock()
	defer w.mu.Unlock()
	return called || w.offered || len(w.runs) > 0
}

// noteOffer takes in that the desk has answered a poll.
func (w *Worker) noteOffer(request PollRequest, reply PollReply) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if request.Worker.Leaving {
		w.offered = w.offered && len(reply.Orders) > 0
	}
}

func (w *Worker) pollOnce(ctx context.Context) (PollReply, error) {
	address := w.Coordinator()
	if address == "" {
		return PollReply{}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, pollWait+callMargin)
	defer cancel()
	w.mu.Lock()
	request := PollRequest{Worker: w.identity(), Term: w.term, Taken: w.taken}
	w.offered = w.offered || !request.Worker.Leaving
	w.mu.Unlock()
	started := boottime.Now()
	reply, err := w.Poll(ctx, address, request)
	if err == nil && reply.Leading {
		w.hear(started, reply.Term, reply.Meeting)
		w.noteOffer(request, reply)
		setLeaveBy(reply, started)
	}
	return reply, err
}

// setLeaveBy sets LeaveBy of a reply's assignments, as moments of this machine's boottime, from the time at which the poll began. The answer was
// written at least Held after that, so that LeaveBy is never too late.
func setLeaveBy(reply PollReply, started time.Time) {
	for _, order := range reply.Orders {
		if order.Start != nil && order.LeaveWithin != 0 {
			order.Start.LeaveBy = started.Add(reply.Held + order.LeaveWithin)
		}
	}
}

// identity returns this worker's ID for calls. A worker that does not know the evacuations yet would refuse every run, and says that it is leaving
// so that it gets none.
func (w *Worker) identity() WorkerID {
	unready := w.Executor.State.View().Evacuations == nil
	return WorkerID{Name: w.Name, Zone: w.Zone, Instance: w.Instance, Leaving: w.Draining() || unready || !w.called()}
}

// hear notes that the coordinating process of a term has answered a call. The holder of a new term is told everything, and so is a desk that had lost
// the worker, which shows by another meeting. It ends what it does not want: a reward call for a job that had ended meanwhile went on, and was
// repeated, until it was answered.
func (w *Worker) hear(started time.Time, term int64, meeting uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if term < w.term {
		return
	}
	changed := term > w.term || meeting != w.meeting
	if term > w.term {
		level.Info(w.Logger).Log("msg", "coordinator changed", "term", term, "before", w.term, "runs", len(w.runs))
		w.term, w.taken = term, 0
	}
	if changed {
		w.meeting = meeting
		w.tellAll()
	}
	w.renewPermission(started)
}

// renewPermission lets requests of the worker's own run for permitLife after a moment, unless some of the runs may not be wanted any more. The
// mutex must be held.
func (w *Worker) renewPermission(at time.Time) {
	if !w.untold && at.After(w.heard) {
		w.heard = at
	}
}

// tellAll has everything told to the coordinating process again. The mutex must be held.
func (w *Worker) tellAll() {
	for _, run := range w.runs {
		run.forgetReports()
	}
	w.noteTold()
	w.poke()
}

// noteTold takes in which runs were told. The mutex must be held.
func (w *Worker) noteTold() {
	w.untold = false
	for _, run := range w.runs {
		w.untold = w.untold || (run.mayCall() && !run.told)
	}
}

// obey carries out the orders of a reply that are new. It returns false if the reply is of an earlier term.
func (w *Worker) obey(reply PollReply) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if reply.Term != w.term {
		return false
	}
	for _, order := range reply.Orders {
		if order.Number <= w.taken {
			continue
		}
		w.taken = order.Number
		if order.Start != nil {
			w.start(order.Start)
			continue
		}
		if run, ok := w.runs[order.Cancel]; ok {
			run.cancel()
		}
		if run, ok := w.runs[order.Release]; ok {
			run.release()
		}
	}
	return true
}

// start begins a run. The mutex must be held.
func (w *Worker) start(assignment *Assignment) {
	if w.life.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancel(w.life)
	run := &workerRun{worker: w, assignment: assignment, text: assignment.Text, cancel: cancel, version: assignment.Engine.Version}
	run.reported = run.text.Len()
	if run.text.Whole {
		// An earlier run has read the whole stream: only the reward call is left.
		run.end.Verdict, run.verdictReported = VerdictWhole, VerdictWhole
	}
	w.runs[assignment.Run] = run
	w.order = append(w.order, assignment.Run)
	w.running.Go(func() {
		defer cancel()
		w.Executor.Run(ctx, assignment, run)
	})
}

// poke makes the reporter report at once.
func (w *Worker) poke() {
	select {
	case w.ended <- struct{}{}:
	default:
	}
}
