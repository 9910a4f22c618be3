package itemwork

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/placement"
)

// lostWorkers is a Handler that records lost workers.
type lostWorkers struct {
	mu    sync.Mutex
	names []string
}

func (l *lostWorkers) HandleReport(string, *Report) Disposition { return Wanted }

func (l *lostWorkers) WorkerLost(worker string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.names = append(l.names, worker)
}

func (l *lostWorkers) taken() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	names := l.names
	l.names = nil
	return names
}

func TestDispatcher(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		dispatcher := NewDispatcher(log.NewNopLogger())
		lost := &lostWorkers{}
		done := make(chan struct{})
		go func() {
			defer close(done)
			dispatcher.Lead(ctx, 7, lost, alwaysReady)
		}()
		defer func() {
			cancel()
			<-done
		}()
		meet := func(zone, instance string) {
			dispatcher.Poll(t.Context(), PollRequest{Worker: WorkerID{Name: "w-" + zone, Zone: zone, Instance: instance}, Term: 1})
		}
		time.Sleep(time.Millisecond)
		Convey("An engine is always assigned the same worker, in its own zone", t, func() {
			meet("z1", "first")
			meet("z2", "first")
			for range 3 {
				worker, ok := dispatcher.Assign(placement.Residency{}, &fleet.Engine{ID: "e", Zone: "z2"}, &Assignment{})
				So(ok, ShouldBeTrue)
				So(worker, ShouldEqual, "w-z2/first")
			}
		})
		Convey("A worker that does not call is lost, but not while this process itself was stalled", t, func() {
			dispatcher.extendDeadlines(3 * time.Second)
			time.Sleep(2 * time.Second)
			So(lost.taken(), ShouldBeEmpty)
			time.Sleep(3 * time.Second)
			So(lost.taken(), ShouldHaveLength, 2)
			_, ok := dispatcher.Assign(placement.Residency{}, &fleet.Engine{ID: "e", Zone: "z2"}, &Assignment{})
			So(ok, ShouldBeFalse)
		})
		Convey("A restarted worker loses the runs of its previous process", t, func() {
			meet("z1", "second")
			meet("z1", "third")
			So(lost.taken(), ShouldResemble, []string{"w-z1/second"})
		})
	})
}
