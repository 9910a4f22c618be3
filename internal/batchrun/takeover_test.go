package batchrun_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/batch"
	"github.com/covelink/covelink/internal/batchlog"
	"github.com/covelink/covelink/internal/batchrun"
	"github.com/covelink/covelink/internal/itemwork"
	"github.com/covelink/covelink/internal/metastore/metastoretest"
	"github.com/covelink/covelink/internal/routing"
)

// openJobCount is the number of jobs that a term finds: two each of four trainers.
const openJobCount = 8

// takeover is a term that begins with open jobs of an earlier one, while a worker polls and a trainer submits a job.
type takeover struct {
	*workerHarness
	began time.Time
	// accepted is how long after the begin of the term the new job was accepted.
	accepted  time.Duration
	submitted sync.WaitGroup
	runner    *batchrun.Runner
}

// playTakeover begins term 2 with open jobs, whose store takes callTime a call, and lets a scene look at it.
func playTakeover(t *testing.T, name string, callTime time.Duration, scene func(to *takeover)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		to := &takeover{workerHarness: &workerHarness{harness: newHarness(routing.Route{})}}
		to.stop()
		for i := range openJobCount {
			_, err := batchlog.New(to.store.Client(), 1).Accept(t.Context(), newJob(fmt.Sprintf("open-%d", i), 1))
			if err != nil {
				t.Fatal(err)
			}
		}
		if to.storeFault == nil {
			to.storeFault = func(string, string, bool) metastoretest.Fault {
				time.Sleep(callTime)
				return metastoretest.None
			}
		}
		to.workerHarness.dispatcher.Store(itemwork.NewDispatcher(log.NewNopLogger()))
		stopWorker := to.startWorker("one")
		defer func() {
			to.submitted.Wait()
			to.stop()
			stopWorker()
		}()
		Convey(name, t, func() { scene(to) })
	})
}

// begin begins the term.
func (to *takeover) begin(token int64) {
	to.harness.dispatcher = to.workerHarness.dispatcher.Load()
	to.began = time.Now()
	to.runner, to.stop = to.harness.beginTerm(token)
	to.harness.runner = to.runner
}

// submitAsGateway submits a job until it is accepted, as gateways do.
func (to *takeover) submitAsGateway(id string) {
	to.submitted.Go(func() {
		time.Sleep(5 * time.Millisecond)
		for to.runner.Submit(context.Background(), newJob(id, 1)) != nil {
			time.Sleep(100 * time.Millisecond)
		}
		to.accepted = time.Since(to.began)
	})
}

// firstRun returns how long after the begin of the term the first item of jobs whose IDs begin alike was sent to an engine.
func (to *takeover) firstRun(prefix string) time.Duration {
	to.engines.mu.Lock()
	defer to.engines.mu.Unlock()
	for _, execution := range to.engines.executions {
		if strings.HasPrefix(execution.id, prefix) {
			return execution.at.Sub(to.began)
		}
	}
	return time.Hour
}

// Guards against terms that begin late: with thirteen calls in a row before anything was accepted or placed, trainers lost that time at each change of
// the coordinator.
func TestTimeToFirstPlacement(t *testing.T) {
	bounds := []struct {
		callTime, accepted, placed, adopted time.Duration
	}{
		{4 * time.Millisecond, 20 * time.Millisecond, 40 * time.Millisecond, 400 * time.Millisecond},
		{50 * time.Millisecond, 110 * time.Millisecond, 180 * time.Millisecond, 400 * time.Millisecond},
	}
	for _, bound := range bounds {
		playTakeover(t, fmt.Sprint("With open jobs and a store that takes ", bound.callTime, " a call a term soon accepts and places"), bound.callTime, func(to *takeover) {
			to.begin(2)
			to.submitAsGateway("new")
			time.Sleep(3 * time.Second)
			to.submitted.Wait()
			t.Log("store takes ", bound.callTime, " a call: accepted after ", to.accepted, ", new job placed after ", to.firstRun("new"), ", open jobs after ", to.firstRun("open"))
			So(to.accepted, ShouldBeLessThanOrEqualTo, bound.accepted)
			So(to.firstRun("new"), ShouldBeLessThanOrEqualTo, bound.placed)
			So(to.firstRun("open"), ShouldBeLessThanOrEqualTo, bound.adopted)
			for i := range openJobCount {
				So(to.engines.executionsOf(fmt.Sprintf("open-%d-0", i)), ShouldHaveLength, 1)
			}
		})
	}
}

// Guards against jobs that are lost or run twice if the term ends before the open jobs were read.
func TestTermEndsWhileItReads(t *testing.T) {
	playTakeover(t, "A job accepted by a term that ends while it reads runs once, in the next term", 50*time.Millisecond, func(to *takeover) {
		to.begin(2)
		to.submitAsGateway("new")
		to.submitted.Wait()
		So(to.accepted, ShouldBeLessThan, 150*time.Millisecond)
		to.stop()
		So(time.Since(to.began), ShouldBeLessThan, 200*time.Millisecond)
		So(to.engines.count(), ShouldEqual, 0)
		So(to.runner.Submit(context.Background(), newJob("late", 1)), ShouldEqual, batch.ErrRefused)
		to.begin(3)
		time.Sleep(3 * time.Second)
		So(to.engines.executionsOf("new-0"), ShouldHaveLength, 1)
		So(to.results("new", 0), ShouldHaveLength, 1)
		So(to.engines.executionsOf("late-0"), ShouldBeEmpty)
	})
}

// Guards against two terms that read at the same time and both run the jobs: the earlier one must end at its first write.
func TestTermsThatOverlap(t *testing.T) {
	playTakeover(t, "Of two terms that begin at once the results of the later one are listed, and a job accepted by the earlier one is found",
		10*time.Millisecond, func(to *takeover) {
			to.begin(2)
			earlier, stopEarlier := to.runner, to.stop
			to.submitAsGateway("new")
			to.submitted.Wait()
			to.workerHarness.dispatcher.Store(itemwork.NewDispatcher(log.NewNopLogger()))
			to.begin(3)
			time.Sleep(4 * time.Second)
			stopEarlier()
			So(earlier.Submit(context.Background(), newJob("late", 1)), ShouldEqual, batch.ErrRefused)
			for _, id := range []string{"new", "open-0", "open-7"} {
				So(to.results(id, 0), ShouldHaveLength, 1)
				found, err := batchlog.New(to.store.Client(), 4).Find(context.Background(), id)
				So(err, ShouldBeNil)
				So(found.Results, ShouldHaveLength, 1)
			}
		})
}

// Guards against a term that never begins, or begins without a job, because one of many reads failed.
func TestReadFailsHalfway(t *testing.T) {
	for _, kind := range []string{"batches", "batch-items", "batch-results.open-3"} {
		playTakeover(t, "A term whose read of "+kind+" fails once begins soon, with all jobs, and runs each once", time.Millisecond, func(to *takeover) {
			var failed atomic.Bool
			to.storeFault = func(_, called string, write bool) metastoretest.Fault {
				time.Sleep(time.Millisecond)
				if called == kind && !write && failed.CompareAndSwap(false, true) {
					return metastoretest.Refused
				}
				return metastoretest.None
			}
			to.begin(2)
			to.submitAsGateway("new")
			time.Sleep(3 * time.Second)
			to.submitted.Wait()
			So(failed.Load(), ShouldBeTrue)
			So(to.accepted, ShouldBeLessThan, 20*time.Millisecond)
			So(to.firstRun("new"), ShouldBeLessThan, 200*time.Millisecond)
			So(to.engines.executionsOf("new-0"), ShouldHaveLength, 1)
			for i := range openJobCount {
				So(to.engines.executionsOf(fmt.Sprintf("open-%d-0", i)), ShouldHaveLength, 1)
			}
		})
	}
}

// Guards against a repeated submission of a job of an earlier term that is taken for a new one: its items would not wait for the workers that run them.
func TestResubmittedWhileReading(t *testing.T) {
	playTakeover(t, "A job of an earlier term that is submitted again while the term reads waits for workers like the others", 10*time.Millisecond, func(to *takeover) {
		to.begin(2)
		to.submitAsGateway("open-3")
		time.Sleep(3 * time.Second)
		So(to.firstRun("open-3"), ShouldEqual, 400*time.Millisecond)
		So(to.engines.executionsOf("open-3-0"), ShouldHaveLength, 1)
	})
}
