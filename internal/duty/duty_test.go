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

func TestPerformer(t *testing.T) {
	const transit = 800 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		Convey("A call is made within its permit, not soon after another's, and not once a later term has taken over", t, func() {
			store := metastoretest.New()
			perform := func(holder string, token int64) *Performer {
				return &Performer{
					Stamp: Stamp{Holder: holder, Token: token},
					Journal: permits.New(permits.Params{
						Store: store.Client(), Name: "duties", Holder: holder, Token: token, LeaseLength: 3 * time.Second, Transit: transit,
					}),
				}
			}
			var made []Stamp
			call := func(p *Performer) error {
				return p.Do(context.Background(), "subject", func(_ context.Context, stamp Stamp, leaveBy time.Time) error {
					So(time.Until(leaveBy), ShouldBeBetween, 0, permits.Validity+time.Nanosecond)
					made = append(made, stamp)
					return ErrUnanswered
				})
			}
			first, second := perform("node-1", 1), perform("node-2", 2)
			var observed []error
			first.Observe = func(_ string, err error, _ time.Duration) { observed = append(observed, err) }
			So(call(first), ShouldEqual, ErrUnanswered)
			So(observed, ShouldResemble, []error{ErrUnanswered})
			second.TakeOver(context.Background())
			So(call(first), ShouldNotBeNil)
			So(errors.Is(call(first), permits.ErrSuperseded), ShouldBeTrue)
			So(call(second), ShouldEqual, ErrWait)
			time.Sleep(permits.Validity + 2*transit)
			So(call(second), ShouldEqual, ErrUnanswered)
			So(made, ShouldResemble, []Stamp{first.Stamp, second.Stamp})
			So(observed, ShouldHaveLength, 1)
		})
	})
}
