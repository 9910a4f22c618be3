package deployment

import (
	"net"
	"strconv"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestReservedPorts(t *testing.T) {
	Convey("A port that was given is not given again, also by another finder, though nobody listens on it yet", t, func() {
		address, err := FreePorts()()
		So(err, ShouldBeNil)
		_, port, err := net.SplitHostPort(address)
		So(err, ShouldBeNil)
		number, err := strconv.Atoi(port)
		So(err, ShouldBeNil)
		So(isFree(number), ShouldBeTrue)
		So(reserve(number), ShouldBeFalse)
	})
}
