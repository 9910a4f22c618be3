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
	"github.com/covelink/covelink/internal/quarantine"
	"github.com/covelink/covelink/internal/routing"
)

const (
	host  = "host.example"
	model = "model-a"
)

// engineBehavior configures how a fake engine executes requests.
type engineBehavior struct {
	// pause is the delay before each event.
	pause time.Duration
	// version is the weight version; zero means 1.
	version int64
	// status, if set, is returned instead of a stream.
	status int
	notRun bool
	// breakAfter breaks each stream off after this many events; zero disables it.
	breakAfter int
	// silent keeps the connection open without events.
	silent bool
	// hangs makes a judge not respond until it is canceled.
	hangs bool
}

type execution struct {
	engine, id string
	resumed    bool
	from       int64
	at         time.Time
	ended      time.Time
}

// fakeEngines executes requests in memory. It implements forward.Transport.
type fakeEngines struct {
	mu         sync.Mutex
	behaviors  map[string]engineBehavior
	executions []*execution
	events     int
	// eventsOf overrides events for one item, and pauseOf the behavior's pause before an event of an execution; both may be nil.
	eventsOf func(id string) int
	pauseOf  func(r *execution, number int64) time.Duration
}

func (e *fakeEngines) setBehavior(id string, b engineBehavior) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.behaviors[id] = b
}

func (e *fakeEngines) executionsOf(id string) []execution {
	e.mu.Lock()
	defer e.mu.Unlock()
	var found []execution
	for _, r := range e.executions {
		if r.id == id {
			found = append(found, *r)
		}
	}
	return found
}

func (e *fakeEngines) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.executions)
}

// Send implements forward.Transport.
func (e *fakeEngines) Send(ctx context.Context, engine *fleet.Engine, request *forward.Request, options forward.SendOptions) (*forward.Answer, error) {
	e.mu.Lock()
	b := e.behaviors[engine.ID]
	r := &execution{engine: engine.ID, id: request.ID, resumed: options.Resume, from: options.LastEventID, at: time.Now()}
	if !b.notRun {
		e.executions = append(e.executions, r)
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
		err := e.stream(ctx, writer, b, r)
		e.mu.Lock()
		r.ended = time.Now()
		e.mu.Unlock()
		writer.CloseWithError(err)
	}()
	return answer, nil
}

func (e *fakeEngines) stream(ctx context.Context, writer *io.PipeWriter, b engineBehavior, r *execution) error {
	sent, events := 0, e.events
	if e.eventsOf != nil {
		events = e.eventsOf(r.id)
	}
	for number := r.from + 1; number <= int64(events); number++ {
		pause := b.pause
		if e.pauseOf != nil {
			pause = e.pauseOf(r, number)
		}
		if b.silent {
			pause = time.Hour
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return ctx.Err()
		}
		if b.breakAfter > 0 && sent == b.breakAfter {
			return io.ErrUnexpectedEOF
		}
		sent++
		if _, err := fmt.Fprintf(writer, "id: %d\ndata: e%d\n\n", number, number); err != nil {
			return err
		}
	}
	return io.EOF
}

// harness is a runner with two fake engines and a judge. Its configuration fields apply to runners started afterwards.
type harness struct {
	engines       *fakeEngines
	store         *metastoretest.Store
	state         *fleet.State
	runner        *batchrun.Runner
	stop          func()
	maxEndedBytes int
	// dispatcher is nil if the runners execute all runs themselves.
	dispatcher   *itemwork.Dispatcher
	evacuateTime time.Duration
	// textFolder is the checkpoint directory; empty disables checkpoints.
	textFolder string
	zone       string
	// quota is nil if no engine is cold.
	quota batchrun.Quota
	// guard is nil if requests are not put under quarantine.
	guard *quarantine.Guard
	// storeFault chooses the faults of the runners' store calls; nil for none.
	storeFault func(operation, kind string, write bool) metastoretest.Fault
}

func newHarness(route routing.Route) *harness {
	h := &harness{engines: &fakeEngines{behaviors: make(map[string]engineBehavior), events: 20}, store: metastoretest.New(), state: fleet.NewState()}
	route.Host, route.Prefix, route.Kind = host, "/rollout/", routing.KindBatch
	route.Targets = []routing.Target{{Service: "pool", Weight: 1}}
	route.MaxAttempts, route.MaxQueue, route.ResultDeadline = 3, time.Minute, 8*time.Second
	judge := routing.Route{Host: host, Prefix: "/judge/", Kind: routing.KindIdempotent, Targets: []routing.Target{{Service: "judges", Weight: 1}}, MaxAttempts: 2}
	h.state.SetRoutes(routing.NewTable(1, []routing.Route{route, judge}, []routing.Service{{Name: "pool"}, {Name: "judges"}}, routing.Limits{}))
	h.state.SetEngineList([]*fleet.Engine{
		{ID: "a", Service: "pool", Slots: 8, Ready: true, Versions: map[string]int64{model: 1}},
		{ID: "b", Service: "pool", Slots: 8, Ready: true, Versions: map[string]int64{model: 1}},
		{ID: "j", Service: "judges", Slots: 8, Ready: true},
	})
	for _, id := range []string{"a", "b"} {
		h.engines.setBehavior(id, engineBehavior{pause: 20 * time.Millisecond})
	}
	h.runner, h.stop = h.startTerm(1)
	return h
}

// startTerm starts a runner that leads with the given token, and waits until it leads.
func (h *harness) startTerm(token int64) (*batchrun.Runner, func()) {
	runner, stop := h.beginTerm(token)
	time.Sleep(time.Second)
	return runner, stop
}

// beginTerm starts a runner that leads with the given token.
func (h *harness) beginTerm(token int64) (*batchrun.Runner, func()) {
	client := h.store.Client()
	client.Fault = h.storeFault
	forwarder := forward.New(h.state, h.engines, forward.NewPicker(time.Now), log.NewNopLogger())
	runner := batchrun.New(batchrun.Params{
		State:         h.state,
		Transport:     h.engines,
		Forwarder:     forwarder,
		Guard:         h.guard,
		Store:         client,
		MaxEndedBytes: h.maxEndedBytes,
		Dispatcher:    h.dispatcher,
		Zone:          h.zone,
		Quota:         h.quota,
		TextFolder:    h.textFolder,
		EvacuateTime:  h.evacuateTime,
		TextLimit:     1 << 20,
		Logger:        log.NewNopLogger(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		runner.Lead(ctx, token)
		close(done)
	}()
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

// results waits for the given time and returns all results listed by then.
func (h *harness) results(id string, within time.Duration) []batch.Result {
	time.Sleep(within)
	page, err := h.runner.Read(context.Background(), batch.Ref{ID: id}, 0, 0)
	So(err, ShouldBeNil)
	return page.Results
}

func (h *harness) completeText() string {
	events := make([]string, h.engines.events)
	for i := range events {
		events[i] = fmt.Sprintf("e%d", i+1)
	}
	return strings.Join(events, "\n")
}

func runScenario(t *testing.T, name string, scenario func(h *harness)) {
	t.Helper()
	runScenarioWithRoute(t, name, routing.Route{}, scenario)
}

func runScenarioWithRoute(t *testing.T, name string, route routing.Route, scenario func(h *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(route)
		defer func() { h.stop() }()
		Convey(name, t, func() { scenario(h) })
	})
}
