package configsync

import (
	"testing"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/leadership"
)

func TestHigherTokenIsFedBack(t *testing.T) {
	Convey("A coordinator told of a state of a higher token reports it for its own term, and of others does not", t, func() {
		type fenced struct {
			term string
			seen uint64
		}
		var got []fenced
		m := &Manager{
			params: Params{Fenced: func(term string, seen uint64) { got = append(got, fenced{term, seen}) }},
			logger: log.NewNopLogger(),
			term:   &term{held: leadership.Term{Name: "zone/z", Token: 7}},
		}
		m.checkFence(NodeReport{Node: "n", Applied: Version{Token: 6}})
		m.checkFence(NodeReport{Node: "n", Applied: Version{Token: 7}})
		So(got, ShouldBeEmpty)
		m.checkFence(NodeReport{Node: "n", Applied: Version{Token: 9}})
		So(got, ShouldResemble, []fenced{{"zone/z", 9}})
	})
}
