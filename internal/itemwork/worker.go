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
	// permissionTTL is how long after the last contact with the coordinator a reward call may run. No item of an ended job may run later than 3 s
	// after its end.
	permissionTTL = 2400 * time.Millisecond
	// endedRunTTL is how long an ended run is kept after it was reported, for a later term.
	endedRunTTL = 10 * time.Second
	// maxEndedBytes bounds the total size of the texts of ended runs.
	maxEndedBytes    = 12 << 20
	progressInterval = 300 * time.Millisecond
	retryPause       = 150 * time.Millisecond
	// callMargin is the timeout of a call beyond the time that the dispatcher may hold it.
	callMargin     = 700 * time.Millisecond
	maxReportBytes = 1 << 20
	// flushTimeout bounds the final reports of a worker that shuts down.
	flushTimeout = 600 * time.Millisecond
)

// WorkerParams are the dependencies of a Worker.
type WorkerParams struct {
	// Name is the node's name, Zone its zone, and Instance is unique to this start of the process.
	Name, Zone, Instance string
	Executor             *Executor
	// Coordinator returns the internal address of the coordinator, or "" if it is unknown.
	Coordinator func() string
	// WhileCoordinator returns a context that ends with ctx, and once the coordinator is at another address; nil if calls of a replaced coordinator
	// are not ended.
	WhileCoordinator func(ctx context.Context, address string) (context.Context, context.CancelFunc)
	// Poll and Report call the dispatcher at an address.
	Poll   func(ctx context.Context, address string, request PollRequest) (PollReply, error)
	Report func(ctx context.Context, address string, request ReportRequest) (ReportReply, error)
	// MayReport reports whether the process at an address may receive reports of a run that started in a term; nil means always. A process in a
	// region that the run's residency excludes receives only runs of its own terms: it does not hold the jobs of the others, which a later term may
	// continue.
	MayReport func(address string, term int64, residency placement.Residency) bool
	// Draining is true once the process shuts down; the worker then accepts no new assignments.
	Draining func() bool
	// Selected reports whether the coordinator has selected this process to run items; nil means always.
	Selected func() bool
	Logger   log.Logger
}

// Worker carries out runs for the coordinator. It is safe for concurrent use.
type Worker struct {
	WorkerParams

	mu sync.Mutex
	// term is the highest term seen, and lastOrder the number of the last order of it that was carried out.
	term      int64
	lastOrder uint64
	// registration is the Meeting of the last reply of the term; zero before the first.
	registration uint64
	// reportsDue is true after a change of term or registration until all runs that may make reward calls have been reported. Until then, a job may
	// have ended without this worker's knowledge.
	reportsDue bool
	// lastContact is when the last call that the coordinator answered was started.
	lastContact time.Time
	interval    time.Duration
	// assignable is true while a dispatcher may assign runs: from a poll that accepts assignments until the dispatcher has answered one that does
	// not.
	assignable bool
	runs       map[RunID]*workerRun
	runOrder   []RunID
	// reportNow wakes the reporting loop.
	reportNow  chan struct{}
	running    sync.WaitGroup
	runsCtx    context.Context
	cancelRuns context.CancelFunc
}

// NewWorker returns a Worker, which is started by Run.
func NewWorker(params WorkerParams) *Worker {
	w := &Worker{WorkerParams: params, runs: make(map[RunID]*workerRun), reportNow: make(chan struct{}, 1)}
	w.runsCtx, w.cancelRuns = context.WithCancel(context.Background())
	w.Executor.PermittedUntil = w.permittedUntil
	return w
}

// Running returns the number of unfinished runs.
func (w *Worker) Running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	running := 0
	for _, run := range w.runs {
		if !run.finished() {
			running++
		}
	}
	return running
}

// permittedUntil returns the moment until which reward calls may run.
func (w *Worker) permittedUntil() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lastContact.Add(permissionTTL)
}

// Run polls for orders and reports runs until ctx ends. Then it cancels all runs and reports their output.
func (w *Worker) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { w.pollUntil(ctx) })
	loops.Go(func() { w.reportUntil(ctx) })
	loops.Wait()
	w.cancelRuns()
	w.running.Wait()
	w.flush()
}

func (w *Worker) pollUntil(ctx context.Context) {
	for ctx.Err() == nil {
		if !w.mustPoll() {
			pause.For(ctx, retryPause)
			continue
		}
		w.pollCoordinator(ctx)
	}
}

// pollCoordinator polls the coordinator once, and pauses if it gave no orders. Both end at once when the coordinator is replaced, so that the next
// one need not wait for the call of a lost one to time out.
func (w *Worker) pollCoordinator(ctx context.Context) {
	address := w.Coordinator()
	ctx, cancel := w.whileCoordinator(ctx, address)
	defer cancel()
	reply, err := w.pollOnce(ctx, address)
	if ctx.Err() == nil && (err != nil || !reply.Leading || !w.applyOrders(reply)) {
		pause.For(ctx, retryPause)
	}
}

func (w *Worker) whileCoordinator(ctx context.Context, address string) (context.Context, context.CancelFunc) {
	if w.WhileCoordinator == nil {
		return context.WithCancel(ctx)
	}
	return w.WhileCoordinator(ctx, address)
}

// selected reports whether the worker should accept new runs.
func (w *Worker) selected() bool { return w.Selected == nil || w.Selected() }

// mustPoll reports whether the worker has to poll: it is selected, a dispatcher may assign runs to it, or it holds runs to report to a later term.
func (w *Worker) mustPoll() bool {
	selected := w.selected()
	w.mu.Lock()
	defer w.mu.Unlock()
	return selected || w.assignable || len(w.runs) > 0
}

// updateAssignable clears assignable once a dispatcher has answered a poll that accepts no assignments and has no orders left.
func (w *Worker) updateAssignable(request PollRequest, reply PollReply) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if request.Worker.Leaving {
		w.assignable = w.assignable && len(reply.Orders) > 0
	}
}

func (w *Worker) pollOnce(ctx context.Context, address string) (PollReply, error) {
	if address == "" {
		return PollReply{}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, pollWait+callMargin)
	defer cancel()
	w.mu.Lock()
	request := PollRequest{Worker: w.identity(), Term: w.term, Taken: w.lastOrder}
	w.assignable = w.assignable || !request.Worker.Leaving
	w.mu.Unlock()
	started := boottime.Now()
	reply, err := w.Poll(ctx, address, request)
	if err == nil && reply.Leading {
		w.recordContact(started, reply.Term, reply.Meeting)
		w.updateAssignable(request, reply)
		setLeaveBy(reply, started)
	}
	return reply, err
}

// setLeaveBy sets LeaveBy of a reply's assignments as moments of this machine's boottime. The reply was written at least Held after the poll
// started, so LeaveBy is never too late.
func setLeaveBy(reply PollReply, started time.Time) {
	for _, order := range reply.Orders {
		if order.Start != nil && order.LeaveWithin != 0 {
			order.Start.LeaveBy = started.Add(reply.Held + order.LeaveWithin)
		}
	}
}

// identity returns this worker's ID for calls. A worker without the evacuation list would refuse every run, so it reports that it is leaving.
func (w *Worker) identity() WorkerID {
	evacuationsUnknown := w.Executor.State.View().Evacuations == nil
	return WorkerID{Name: w.Name, Zone: w.Zone, Instance: w.Instance, Leaving: w.Draining() || evacuationsUnknown || !w.selected()}
}

// recordContact records that the coordinator of a term has answered a call. If the term or the registration has changed, everything is reported again
// so that the coordinator can cancel unwanted runs: without that, reward calls of jobs that had ended meanwhile would continue.
func (w *Worker) recordContact(started time.Time, term int64, registration uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if term < w.term {
		return
	}
	changed := term > w.term || registration != w.registration
	if term > w.term {
		level.Info(w.Logger).Log("msg", "coordinator term changed", "term", term, "before", w.term, "runs", len(w.runs))
		w.term, w.lastOrder = term, 0
	}
	if changed {
		w.registration = registration
		w.reportAll()
	}
	w.renewPermission(started)
}

// renewPermission permits reward calls for permissionTTL after a moment, unless runs that the coordinator may not want are still unreported. The
// mutex must be held.
func (w *Worker) renewPermission(at time.Time) {
	if !w.reportsDue && at.After(w.lastContact) {
		w.lastContact = at
	}
}

// reportAll schedules a full report of all runs. The mutex must be held.
func (w *Worker) reportAll() {
	for _, run := range w.runs {
		run.resetReported()
	}
	w.updateReportsDue()
	w.wakeReporter()
}

// updateReportsDue recomputes reportsDue. The mutex must be held.
func (w *Worker) updateReportsDue() {
	w.reportsDue = false
	for _, run := range w.runs {
		w.reportsDue = w.reportsDue || (run.mayCallReward() && !run.announced)
	}
}

// applyOrders carries out the new orders of a reply. It returns false if the reply is of an earlier term.
func (w *Worker) applyOrders(reply PollReply) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if reply.Term != w.term {
		return false
	}
	for _, order := range reply.Orders {
		if order.Number <= w.lastOrder {
			continue
		}
		w.lastOrder = order.Number
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

// start starts a run. The mutex must be held.
func (w *Worker) start(assignment *Assignment) {
	if w.runsCtx.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancel(w.runsCtx)
	run := &workerRun{worker: w, assignment: assignment, text: assignment.Text, cancel: cancel, version: assignment.Engine.Version}
	run.reported = run.text.Len()
	if run.text.Whole {
		// An earlier run has completed the stream; only the reward call is left.
		run.end.Verdict, run.verdictReported = VerdictComplete, VerdictComplete
	}
	w.runs[assignment.Run] = run
	w.runOrder = append(w.runOrder, assignment.Run)
	w.running.Go(func() {
		defer cancel()
		w.Executor.Run(ctx, assignment, run)
	})
}

// wakeReporter makes the reporting loop report at once.
func (w *Worker) wakeReporter() {
	select {
	case w.reportNow <- struct{}{}:
	default:
	}
}
