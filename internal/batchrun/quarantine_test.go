package batchrun_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/batch"
	"github.com/covelink/covelink/internal/metastore/metastoretest"
	"github.com/covelink/covelink/internal/quarantine"
)

const (
	heldItems = 6
	// trialsDelay covers the backoff before the first trial, and trialsTime the trials of all held items at the least spacing, with their texts.
	trialsDelay = 2 * time.Second
	trialsTime  = heldItems * time.Second
)

// startQuarantine gives the runners of a harness a guard and a coordinator of trials that leads until the returned function is called.
func (h *harness) startQuarantine() (table *quarantine.Table, end func()) {
	table = quarantine.NewTable(time.Now)
	ctx, cancel := context.WithCancel(context.Background())
	coordinator := quarantine.NewCoordinator(quarantine.CoordinatorParams{
		Table:   table,
		Store:   metastoretest.New().Client(),
		Leading: func() bool { return ctx.Err() == nil },
		Logger:  log.NewNopLogger(),
	})
	h.guard = quarantine.NewGuard(quarantine.GuardParams{
		Table:    table,
		Detector: quarantine.NewDetector(quarantine.DetectorParams{Logger: log.NewNopLogger()}),
		CallTrial: func(ctx context.Context, request quarantine.TrialRequest) (quarantine.TrialReply, error) {
			return coordinator.HandleTrial(ctx, request), nil
		},
		CallReturn: func(_ context.Context, request quarantine.ReturnRequest) (quarantine.ReturnReply, error) {
			return coordinator.HandleReturn(request), nil
		},
		Logger: log.NewNopLogger(),
	})
	done := make(chan struct{})
	go func() {
		coordinator.Lead(ctx)
		close(done)
	}()
	h.stop()
	h.runner, h.stop = h.startTerm(2)
	return table, func() { cancel(); <-done }
}

// newHeldJob returns a job of items that are all held, each because three engines have exited while they ran it.
func newHeldJob(table *quarantine.Table, id string) batch.Job {
	job := newJob(id, heldItems)
	for i := range job.Items {
		job.Items[i].Body = fmt.Append(nil, "prompt ", i)
		fingerprint := quarantine.FingerprintOf("", http.MethodPost, host, job.Items[i].Path, job.Items[i].Body)
		for crash := range 3 {
			table.RecordCrash(fingerprint, fmt.Sprintf("exited-%d-%d", i, crash))
		}
	}
	return job
}

// Guards against trials that reach no engine and are counted all the same: their items waited for 30 s, and all other held items for 10 s.
func TestTrialsThatReachNoEngineAreReturned(t *testing.T) {
	runScenario(t, "Held items run as soon as engines take them, although engines have refused their first trials", func(h *harness) {
		table, end := h.startQuarantine()
		defer end()
		for _, id := range []string{"a", "b"} {
			h.engines.setBehavior(id, engineBehavior{status: http.StatusServiceUnavailable, notRun: true})
		}
		So(h.runner.Submit(context.Background(), newHeldJob(table, "job")), ShouldBeNil)
		time.Sleep(2 * trialsDelay)
		for _, id := range []string{"a", "b"} {
			h.engines.setBehavior(id, engineBehavior{pause: 20 * time.Millisecond})
		}
		So(h.results("job", trialsTime), ShouldHaveLength, heldItems)
	})
}

// Guards against a trial that ends with its job and is counted as one with an outcome: the item waited for 30 s in the trainer's next job.
func TestTrialsCanceledWithTheirJobAreReturned(t *testing.T) {
	runScenario(t, "A held item whose trial was canceled with its job runs in the next job", func(h *harness) {
		table, end := h.startQuarantine()
		defer end()
		job := newHeldJob(table, "job")
		for _, id := range []string{"a", "b"} {
			h.engines.setBehavior(id, engineBehavior{silent: true})
		}
		So(h.runner.Submit(context.Background(), job), ShouldBeNil)
		time.Sleep(trialsDelay + 500*time.Millisecond)
		So(h.engines.count(), ShouldBeGreaterThan, 0)
		So(h.runner.End(context.Background(), batch.Ref{ID: "job"}), ShouldBeNil)
		for _, id := range []string{"a", "b"} {
			h.engines.setBehavior(id, engineBehavior{pause: 20 * time.Millisecond})
		}
		job.ID = "next"
		So(h.runner.Submit(context.Background(), job), ShouldBeNil)
		So(h.results("next", trialsTime), ShouldHaveLength, heldItems)
	})
}

// Guards against an item that is never run again because engines crashed under it in series, its trials included: it is owed, and harmed none of them.
func TestItemUnderWhichEnginesCrashedIsRunAgain(t *testing.T) {
	for _, crashes := range []int{3, 5, 9, 20} {
		runScenario(t, fmt.Sprint("An item under which ", crashes, " engines have crashed, each beside it alone, runs within seconds of calm"), func(h *harness) {
			table, end := h.startQuarantine()
			defer end()
			job := newJob("job", 1)
			fingerprint := quarantine.FingerprintOf("", http.MethodPost, host, job.Items[0].Path, job.Items[0].Body)
			for crash := range crashes {
				if table.Status(fingerprint).State == quarantine.Held {
					time.Sleep(table.Status(fingerprint).Wait)
					So(table.RecordTrial(fingerprint).Granted(), ShouldBeTrue)
				}
				table.RecordDeferredCrash(fingerprint, fmt.Sprint("exited-", crash))
				time.Sleep(500 * time.Millisecond)
			}
			So(h.runner.Submit(context.Background(), job), ShouldBeNil)
			results := h.results("job", trialsDelay+2*time.Second)
			So(results, ShouldHaveLength, 1)
			So(results[0].State, ShouldEqual, batch.Done)
		})
	}
}
