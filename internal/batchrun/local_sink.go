package batchrun

import (
	"sync/atomic"

	"github.com/covelink/covelink/internal/itemwork"
)

// localSink reports a run that this process executes.
type localSink struct {
	runner     *Runner
	assignment *itemwork.Assignment
	// reported is the number of events reported so far.
	reported int
	lastID   int64
	version  int64
	end      itemwork.End
	// noRewardCall is true if the run must make no reward call.
	noRewardCall atomic.Bool
	cancel       func()
}

var _ itemwork.Sink = (*localSink)(nil)

// report sends a report to the runner, and cancels the run or drops its reward call according to the reply.
func (s *localSink) report(change func(report *itemwork.Report)) {
	report := &itemwork.Report{
		Run:     s.assignment.Run,
		Job:     s.assignment.Job,
		Item:    s.assignment.Item,
		Engine:  s.assignment.Engine.ID,
		From:    s.reported,
		LastID:  s.lastID,
		Version: s.version,
		End:     s.end,
	}
	change(report)
	switch s.runner.HandleReport("", report) {
	case itemwork.Unwanted:
		s.cancel()
	case itemwork.TextOnly:
		s.noRewardCall.Store(true)
	case itemwork.Wanted:
	}
}

// StreamStarted implements itemwork.Sink.
func (s *localSink) StreamStarted(version int64) {
	s.version = version
	s.report(func(*itemwork.Report) {})
}

// EventReceived implements itemwork.Sink.
func (s *localSink) EventReceived(event itemwork.Event) {
	s.version, s.lastID = event.Version, event.ID
	s.report(func(report *itemwork.Report) {
		report.Segments = []itemwork.Segment{{Version: event.Version, Events: []string{event.Data}}}
		if event.Pause > 0 {
			report.Pauses, report.PauseCount = event.Pause, 1
		}
	})
	s.reported++
}

// Restarted implements itemwork.Sink.
func (s *localSink) Restarted() {
	s.reported = 0
	s.report(func(report *itemwork.Report) { report.Restarted = true })
}

// StreamEnded implements itemwork.Sink.
func (s *localSink) StreamEnded(end itemwork.End) (judge bool) {
	s.end = end
	s.report(func(*itemwork.Report) {})
	return !s.noRewardCall.Load()
}

// RewardCallEnded implements itemwork.Sink.
func (s *localSink) RewardCallEnded(judgement itemwork.Judgement) {
	s.report(func(report *itemwork.Report) { report.Judgement = judgement })
}
