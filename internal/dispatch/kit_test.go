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

// patience bounds every wait for a condition.
const patience = 30 * time.Second

// maxQueued bounds the waiting tasks of a class.
const maxQueued = 500

// answerOf is the answer that every test engine gives to a prompt.
func answerOf(prompt string) []string {
	tokens := make([]string, 12)
	for index := range tokens {
		tokens[index] = fmt.Sprintf("%s/%d ", prompt, index)
	}
	return tokens
}

// testEngine is an engine with a script. It records the requests that it executed.
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

// requests returns what the engine received.
func (e *testEngine) requests() []enginev1.CompletionRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.received)
}

// send streams the tokens from the resumed ones up to the index to, without the final event.
func (e *testEngine) send(w http.ResponseWriter, request enginev1.CompletionRequest, to int) uint64 {
	tokens := answerOf(request.Prompt)
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
	tokens := answerOf(request.Prompt)
	e.event(w, request, enginev1.TokenEvent{Sequence: sequence, Final: &enginev1.FinalEvent{
		Tokens: len(tokens), Checksum: enginev1.Checksum(tokens), FinishReason: "stop",
		Load: enginev1.Load{Incarnation: request.Incarnation, ActiveVersion: e.version},
	}})
}

// The scripts.

func wholeAnswer(e *testEngine, w http.ResponseWriter, _ *http.Request, request enginev1.CompletionRequest) {
	e.final(w, request, e.send(w, request, len(answerOf(request.Prompt))))
}

func crashAfter(tokens int) func(*testEngine, http.ResponseWriter, *http.Request, enginev1.CompletionRequest) {
	return func(e *testEngine, w http.ResponseWriter, _ *http.Request, request enginev1.CompletionRequest) {
		e.send(w, request, tokens)
		panic(http.ErrAbortHandler)
	}
}

// hangAfter streams some tokens and then nothing until the caller goes away or the test lets it go on.
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
		for index := max(tokens, len(request.Resume)); index < len(answerOf(request.Prompt)); index++ {
			e.event(w, rest, enginev1.TokenEvent{
				Sequence: sequence, Index: index, Tokens: answerOf(request.Prompt)[index : index+1], Version: e.version,
			})
			sequence++
		}
		e.final(w, request, sequence)
	}
}

func refusing(reason enginev1.RefusalReason) func(*testEngine, http.ResponseWriter, *http.Request, enginev1.CompletionRequest) {
	return func(e *testEngine, w http.ResponseWriter, _ *http.Request, _ enginev1.CompletionRequest) {
		e.mu.Lock()
		e.refused++
		e.mu.Unlock()
		w.WriteHeader(http.StatusServiceUnavailable)
		_ = json.NewEncoder(w).Encode(enginev1.Refusal{Reason: reason})
	}
}

// rig is a Manager that runs against test engines.
type rig struct {
	holder  *cluster.Holder
	engines []*testEngine
	client  *engine.Client
	manager *dispatch.Manager
	stop    context.CancelFunc
	done    chan struct{}
}

// newRig starts one engine in each of the zones, all of pool "pool", and a Manager in zone a. Zones a and b are permitted.
func newRig(zones ...string) *rig {
	r := &rig{holder: cluster.NewHolder(), client: engine.New(engine.Config{}), done: make(chan struct{})}
	view := &cluster.View{
		Serving: true,
		Zones:   map[string]*v1.Zone{},
		Pools: map[string]*v1.Pool{
			"pool": {Spec: v1.PoolSpec{Model: "m", PermittedZones: []string{"a", "b"}, MaxConcurrent: 4, InteractiveReserve: 1}},
		},
	}
	for index, zone := range zones {
		made := &testEngine{name: fmt.Sprintf("e%d", index), zone: zone, script: wholeAnswer, version: int64(index + 1)}
		made.server = httptest.NewServer(made)
		r.engines = append(r.engines, made)
		view.Zones[zone] = &v1.Zone{Spec: v1.ZoneSpec{Region: "r"}}
		view.Engines = append(view.Engines, cluster.Engine{
			Name: made.name, URL: made.server.URL, Pool: "pool", Zone: zone, Incarnation: "1", ActiveVersion: made.version,
		})
	}
	r.holder.Update(func(*cluster.View) *cluster.View { return view })
	limits := settings.Default().Limits
	limits.MaxQueued = maxQueued
	r.manager = dispatch.New(dispatch.Params{
		Source: r.holder, Self: cluster.Node{Name: "n", Zone: "a"}, Engines: r.client, Limits: limits,
		// The least jitter keeps backoffs short; every run has the same.
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

func (r *rig) close() {
	r.stop()
	<-r.done
	r.client.Close()
	for _, made := range r.engines {
		made.server.Close()
	}
}

// change replaces the view by a changed copy.
func (r *rig) change(edit func(*cluster.View)) {
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
		Repeatable: true, Deadline: time.Now().Add(patience),
	}
}

// start dispatches in the background.
func (r *rig) start(ctx context.Context, t dispatch.Task) <-chan dispatch.Result {
	results := make(chan dispatch.Result, 1)
	go func() { results <- r.manager.Dispatch(ctx, t, nil) }()
	return results
}

// eventually waits for a condition.
func eventually(condition func() bool) {
	for deadline := time.Now().Add(patience); !condition() && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	So(condition(), ShouldBeTrue)
}
