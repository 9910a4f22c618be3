package batchrun_test

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/batch"
)

// Checks that a tenant cannot reach another tenant's jobs or partial texts by using the same IDs.
func TestTenants(t *testing.T) {
	forTenant := func(tenant string, job batch.Job) batch.Job {
		job.Tenant = tenant
		return job
	}
	runScenario(t, "A job is visible only to its tenant, also in a later term", func(h *harness) {
		ctx := context.Background()
		So(h.runner.Submit(ctx, forTenant("alpha", newJob("job", 2))), ShouldBeNil)
		for term := int64(1); term <= 2; term++ {
			for _, tenant := range []string{"beta", ""} {
				ref := batch.Ref{ID: "job", Tenant: tenant}
				_, err := h.runner.Read(ctx, ref, 0, 0)
				So(err, ShouldEqual, batch.ErrNotFound)
				_, err = h.runner.Body(ctx, ref, "job-0")
				So(err, ShouldEqual, batch.ErrNotFound)
				So(h.runner.End(ctx, ref), ShouldEqual, batch.ErrNotFound)
				So(h.runner.Submit(ctx, forTenant(tenant, newJob("job", 2))), ShouldEqual, batch.ErrRefused)
			}
			_, err := h.runner.Read(ctx, batch.Ref{ID: "job", Tenant: "alpha"}, 0, 0)
			So(err, ShouldBeNil)
			So(h.runner.Submit(ctx, forTenant("alpha", newJob("job", 2))), ShouldBeNil)
			h.stop()
			h.runner, h.stop = h.startTerm(term + 1)
		}
		time.Sleep(2 * time.Second)
		So(h.runner.End(ctx, batch.Ref{ID: "job", Tenant: "alpha"}), ShouldBeNil)
	})
	runScenario(t, "A job without a tenant is visible to all", func(h *harness) {
		So(h.runner.Submit(context.Background(), newJob("job", 1)), ShouldBeNil)
		_, err := h.runner.Read(context.Background(), batch.Ref{ID: "job", Tenant: "beta"}, 0, 0)
		So(err, ShouldBeNil)
	})
	runScenario(t, "The partial text of an ended job is resumed only by the same tenant's item, not by another tenant's item with the same ID", func(h *harness) {
		ctx := context.Background()
		h.engines.setBehavior("a", engineBehavior{pause: 300 * time.Millisecond})
		h.engines.setBehavior("b", engineBehavior{pause: 300 * time.Millisecond})
		So(h.runner.Submit(ctx, forTenant("alpha", newJob("job", 1))), ShouldBeNil)
		time.Sleep(2500 * time.Millisecond)
		So(h.runner.End(ctx, batch.Ref{ID: "job", Tenant: "alpha"}), ShouldBeNil)
		jobWithSameItems := func(id, tenant string) batch.Job {
			job := forTenant(tenant, newJob(id, 0))
			job.Step, job.Items = 1, newJob("job", 1).Items
			return job
		}
		So(h.runner.Submit(ctx, jobWithSameItems("stranger", "beta")), ShouldBeNil)
		time.Sleep(300 * time.Millisecond)
		executions := h.engines.executionsOf("job-0")
		So(executions[len(executions)-1].resumed, ShouldBeFalse)
		started := len(executions)
		So(h.runner.Submit(ctx, jobWithSameItems("own", "alpha")), ShouldBeNil)
		time.Sleep(10 * time.Second)
		page, err := h.runner.Read(ctx, batch.Ref{ID: "own", Tenant: "alpha"}, 0, 0)
		So(err, ShouldBeNil)
		So(page.Results, ShouldHaveLength, 1)
		So(page.Results[0].Text, ShouldEqual, h.completeText())
		for _, execution := range h.engines.executionsOf("job-0")[started:] {
			So(execution.resumed, ShouldBeTrue)
		}
	})
}
