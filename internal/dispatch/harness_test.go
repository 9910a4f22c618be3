package dispatch_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"

	v1 "github.com/covelink/covelink/api/v1"

	"github.com/covelink/covelink/api/enginev1"
	"github.com/covelink/covelink/internal/cluster"
	"github.com/covelink/covelink/internal/dispatch"
	"github.com/covelink/covelink/internal/engine"
	"github.com/covelink/covelink/internal/settings"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout bounds every wait for a condition, and the tasks.
const testTimeout = 30 * time.Second

// maxQueued is the queue limit of a class.
const maxQueued = 500

// expectedAnswer returns the answer of every test engine to a prompt.
func expectedAnswer(prompt string) []string {
	tokens := make([]string, 12)
	for index := range tokens {
		tokens[index] = fmt.Sprintf("%s/%d ", prompt, index)
	}
	return tokens
}

// testEngine is an HTTP engine that records requests and answers them by its script.
type testEngine struct {
	name   string
	zone   string
	server *httptest.Server

	mu       sync.Mutex
	script   func(e *testEngine, w http.ResponseWriter, r *http.Request, request enginev1.CompletionRequest)
	version  int64
	received []enginev1.CompletionRequest
	refused  int
}

func (e *testEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != enginev1.PathCompletions {
		return
	}
	var request enginev1.CompletionRequest
	_ = json.NewDecoder(r.Body).Decode(&request)
	e.mu.Lock()
	script := e.script
	e.received = append(e.received, request)
	e.mu.Unlock()
	script(e, w, r, request)
}

func (e *testEngine) setScript(script func(*testEngine, http.ResponseWriter, *http.Request, enginev1.CompletionRequest)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.script = script
}

// requests returns the completion requests received so far.
func (e *testEngine) requests() []enginev1.CompletionRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.received)
}

// send streams the tokens after the resumed ones, up to but not including index to, without the final event. It returns
// the next sequence number.
func (e *testEngine) send(w http.ResponseWriter, request enginev1.CompletionRequest, to int) uint64 {
	tokens := expectedAnswer(request.Prompt)
	from := len(request.Resume)
	for index := from; index < to; index++ {
		e.event(w, request, enginev1.TokenEvent{
			Sequence: uint64(index - from), Index: index, Tokens: tokens[index : index+1], Version: e.version,
		})
	}
	return uint64(max(to-from, 0))
}

func (e *testEngine) event(w http.ResponseWriter, request enginev1.CompletionRequest, event enginev1.TokenEvent) {
	event.RequestID, event.Attempt, event.Incarnation = request.RequestID, request.Attempt, request.Incarnation
	data, _ := json.Marshal(event)
	_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
	w.(http.Flusher).Flush()
}

func (e *testEngine) final(w http.ResponseWriter, request enginev1.CompletionRequest, sequence uint64) {
	tokens := expectedAnswer(request.Prompt)
	e.event(w, request, enginev1.TokenEvent{Sequence: sequence, Final: &enginev1.FinalEvent{
		Tokens: len(tokens), Checksum: enginev1.Checksum(tokens), FinishReason: "stop",
		Load: enginev1.Load{Incarnation: request.Incarnation, ActiveVersion: e.version},
	}})
}

func completeAnswer(e *testEngine, w http.ResponseWriter, _ *http.Request, request enginev1.CompletionRequest) {
	e.final(w, request, e.send(w, request, len(expectedAnswer(request.Prompt))))
}

func crashAfter(tokens int) func(*testEngine, http.ResponseWriter, *http.Request, enginev1.CompletionRequest) {
	return func(e *testEngine, w http.ResponseWriter, _ *http.Request, request enginev1.CompletionRequest) {
		e.send(w, request, tokens)
		panic(http.ErrAbortHandler)
	}
}

// hangAfter streams some tokens and then blocks until the caller disconnects or resume is closed.
func hangAfter(tokens int, resume <-chan struct{}) func(*testEngine, http.ResponseWriter, *http.Request, enginev1.CompletionRequest) {
	return func(e *testEngine, w http.ResponseWriter, r *http.Request, request enginev1.CompletionRequest) {
		e.send(w, request, tokens)
		w.(http.Flusher).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-resume:
		}
		rest := request
		sequence := uint64(max(tokens-len(request.Resume), 0))
		for index := max(tokens, len(request.Resume)); index < len(expectedAnswer(request.Prompt)); index++ {
			e.event(w, rest, enginev1.TokenEvent{
				Sequence: sequence, Index: index, Tokens: expectedAnswer(request.Prompt)[index : index+1], Version: e.version,
			})
			sequence++
		}
		e.final(w, request, sequence)
	}
}

func refuseWith(reason enginev1.RefusalReason) func(*testEngine, http.ResponseWriter, *http.Request, enginev1.CompletionRequest) {
	return func(e *testEngine, w http.ResponseWriter, _ *http.Request, _ enginev1.CompletionRequest) {
		e.mu.Lock()
		e.refused++
		e.mu.Unlock()
		w.WriteHeader(http.StatusServiceUnavailable)
		_ = json.NewEncoder(w).Encode(enginev1.Refusal{Reason: reason})
	}
}

// harness runs a Manager against test engines.
type harness struct {
	holder  *cluster.Holder
	engines []*testEngine
	client  *engine.Client
	manager *dispatch.Manager
	stop    context.CancelFunc
	done    chan struct{}
}

// newHarness starts one engine of pool "pool" per zone given, and a Manager in zone a. Zones a and b are permitted.
func newHarness(zones ...string) *harness {
	r := &harness{holder: cluster.NewHolder(), client: engine.New(engine.Config{}), done: make(chan struct{})}
	view := &cluster.View{
		Serving: true,
		Zones:   map[string]*v1.Zone{},
		Pools: map[string]*v1.Pool{
			"pool": {Spec: v1.PoolSpec{Model: "m", PermittedZones: []string{"a", "b"}, MaxConcurrent: 4, InteractiveReserve: 1}},
		},
	}
	for index, zone := range zones {
		eng := &testEngine{name: fmt.Sprintf("e%d", index), zone: zone, script: completeAnswer, version: int64(index + 1)}
		eng.server = httptest.NewServer(eng)
		r.engines = append(r.engines, eng)
		view.Zones[zone] = &v1.Zone{Spec: v1.ZoneSpec{Region: "r"}}
		view.Engines = append(view.Engines, cluster.Engine{
			Name: eng.name, URL: eng.server.URL, Pool: "pool", Zone: zone, Incarnation: "1", ActiveVersion: eng.version,
		})
	}
	r.holder.Update(func(*cluster.View) *cluster.View { return view })
	limits := settings.Default().Limits
	limits.MaxQueued = maxQueued
	r.manager = dispatch.New(dispatch.Params{
		Source: r.holder, Self: cluster.Node{Name: "n", Zone: "a"}, Engines: r.client, Limits: limits,
		// A small constant keeps backoffs short and deterministic.
		Rand: func() float64 { return 0.01 },
	})
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	go func() {
		defer close(r.done)
		r.manager.Run(ctx)
	}()
	return r
}

func (r *harness) close() {
	r.stop()
	<-r.done
	r.client.Close()
	for _, eng := range r.engines {
		eng.server.Close()
	}
}

// updateView replaces the view with an edited copy.
func (r *harness) updateView(edit func(*cluster.View)) {
	r.holder.Update(func(old *cluster.View) *cluster.View {
		next := *old
		next.Engines = slices.Clone(old.Engines)
		pool := *old.Pools["pool"]
		next.Pools = map[string]*v1.Pool{"pool": &pool}
		edit(&next)
		return &next
	})
}

func task(id string) dispatch.Task {
	return dispatch.Task{
		RequestID: id, Class: dispatch.ClassInteractive, Pool: "pool", Caller: "app", Prompt: id, MaxTokens: 100,
		Repeatable: true, Deadline: time.Now().Add(testTimeout),
	}
}

// dispatchAsync dispatches in the background and returns a channel for the result.
func (r *harness) dispatchAsync(ctx context.Context, t dispatch.Task) <-chan dispatch.Result {
	results := make(chan dispatch.Result, 1)
	go func() { results <- r.manager.Dispatch(ctx, t, nil) }()
	return results
}

// eventually fails the test if a condition does not become true within testTimeout.
func eventually(condition func() bool) {
	for deadline := time.Now().Add(testTimeout); !condition() && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	So(condition(), ShouldBeTrue)
}
