package cli

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestSurvive(t *testing.T) {
	Convey("The table and a replay of one seed exit with 0", t, func() {
		code, out, failure := lab("survive", "--seeds", "1", "--fault", "none", "--fault", "owner-killed+zone-cut")
		So(failure, ShouldBeEmpty)
		So(code, ShouldEqual, 0)
		So(out, ShouldContainSubstring, "owner-killed+zone-cut")
		code, out, _ = lab("survive", "--fault", "owner-killed", "--seed", "7")
		So(code, ShouldEqual, 0)
		So(out, ShouldContainSubstring, `"Seed": 7`)
	})
	Convey("Unknown faults and a seed without a fault are bad usage", t, func() {
		for _, arguments := range [][]string{{"--fault", "nonsense"}, {"--seed", "1"}, {"--seeds", "0"}} {
			code, _, failure := lab(append([]string{"survive"}, arguments...)...)
			So(code, ShouldEqual, 2)
			So(failure, ShouldNotBeEmpty)
		}
	})
}
