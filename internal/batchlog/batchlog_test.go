package batchlog_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/covelink/covelink/internal/batch"
	"github.com/covelink/covelink/internal/batchlog"
	"github.com/covelink/covelink/internal/metastore"
	"github.com/covelink/covelink/internal/metastore/metastoretest"
)

const itemCount = 12

// largeBody is so large that the items of a job need several objects.
const largeBody = 100 << 10

func newJob(id string, bodyBytes int) batch.Job {
	job := batch.Job{ID: id, Host: "host.example", Path: "/p/", Model: "m", MinVersion: 3, Desired: 2}
	for i := range itemCount {
		job.Items = append(job.Items, batch.Item{ID: itemName(i), Path: "/p/1", Body: []byte(strings.Repeat("b", bodyBytes))})
	}
	return job
}

func itemName(i int) string { return fmt.Sprintf("item-%02d", i) }

func result(i int, text string) batch.Result {
	return batch.Result{ID: itemName(i), Text: text, Versions: []int64{3}}
}

func TestAccept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("An accepted job is found with its items, beside one whose name begins alike", t, func() {
			store := metastoretest.New()
			log := batchlog.New(store.Client(), 1)
			_, err := log.Accept(t.Context(), newJob("a", largeBody))
			So(err, ShouldBeNil)
			_, err = log.Accept(t.Context(), newJob("a0", largeBody))
			So(err, ShouldBeNil)
			found, err := batchlog.New(store.Client(), 1).Find(t.Context(), "a")
			So(err, ShouldBeNil)
			So(found.Job, ShouldResemble, newJob("a", largeBody))
			Convey("A second submission is the first", func() {
				again, err := log.Accept(t.Context(), newJob("a", largeBody))
				So(err, ShouldBeNil)
				So(len(again.Job.Items), ShouldEqual, itemCount)
			})
			Convey("One that nobody submitted is not found", func() {
				_, err := log.Find(t.Context(), "b")
				So(err, ShouldEqual, metastore.ErrNotFound)
			})
		})
	})
	synctest.Test(t, func(t *testing.T) {
		client := metastoretest.New().Client()
		client.Fault = func(string, string, bool) metastoretest.Fault { return metastoretest.Refused }
		Convey("A job that the store refused is known not to be kept", t, func() {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, err := batchlog.New(client, 1).Accept(ctx, newJob("a", largeBody))
			So(errors.Is(err, metastore.ErrNotDone), ShouldBeTrue)
		})
	})
}

// A read whose answer was lost held the start of a term up for good: nothing was listed, and no job could be read, until the lease moved on.
func TestOpenUnderLostAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("An answer that never comes holds nobody up for long", t, func() {
			store := metastoretest.New()
			log := batchlog.New(store.Client(), 1)
			_, err := log.Accept(t.Context(), newJob("a", largeBody))
			So(err, ShouldBeNil)
			for _, lost := range []string{"batches", "batch-items", "batch-results.a"} {
				client := store.Client()
				// Parts of the items are read at once.
				var lostOne atomic.Bool
				client.Fault = func(_, kind string, write bool) metastoretest.Fault {
					if kind == lost && !write && lostOne.CompareAndSwap(false, true) {
						return metastoretest.Silent
					}
					return metastoretest.None
				}
				later := batchlog.New(client, 2)
				began := time.Now()
				_, err = later.Open(t.Context())
				So(err, ShouldNotBeNil)
				So(time.Since(began), ShouldBeLessThan, 2*time.Second)
				open, err := later.Open(t.Context())
				So(err, ShouldBeNil)
				So(open.Jobs, ShouldHaveLength, 1)
			}
		})
	})
}

// A coordinator that was frozen appended a result after its successor had read the log: a reader saw position 39 there, and
// then nothing at its successor (LOST on trouble-3 of Cairnpath).
func TestFence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Once a later term has taken a log over, the earlier one appends nothing", t, func() {
			store := metastoretest.New()
			old, err := batchlog.New(store.Client(), 1).Accept(t.Context(), newJob("a", largeBody))
			So(err, ShouldBeNil)
			n, err := old.Append(t.Context(), []batch.Result{result(0, "x")}, false)
			So(err, ShouldBeNil)
			So(n, ShouldEqual, 1)
			taken, err := batchlog.New(store.Client(), 2).Find(t.Context(), "a")
			So(err, ShouldBeNil)
			So(taken.Results, ShouldResemble, []batch.Result{result(0, "x")})
			_, err = old.Append(t.Context(), []batch.Result{result(1, "y")}, false)
			So(err, ShouldEqual, batchlog.ErrFenced)
			_, err = old.Append(t.Context(), nil, true)
			So(err, ShouldEqual, batchlog.ErrFenced)
			Convey("and the later one goes on, with one result an item", func() {
				n, err := taken.Append(t.Context(), []batch.Result{result(0, "other"), result(1, "z")}, true)
				So(err, ShouldBeNil)
				So(n, ShouldEqual, 2)
				So(taken.Results, ShouldResemble, []batch.Result{result(0, "x"), result(1, "z")})
				_, err = taken.Append(t.Context(), []batch.Result{result(2, "late")}, false)
				So(err, ShouldEqual, batchlog.ErrSealed)
				Convey("and a sealed job that was marked is not opened again", func() {
					So(taken.MarkSealed(t.Context()), ShouldBeNil)
					later := batchlog.New(store.Client(), 3)
					opened, err := later.Open(t.Context())
					So(err, ShouldBeNil)
					So(opened.Jobs, ShouldBeEmpty)
					So(opened.Sealed, ShouldResemble, []string{"a"})
					Convey("and is read without its items, of which the number is known", func() {
						found, err := later.Find(t.Context(), "a")
						So(err, ShouldBeNil)
						So(found.Sealed, ShouldBeTrue)
						So(found.ItemCount, ShouldEqual, itemCount)
						So(found.Job.Items, ShouldBeEmpty)
						So(found.Results, ShouldResemble, []batch.Result{result(0, "x"), result(1, "z")})
					})
					Convey("and once it is removed nothing of it is left", func() {
						found, err := later.Find(t.Context(), "a")
						So(err, ShouldBeNil)
						So(found.Remove(t.Context()), ShouldBeNil)
						So(found.Remove(t.Context()), ShouldBeNil)
						for _, kind := range []string{"batches", "batch-items", "batch-results.a"} {
							objects, _, err := metastore.ListAll(t.Context(), store.Client(), kind, "")
							So(err, ShouldBeNil)
							So(objects, ShouldBeEmpty)
						}
					})
				})
			})
		})
	})
}

// TestLogUnderFaults lets several terms write one job while answers are lost, writes are done late and processes die, and
// checks that what was read or acknowledged once stays as it was.
func TestLogUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		terms := rapid.IntRange(1, 4).Draw(rt, "terms")
		faultShare := rapid.Float64Range(0, 0.6).Draw(rt, "fault share")
		var failure error
		synctest.Test(t, func(t *testing.T) {
			failure = playTerms(rand.New(rand.NewPCG(seed, 1)), terms, faultShare)
		})
		if failure != nil {
			rt.Fatal(failure)
		}
	})
}

// world is one job under several writers.
type world struct {
	store *metastoretest.Store
	mu    sync.Mutex
	rng   *rand.Rand
	share float64
	// acknowledged are the results that some writer was told to be appended, by item.
	acknowledged map[string]string
	// sealed is true once some writer was told that the log is sealed.
	sealed  bool
	failure error
}

func playTerms(rng *rand.Rand, terms int, faultShare float64) error {
	w := &world{store: metastoretest.New(), rng: rng, share: faultShare, acknowledged: make(map[string]string)}
	if _, err := batchlog.New(w.store.Client(), 1).Accept(context.Background(), newJob("a", 100)); err != nil {
		return err
	}
	var writers sync.WaitGroup
	for term := range terms {
		// Terms overlap: an earlier one may not know yet that it is over.
		writers.Go(func() {
			time.Sleep(time.Duration(term) * 700 * time.Millisecond)
			w.write(int64(term) + 1)
		})
	}
	writers.Wait()
	time.Sleep(2 * metastoretest.LateBy)
	return w.check()
}

func (w *world) client() *metastoretest.Client {
	client := w.store.Client()
	client.Fault = func(_, _ string, _ bool) metastoretest.Fault {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.rng.Float64() >= w.share {
			return metastoretest.None
		}
		faults := []metastoretest.Fault{metastoretest.Refused, metastoretest.AnswerLost, metastoretest.Late, metastoretest.Silent}
		return faults[w.rng.IntN(len(faults))]
	}
	return client
}

// write appends results as the writer of one term, until it is fenced or dies.
func (w *world) write(token int64) {
	life := time.Duration(1+w.draw(8)) * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), life)
	defer cancel()
	log := batchlog.New(w.client(), token)
	var job *batchlog.Stored
	for ctx.Err() == nil && job == nil {
		found, err := findOnce(ctx, log)
		if err != nil {
			continue
		}
		job = found
	}
	for ctx.Err() == nil {
		results := []batch.Result{result(w.draw(itemCount), fmt.Sprintf("term %d", token)), result(w.draw(itemCount), "again")}
		if results[0].ID == results[1].ID {
			results = results[:1]
		}
		seal := w.draw(12) == 0
		_, err := job.Append(ctx, results, seal)
		if errors.Is(err, batchlog.ErrFenced) || errors.Is(err, batchlog.ErrSealed) {
			return
		}
		if err == nil {
			w.acknowledge(job.Results, seal)
		}
		time.Sleep(time.Duration(w.draw(300)) * time.Millisecond)
	}
}

func findOnce(ctx context.Context, log *batchlog.Store) (*batchlog.Stored, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	return log.Find(ctx, "a")
}

func (w *world) draw(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.IntN(n)
}

// acknowledge notes what a writer knows to be in the log.
func (w *world) acknowledge(results []batch.Result, sealed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for position, found := range results {
		key := fmt.Sprintf("%d", position)
		value := found.ID + "=" + found.Text
		if earlier, ok := w.acknowledged[key]; ok && earlier != value {
			w.failure = fmt.Errorf("position %d was %s and is %s", position, earlier, value)
		}
		w.acknowledged[key] = value
	}
	w.sealed = w.sealed || sealed
}

// check reads the log once more without faults.
func (w *world) check() error {
	if w.failure != nil {
		return w.failure
	}
	job, err := batchlog.New(w.store.Client(), 99).Find(context.Background(), "a")
	if err != nil {
		return err
	}
	if w.sealed && !job.Sealed {
		return errors.New("the log was sealed and is not")
	}
	if err := w.checkChunks(); err != nil {
		return err
	}
	seen := make(map[string]struct{})
	for _, found := range job.Results {
		if _, twice := seen[found.ID]; twice {
			return fmt.Errorf("%s stands twice", found.ID)
		}
		seen[found.ID] = struct{}{}
	}
	for position := range len(w.acknowledged) {
		if position >= len(job.Results) {
			return fmt.Errorf("%d results were acknowledged, %d are there", len(w.acknowledged), len(job.Results))
		}
		found := job.Results[position]
		if value := found.ID + "=" + found.Text; value != w.acknowledged[fmt.Sprintf("%d", position)] {
			return fmt.Errorf("position %d was %s and is %s", position, w.acknowledged[fmt.Sprintf("%d", position)], value)
		}
	}
	return nil
}

// checkChunks looks at the log as it lies in the store: tokens never fall, and the seal is the last chunk.
func (w *world) checkChunks() error {
	objects, _, err := metastore.ListAll(context.Background(), w.store.Client(), "batch-results.a", "")
	if err != nil {
		return err
	}
	token, sealed := int64(0), false
	for _, object := range objects {
		var chunk struct {
			Token  int64 `json:"token"`
			Sealed bool  `json:"sealed"`
		}
		if err := json.Unmarshal(object.Spec, &chunk); err != nil {
			return err
		}
		if sealed {
			return fmt.Errorf("%s comes after the seal", object.Name)
		}
		if chunk.Token < token {
			return fmt.Errorf("%s has token %d after %d", object.Name, chunk.Token, token)
		}
		token, sealed = chunk.Token, chunk.Sealed
	}
	return nil
}
