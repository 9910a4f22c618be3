package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func TestWindow(t *testing.T) {
	now := time.Unix(0, 0)
	Convey("A window is unlimited until the engine refuses a request as full", t, func() {
		var w Window
		So(w.Allows(now, 1000), ShouldBeTrue)
	})
	Convey("After a refusal no request starts during the hold, and then half of those that were in flight", t, func() {
		var w Window
		w.ObserveRefusal(now, 8, 0.999)
		So(w.Allows(now.Add(windowBaseHold/2), 0), ShouldBeFalse)
		So(w.Allows(now.Add(windowBaseHold), 3), ShouldBeTrue)
		So(w.Allows(now.Add(windowBaseHold), 5), ShouldBeFalse)
	})
	Convey("A window grows with answers that left room only, and is unlimited again at the limit", t, func() {
		var w Window
		w.ObserveRefusal(now, 4, 0)
		later := now.Add(windowBaseHold)
		w.ObserveAnswer(8, 8)
		So(w.Allows(later, 3), ShouldBeFalse)
		w.ObserveAnswer(7, 8)
		So(w.Allows(later, 3), ShouldBeFalse)
		w.ObserveAnswer(6, 8)
		So(w.Allows(later, 3), ShouldBeTrue)
		for range 8 {
			w.ObserveAnswer(0, 8)
		}
		So(w, ShouldResemble, Window{refusedAt: now, holdUntil: now.Add(windowBaseHold / 2)})
		So(w.Allows(now, 1000), ShouldBeTrue)
	})
	Convey("A window grows with time, so that an engine whose other load has ended is used again", t, func() {
		var w Window
		w.ObserveRefusal(now, 0, 0)
		So(w.Allows(now.Add(windowBaseHold), 2), ShouldBeFalse)
		So(w.Allows(now.Add(2*windowRecoveryInterval), 2), ShouldBeTrue)
	})
	Convey("After any refusals an engine is held off, but no longer than the maximum hold", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			var w Window
			for range rapid.IntRange(1, 40).Draw(t, "refusals") {
				w.ObserveRefusal(now, rapid.IntRange(0, 64).Draw(t, "in flight"), rapid.Float64Range(0, 0.999).Draw(t, "random"))
			}
			if w.Allows(now, 0) || !w.Allows(now.Add(windowMaxHold), 0) {
				t.Fatalf("window %+v", w)
			}
		})
	})
}

func TestServiceTime(t *testing.T) {
	Convey("Predict returns zero for few answers, then the mean time, or less if the caller bounds the length", t, func() {
		var s ServiceTime
		for range minServiceSamples - 1 {
			s.Observe(time.Second, 50)
		}
		So(s.Predict(100), ShouldEqual, 0)
		s.Observe(time.Second, 50)
		So(s.Predict(0).Round(time.Millisecond), ShouldEqual, time.Second)
		So(s.Predict(100).Round(time.Millisecond), ShouldEqual, time.Second)
		So(s.Predict(10).Round(time.Millisecond), ShouldEqual, 200*time.Millisecond)
	})
}

func TestAdmission(t *testing.T) {
	now := time.Unix(0, 0)
	limits := QueueLimits{Requests: 100, Tokens: 100_000}
	item := func(id uint64, since time.Time) Item {
		return Item{
			ID: id, Interactive: true, Pool: "p", Caller: "c", Tokens: 10, ArrivedAt: since,
			ServiceTime: 2 * time.Second, Deadline: since.Add(8 * time.Second),
		}
	}
	take := func(*Item) Verdict { return Take }
	// newDrainingQueue returns a queue that has started one request every 100 ms and holds waiting ones.
	newDrainingQueue := func(waiting int) (*Queue, time.Time) {
		q, moment := NewQueue(limits), now
		for id := range uint64(minDrainSamples) {
			So(q.Push(moment, item(id+1, moment)), ShouldBeNil)
			moment = moment.Add(100 * time.Millisecond)
			q.Scan(moment, take)
		}
		for id := range uint64(waiting) {
			So(q.Push(moment, item(100+id, moment)), ShouldBeNil)
		}
		return q, moment
	}
	Convey("A request is refused at once if the wait and its service time exceed its deadline, with the wait as Retry-After", t, func() {
		q, moment := newDrainingQueue(9)
		late := item(200, moment)
		late.Deadline = moment.Add(2500 * time.Millisecond)
		rejection := q.Push(moment, late)
		So(rejection, ShouldNotBeNil)
		So(rejection.Reason, ShouldEqual, RejectedDeadline)
		So(rejection.RetryAfter.Round(time.Millisecond), ShouldEqual, 900*time.Millisecond)
		So(q.Push(moment, item(201, moment)), ShouldBeNil)
	})
	Convey("An interactive request is refused at once if the wait exceeds its service time; a rollout is not", t, func() {
		q, moment := newDrainingQueue(21)
		rejection := q.Push(moment, item(200, moment))
		So(rejection, ShouldNotBeNil)
		So(rejection.Reason, ShouldEqual, RejectedWait)
		rollout := item(201, moment)
		rollout.Interactive = false
		So(q.Push(moment, rollout), ShouldBeNil)
	})
	Convey("A readmitted request goes before others", t, func() {
		q := NewQueue(limits)
		So(q.Push(now, item(1, now)), ShouldBeNil)
		readmitted := item(2, now)
		readmitted.Readmitted = true
		So(q.Push(now, readmitted), ShouldBeNil)
		var order []uint64
		q.Scan(now, func(offered *Item) Verdict {
			order = append(order, offered.ID)
			return Take
		})
		So(order, ShouldResemble, []uint64{2, 1})
	})
	Convey("Shed drops the oldest interactive requests up to the first that is kept, and no rollouts", t, func() {
		q := NewQueue(limits)
		for id := range uint64(4) {
			So(q.Push(now, item(id, now.Add(time.Duration(id)*time.Second))), ShouldBeNil)
		}
		rollout := item(9, now)
		rollout.Interactive = false
		So(q.Push(now, rollout), ShouldBeNil)
		q.Shed(func(offered *Item) bool { return offered.Overdue(now.Add(5500 * time.Millisecond)) })
		So(q.Len(true), ShouldEqual, 2)
		So(q.Len(false), ShouldEqual, 1)
	})
	Convey("A request that may have run in part is neither late nor overdue", t, func() {
		started := item(1, now)
		started.Started = true
		So(started.Late(now.Add(time.Hour)), ShouldBeFalse)
		So(started.Overdue(now.Add(time.Hour)), ShouldBeFalse)
	})
}
