package itemwork

import (
	"time"

	"github.com/go-kit/log/level"
)

// workerRun is a run of a worker, running or ended. It is guarded by the worker's mutex. It implements Sink.
type workerRun struct {
	worker     *Worker
	assignment *Assignment
	cancel     func()
	text       Text
	restarted  bool
	// released is true once the run must make no reward call because its job has ended.
	released bool
	// version is the engine's last known weight version.
	version    int64
	pauses     time.Duration
	pauseCount int
	end        End
	judgement  Judgement
	// reported is the number of events that the coordinator has accepted.
	reported int
	// verdictReported is the last verdict that the coordinator has accepted, and endReported when it accepted the end of the run.
	verdictReported Verdict
	// announced is true once the coordinator has received the run in this term and registration.
	announced   bool
	endReported time.Time
}

var _ Sink = (*workerRun)(nil)

// StreamStarted implements Sink.
func (r *workerRun) StreamStarted(version int64) {
	r.worker.mu.Lock()
	defer r.worker.mu.Unlock()
	r.version = version
}

// EventReceived implements Sink.
func (r *workerRun) EventReceived(event Event) {
	r.worker.mu.Lock()
	defer r.worker.mu.Unlock()
	r.text.Add(event.ID, event.Data, event.Version)
	r.version = event.Version
	if event.Pause > 0 {
		r.pauses += event.Pause
		r.pauseCount++
	}
}

// Restarted implements Sink.
func (r *workerRun) Restarted() {
	r.worker.mu.Lock()
	defer r.worker.mu.Unlock()
	r.text, r.restarted = Text{}, true
}

// StreamEnded implements Sink.
func (r *workerRun) StreamEnded(end End) (callReward bool) {
	r.worker.mu.Lock()
	defer r.worker.mu.Unlock()
	r.end = end
	r.text.Whole = end.Verdict == VerdictComplete
	if end.Verdict != VerdictComplete {
		level.Debug(r.worker.Logger).Log("msg", "run ended", "request", r.assignment.Item, "job", r.assignment.Job, "run", r.assignment.Run,
			"engine", r.assignment.Engine.ID, "verdict", end.Verdict, "text_events", r.text.Len(), "term", r.worker.term, "err", end.Cause)
	}
	r.worker.wakeReporter()
	return !r.released
}

// release lets the stream continue without a reward call, and cancels a reward call in progress. The worker's mutex must be held.
func (r *workerRun) release() {
	r.released = true
	if r.end.Verdict == VerdictComplete {
		r.cancel()
	}
}

// RewardCallEnded implements Sink.
func (r *workerRun) RewardCallEnded(judgement Judgement) {
	r.worker.mu.Lock()
	defer r.worker.mu.Unlock()
	r.judgement = judgement
	r.worker.wakeReporter()
}

// finished reports whether the run has ended, including its reward call.
func (r *workerRun) finished() bool {
	if r.end.Verdict != VerdictComplete {
		return r.end.Verdict != VerdictNone
	}
	return r.assignment.Reward == nil || r.released || r.judgement.State != JudgementOpen
}

// mayCallReward reports whether the run may make its reward call, or is making it.
func (r *workerRun) mayCallReward() bool { return r.text.Whole && !r.finished() }

// hasUpdates reports whether the run has updates that the coordinator has not accepted.
func (r *workerRun) hasUpdates() bool {
	if r.finished() {
		return r.endReported.IsZero()
	}
	return r.pauseCount > 0 || r.text.Len() > r.reported || r.end.Verdict != r.verdictReported
}

func (r *workerRun) resetReported() {
	r.reported, r.verdictReported, r.endReported, r.announced = 0, VerdictNone, time.Time{}, false
}

// report returns the updates since the last accepted report.
func (r *workerRun) report() Report {
	return Report{
		Run:        r.assignment.Run,
		Job:        r.assignment.Job,
		Item:       r.assignment.Item,
		Tenant:     r.assignment.Tenant,
		Engine:     r.assignment.Engine.ID,
		Released:   r.released,
		From:       r.reported,
		Segments:   r.text.After(r.reported),
		LastID:     r.text.LastID,
		Restarted:  r.restarted,
		Version:    r.version,
		Pauses:     r.pauses,
		PauseCount: r.pauseCount,
		End:        r.end,
		Judgement:  r.judgement,
	}
}

func (r *workerRun) markReported(report *Report) {
	r.announced = true
	r.reported = max(r.reported, report.From+countEvents(report.Segments))
	r.pauses -= report.Pauses
	r.pauseCount -= report.PauseCount
	r.verdictReported = report.End.Verdict
	if r.finished() && report.End == r.end && report.Judgement == r.judgement {
		r.endReported = time.Now()
	}
}
