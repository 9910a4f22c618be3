package engine

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/api/enginev1"
)

func TestAppendSpan(t *testing.T) {
	Convey("Tokens that follow each other under one version are one span", t, func() {
		var spans []Span
		for _, event := range []enginev1.TokenEvent{
			{Index: 3, Tokens: []string{"a"}, Version: 1},
			{Index: 4, Tokens: []string{"b", "c"}, Version: 1},
			{Index: 6, Tokens: []string{"d"}, Version: 2},
			{Index: 9, Tokens: []string{"e"}, Version: 2},
		} {
			spans = appendSpan(spans, event)
		}
		So(spans, ShouldResemble, []Span{{3, 3, 1}, {6, 1, 2}, {9, 1, 2}})
	})
	Convey("A copy of the log does not change with it", t, func() {
		execution := &Execution{}
		execution.observe(execution.Started, enginev1.TokenEvent{Tokens: []string{"a"}, Version: 1})
		log := executionLog{limit: 1}
		log.add(execution)
		copied := log.snapshot()
		execution.observe(execution.Started, enginev1.TokenEvent{Index: 1, Tokens: []string{"b"}, Version: 1})
		So(copied[0].Spans, ShouldResemble, []Span{{0, 1, 1}})
		So(log.snapshot()[0].Spans, ShouldResemble, []Span{{0, 2, 1}})
	})
}
