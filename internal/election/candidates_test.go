package election_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/election"
)

func TestCandidates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Who has pinged lately counts as a candidate, until it is silent for a while", t, func() {
			candidates := election.NewCandidates()
			So(candidates.Addresses(), ShouldBeEmpty)
			candidates.Note("b")
			candidates.Note("a")
			candidates.Note("")
			So(candidates.Addresses(), ShouldResemble, []string{"a", "b"})
			time.Sleep(4 * time.Second)
			candidates.Note("a")
			time.Sleep(2 * time.Second)
			So(candidates.Addresses(), ShouldResemble, []string{"a"})
		})
	})
}
