package survival

import (
	"encoding/json"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// seedsInTests is how many seeds of each fault the tests run; docs/SURVIVAL.md has the table of many more.
const seedsInTests = 2

func TestEveryFaultAndTwoAtOnce(t *testing.T) {
	Convey("No fault and no two faults break a promise, and the trainer gets every sample", t, func() {
		for _, row := range Table(Faults(), seedsInTests, 3) {
			So(row.First, ShouldBeEmpty)
			So(row.Asked, ShouldEqual, seedsInTests*batchSamples)
			So(row.Delivered, ShouldEqual, row.Asked)
			So(row.Answers, ShouldBeGreaterThan, 0)
			if row.Fault == "hedges-together" {
				So(row.Hedges, ShouldBeGreaterThan, 0)
			}
		}
	})
}

// The seeds that once showed something.
func TestSeedsThatFailed(t *testing.T) {
	Convey("A repeated message to a keeper does not make it vote twice", t, func() {
		result := Run("same-key-twice", 4)
		So(result.Breaches, ShouldBeEmpty)
	})
}

// Beyond what three copies bear: nothing more is handed over, and nothing wrong is.
func TestMajorityOfTheLogLost(t *testing.T) {
	Convey("A ledger of which two of three copies are lost is not taken for a new one", t, func() {
		w := newWorld(1, guards{})
		w.faultAt = lastFaultAt
		w.clock.At(w.faultAt, func() {
			for _, n := range w.nodes[:logReplicas-1] {
				w.restartEmpty(n)
			}
		})
		w.clock.Run(3*callerSpan, nothing)
		result := w.conclude("two replicas emptied", 1)
		So(result.Missing, ShouldBeGreaterThan, 0)
		So(result.Delivered, ShouldBeGreaterThan, 0)
		So(len(result.Breaches), ShouldEqual, result.Missing)
	})
}

func TestSameSeedSameResult(t *testing.T) {
	Convey("The result is byte for byte a function of fault and seed, whatever the number of workers", t, func() {
		table := func(workers int) string {
			out, err := json.Marshal(Table([]Fault{TwoAtOnce, "frames-disturbed"}, seedsInTests, workers))
			So(err, ShouldBeNil)
			return string(out)
		}
		So(table(1), ShouldEqual, table(3))
	})
}

func TestParseFault(t *testing.T) {
	Convey("Every fault of the table, and two joined, can be named again", t, func() {
		for _, fault := range append(Faults(), "owner-killed+zone-cut") {
			parsed, err := ParseFault(string(fault))
			So(err, ShouldBeNil)
			So(parsed, ShouldEqual, fault)
		}
		_, err := ParseFault("owner-killed+nonsense")
		So(err, ShouldNotBeNil)
	})
}
