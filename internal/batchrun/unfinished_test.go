package batchrun

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/itemwork"
)

func TestUnfinishedTexts(t *testing.T) {
	Convey("The newest texts are kept, within their memory, and each is taken once", t, func() {
		texts := newUnfinishedTexts()
		large := itemwork.Text{Segments: []itemwork.Segment{{Version: 1, Events: []string{strings.Repeat("x", maxUnfinishedBytes/3)}}}}
		for _, id := range []string{"a", "b", "a", "c", "d"} {
			texts.put(id, large)
		}
		_, ok := texts.take("b")
		So(ok, ShouldBeFalse)
		_, ok = texts.take("d")
		So(ok, ShouldBeTrue)
		_, ok = texts.take("d")
		So(ok, ShouldBeFalse)
		texts.take("a")
		texts.take("c")
		So(texts.bytes, ShouldEqual, 0)
		So(texts.order.Len(), ShouldEqual, 0)
	})
}
