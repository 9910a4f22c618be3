package itemwork

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"
)

// alwaysReady is closed: a handler that takes reports from the start.
var alwaysReady = func() <-chan struct{} {
	ready := make(chan struct{})
	close(ready)
	return ready
}()

// countingHandler counts reports.
type countingHandler struct {
	lostWorkers
	mu      sync.Mutex
	reports int
}

func (c *countingHandler) HandleReport(string, *Report) Disposition {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reports++
	return Wanted
}

func (c *countingHandler) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reports
}

// Guards against reports that reach a coordinator which does not know its jobs yet: they would count as accepted, and the text in them would be lost.
func TestReportsWaitForTheHandler(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		dispatcher := NewDispatcher(log.NewNopLogger())
		handler := &countingHandler{}
		ready := make(chan struct{})
		var leading sync.WaitGroup
		leading.Go(func() { dispatcher.Lead(ctx, 7, handler, ready) })
		defer func() {
			cancel()
			leading.Wait()
		}()
		time.Sleep(time.Millisecond)
		id := WorkerID{Name: "w", Zone: "z", Instance: "first"}
		report := func() (reply ReportReply, took time.Duration) {
			began := time.Now()
			reply = dispatcher.Report(ReportRequest{Worker: id, Term: 7, Reports: []Report{{}}})
			return reply, time.Since(began)
		}
		Convey("Before the handler is ready a worker registers at once, and its reports are refused after a while", t, func() {
			reply := dispatcher.Poll(t.Context(), PollRequest{Worker: id})
			So(reply.Leading, ShouldBeTrue)
			So(reply.Term, ShouldEqual, 7)
			So(dispatcher.Workers(), ShouldEqual, 1)
			refused, took := report()
			So(refused.Leading, ShouldBeFalse)
			So(took, ShouldEqual, reportHold)
			So(handler.count(), ShouldEqual, 0)
		})
		Convey("A report that waits is taken as soon as the handler is ready, and later ones at once", t, func() {
			time.AfterFunc(100*time.Millisecond, func() { close(ready) })
			held, took := report()
			So(held.Leading, ShouldBeTrue)
			So(took, ShouldEqual, 100*time.Millisecond)
			So(handler.count(), ShouldEqual, 1)
			next, took := report()
			So(next.Leading, ShouldBeTrue)
			So(took, ShouldEqual, time.Duration(0))
		})
	})
}
