package duty

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/metastore/metastoretest"
	"github.com/covelink/covelink/internal/permits"
)

func TestExecutor(t *testing.T) {
	const transit = 800 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		Convey("A call needs a valid permit, waits out another process's call, and fails after a takeover by a later term", t, func() {
			store := metastoretest.New()
			newExecutor := func(holder string, token int64) *Executor {
				return &Executor{
					Stamp: Stamp{Holder: holder, Token: token},
					Journal: permits.New(permits.Params{
						Store: store.Client(), Name: "duties", Holder: holder, Token: token, LeaseLength: 3 * time.Second, Transit: transit,
					}),
				}
			}
			var calls []Stamp
			call := func(p *Executor) error {
				return p.Do(context.Background(), "subject", func(_ context.Context, stamp Stamp, leaveBy time.Time) error {
					So(time.Until(leaveBy), ShouldBeBetween, 0, permits.Validity+time.Nanosecond)
					calls = append(calls, stamp)
					return ErrUnanswered
				})
			}
			first, second := newExecutor("node-1", 1), newExecutor("node-2", 2)
			var observed []error
			first.Observe = func(_ string, err error, _ time.Duration) { observed = append(observed, err) }
			So(call(first), ShouldEqual, ErrUnanswered)
			So(observed, ShouldResemble, []error{ErrUnanswered})
			second.TakeOver(context.Background())
			So(call(first), ShouldNotBeNil)
			So(errors.Is(call(first), permits.ErrSuperseded), ShouldBeTrue)
			So(call(second), ShouldEqual, ErrHandoverPending)
			time.Sleep(permits.Validity + 2*transit)
			So(call(second), ShouldEqual, ErrUnanswered)
			So(calls, ShouldResemble, []Stamp{first.Stamp, second.Stamp})
			So(observed, ShouldHaveLength, 1)
		})
	})
}
