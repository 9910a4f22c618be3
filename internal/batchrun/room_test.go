package batchrun_test

import (
	"bytes"
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/batch"
)

// Jobs were accepted without a bound on the memory of the process that keeps them.
func TestRoomForJobs(t *testing.T) {
	const bodyBytes, room = 400 << 10, 1 << 20
	large := func(id string) batch.Job {
		job := newJob(id, 1)
		job.Items[0].Body = bytes.Repeat([]byte("x"), bodyBytes)
		return job
	}
	runScenario(t, "Jobs beyond the bound are refused until the items of others are listed or they end", func(h *harness) {
		ctx := context.Background()
		h.runner.MaxOpenBytes = room
		So(h.runner.Submit(ctx, large("first")), ShouldBeNil)
		So(h.runner.Submit(ctx, large("second")), ShouldBeNil)
		So(h.runner.Submit(ctx, large("third")), ShouldEqual, batch.ErrFull)
		So(h.runner.Submit(ctx, large("first")), ShouldBeNil)
		time.Sleep(2 * time.Second)
		So(h.results("first", 0), ShouldHaveLength, 1)
		So(h.runner.Submit(ctx, large("third")), ShouldBeNil)
		_, err := h.runner.Body(ctx, batch.Ref{ID: "first"}, "first-0")
		So(err, ShouldEqual, batch.ErrNotFound)
		body, err := h.runner.Body(ctx, batch.Ref{ID: "second"}, "second-0")
		So(err, ShouldBeNil)
		So(body, ShouldHaveLength, bodyBytes)
		time.Sleep(2 * time.Second)
		for _, id := range []string{"first", "second", "third"} {
			So(h.results(id, 0), ShouldHaveLength, 1)
			So(h.runner.End(ctx, batch.Ref{ID: id}), ShouldBeNil)
		}
		So(h.runner.Submit(ctx, large("fourth")), ShouldBeNil)
		So(h.runner.Submit(ctx, large("fifth")), ShouldBeNil)
	})
	runScenario(t, "Jobs of an earlier term count, and are loaded regardless", func(h *harness) {
		ctx := context.Background()
		for _, engine := range []string{"a", "b"} {
			h.engines.setBehavior(engine, engineBehavior{silent: true})
		}
		So(h.runner.Submit(ctx, large("first")), ShouldBeNil)
		So(h.runner.Submit(ctx, large("second")), ShouldBeNil)
		h.stop()
		h.runner, h.stop = h.startTerm(2)
		h.runner.MaxOpenBytes = room
		time.Sleep(10 * time.Second)
		So(h.runner.Submit(ctx, large("third")), ShouldEqual, batch.ErrFull)
		_, err := h.runner.Read(ctx, batch.Ref{ID: "second"}, 0, 0)
		So(err, ShouldBeNil)
	})
}
