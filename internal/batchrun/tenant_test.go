package batchrun_test

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/batch"
)

// Jobs and the texts that are kept of their items must not cross from one tenant to another, whatever IDs a caller chooses.
func TestTenants(t *testing.T) {
	of := func(tenant string, job batch.Job) batch.Job {
		job.Tenant = tenant
		return job
	}
	play(t, "A job is there for its tenant alone, in a later term too", func(w *world) {
		ctx := context.Background()
		So(w.runner.Submit(ctx, of("alpha", newJob("job", 2))), ShouldBeNil)
		for term := int64(1); term <= 2; term++ {
			for _, tenant := range []string{"beta", ""} {
				ref := batch.Ref{ID: "job", Tenant: tenant}
				_, err := w.runner.Read(ctx, ref, 0, 0)
				So(err, ShouldEqual, batch.ErrNotFound)
				_, err = w.runner.Body(ctx, ref, "job-0")
				So(err, ShouldEqual, batch.ErrNotFound)
				So(w.runner.End(ctx, ref), ShouldEqual, batch.ErrNotFound)
				So(w.runner.Submit(ctx, of(tenant, newJob("job", 2))), ShouldEqual, batch.ErrRefused)
			}
			_, err := w.runner.Read(ctx, batch.Ref{ID: "job", Tenant: "alpha"}, 0, 0)
			So(err, ShouldBeNil)
			So(w.runner.Submit(ctx, of("alpha", newJob("job", 2))), ShouldBeNil)
			w.stop()
			w.runner, w.stop = w.lead(term + 1)
		}
		time.Sleep(2 * time.Second)
		So(w.runner.End(ctx, batch.Ref{ID: "job", Tenant: "alpha"}), ShouldBeNil)
	})
	play(t, "A job of nobody's is there for everybody", func(w *world) {
		So(w.runner.Submit(context.Background(), newJob("job", 1)), ShouldBeNil)
		_, err := w.runner.Read(context.Background(), batch.Ref{ID: "job", Tenant: "beta"}, 0, 0)
		So(err, ShouldBeNil)
	})
	play(t, "A text that was kept goes to an item of the same tenant, not to one of the same ID", func(w *world) {
		ctx := context.Background()
		w.engines.set("a", behaviour{pause: 300 * time.Millisecond})
		w.engines.set("b", behaviour{pause: 300 * time.Millisecond})
		So(w.runner.Submit(ctx, of("alpha", newJob("job", 1))), ShouldBeNil)
		time.Sleep(2500 * time.Millisecond)
		So(w.runner.End(ctx, batch.Ref{ID: "job", Tenant: "alpha"}), ShouldBeNil)
		again := func(id, tenant string) batch.Job {
			job := of(tenant, newJob(id, 0))
			job.Step, job.Items = 1, newJob("job", 1).Items
			return job
		}
		So(w.runner.Submit(ctx, again("stranger", "beta")), ShouldBeNil)
		time.Sleep(300 * time.Millisecond)
		runs := w.engines.of("job-0")
		So(runs[len(runs)-1].resumed, ShouldBeFalse)
		begun := len(runs)
		So(w.runner.Submit(ctx, again("own", "alpha")), ShouldBeNil)
		time.Sleep(10 * time.Second)
		reading, err := w.runner.Read(ctx, batch.Ref{ID: "own", Tenant: "alpha"}, 0, 0)
		So(err, ShouldBeNil)
		So(reading.Results, ShouldHaveLength, 1)
		So(reading.Results[0].Text, ShouldEqual, w.wholeText())
		for _, run := range w.engines.of("job-0")[begun:] {
			So(run.resumed, ShouldBeTrue)
		}
	})
}
