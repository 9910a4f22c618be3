package fleettime

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/boottime"
)

func TestSuspendedMachine(t *testing.T) {
	const suspension = 10 * time.Second
	Convey("Local and Remote advance over a suspension", t, func() {
		local, remote := NewLocal(boottime.Now), NewRemote(boottime.Now)
		asked := boottime.Now()
		remote.AddSample(asked, boottime.Now(), local.At(boottime.Now()))
		before := boottime.Now()
		localBefore, remoteBefore := local.At(before), remote.At(before)
		boottime.SimulateSuspension(suspension)
		after := boottime.Now()
		So(local.At(after).Sub(localBefore), ShouldEqual, after.Sub(before))
		So(remote.At(after).Sub(remoteBefore), ShouldEqual, after.Sub(before))
		So(after.Sub(before), ShouldBeGreaterThanOrEqualTo, suspension)
	})
	Convey("A Remote without samples uses the wall clock", t, func() {
		boottime.SimulateSuspension(suspension)
		So(time.Until(NewRemote(boottime.Now).At(boottime.Now())).Abs(), ShouldBeLessThan, time.Second)
	})
}
