package forward

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/fleet"
)

// TestPickerReusesConnections guards against a new connection to another engine for each lookup.
func TestPickerReusesConnections(t *testing.T) {
	now := time.Unix(1000, 0)
	anyEngine := func(*fleet.Engine) bool { return true }
	newPicker := func() (*Picker, []*fleet.Engine) {
		var engines []*fleet.Engine
		for i := range 15 {
			engines = append(engines, &fleet.Engine{ID: fmt.Sprint(i), Slots: 6})
		}
		return NewPicker(func() time.Time { return now }), engines
	}
	serve := func(picker *Picker, engines []*fleet.Engine, took time.Duration) *fleet.Engine {
		engine := picker.Acquire(engines, anyEngine)
		now = now.Add(took)
		picker.Release(engine, VerdictServed, took)
		return engine
	}
	Convey("Sequential requests go to one engine over its open connection", t, func() {
		picker, engines := newPicker()
		first := serve(picker, engines, 30*time.Millisecond)
		for range 50 {
			now = now.Add(time.Second)
			So(serve(picker, engines, 30*time.Millisecond), ShouldEqual, first)
		}
		Convey("unless it becomes slow", func() {
			others := 0
			for range 20 {
				now = now.Add(time.Second)
				if serve(picker, engines, 120*time.Millisecond) != first {
					others++
				}
			}
			So(others, ShouldBeGreaterThan, 0)
		})
		Convey("or fails", func() {
			engine := picker.Acquire(engines, anyEngine)
			So(engine, ShouldEqual, first)
			picker.Release(engine, VerdictFailed, time.Second)
			So(picker.Acquire(engines, anyEngine), ShouldNotEqual, first)
		})
	})
	Convey("Concurrent requests spread over the engines, since each needs a connection", t, func() {
		picker, engines := newPicker()
		chosen := make(map[*fleet.Engine]int)
		for range 30 {
			chosen[picker.Acquire(engines, anyEngine)]++
		}
		So(len(chosen), ShouldEqual, 15)
		for _, count := range chosen {
			So(count, ShouldEqual, 2)
		}
	})
	Convey("Many pickers spread over all engines", t, func() {
		chosen := make(map[string]int)
		for range 300 {
			picker, engines := newPicker()
			chosen[serve(picker, engines, 30*time.Millisecond).ID]++
		}
		So(len(chosen), ShouldEqual, 15)
	})
}
