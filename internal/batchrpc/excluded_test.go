package batchrpc

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/batch"
)

func TestExcludedSubmission(t *testing.T) {
	play := func(ends ...error) (took time.Duration, err error) {
		synctest.Test(t, func(t *testing.T) {
			began, attempts := time.Now(), 0
			err = submitUntilAccepted(t.Context(), func(context.Context) error {
				attempts++
				return ends[min(attempts, len(ends))-1]
			})
			took = time.Since(began)
		})
		return took, err
	}
	Convey("A job that the coordinator's region excludes is refused at once", t, func() {
		took, err := play(batch.ErrExcluded)
		So(err, ShouldEqual, batch.ErrExcluded)
		So(took, ShouldEqual, 0)
		_, err = play(errNotLeading, batch.ErrExcluded)
		So(err, ShouldEqual, batch.ErrExcluded)
	})
	Convey("unless an earlier attempt may have been accepted", t, func() {
		_, err := play(batch.ErrUnavailable, batch.ErrExcluded)
		So(err, ShouldEqual, batch.ErrUnavailable)
	})
}
