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

const eventPause = 100 * time.Millisecond

// endlessEngine streams events until it is canceled. It implements forward.Transport.
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

// fakeCoordinator is a coordinator with scripted answers.
type fakeCoordinator struct {
	mu       sync.Mutex
	term     int64
	orders   []itemwork.Order
	unwanted map[itemwork.RunID]bool
	reports  []itemwork.Report
}

func newFakeCoordinator() *fakeCoordinator {
	return &fakeCoordinator{term: 1, unwanted: make(map[itemwork.RunID]bool)}
}

func (s *fakeCoordinator) poll(ctx context.Context, _ string, _ itemwork.PollRequest) (itemwork.PollReply, error) {
	select {
	case <-time.After(50 * time.Millisecond):
	case <-ctx.Done():
		return itemwork.PollReply{}, ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return itemwork.PollReply{Leading: true, Term: s.term, Orders: s.orders}, nil
}

func (s *fakeCoordinator) report(_ context.Context, _ string, request itemwork.ReportRequest) (itemwork.ReportReply, error) {
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

func (s *fakeCoordinator) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// takeReports returns the reports since the last call.
func (s *fakeCoordinator) takeReports() []itemwork.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	reports := s.reports
	s.reports = nil
	return reports
}

func startOrder(number uint64, run itemwork.RunID) itemwork.Order {
	return itemwork.Order{Number: number, Start: &itemwork.Assignment{Run: run, Job: "j", Item: run.String(), Engine: itemwork.Target{ID: "a"}}}
}

func runScenario(t *testing.T, name string, run func(s *fakeCoordinator)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newFakeCoordinator()
		defer runWorker(t, fleet.NewState(), s.poll, s.report)()
		Convey(name, t, func() { run(s) })
	})
}

// runWorker starts a worker whose calls poll and report answer, and returns a function that stops it.
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
	runScenario(t, "An order that is delivered several times takes effect once", func(s *fakeCoordinator) {
		s.set(func() { s.orders = []itemwork.Order{startOrder(1, first)} })
		time.Sleep(time.Second)
		events := 0
		for _, report := range s.takeReports() {
			So(report.Run, ShouldResemble, first)
			So(report.From, ShouldEqual, events)
			for _, segment := range report.Segments {
				events += len(segment.Events)
			}
		}
		So(events, ShouldBeBetween, 5, 10)
	})
	runScenario(t, "An unwanted run reports its end and nothing more", func(s *fakeCoordinator) {
		s.set(func() {
			s.orders = []itemwork.Order{startOrder(1, first)}
			s.unwanted[first] = true
		})
		time.Sleep(2 * time.Second)
		reports := s.takeReports()
		So(reports[len(reports)-1].End.Verdict, ShouldEqual, itemwork.VerdictCanceled)
		time.Sleep(time.Second)
		So(s.takeReports(), ShouldBeEmpty)
	})
	runScenario(t, "A later term receives the full output of a run, and orders of an earlier term are ignored", func(s *fakeCoordinator) {
		s.set(func() { s.orders = []itemwork.Order{startOrder(1, first)} })
		time.Sleep(time.Second)
		s.takeReports()
		s.set(func() { s.term, s.orders = 2, nil })
		time.Sleep(time.Second)
		report := s.takeReports()[0]
		So(report.From, ShouldEqual, 0)
		So(report.Segments[0].Events[0], ShouldEqual, "e1")
		s.set(func() { s.term, s.orders = 1, []itemwork.Order{startOrder(9, itemwork.RunID{Term: 1, Number: 9})} })
		time.Sleep(time.Second)
		s.set(func() { s.term, s.orders = 2, nil })
		time.Sleep(time.Second)
		for _, report := range s.takeReports() {
			So(report.Run, ShouldResemble, first)
		}
	})
}

func TestText(t *testing.T) {
	Convey("Merge appends new events, skips known ones, and refuses a report that leaves a gap", t, func() {
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
