package batchlog_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/batch"
	"github.com/covelink/covelink/internal/batchlog"
	"github.com/covelink/covelink/internal/metastore/metastoretest"
)

// slowStore returns a store with open jobs "job-0" and so on, each with one result, and a client whose calls take a while.
func slowStore(t *testing.T, jobs, bodyBytes int, callTime time.Duration) (*metastoretest.Store, *metastoretest.Client) {
	store := metastoretest.New()
	log := batchlog.New(store.Client(), 1)
	for i := range jobs {
		job, err := log.Accept(t.Context(), newJob(fmt.Sprintf("job-%d", i), bodyBytes))
		So(err, ShouldBeNil)
		_, err = job.Append(t.Context(), []batch.Result{result(0, "x")}, false)
		So(err, ShouldBeNil)
	}
	client := store.Client()
	client.Fault = func(string, string, bool) metastoretest.Fault {
		time.Sleep(callTime)
		return metastoretest.None
	}
	return store, client
}

// Guards against a term that begins late because open jobs, and the objects of each, are read one after another: eight jobs took 0.45 s at 50 ms a
// call.
func TestOpenTakesThreeRounds(t *testing.T) {
	for _, callTime := range []time.Duration{4 * time.Millisecond, 50 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			Convey(fmt.Sprint("Eight jobs are taken over in the time of three calls of ", callTime), t, func() {
				_, client := slowStore(t, 8, largeBody, callTime)
				began := time.Now()
				opened, err := batchlog.New(client, 2).Open(t.Context())
				So(err, ShouldBeNil)
				So(time.Since(began), ShouldEqual, 3*callTime)
				So(opened.Jobs, ShouldHaveLength, 8)
				for i, job := range opened.Jobs {
					So(job.Job, ShouldResemble, newJob(fmt.Sprintf("job-%d", i), largeBody))
					So(job.Results, ShouldResemble, []batch.Result{result(0, "x")})
				}
			})
		})
	}
}

// Guards against jobs that are read again, or left out, after one of many reads failed.
func TestOpenGoesOnAfterAFailedRead(t *testing.T) {
	for _, failing := range []string{"batch-items", "batch-results.job-3"} {
		synctest.Test(t, func(t *testing.T) {
			Convey("After a failed read of "+failing+" only that job is read again", t, func() {
				_, client := slowStore(t, 8, 100, time.Millisecond)
				var mu sync.Mutex
				failed := false
				reads := make(map[string]int)
				client.Fault = func(_, kind string, write bool) metastoretest.Fault {
					mu.Lock()
					defer mu.Unlock()
					if strings.HasPrefix(kind, "batch-results") && !write {
						reads[kind]++
					}
					if kind == failing && !write && !failed {
						failed = true
						return metastoretest.Refused
					}
					return metastoretest.None
				}
				opening := batchlog.New(client, 2).Opening()
				So(opening.List(t.Context()), ShouldBeNil)
				_, err := opening.TakeOver(t.Context())
				So(err, ShouldNotBeNil)
				So(opening.List(t.Context()), ShouldBeNil)
				opened, err := opening.TakeOver(t.Context())
				So(err, ShouldBeNil)
				So(opened.Jobs, ShouldHaveLength, 8)
				mu.Lock()
				defer mu.Unlock()
				total := 0
				for _, count := range reads {
					total += count
				}
				So(total, ShouldEqual, 8+1)
			})
		})
	}
}

// Guards against two terms that read jobs at the same time: what the earlier one appends after the later one has read must be known to the later
// one, or refused.
func TestTermsThatOpenAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Of two terms that open the same jobs at once only the later one appends, and it knows what was appended before", t, func() {
			store, client := slowStore(t, 4, 100, 10*time.Millisecond)
			var earlier, later batchlog.Opened
			var earlierErr, laterErr error
			var opening sync.WaitGroup
			opening.Go(func() { earlier, earlierErr = batchlog.New(client, 2).Open(t.Context()) })
			opening.Go(func() {
				time.Sleep(5 * time.Millisecond)
				later, laterErr = batchlog.New(client, 3).Open(t.Context())
			})
			opening.Wait()
			So(laterErr, ShouldBeNil)
			So(later.Jobs, ShouldHaveLength, 4)
			if earlierErr == nil {
				for _, job := range earlier.Jobs {
					_, err := job.Append(t.Context(), []batch.Result{result(1, "earlier")}, false)
					So(err, ShouldEqual, batchlog.ErrFenced)
				}
			}
			for i, job := range later.Jobs {
				_, err := job.Append(t.Context(), []batch.Result{result(1, "later")}, true)
				So(err, ShouldBeNil)
				found, err := batchlog.New(store.Client(), 4).Find(t.Context(), fmt.Sprintf("job-%d", i))
				So(err, ShouldBeNil)
				So(found.Results, ShouldResemble, []batch.Result{result(0, "x"), result(1, "later")})
			}
		})
	})
}
