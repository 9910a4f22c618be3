package batchrun

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/itemwork"
)

func TestUnfinishedTexts(t *testing.T) {
	Convey("The newest texts are kept within the memory limit, and each is taken once", t, func() {
		texts := newUnfinishedTexts()
		large := itemwork.Text{Segments: []itemwork.Segment{{Version: 1, Events: []string{strings.Repeat("x", maxUnfinishedBytes/3)}}}}
		for _, id := range []string{"a", "b", "a", "c", "d"} {
			texts.put(unfinishedText{key: id, text: large})
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
	Convey("Texts of older weights than a version are dropped for that model only", t, func() {
		texts := newUnfinishedTexts()
		textOfVersion := func(version int64) itemwork.Text {
			return itemwork.Text{Segments: []itemwork.Segment{{Version: version, Events: []string{"x"}}}}
		}
		texts.put(unfinishedText{key: "old", model: "a", text: textOfVersion(1)})
		texts.put(unfinishedText{key: "new", model: "a", text: textOfVersion(2)})
		texts.put(unfinishedText{key: "other", model: "b", text: textOfVersion(1)})
		texts.dropOutdated("a", 2)
		_, old := texts.take("old")
		_, newer := texts.take("new")
		_, other := texts.take("other")
		So([]bool{old, newer, other}, ShouldResemble, []bool{false, true, true})
	})
}
