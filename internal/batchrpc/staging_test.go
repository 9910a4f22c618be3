package batchrpc

import (
	"bytes"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/batch"
)

// itemsOf returns items with bodies of a size.
func itemsOf(count, size int) []batch.Item {
	items := make([]batch.Item, 0, count)
	for number := range count {
		items = append(items, batch.Item{ID: fmt.Sprint(number), Body: bytes.Repeat([]byte("x"), size)})
	}
	return items
}

// A job larger than a message was refused, after many attempts.
func TestSplit(t *testing.T) {
	Convey("Items are divided into parts in their order, and none is lost", t, func() {
		items := itemsOf(100, 60<<10)
		parts, rest := split(items)
		So(len(parts), ShouldBeBetween, 4, 10)
		var joined []batch.Item
		for _, part := range parts {
			So(batch.SizeOf(part), ShouldBeBetween, partBytes, partBytes+100<<10)
			joined = append(joined, part...)
		}
		So(append(joined, rest...), ShouldResemble, items)
	})
	Convey("A small job goes in one message", t, func() {
		parts, rest := split(itemsOf(100, 600))
		So(parts, ShouldBeEmpty)
		So(rest, ShouldHaveLength, 100)
	})
}

func TestStaging(t *testing.T) {
	const room = 2 << 20
	part := itemsOf(10, 60<<10)
	Convey("A job gets its items in order, and their room is given back", t, func() {
		s := newStaging(room)
		So(s.add(StageRequest{Upload: "u", Part: 0, Items: part[:5]}), ShouldBeNil)
		So(s.add(StageRequest{Upload: "u", Part: 1, Items: part[5:8]}), ShouldBeNil)
		request := SubmitRequest{Upload: "u", Parts: 2, Job: batch.Job{Items: part[8:]}}
		So(s.complete(&request), ShouldBeNil)
		So(request.Job.Items, ShouldResemble, part)
		So(s.room.TryAcquire(room), ShouldBeTrue)
	})
	Convey("A job whose parts are not all there is not taken", t, func() {
		s := newStaging(room)
		So(s.add(StageRequest{Upload: "u", Part: 1, Items: part}), ShouldEqual, errNotStaged)
		So(s.add(StageRequest{Upload: "u", Part: 0, Items: part}), ShouldBeNil)
		So(s.complete(&SubmitRequest{Upload: "u", Parts: 2}), ShouldEqual, errNotStaged)
		So(s.complete(&SubmitRequest{Upload: "other", Parts: 1}), ShouldEqual, errNotStaged)
	})
	Convey("A part without room is refused, and what was staged before it is dropped", t, func() {
		s := newStaging(room)
		for number := range 3 {
			So(s.add(StageRequest{Upload: "u", Part: number, Items: part}), ShouldBeNil)
		}
		So(s.add(StageRequest{Upload: "u", Part: 3, Items: part}), ShouldEqual, batch.ErrFull)
		So(s.room.TryAcquire(room), ShouldBeTrue)
	})
	synctest.Test(t, func(t *testing.T) {
		Convey("What is staged and goes no further is dropped after a time", t, func() {
			s := newStaging(room)
			So(s.add(StageRequest{Upload: "u", Part: 0, Items: part}), ShouldBeNil)
			time.Sleep(stageTimeout + time.Second)
			synctest.Wait()
			So(s.uploads, ShouldBeEmpty)
			So(s.room.TryAcquire(room), ShouldBeTrue)
		})
	})
}
