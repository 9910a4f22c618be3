package batchlog_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/batch"
	"github.com/covelink/covelink/internal/batchlog"
	"github.com/covelink/covelink/internal/metastore"
	"github.com/covelink/covelink/internal/metastore/metastoretest"
)

// endedAndOpen returns a store with a sealed job "ended" of three chunks and an open job "open", and the names of the parts of the former's items.
func endedAndOpen(t *testing.T) (store *metastoretest.Store, ended *batchlog.Stored, parts []string) {
	store = metastoretest.New()
	log := batchlog.New(store.Client(), 1)
	ended, err := log.Accept(t.Context(), newJob("ended", largeBody))
	So(err, ShouldBeNil)
	for i := range 3 {
		_, err := ended.Append(t.Context(), []batch.Result{result(i, "x")}, i == 2)
		So(err, ShouldBeNil)
	}
	objects, _, err := metastore.ListAll(t.Context(), store.Client(), "batch-items", "")
	So(err, ShouldBeNil)
	for _, object := range objects {
		parts = append(parts, object.Name)
	}
	So(len(parts), ShouldBeGreaterThan, 1)
	_, err = log.Accept(t.Context(), newJob("open", 10))
	So(err, ShouldBeNil)
	return store, ended, parts
}

// shouldOpenAndRemove checks that a new term serves the open job, takes the ended one for ended, and can remove it.
func shouldOpenAndRemove(t *testing.T, store *metastoretest.Store) {
	later := batchlog.New(store.Client(), 2)
	opened, err := later.Open(t.Context())
	So(err, ShouldBeNil)
	So(opened.Damaged, ShouldBeEmpty)
	served := 0
	for _, job := range opened.Jobs {
		if job.Job.ID == "open" {
			served++
			continue
		}
		So(job.Sealed, ShouldBeTrue)
	}
	So(served, ShouldEqual, 1)
	_, err = later.Find(t.Context(), "open")
	So(err, ShouldBeNil)
	if err := later.Remove(t.Context(), "ended"); err != nil {
		So(err, ShouldEqual, metastore.ErrNotFound)
	}
	for kind, count := range map[string]int{"batches": 1, "batch-items": 1, "batch-results.ended": 0} {
		objects, _, err := metastore.ListAll(t.Context(), store.Client(), kind, "")
		So(err, ShouldBeNil)
		So(objects, ShouldHaveLength, count)
	}
}

// Guards against a removal that was cut short and leaves a job that keeps every later term from opening, or that looks like a new one and runs again.
func TestRemovalCutShort(t *testing.T) {
	Convey("After each prefix of the writes of a removal a new term serves the other jobs, and removes the rest", t, func() {
		for done, cut := 0, true; cut; done++ {
			store, ended, _ := endedAndOpen(t)
			cut = false
			client := store.Client()
			writes := 0
			client.Fault = func(_, _ string, write bool) metastoretest.Fault {
				if write {
					writes++
				}
				if write && writes > done {
					cut = true
					return metastoretest.Refused
				}
				return metastoretest.None
			}
			found, err := batchlog.New(client, 1).Find(t.Context(), "ended")
			So(err, ShouldBeNil)
			So(found.Results, ShouldResemble, ended.Results)
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			_ = found.Remove(ctx)
			cancel()
			shouldOpenAndRemove(t, store)
		}
	})
	Convey("The same holds for a removal that deleted chunks and then items of a job that is not marked", t, func() {
		for done := range 2 {
			store, _, _ := endedAndOpen(t)
			for i := range done + 1 {
				So(store.Client().Delete(t.Context(), "batch-results.ended", fmt.Sprintf("%08d", i), 0), ShouldBeNil)
			}
			shouldOpenAndRemove(t, store)
		}
		store, _, parts := endedAndOpen(t)
		for i := range 3 {
			So(store.Client().Delete(t.Context(), "batch-results.ended", fmt.Sprintf("%08d", i), 0), ShouldBeNil)
		}
		for _, name := range parts {
			So(store.Client().Delete(t.Context(), "batch-items", name, 0), ShouldBeNil)
			opened, err := batchlog.New(store.Client(), 2).Open(t.Context())
			So(err, ShouldBeNil)
			So(opened.Sealed, ShouldResemble, []string{"ended"})
		}
		shouldOpenAndRemove(t, store)
	})
}

// Guards against a term that fences, and so revives, the log of a job whose chunks an earlier term deletes at the same time.
func TestRemovalWhileATermOpens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A job that is removed after a term has listed it is not taken over, and nothing of it is left", t, func() {
			for delay := range 12 {
				store, ended, _ := endedAndOpen(t)
				client := store.Client()
				client.Fault = func(string, string, bool) metastoretest.Fault {
					time.Sleep(10 * time.Millisecond)
					return metastoretest.None
				}
				opening := batchlog.New(client, 2).Opening()
				So(opening.List(t.Context()), ShouldBeNil)
				removed := make(chan error)
				go func() {
					time.Sleep(time.Duration(delay) * 3 * time.Millisecond)
					removed <- ended.Remove(t.Context())
				}()
				opened, err := opening.TakeOver(t.Context())
				So(err, ShouldBeNil)
				So(<-removed, ShouldBeNil)
				for _, job := range opened.Jobs {
					So(job.Job.ID == "open" || job.Sealed, ShouldBeTrue)
				}
				objects, _, err := metastore.ListAll(t.Context(), store.Client(), "batch-results.ended", "")
				So(err, ShouldBeNil)
				So(objects, ShouldBeEmpty)
			}
		})
	})
}

// Guards against one job that can't be read keeping all others from being served.
func TestDamagedJob(t *testing.T) {
	overwrite := func(kind, name string) func(client *metastoretest.Client) {
		return func(client *metastoretest.Client) {
			object, err := client.Get(t.Context(), kind, name)
			So(err, ShouldBeNil)
			object.Spec = []byte(`{"results":"AAAA","job":7}`)
			_, err = client.Replace(t.Context(), kind, object)
			So(err, ShouldBeNil)
		}
	}
	for name, damage := range map[string]func(client *metastoretest.Client){
		"An unreadable object": overwrite("batches", "ended"),
		"An unreadable chunk":  overwrite("batch-results.ended", "00000001"),
		"A log without ends, which no removal leaves": func(client *metastoretest.Client) {
			for _, chunk := range []string{"00000000", "00000002"} {
				So(client.Delete(t.Context(), "batch-results.ended", chunk, 0), ShouldBeNil)
			}
		},
	} {
		Convey(name+" keeps only its own job from being read", t, func() {
			store, _, _ := endedAndOpen(t)
			client := store.Client()
			damage(client)
			opened, err := batchlog.New(client, 2).Open(t.Context())
			So(err, ShouldBeNil)
			So(opened.Jobs, ShouldHaveLength, 1)
			So(opened.Jobs[0].Job.ID, ShouldEqual, "open")
			So(opened.Damaged, ShouldContainKey, "ended")
			_, err = batchlog.New(client, 2).Find(t.Context(), "ended")
			So(errors.Is(err, batchlog.ErrDamaged), ShouldBeTrue)
			So(batchlog.New(client, 2).Remove(t.Context(), "ended"), ShouldNotBeNil)
		})
	}
}
