package batchrun

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/batch"
)

func TestRead(t *testing.T) {
	Convey("A read is bounded, more tightly for results returned earlier; the last read can be repeated in full", t, func() {
		j := &job{total: 300}
		for range 300 {
			j.listed = append(j.listed, batch.Result{Text: strings.Repeat("x", 10<<10)})
		}
		first := j.readFrom(0)
		So(len(first.Results), ShouldBeBetween, 50, 60)
		So(j.readFrom(0).Next, ShouldEqual, first.Next)
		second := j.readFrom(first.Next)
		So(len(second.Results), ShouldBeBetween, 50, 60)
		So(j.readFrom(first.Next).Next, ShouldEqual, second.Next)
		repeated := j.readFrom(0)
		So(len(repeated.Results), ShouldBeBetween, 8, 14)
		So(repeated.Total, ShouldEqual, 300)
		So(j.readFrom(second.Next).Next, ShouldBeGreaterThan, second.Next)
	})
	Convey("A read beyond the end does not change the read positions", t, func() {
		j := &job{total: 2, listed: make([]batch.Result, 2)}
		So(j.readFrom(1000).Results, ShouldBeEmpty)
		So(j.furthestRead, ShouldEqual, 0)
		So(j.newestRead, ShouldEqual, 0)
	})
	Convey("A result larger than the bound is returned alone", t, func() {
		j := &job{total: 2, furthestRead: 2, newestRead: 1}
		for range 2 {
			j.listed = append(j.listed, batch.Result{Text: strings.Repeat("x", 1<<20)})
		}
		So(j.readFrom(0).Results, ShouldHaveLength, 1)
	})
}
