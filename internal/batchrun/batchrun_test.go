package batchrun_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/batch"
	"github.com/covelink/covelink/internal/batchrun"
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/forward"
	"github.com/covelink/covelink/internal/metastore"
	"github.com/covelink/covelink/internal/metastore/metastoretest"
	"github.com/covelink/covelink/internal/routing"
)

const (
	host  = "host.example"
	model = "model-a"
)

// behaviour is how an engine of the test executes requests.
type behaviour struct {
	// pause between two events.
	pause time.Duration
	// version of the weights; zero means 1.
	version int64
	// status, if set, answers instead of a stream.
	status int
	notRun bool
	// breakAfter breaks each stream off after so many events; zero never.
	breakAfter int
	// silent makes no event and keeps the connection open.
	silent bool
}

// run is one execution.
type run struct {
	engine, id string
	resumed    bool
	from       int64
	at         time.Time
	ended      time.Time
}

// engines executes requests in memory.
type engines struct {
	mu         sync.Mutex
	behaviours map[string]behaviour
	runs       []*run
	events     int
}

func (e *engines) set(id string, b behaviour) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.behaviours[id] = b
}

func (e *engines) of(id string) []run {
	e.mu.Lock()
	defer e.mu.Unlock()
	var found []run
	for _, r := range e.runs {
		if r.id == id {
			found = append(found, *r)
		}
	}
	return found
}

func (e *engines) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.runs)
}

// Send implements forward.Transport.
func (e *engines) Send(ctx context.Context, engine *fleet.Engine, request *forward.Request, options forward.SendOptions) (*forward.Answer, error) {
	e.mu.Lock()
	b := e.behaviours[engine.ID]
	r := &run{engine: engine.ID, id: request.ID, resumed: options.Resume, from: options.LastEventID, at: time.Now()}
	if !b.notRun {
		e.runs = append(e.runs, r)
	}
	e.mu.Unlock()
	version := max(b.version, 1)
	answer := &forward.Answer{Status: http.StatusOK, Valid: true, Signature: "signed", WeightVersion: version, Header: http.Header{}}
	if b.status != 0 {
		answer.Status, answer.NotRun = b.status, b.notRun
		answer.Body = io.NopCloser(strings.NewReader(""))
		return answer, nil
	}
	if engine.Service == "judges" {
		answer.Body = io.NopCloser(strings.NewReader("good"))
		return answer, nil
	}
	reader, writer := io.Pipe()
	answer.Body = reader
	go func() {
		err := e.stream(ctx, writer, b, options.LastEventID)
		e.mu.Lock()
		r.ended = time.Now()
		e.mu.Unlock()
		writer.CloseWithError(err)
	}()
	return answer, nil
}

func (e *engines) stream(ctx context.Context, writer *io.PipeWriter, b behaviour, after int64) error {
	made := 0
	for number := after + 1; number <= int64(e.events); number++ {
		pause := b.pause
		if b.silent {
			pause = time.Hour
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return ctx.Err()
		}
		if b.breakAfter > 0 && made == b.breakAfter {
			return io.ErrUnexpectedEOF
		}
		made++
		if _, err := fmt.Fprintf(writer, "id: %d\ndata: e%d\n\n", number, number); err != nil {
			return err
		}
	}
	return io.EOF
}

// world is a runner with two samplers and a judge.
type world struct {
	engines *engines
	store   *metastoretest.Store
	state   *fleet.State
	runner  *batchrun.Runner
	stop    func()
}

func newWorld(route routing.Route) *world {
	w := &world{engines: &engines{behaviours: make(map[string]behaviour), events: 20}, store: metastoretest.New(), state: fleet.NewState()}
	route.Host, route.Prefix, route.Kind = host, "/rollout/", routing.KindBatch
	route.Targets = []routing.Target{{Service: "pool", Weight: 1}}
	route.MaxAttempts, route.MaxQueue, route.ResultDeadline = 3, time.Minute, 8*time.Second
	judge := routing.Route{Host: host, Prefix: "/judge/", Kind: routing.KindIdempotent, Targets: []routing.Target{{Service: "judges", Weight: 1}}, MaxAttempts: 2}
	w.state.SetRoutes(routing.NewTable(1, []routing.Route{route, judge}, []routing.Service{{Name: "pool"}, {Name: "judges"}}, routing.Limits{}))
	w.state.SetEngines([]*fleet.Engine{
		{ID: "a", Service: "pool", Slots: 8, Ready: true, Versions: map[string]int64{model: 1}},
		{ID: "b", Service: "pool", Slots: 8, Ready: true, Versions: map[string]int64{model: 1}},
		{ID: "j", Service: "judges", Slots: 8, Ready: true},
	})
	for _, id := range []string{"a", "b"} {
		w.engines.set(id, behaviour{pause: 20 * time.Millisecond})
	}
	w.runner, w.stop = w.lead(1)
	return w
}

// lead starts a runner with a term of its own.
func (w *world) lead(token int64) (*batchrun.Runner, func()) {
	forwarder := forward.New(w.state, w.engines, forward.NewPicker(time.Now), log.NewNopLogger())
	runner := batchrun.New(batchrun.Params{
		State:     w.state,
		Transport: w.engines,
		Forwarder: forwarder,
		Store:     w.store.Client(),
		Logger:    log.NewNopLogger(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		runner.Lead(ctx, token)
		close(done)
	}()
	time.Sleep(time.Second)
	return runner, func() {
		cancel()
		<-done
	}
}

func newJob(id string, items int) batch.Job {
	job := batch.Job{ID: id, Host: host, Path: "/rollout/" + id, Model: model, MinVersion: 1, Desired: 1}
	for i := range items {
		name := fmt.Sprintf("%s-%d", id, i)
		job.Items = append(job.Items, batch.Item{
			ID:     name,
			Path:   "/rollout/1",
			Body:   []byte("prompt"),
			Group:  "g",
			Prefix: "g",
			Reward: &batch.Reward{ID: "reward-" + name, Host: host, Path: "/judge/1"},
		})
	}
	return job
}

// results reads all results that come within the time.
func (w *world) results(id string, within time.Duration) []batch.Result {
	time.Sleep(within)
	reading, err := w.runner.Read(context.Background(), id, 0, 0)
	So(err, ShouldBeNil)
	return reading.Results
}

func (w *world) wholeText() string {
	events := make([]string, w.engines.events)
	for i := range events {
		events[i] = fmt.Sprintf("e%d", i+1)
	}
	return strings.Join(events, "\n")
}

func play(t *testing.T, name string, scene func(w *world)) {
	t.Helper()
	playRoute(t, name, routing.Route{}, scene)
}

func playRoute(t *testing.T, name string, route routing.Route, scene func(w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(route)
		defer func() { w.stop() }()
		Convey(name, t, func() { scene(w) })
	})
}

func TestItemsRun(t *testing.T) {
	play(t, "Every item gets one whole result with its score", func(w *world) {
		So(w.runner.Submit(context.Background(), newJob("job", 10)), ShouldBeNil)
		So(w.runner.Submit(context.Background(), newJob("job", 10)), ShouldBeNil)
		results := w.results("job", 3*time.Second)
		So(len(results), ShouldEqual, 10)
		for _, r := range results {
			So(r, ShouldResemble, batch.Result{ID: r.ID, State: batch.Done, Text: w.wholeText(), Versions: []int64{1}, Score: "signed"})
			So(len(w.engines.of(r.ID)), ShouldEqual, 1)
		}
	})
	play(t, "A stream that breaks goes on after its last event", func(w *world) {
		w.engines.set("a", behaviour{pause: 20 * time.Millisecond, breakAfter: 7})
		w.engines.set("b", behaviour{pause: 20 * time.Millisecond, breakAfter: 7})
		So(w.runner.Submit(context.Background(), newJob("job", 1)), ShouldBeNil)
		results := w.results("job", 10*time.Second)
		So(len(results), ShouldEqual, 1)
		So(results[0].Text, ShouldEqual, w.wholeText())
		runs := w.engines.of("job-0")
		So(len(runs), ShouldEqual, 3)
		So(runs[1].from, ShouldEqual, 7)
		So(runs[2].from, ShouldEqual, 14)
	})
	play(t, "An engine that takes an item and is silent loses it within 2 s", func(w *world) {
		w.engines.set("a", behaviour{silent: true})
		So(w.runner.Submit(context.Background(), newJob("job", 4)), ShouldBeNil)
		results := w.results("job", 4*time.Second)
		So(len(results), ShouldEqual, 4)
	})
	// Items of 170 events stayed on an engine that was 4 times slower, and their step came late (quiet-1 of Cairnpath).
	play(t, "An item on a slow engine goes on elsewhere after its last event, once the first run has ended", func(w *world) {
		w.engines.events = 100
		w.engines.set("a", behaviour{pause: 200 * time.Millisecond})
		w.engines.set("b", behaviour{pause: 20 * time.Millisecond})
		So(w.runner.Submit(context.Background(), newJob("job", 8)), ShouldBeNil)
		results := w.results("job", 6*time.Second)
		So(len(results), ShouldEqual, 8)
		for _, r := range results {
			So(r.Text, ShouldEqual, w.wholeText())
			runs := w.engines.of(r.ID)
			for i := 1; i < len(runs); i++ {
				So(runs[i].at, ShouldHappenOnOrAfter, runs[i-1].ended)
			}
		}
	})
}

func TestItemsGivenUp(t *testing.T) {
	play(t, "An item that can never be done is dead after one attempt", func(w *world) {
		w.engines.set("a", behaviour{status: http.StatusUnprocessableEntity})
		w.engines.set("b", behaviour{status: http.StatusUnprocessableEntity})
		So(w.runner.Submit(context.Background(), newJob("job", 1)), ShouldBeNil)
		So(w.results("job", 2*time.Second), ShouldResemble, []batch.Result{{ID: "job-0", State: batch.Dead}})
		So(len(w.engines.of("job-0")), ShouldEqual, 1)
	})
	play(t, "An item that fails is dead after the route's attempts, and not before", func(w *world) {
		w.engines.set("a", behaviour{status: http.StatusInternalServerError})
		w.engines.set("b", behaviour{status: http.StatusInternalServerError})
		So(w.runner.Submit(context.Background(), newJob("job", 1)), ShouldBeNil)
		So(w.results("job", 8*time.Second), ShouldResemble, []batch.Result{{ID: "job-0", State: batch.Dead}})
		So(len(w.engines.of("job-0")), ShouldEqual, 3)
	})
	play(t, "An item that engines only refuse waits", func(w *world) {
		w.engines.set("a", behaviour{status: http.StatusServiceUnavailable, notRun: true})
		w.engines.set("b", behaviour{status: http.StatusServiceUnavailable, notRun: true})
		So(w.runner.Submit(context.Background(), newJob("job", 1)), ShouldBeNil)
		So(w.results("job", 5*time.Second), ShouldBeEmpty)
		w.engines.set("b", behaviour{pause: 20 * time.Millisecond})
		So(len(w.results("job", 2*time.Second)), ShouldEqual, 1)
	})
	play(t, "An item whose reward call fails as often as its route allows is dead", func(w *world) {
		w.engines.set("j", behaviour{status: http.StatusInternalServerError})
		So(w.runner.Submit(context.Background(), newJob("job", 1)), ShouldBeNil)
		So(w.results("job", 5*time.Second), ShouldResemble, []batch.Result{{ID: "job-0", State: batch.Dead}})
		So(len(w.engines.of("reward-job-0")), ShouldBeGreaterThanOrEqualTo, 2)
	})
	play(t, "An item that has waited longer than the route allows is dead", func(w *world) {
		w.state.SetEngines(nil)
		So(w.runner.Submit(context.Background(), newJob("job", 1)), ShouldBeNil)
		So(w.results("job", 58*time.Second), ShouldBeEmpty)
		So(w.results("job", 4*time.Second), ShouldResemble, []batch.Result{{ID: "job-0", State: batch.Dead}})
	})
}

func TestVersions(t *testing.T) {
	play(t, "No text is made by weights older than the job allows, whatever the list says", func(w *world) {
		w.engines.set("a", behaviour{pause: 20 * time.Millisecond, version: 1})
		w.engines.set("b", behaviour{pause: 20 * time.Millisecond, version: 2})
		w.state.SetEngines([]*fleet.Engine{
			{ID: "a", Service: "pool", Slots: 8, Ready: true, Versions: map[string]int64{model: 2}},
			{ID: "b", Service: "pool", Slots: 8, Ready: true, Versions: map[string]int64{model: 2}},
			{ID: "j", Service: "judges", Slots: 8, Ready: true},
		})
		job := newJob("job", 6)
		job.MinVersion = 2
		So(w.runner.Submit(context.Background(), job), ShouldBeNil)
		results := w.results("job", 5*time.Second)
		So(len(results), ShouldEqual, 6)
		for _, r := range results {
			So(r.Versions, ShouldResemble, []int64{2})
			So(r.Text, ShouldEqual, w.wholeText())
		}
	})
	playRoute(t, "A route of single versions never joins two", routing.Route{SingleVersion: true}, func(w *world) {
		w.engines.set("a", behaviour{pause: 20 * time.Millisecond, version: 1, breakAfter: 7})
		w.engines.set("b", behaviour{pause: 20 * time.Millisecond, version: 2})
		So(w.runner.Submit(context.Background(), newJob("job", 6)), ShouldBeNil)
		results := w.results("job", 10*time.Second)
		So(len(results), ShouldEqual, 6)
		for _, r := range results {
			So(len(r.Versions), ShouldEqual, 1)
			So(r.Text, ShouldEqual, w.wholeText())
		}
	})
}

func TestEnd(t *testing.T) {
	play(t, "An end stops all runs at once, stays, and what was listed stays", func(w *world) {
		w.engines.events = 200
		So(w.runner.Submit(context.Background(), newJob("job", 4)), ShouldBeNil)
		time.Sleep(time.Second)
		So(w.runner.End(context.Background(), "job"), ShouldBeNil)
		So(w.runner.End(context.Background(), "job"), ShouldBeNil)
		synctest.Wait()
		begun := w.engines.count()
		for _, r := range w.engines.of("job-0") {
			So(r.ended, ShouldNotEqual, time.Time{})
		}
		time.Sleep(10 * time.Second)
		So(w.engines.count(), ShouldEqual, begun)
		reading, err := w.runner.Read(context.Background(), "job", 0, 0)
		So(err, ShouldBeNil)
		So(reading.Total, ShouldEqual, 4)
		Convey("and an item that comes again goes on with the text that was kept", func() {
			again := newJob("job2", 0)
			again.Items = newJob("job", 4).Items
			So(w.runner.Submit(context.Background(), again), ShouldBeNil)
			So(len(w.results("job2", 10*time.Second)), ShouldEqual, 4)
			runs := w.engines.of("job-0")
			So(runs[len(runs)-1].from, ShouldBeGreaterThan, 20)
		})
	})
	play(t, "A job that nobody submitted is not found", func(w *world) {
		So(w.runner.End(context.Background(), "nobodys"), ShouldEqual, batch.ErrNotFound)
		_, err := w.runner.Read(context.Background(), "nobodys", 0, 0)
		So(err, ShouldEqual, batch.ErrNotFound)
	})
}

func TestTakeOver(t *testing.T) {
	play(t, "A later term finishes accepted work, and the earlier one lists nothing more", func(w *world) {
		w.engines.events = 60
		So(w.runner.Submit(context.Background(), newJob("job", 4)), ShouldBeNil)
		time.Sleep(500 * time.Millisecond)
		earlier, stopEarlier := w.runner, w.stop
		w.runner, w.stop = w.lead(2)
		defer stopEarlier()
		So(len(w.results("job", 5*time.Second)), ShouldEqual, 4)
		reading, err := earlier.Read(context.Background(), "job", 0, 0)
		if err == nil {
			So(reading.Results, ShouldBeEmpty)
		} else {
			So(err, ShouldEqual, batch.ErrUnavailable)
		}
		So(earlier.End(context.Background(), "job"), ShouldEqual, batch.ErrUnavailable)
	})
	play(t, "A kept text that a route of single versions or a newer version rules out is made again", func(w *world) {
		w.engines.events = 200
		So(w.runner.Submit(context.Background(), newJob("job", 2)), ShouldBeNil)
		time.Sleep(3 * time.Second)
		So(w.runner.End(context.Background(), "job"), ShouldBeNil)
		w.engines.set("a", behaviour{pause: 20 * time.Millisecond, version: 2})
		w.engines.set("b", behaviour{pause: 20 * time.Millisecond, version: 2})
		w.state.SetEngines([]*fleet.Engine{
			{ID: "a", Service: "pool", Slots: 8, Ready: true, Versions: map[string]int64{model: 2}},
			{ID: "b", Service: "pool", Slots: 8, Ready: true, Versions: map[string]int64{model: 2}},
			{ID: "j", Service: "judges", Slots: 8, Ready: true},
		})
		again := newJob("job2", 0)
		again.Items = newJob("job", 2).Items
		again.MinVersion = 2
		So(w.runner.Submit(context.Background(), again), ShouldBeNil)
		results := w.results("job2", 8*time.Second)
		So(len(results), ShouldEqual, 2)
		for _, r := range results {
			So(r.Versions, ShouldResemble, []int64{2})
			So(r.Text, ShouldEqual, w.wholeText())
		}
	})
	play(t, "A process that does not lead refuses", func(w *world) {
		w.stop()
		So(w.runner.Submit(context.Background(), newJob("job", 1)), ShouldEqual, batch.ErrRefused)
		_, err := w.runner.Read(context.Background(), "job", 0, 0)
		So(err, ShouldEqual, batch.ErrUnavailable)
		w.runner, w.stop = w.lead(2)
	})
}

func TestStoreDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := metastoretest.New().Client()
		var down atomic.Bool
		client.Fault = func(_, _ string, write bool) metastoretest.Fault {
			if down.Load() && write {
				return metastoretest.AnswerLost
			}
			return metastoretest.None
		}
		w := newWorld(routing.Route{})
		w.stop()
		w.runner = batchrun.New(batchrun.Params{
			State:     w.state,
			Transport: w.engines,
			Forwarder: forward.New(w.state, w.engines, forward.NewPicker(time.Now), log.NewNopLogger()),
			Store:     metastore.Client(client),
			Logger:    log.NewNopLogger(),
		})
		ctx, cancel := context.WithCancel(context.Background())
		var leading sync.WaitGroup
		leading.Go(func() { w.runner.Lead(ctx, 1) })
		time.Sleep(time.Second)
		Convey("Results whose writes had no answer are listed once, when the store answers again", t, func() {
			So(w.runner.Submit(context.Background(), newJob("job", 4)), ShouldBeNil)
			down.Store(true)
			So(w.results("job", 5*time.Second), ShouldBeEmpty)
			down.Store(false)
			So(len(w.results("job", 5*time.Second)), ShouldEqual, 4)
		})
		cancel()
		leading.Wait()
	})
}
