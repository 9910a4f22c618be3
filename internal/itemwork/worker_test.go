package itemwork_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/forward"
	"github.com/covelink/covelink/internal/itemwork"
)

// eventPause is the time between two events of the test's engine.
const eventPause = 100 * time.Millisecond

// endlessEngine streams events until it is cut off. It implements forward.Transport.
type endlessEngine struct{}

func (endlessEngine) Send(ctx context.Context, _ *fleet.Engine, _ *forward.Request, options forward.SendOptions) (*forward.Answer, error) {
	reader, writer := io.Pipe()
	go func() {
		for number := options.LastEventID + 1; ; number++ {
			select {
			case <-time.After(eventPause):
			case <-ctx.Done():
				writer.CloseWithError(ctx.Err())
				return
			}
			if _, err := fmt.Fprintf(writer, "id: %d\ndata: e%d\n\n", number, number); err != nil {
				return
			}
		}
	}()
	return &forward.Answer{Status: http.StatusOK, Valid: true, Signature: "signed", WeightVersion: 1, Body: reader}, nil
}

// script is a coordinating process whose answers a test sets.
type script struct {
	mu     sync.Mutex
	term   int64
	orders []itemwork.Order
	// unwanted are runs that are refused.
	unwanted map[itemwork.RunID]bool
	reports  []itemwork.Report
}

func newScript() *script { return &script{term: 1, unwanted: make(map[itemwork.RunID]bool)} }

func (s *script) poll(ctx context.Context, _ string, _ itemwork.PollRequest) (itemwork.PollReply, error) {
	select {
	case <-time.After(50 * time.Millisecond):
	case <-ctx.Done():
		return itemwork.PollReply{}, ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return itemwork.PollReply{Leading: true, Term: s.term, Orders: s.orders}, nil
}

func (s *script) report(_ context.Context, _ string, request itemwork.ReportRequest) (itemwork.ReportReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := itemwork.ReportReply{Leading: true, Term: s.term}
	if request.Term != s.term {
		return reply, nil
	}
	s.reports = append(s.reports, request.Reports...)
	for _, report := range request.Reports {
		if s.unwanted[report.Run] {
			reply.Unwanted = append(reply.Unwanted, report.Run)
		}
	}
	return reply, nil
}

// set changes what the coordinating process answers.
func (s *script) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// told returns what was reported since the last call.
func (s *script) told() []itemwork.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	reports := s.reports
	s.reports = nil
	return reports
}

func begin(number uint64, run itemwork.RunID) itemwork.Order {
	return itemwork.Order{Number: number, Start: &itemwork.Assignment{Run: run, Job: "j", Item: run.String(), Engine: itemwork.Target{ID: "a"}}}
}

func playScript(t *testing.T, name string, scene func(s *script)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newScript()
		defer runWorker(t, fleet.NewState(), s.poll, s.report)()
		Convey(name, t, func() { scene(s) })
	})
}

// runWorker runs a worker of a state, whose calls poll and report answer, and returns what ends it.
func runWorker(t *testing.T, state *fleet.State, poll func(context.Context, string, itemwork.PollRequest) (itemwork.PollReply, error),
	report func(context.Context, string, itemwork.ReportRequest) (itemwork.ReportReply, error)) (end func()) {
	worker := itemwork.NewWorker(itemwork.WorkerParams{
		Name:        "w",
		Executor:    &itemwork.Executor{State: state, Transport: endlessEngine{}},
		Coordinator: func() string { return "address" },
		Poll:        poll,
		Report:      report,
		Draining:    func() bool { return false },
		Logger:      log.NewNopLogger(),
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		worker.Run(ctx)
		close(done)
	}()
	return func() {
		cancel()
		<-done
	}
}

func TestWorker(t *testing.T) {
	first := itemwork.RunID{Term: 1, Number: 1}
	playScript(t, "An order that is told several times takes effect once", func(s *script) {
		s.set(func() { s.orders = []itemwork.Order{begin(1, first)} })
		time.Sleep(time.Second)
		events := 0
		for _, report := range s.told() {
			So(report.Run, ShouldResemble, first)
			So(report.From, ShouldEqual, events)
			for _, segment := range report.Segments {
				events += len(segment.Events)
			}
		}
		So(events, ShouldBeBetween, 5, 10)
	})
	playScript(t, "A run that is not wanted reports its end, and nothing more", func(s *script) {
		s.set(func() {
			s.orders = []itemwork.Order{begin(1, first)}
			s.unwanted[first] = true
		})
		time.Sleep(2 * time.Second)
		reports := s.told()
		So(reports[len(reports)-1].End.Verdict, ShouldEqual, itemwork.VerdictCanceled)
		time.Sleep(time.Second)
		So(s.told(), ShouldBeEmpty)
	})
	playScript(t, "A later term is told all that a run has made, and orders of an earlier one are void", func(s *script) {
		s.set(func() { s.orders = []itemwork.Order{begin(1, first)} })
		time.Sleep(time.Second)
		s.told()
		s.set(func() { s.term, s.orders = 2, nil })
		time.Sleep(time.Second)
		report := s.told()[0]
		So(report.From, ShouldEqual, 0)
		So(report.Segments[0].Events[0], ShouldEqual, "e1")
		s.set(func() { s.term, s.orders = 1, []itemwork.Order{begin(9, itemwork.RunID{Term: 1, Number: 9})} })
		time.Sleep(time.Second)
		s.set(func() { s.term, s.orders = 2, nil })
		time.Sleep(time.Second)
		for _, report := range s.told() {
			So(report.Run, ShouldResemble, first)
		}
	})
}

func TestText(t *testing.T) {
	Convey("A text takes in what a report adds, skips what it holds, and refuses what leaves a gap", t, func() {
		var text itemwork.Text
		report := func(from int, lastID int64, version int64, events ...string) *itemwork.Report {
			return &itemwork.Report{From: from, LastID: lastID, Segments: []itemwork.Segment{{Version: version, Events: events}}}
		}
		So(text.Merge(report(0, 2, 1, "a", "b")), ShouldBeTrue)
		So(text.Merge(report(0, 2, 1, "a", "b")), ShouldBeTrue)
		So(text.Merge(report(1, 3, 1, "b", "c")), ShouldBeTrue)
		So(text.Merge(report(5, 6, 1, "f")), ShouldBeFalse)
		So(text.Merge(report(3, 4, 2, "d")), ShouldBeTrue)
		So(text.Joined(), ShouldEqual, "a\nb\nc\nd")
		So(text.LastID, ShouldEqual, 4)
		So(text.Versions(), ShouldResemble, []int64{1, 2})
		So(text.Fits(itemwork.Bounds{MinVersion: 1}), ShouldBeTrue)
		So(text.Fits(itemwork.Bounds{MinVersion: 2}), ShouldBeFalse)
		So(text.Fits(itemwork.Bounds{SingleVersion: true}), ShouldBeFalse)
		So(text.Merge(&itemwork.Report{Restarted: true}), ShouldBeTrue)
		So(text.Len(), ShouldEqual, 0)
	})
}
