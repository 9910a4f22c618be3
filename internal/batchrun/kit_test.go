package batchrun_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/batch"
	"github.com/covelink/covelink/internal/batchrun"
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/forward"
	"github.com/covelink/covelink/internal/itemwork"
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
	// hangs makes a judge answer nothing until it is cut off.
	hangs bool
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
	if b.hangs {
		<-ctx.Done()
		e.mu.Lock()
		defer e.mu.Unlock()
		r.ended = time.Now()
		return nil, fmt.Errorf("%w: %w", forward.ErrLost, ctx.Err())
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
	// maxEndedBytes is that of the runners.
	maxEndedBytes int
	// desk is that of the runners; nil if they carry out all runs themselves.
	desk *itemwork.Desk
	// evacuateTime is that of the runners.
	evacuateTime time.Duration
	// textFolder is where the runners keep unfinished texts; empty for nowhere.
	textFolder string
	// zone is that of the runners.
	zone string
	// quota is that of the runners; nil if no engine is cold.
	quota batchrun.Quota
}

func newWorld(route routing.Route) *world {
	w := &world{engines: &engines{behaviours: make(map[string]behaviour), events: 20}, store: metastoretest.New(), state: fleet.NewState()}
	route.Host, route.Prefix, route.Kind = host, "/rollout/", routing.KindBatch
	route.Targets = []routing.Target{{Service: "pool", Weight: 1}}
	route.MaxAttempts, route.MaxQueue, route.ResultDeadline = 3, time.Minute, 8*time.Second
	judge := routing.Route{Host: host, Prefix: "/judge/", Kind: routing.KindIdempotent, Targets: []routing.Target{{Service: "judges", Weight: 1}}, MaxAttempts: 2}
	w.state.SetRoutes(routing.NewTable(1, []routing.Route{route, judge}, []routing.Service{{Name: "pool"}, {Name: "judges"}}, routing.Limits{}))
	w.state.SetEngineList([]*fleet.Engine{
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
		State:         w.state,
		Transport:     w.engines,
		Forwarder:     forwarder,
		Store:         w.store.Client(),
		MaxEndedBytes: w.maxEndedBytes,
		Desk:          w.desk,
		Zone:          w.zone,
		Quota:         w.quota,
		TextFolder:    w.textFolder,
		EvacuateTime:  w.evacuateTime,
		TextLimit:     1 << 20,
		Logger:        log.NewNopLogger(),
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
	reading, err := w.runner.Read(context.Background(), batch.Ref{ID: id}, 0, 0)
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
