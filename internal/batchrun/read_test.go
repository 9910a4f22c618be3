package batchrun

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/batch"
)

func TestRead(t *testing.T) {
	Convey("A reading is bounded, and one of results that were handed out before more tightly; the last can be repeated in full", t, func() {
		j := &job{total: 300}
		for range 300 {
			j.listed = append(j.listed, batch.Result{Text: strings.Repeat("x", 10<<10)})
		}
		first := j.read(0)
		So(len(first.Results), ShouldBeBetween, 50, 60)
		So(j.read(0).Next, ShouldEqual, first.Next)
		second := j.read(first.Next)
		So(len(second.Results), ShouldBeBetween, 50, 60)
		So(j.read(first.Next).Next, ShouldEqual, second.Next)
		repeated := j.read(0)
		So(len(repeated.Results), ShouldBeBetween, 8, 14)
		So(repeated.Total, ShouldEqual, 300)
		So(j.read(second.Next).Next, ShouldBeGreaterThan, second.Next)
	})
	Convey("A reading from behind the end tells nothing of what was handed out", t, func() {
		j := &job{total: 2, listed: make([]batch.Result, 2)}
		So(j.read(1000).Results, ShouldBeEmpty)
		So(j.furthestRead, ShouldEqual, 0)
		So(j.newestRead, ShouldEqual, 0)
	})
	Convey("A result that is larger than the bound is handed out alone", t, func() {
		j := &job{total: 2, furthestRead: 2, newestRead: 1}
		for range 2 {
			j.listed = append(j.listed, batch.Result{Text: strings.Repeat("x", 1<<20)})
		}
		So(j.read(0).Results, ShouldHaveLength, 1)
	})
}
