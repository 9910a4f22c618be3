package itemwork_test

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/election"
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/itemwork"
	"github.com/covelink/covelink/internal/metastore"
	"github.com/covelink/covelink/internal/metastore/metastoretest"
)

// writeLease makes the process at an address the holder of the lease.
func writeLease(t *testing.T, store *metastoretest.Store, address string, token int64) {
	spec, err := json.Marshal(election.Lease{Holder: address, Address: address, Token: token})
	So(err, ShouldBeNil)
	object := metastore.Object{Name: "coordinator", Spec: spec}
	if _, err := store.Client().Create(t.Context(), election.KindLeases, object); err != nil {
		_, err = store.Client().Replace(t.Context(), election.KindLeases, object)
		So(err, ShouldBeNil)
	}
}

// Guards against workers that wait for the answer of a lost coordinator while another one leads: they registered up to 0.7 s after its term began, and
// runs that they had were started again elsewhere.
func TestWorkerLeavesAReplacedCoordinator(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A worker whose poll at a lost coordinator is not answered polls the next one as soon as it knows it", t, func() {
			store := metastoretest.New()
			writeLease(t, store, "lost", 1)
			watcher := election.NewWatcher(metastore.NewFollowers(store.Client()), log.NewNopLogger())
			ctx, cancel := context.WithCancel(t.Context())
			var running sync.WaitGroup
			running.Go(func() { watcher.Run(ctx) })
			synctest.Wait()
			var mu sync.Mutex
			polled := make(map[string][]time.Time)
			worker := itemwork.NewWorker(itemwork.WorkerParams{
				Name:             "w",
				Executor:         &itemwork.Executor{State: fleet.NewState(), Transport: endlessEngine{}},
				Coordinator:      watcher.Holder,
				WhileCoordinator: watcher.WhileHolder,
				Poll: func(ctx context.Context, address string, _ itemwork.PollRequest) (itemwork.PollReply, error) {
					mu.Lock()
					polled[address] = append(polled[address], time.Now())
					mu.Unlock()
					<-ctx.Done()
					return itemwork.PollReply{}, ctx.Err()
				},
				Report: func(context.Context, string, itemwork.ReportRequest) (itemwork.ReportReply, error) {
					return itemwork.ReportReply{}, nil
				},
				Draining: func() bool { return false },
				Logger:   log.NewNopLogger(),
			})
			running.Go(func() { worker.Run(ctx) })
			time.Sleep(300 * time.Millisecond)
			changed := time.Now()
			writeLease(t, store, "next", 2)
			time.Sleep(time.Millisecond)
			mu.Lock()
			So(polled["lost"], ShouldHaveLength, 1)
			So(polled["next"], ShouldHaveLength, 1)
			So(polled["next"][0], ShouldEqual, changed)
			mu.Unlock()
			Convey("and keeps its call there while the lease is challenged", func() {
				writeLease(t, store, "next", 2)
				time.Sleep(time.Second)
				mu.Lock()
				defer mu.Unlock()
				So(polled["next"], ShouldHaveLength, 1)
			})
			cancel()
			running.Wait()
		})
	})
}
