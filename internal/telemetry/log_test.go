package telemetry

import (
	"errors"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// nilError is an error whose text needs a value.
type nilError struct{ text string }

func (e *nilError) Error() string { return e.text }

// Names that clients choose, such as the IDs of their requests, stood in the log in full.
func TestLongValues(t *testing.T) {
	Convey("Long values are cut, and others are not", t, func() {
		for _, format := range []string{"logfmt", "json"} {
			var out strings.Builder
			logger := NewLogger(&out, "debug", format)
			long := strings.Repeat("l", 10*maxValueBytes)
			fields := []any{"request", long, "err", errors.New(long), "short", "value", "number", 7, "none", nil, "nil", (*nilError)(nil)}
			So(logger.Log(fields...), ShouldBeNil)
			So(len(out.String()), ShouldBeLessThan, 3*maxValueBytes)
			So(out.String(), ShouldContainSubstring, strings.Repeat("l", maxValueBytes)+"...")
			So(out.String(), ShouldContainSubstring, "value")
			So(out.String(), ShouldContainSubstring, "7")
			So(fields[1], ShouldEqual, long)
		}
	})
}
