package cli

import (
	"encoding/json"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/lab/scale"
)

func TestControl(t *testing.T) {
	Convey("control prints one JSON object for each size", t, func() {
		code, out, _ := lab("control", "--members", "8", "--json")
		So(code, ShouldEqual, 0)
		var result scale.Control
		So(json.Unmarshal([]byte(out), &result), ShouldBeNil)
		So(result.Members, ShouldEqual, 8)
		So(result.Frames, ShouldBeGreaterThan, 0)
	})

	Convey("control refuses fewer members than zones", t, func() {
		code, _, failure := lab("control", "--members", "3")
		So(code, ShouldEqual, 2)
		So(failure, ShouldContainSubstring, "members")
	})
}
