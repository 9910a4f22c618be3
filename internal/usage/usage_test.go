package usage

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/duty"
	"github.com/covelink/covelink/internal/election"
	"github.com/covelink/covelink/internal/metastore"
	"github.com/covelink/covelink/internal/metastore/metastoretest"
)

// play runs a scene in virtual time, which begins at the start of a window.
func play(t *testing.T, name string, scene func(store *metastoretest.Store, platform *fakePlatform)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		platform := newFakePlatform()
		Convey(name, t, func() {
			scene(metastoretest.New(), platform)
			So(platform.brokenPromises(), ShouldBeEmpty)
		})
	})
}

func thisWindow() Window { return WindowOf(time.Now(), windowLength) }

func TestReports(t *testing.T) {
	play(t, "Each window is reported once, in time, with what all gateways counted in it", func(store *metastoretest.Store, platform *fakePlatform) {
		h := lead(store, platform, "a", 1)
		defer h.stop()
		first, second := startGateway(store.Client()), startGateway(store.Client())
		defer first.stop()
		defer second.stop()
		first.follow(h, 1)
		second.follow(h, 1)
		time.Sleep(time.Second)
		window := thisWindow()
		first.began("alpha", 3)
		second.began("alpha", 2)
		second.began("beta", 1)
		second.began("", 4)
		time.Sleep(windowLength)
		first.began("beta", 1)
		time.Sleep(reportDue)
		counts, ok := platform.reported(window)
		So(ok, ShouldBeTrue)
		So(counts, ShouldResemble, Counts{"alpha": 5, "beta": 1})
		counts, _ = platform.reported(window + 1)
		So(counts, ShouldResemble, Counts{"beta": 1})
		for _, call := range platform.calls() {
			So(call.at.Sub(call.report.Window.End(windowLength)), ShouldBeBetween, 0, reportDue)
		}
		So(len(platform.calls()), ShouldEqual, len(platform.counts))
	})
	play(t, "A window without requests is reported too", func(store *metastoretest.Store, platform *fakePlatform) {
		h := lead(store, platform, "a", 1)
		defer h.stop()
		window := thisWindow()
		time.Sleep(windowLength + reportDue)
		counts, ok := platform.reported(window)
		So(ok, ShouldBeTrue)
		So(counts, ShouldBeEmpty)
	})
	play(t, "A report that the platform does not take is repeated until it does", func(store *metastoretest.Store, platform *fakePlatform) {
		failures := []error{duty.ErrNotSent, duty.ErrUnanswered, &duty.RefusedError{Status: 429}, duty.ErrUnanswered}
		platform.setFail(func(Report) error {
			if len(failures) == 0 {
				return nil
			}
			err := failures[0]
			failures = failures[1:]
			return err
		})
		h := lead(store, platform, "a", 1)
		defer h.stop()
		window := thisWindow()
		time.Sleep(windowLength + reportDue)
		_, ok := platform.reported(window)
		So(ok, ShouldBeTrue)
		So(failures, ShouldBeEmpty)
	})
	play(t, "A platform that is silent over three windows gets them all afterwards, and counting goes on meanwhile", func(store *metastoretest.Store, platform *fakePlatform) {
		platform.setFail(func(Report) error { return duty.ErrNotSent })
		h := lead(store, platform, "a", 1)
		defer h.stop()
		g := startGateway(store.Client())
		defer g.stop()
		g.follow(h, 1)
		first := thisWindow()
		for range 4 {
			g.began("alpha", 1)
			time.Sleep(windowLength)
		}
		So(platform.calls(), ShouldBeEmpty)
		platform.setFail(nil)
		time.Sleep(reportDue)
		for window := first; window < first+4; window++ {
			counts, ok := platform.reported(window)
			So(ok, ShouldBeTrue)
			So(counts, ShouldResemble, Counts{"alpha": 1})
		}
	})
}

func TestTakeover(t *testing.T) {
	play(t, "A successor knows what its predecessor was told, also by gateways that are lost with it", func(store *metastoretest.Store, platform *fakePlatform) {
		first := lead(store, platform, "a", 1)
		lost, kept := startGateway(store.Client()), startGateway(store.Client())
		lost.follow(first, 1)
		kept.follow(first, 1)
		time.Sleep(500 * time.Millisecond)
		window := thisWindow()
		lost.began("alpha", 3)
		kept.began("alpha", 1)
		time.Sleep(2 * time.Second)
		first.kill()
		lost.follow(nil, 0)
		kept.follow(nil, 0)
		kept.began("beta", 1)
		time.Sleep(2 * time.Second)
		second := lead(store, platform, "b", 2)
		defer second.stop()
		kept.follow(second, 2)
		time.Sleep(reportDue + windowLength)
		counts, ok := platform.reported(window)
		So(ok, ShouldBeTrue)
		So(counts, ShouldResemble, Counts{"alpha": 4, "beta": 1})
		kept.stop()
		lost.stop()
	})
	play(t, "A holder that is killed between fixing a window and its report leaves the same report to its successor", func(store *metastoretest.Store, platform *fakePlatform) {
		platform.setFail(func(Report) error { return duty.ErrNotSent })
		first := lead(store, platform, "a", 1)
		g := startGateway(store.Client())
		defer g.stop()
		g.follow(first, 1)
		window := thisWindow()
		g.began("alpha", 2)
		time.Sleep(windowLength + settleTime + time.Second)
		first.kill()
		So(platform.calls(), ShouldBeEmpty)
		platform.setFail(nil)
		second := lead(store, platform, "b", 2)
		defer second.stop()
		// What comes now for the window is too late for its counts.
		g.meter.Began("alpha", time.Now().Add(-windowLength-settleTime-time.Second))
		g.follow(second, 2)
		time.Sleep(reportDue)
		counts, ok := platform.reported(window)
		So(ok, ShouldBeTrue)
		So(counts, ShouldResemble, Counts{"alpha": 2})
	})
	play(t, "A holder that was paused sends nothing once another has taken over", func(store *metastoretest.Store, platform *fakePlatform) {
		first := lead(store, platform, "a", 1)
		defer first.kill()
		time.Sleep(2 * time.Second)
		first.setFault(func(string, string, bool) metastoretest.Fault { return metastoretest.Silent })
		second := lead(store, platform, "b", 2)
		defer second.stop()
		time.Sleep(3 * windowLength)
		first.setFault(nil)
		time.Sleep(3 * windowLength)
		for _, call := range platform.calls() {
			So(call.holder, ShouldEqual, "b")
		}
		So(len(platform.calls()), ShouldBeGreaterThan, 2)
	})
}

func TestCountsWithoutCoordinator(t *testing.T) {
	play(t, "A gateway that reaches nobody leaves its counts in the store in time, and they are removed once reported", func(store *metastoretest.Store, platform *fakePlatform) {
		h := lead(store, platform, "a", 1)
		defer h.stop()
		cut := startGateway(store.Client())
		defer cut.stop()
		cut.term = election.Term{Address: "holder", Token: 1}
		window := thisWindow()
		cut.began("alpha", 2)
		time.Sleep(windowLength + reportDue)
		counts, ok := platform.reported(window)
		So(ok, ShouldBeTrue)
		So(counts, ShouldResemble, Counts{"alpha": 2})
		time.Sleep(3 * windowLength)
		page, err := store.Client().List(t.Context(), KindCounts, metastore.ListOptions{})
		So(err, ShouldBeNil)
		So(page.Objects, ShouldBeEmpty)
	})
	play(t, "A gateway that stops tells what it has counted last", func(store *metastoretest.Store, platform *fakePlatform) {
		h := lead(store, platform, "a", 1)
		defer h.stop()
		g := startGateway(store.Client())
		g.follow(h, 1)
		time.Sleep(time.Second)
		window := thisWindow()
		g.began("alpha", 1)
		g.stop()
		time.Sleep(windowLength + reportDue)
		counts, _ := platform.reported(window)
		So(counts, ShouldResemble, Counts{"alpha": 1})
	})
}
