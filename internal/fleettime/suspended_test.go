package fleettime

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/boottime"
)

func TestSuspendedMachine(t *testing.T) {
	const slept = 10 * time.Second
	Convey("Time goes on over a suspension, for the own clock and for one that another process told", t, func() {
		local, remote := NewLocal(boottime.Now), NewRemote(boottime.Now)
		asked := boottime.Now()
		remote.Note(asked, boottime.Now(), local.At(boottime.Now()))
		before := boottime.Now()
		localBefore, remoteBefore := local.At(before), remote.At(before)
		boottime.SimulateSuspension(slept)
		after := boottime.Now()
		So(local.At(after).Sub(localBefore), ShouldEqual, after.Sub(before))
		So(remote.At(after).Sub(remoteBefore), ShouldEqual, after.Sub(before))
		So(after.Sub(before), ShouldBeGreaterThanOrEqualTo, slept)
	})
	Convey("A clock that has not heard from another shows the wall clock", t, func() {
		boottime.SimulateSuspension(slept)
		So(time.Until(NewRemote(boottime.Now).At(boottime.Now())).Abs(), ShouldBeLessThan, time.Second)
	})
}
