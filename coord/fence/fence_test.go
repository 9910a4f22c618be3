package fence

import (
	"errors"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestGuard(t *testing.T) {
	Convey("A guard admits equal and higher tokens, and refuses lower ones with the highest", t, func() {
		var guard Guard
		So(guard.Admit(3), ShouldBeNil)
		So(guard.Admit(3), ShouldBeNil)
		So(guard.Admit(7), ShouldBeNil)
		var stale ErrStaleToken
		So(errors.As(guard.Admit(6), &stale), ShouldBeTrue)
		So(stale.Highest, ShouldEqual, Token(7))
		So(guard.Highest(), ShouldEqual, Token(7))
	})
}
