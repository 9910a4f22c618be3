package batchrun

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// movable is an item that ends its job, at an engine that is known to be three times slower than the other.
func movable() moveInput {
	return moveInput{
		here: 6 * time.Second, certainHere: 6 * time.Second, there: 2 * time.Second, age: time.Second,
		paceCertain: true, otherEvents: 50, others: 2 * time.Second, due: 5 * time.Second, hasDue: true,
	}
}

// Guards against moves that gain nothing for the job, which cost a connection and text, and against items that stay and end their job late.
func TestDecideMove(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(in *moveInput)
		move   bool
		reason moveReason
	}{
		{"ends its job", func(*moveInput) {}, true, moveEndsJob},
		{"another item ends later by less than the gain", func(in *moveInput) { in.others = 9 * time.Second }, true, moveEndsJob},
		{"another item ends later by more than the gain", func(in *moveInput) { in.others, in.hasDue = 11*time.Second, false }, false, stayOthersLonger},
		{"another item ends later, but this one would miss its due time", func(in *moveInput) { in.others = 11 * time.Second }, true, moveDue},
		{"misses its due time everywhere, and another item ends later", func(in *moveInput) { in.others, in.due = 11*time.Second, time.Second }, false, stayOthersLonger},
		{"the due time leaves no time for a move", func(in *moveInput) { in.others, in.due = 11*time.Second, in.there }, false, stayOthersLonger},
		{"the due time has passed, and the job waits for the item", func(in *moveInput) { in.due = -time.Second }, true, moveEndsJob},
		{"the job does not wait for its group", func(in *moveInput) { in.spare = true }, false, staySpare},
		{"gains less than the cost", func(in *moveInput) { in.here, in.certainHere = 2290*time.Millisecond, 2290*time.Millisecond }, false, stayGain},
		{"gains more than the cost, relative to a long time too little", func(in *moveInput) {
			in.here, in.certainHere, in.there = 6*time.Second, 6*time.Second, 5500*time.Millisecond
		}, false, stayGain},
		{"is faster here", func(in *moveInput) { in.there = 7 * time.Second }, false, stayGain},
		{"its pace was not observed long enough", func(in *moveInput) { in.paceCertain = false }, false, stayUncertain},
		{"only the engine's average is slow, not its recent events", func(in *moveInput) { in.certainHere = 2 * time.Second }, false, stayUncertain},
		{"the other engine's pace is a guess", func(in *moveInput) { in.otherEvents = 9 }, false, stayUnobserved},
		{"started recently", func(in *moveInput) { in.age = 399 * time.Millisecond }, false, stayRecent},
		{"was moved before, and started recently", func(in *moveInput) { in.moves, in.age = 1, 799*time.Millisecond }, false, stayRecent},
		{"was moved often, long ago", func(in *moveInput) { in.moves, in.age = 9, 1600*time.Millisecond }, true, moveEndsJob},
	} {
		Convey("An item that "+c.name, t, func() {
			in := movable()
			c.change(&in)
			move, reason := decideMove(in)
			So(move, ShouldEqual, c.move)
			So(reason, ShouldEqual, c.reason)
		})
	}
	Convey("Moves by due time are counted apart", t, func() {
		So(moveEndsJob.handOver(), ShouldEqual, HandOverSlow)
		So(moveDue.handOver(), ShouldEqual, HandOverDue)
	})
}
