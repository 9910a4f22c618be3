package usage

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func told(source string, window Window, counts Counts) TellRequest {
	return TellRequest{Source: source, Windows: []WindowCounts{{Window: window, Counts: counts}}}
}

func TestLedger(t *testing.T) {
	begun := func() *ledger {
		l := newLedger()
		l.begin(10)
		return l
	}
	Convey("Repeats and reordering of what a meter tells do no harm", t, func() {
		l := begun()
		for _, count := range []int64{1, 3, 2, 3} {
			l.take(told("a", 10, Counts{"alpha": count}))
		}
		l.take(told("b", 10, Counts{"alpha": 1, "beta": 1}))
		l.fix(10)
		So(l.fixed(), ShouldResemble, []Report{{Window: 10, Counts: Counts{"alpha": 4, "beta": 1}}})
	})
	Convey("What comes after a window is fixed changes nothing, and is noted if it is new", t, func() {
		l := begun()
		l.take(told("a", 10, Counts{"alpha": 2}))
		l.fix(10)
		_, late := l.take(told("a", 10, Counts{"alpha": 2}))
		So(late, ShouldEqual, 0)
		changed, late := l.take(told("a", 10, Counts{"alpha": 5, "beta": 1}))
		So(changed, ShouldBeFalse)
		So(late, ShouldEqual, 4)
		So(l.fixed()[0].Counts, ShouldResemble, Counts{"alpha": 2})
		changed, _ = l.take(told("a", 9, Counts{"alpha": 1}))
		So(changed, ShouldBeFalse)
	})
	Convey("Windows are forgotten once all before them are reported as well", t, func() {
		l := begun()
		l.fix(10)
		l.fix(11)
		l.reported(11)
		So(l.isReported(11), ShouldBeTrue)
		So(l.isReported(10), ShouldBeFalse)
		So(l.reportedTo, ShouldEqual, 9)
		l.reported(10)
		So(l.reportedTo, ShouldEqual, 11)
		So(l.windows, ShouldBeEmpty)
	})
	Convey("In a merge, counts that the store holds as fixed stand, and open ones are joined by source", t, func() {
		ours, theirs := begun(), begun()
		ours.take(told("a", 10, Counts{"alpha": 7}))
		ours.fix(10)
		theirs.take(told("a", 10, Counts{"alpha": 5}))
		theirs.fix(10)
		ours.take(told("a", 11, Counts{"alpha": 2}))
		theirs.take(told("a", 11, Counts{"alpha": 1, "beta": 1}))
		theirs.take(told("b", 11, Counts{"alpha": 1}))
		ours.merge(theirs)
		So(ours.fixed()[0].Counts, ShouldResemble, Counts{"alpha": 5})
		ours.fix(11)
		So(ours.fixed()[1].Counts, ShouldResemble, Counts{"alpha": 3, "beta": 1})
	})
	Convey("A ledger that a later term has begun goes back to the first window of the one in the store", t, func() {
		ours, theirs := newLedger(), begun()
		ours.begin(15)
		theirs.fix(10)
		theirs.reported(10)
		ours.merge(theirs)
		So(ours.first, ShouldEqual, 10)
		So(ours.reportedTo, ShouldEqual, 10)
	})
	Convey("A ledger is read as it was written, and damage is an error", t, func() {
		l := begun()
		l.take(told("a", 10, Counts{"alpha": 1}))
		l.take(told("a", 11, Counts{"beta": 2}))
		l.fix(10)
		l.window(12)
		content, err := l.encode(7)
		So(err, ShouldBeNil)
		decoded, token, err := decodeLedger(content)
		So(err, ShouldBeNil)
		So(token, ShouldEqual, 7)
		So(decoded, ShouldResemble, l)
		for _, damaged := range []string{``, `{}`, `{"windows":"AAAA"}`, `[]`} {
			_, _, err := decodeLedger([]byte(damaged))
			So(err, ShouldNotBeNil)
		}
	})
}

// BenchmarkEncode is the cost of a write of the ledger, at 60 gateways that serve 14 requests a second, and at 300 that serve 1,500.
func BenchmarkEncode(b *testing.B) {
	for _, size := range []struct{ gateways, tenants int }{{60, 2}, {300, 25}} {
		b.Run(fmt.Sprintf("gateways=%d", size.gateways), func(b *testing.B) {
			l := newLedger()
			l.begin(10)
			for gateway := range size.gateways {
				counts := make(Counts)
				for tenant := range size.tenants {
					counts[fmt.Sprint("tenant-", tenant)] = 1
				}
				l.take(told(fmt.Sprintf("7c41e09b-52d6-a3f8-%012d", gateway), 10, counts))
			}
			var content []byte
			for b.Loop() {
				content, _ = l.encode(1)
			}
			b.ReportMetric(float64(len(content)), "bytes")
		})
	}
}
