package itemwork

import (
	"time"

	"github.com/go-kit/log/level"
)

// workerRun is a run that a worker carries out or has carried out. The worker's mutex guards it. It implements Sink.
type workerRun struct {
	worker     *Worker
	assignment *Assignment
	cancel     func()
	text       Text
	restarted  bool
	// released is true once the run must make no reward call: its job has ended.
	released bool
	// version is the engine's weight version, as far as it is known.
	version    int64
	pauses     time.Duration
	pauseCount int
	end        End
	judgement  Judgement
	// reported is the number of events that the coordinating process has taken in.
	reported int
	// verdictReported is the verdict that it has taken in, and endReported when it took in the run's end.
	verdictReported Verdict
	// told is true once the process that leads has been told of the run in this term and meeting.
	told        bool
	endReported time.Time
}

var _ Sink = (*workerRun)(nil)

// Begun implements Sink.
func (r *workerRun) Begun(version int64) {
	r.worker.mu.Lock()
	defer r.worker.mu.Unlock()
	r.version = version
}

// Made implements Sink.
func (r *workerRun) Made(event Event) {
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
func (r *workerRun) StreamEnded(end End) (judge bool) {
	r.worker.mu.Lock()
	defer r.worker.mu.Unlock()
	r.end = end
	r.text.Whole = end.Verdict == VerdictWhole
	if end.Verdict != VerdictWhole {
		level.Debug(r.worker.Logger).Log("msg", "run ended", "request", r.assignment.Item, "job", r.assignment.Job, "run", r.assignment.Run,
			"engine", r.assignment.Engine.ID, "verdict", end.Verdict, "text_events", r.text.Len(), "term", r.worker.term, "err", end.Cause)
	}
	r.worker.poke()
	return !r.released
}

// release lets the stream go on and makes no reward call after it; one that is under way is ended. The worker's mutex must be held.
func (r *workerRun) release() {
	r.released = true
	if r.end.Verdict == VerdictWhole {
		r.cancel()
	}
}

// Judged implements Sink.
func (r *workerRun) Judged(judgement Judgement) {
	r.worker.mu.Lock()
	defer r.worker.mu.Unlock()
	r.judgement = judgement
	r.worker.poke()
}

// over reports whether nothing more comes of the run.
func (r *workerRun) over() bool {
	if r.end.Verdict != VerdictWhole {
		return r.end.Verdict != VerdictNone
	}
	return r.assignment.Reward == nil || r.released || r.judgement.State != JudgementOpen
}

// mayCall reports whether the run makes or may make its reward call.
func (r *workerRun) mayCall() bool { return r.text.Whole && !r.over() }

// news reports whether there is something that the coordinating process has not taken in.
func (r *workerRun) news() bool {
	if r.over() {
		return r.endReported.IsZero()
	}
	return r.pauseCount > 0 || r.text.Len() > r.reported || r.end.Verdict != r.verdictReported
}

// forgetReports makes the run tell everything again.
func (r *workerRun) forgetReports() {
	r.reported, r.verdictReported, r.endReported, r.told = 0, VerdictNone, time.Time{}, false
}

// report tells what is new.
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

// take notes that a report was taken in.
func (r *workerRun) take(report *Report) {
	r.told = true
	r.reported = max(r.reported, report.From+countEvents(report.Segments))
	r.pauses -= report.Pauses
	r.pauseCount -= report.PauseCount
	r.verdictReported = report.End.Verdict
	if r.over() && report.End == r.end && report.Judgement == r.judgement {
		r.endReported = time.Now()
	}
}
