package gateway_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/auth"
	"github.com/covelink/covelink/internal/cluster"
	"github.com/covelink/covelink/internal/dispatch"
	"github.com/covelink/covelink/internal/gateway"
	"github.com/covelink/covelink/internal/settings"
)

const (
	applicationToken = "application-token"
	foreignToken     = "foreign-token"
	trainerToken     = "trainer-token"
	waitLimit        = 20 * time.Second
)

// scriptedDispatcher runs script for every task and counts them.
type scriptedDispatcher struct {
	mu     sync.Mutex
	tasks  []dispatch.Task
	script func(ctx context.Context, task dispatch.Task, progress func(dispatch.Progress) error) dispatch.Result
}

func (d *scriptedDispatcher) Dispatch(ctx context.Context, task dispatch.Task, progress func(dispatch.Progress) error) dispatch.Result {
	d.mu.Lock()
	d.tasks = append(d.tasks, task)
	script := d.script
	d.mu.Unlock()
	return script(ctx, task, progress)
}

func (d *scriptedDispatcher) seen() []dispatch.Task {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]dispatch.Task(nil), d.tasks...)
}

var answerTokens = []string{"one ", "two ", "three"}

// completes reports the tokens one by one and completes with them.
func completes(_ context.Context, _ dispatch.Task, progress func(dispatch.Progress) error) dispatch.Result {
	for index, token := range answerTokens {
		if progress == nil {
			break
		}
		if err := progress(dispatch.Progress{Index: index, Tokens: []string{token}, Version: 7}); err != nil {
			return dispatch.Result{Outcome: v1.OutcomeUnknown}
		}
	}
	return completed()
}

func completed() dispatch.Result {
	return dispatch.Result{
		Outcome:      v1.OutcomeCompleted,
		Tokens:       answerTokens,
		Segments:     []v1.Segment{{Version: 7, Engine: "engine-1", Tokens: 3}},
		FinishReason: "stop",
		Engine:       "engine-1",
		Attempts:     1,
	}
}

// fakeRollouts records the trainers' calls.
type fakeRollouts struct {
	mu    sync.Mutex
	calls []string
	fetch v1.FetchRequest
	err   error
	// hold makes a fetch wait until its context ends.
	hold bool
}

func (r *fakeRollouts) note(call string) (v1.BatchStatus, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, call)
	return v1.BatchStatus{Phase: v1.BatchRunning}, r.err
}

func (r *fakeRollouts) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.calls)
}

func (r *fakeRollouts) PutBatch(_ context.Context, trainer, batch string, _ v1.BatchSpec) (v1.BatchStatus, error) {
	return r.note("put " + trainer + "/" + batch)
}

func (r *fakeRollouts) Batch(_ context.Context, trainer, batch string) (v1.BatchStatus, error) {
	return r.note("get " + trainer + "/" + batch)
}

func (r *fakeRollouts) CancelBatch(_ context.Context, trainer, batch string) (v1.BatchStatus, error) {
	return r.note("cancel " + trainer + "/" + batch)
}

func (r *fakeRollouts) Fetch(ctx context.Context, trainer, batch string, request v1.FetchRequest) (v1.FetchResponse, error) {
	_, err := r.note("fetch " + trainer + "/" + batch)
	if r.hold {
		<-ctx.Done()
		return v1.FetchResponse{}, v1.Errorf(v1.CodeDeadlineExceeded, "the wait has ended")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fetch = request
	return v1.FetchResponse{Next: request.After}, err
}

func (r *fakeRollouts) Ack(_ context.Context, trainer, batch string, _ v1.AckRequest) (v1.BatchStatus, error) {
	return r.note("ack " + trainer + "/" + batch)
}

func (r *fakeRollouts) PutVersion(_ context.Context, trainer string, _ v1.WeightVersion) error {
	_, err := r.note("version " + trainer)
	return err
}

// bench is a gateway behind a loopback server.
type bench struct {
	gateway    *gateway.Gateway
	dispatcher *scriptedDispatcher
	rollouts   *fakeRollouts
	source     *cluster.Holder
	url        string
	handler    http.Handler
	logs       *lockedBuffer
}

type lockedBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

func application(name, token string, pools ...string) *v1.Application {
	return &v1.Application{
		Metadata: v1.ObjectMeta{Name: name},
		Spec:     v1.ApplicationSpec{Pools: pools, TokenHashes: []string{v1.HashToken(token)}},
	}
}

func testView() *cluster.View {
	return &cluster.View{
		Revision: 3,
		Serving:  true,
		Pools: map[string]*v1.Pool{
			"pool-a": {Spec: v1.PoolSpec{PermittedZones: []string{"zone-1"}, MaxTokens: 100}},
			"pool-b": {Spec: v1.PoolSpec{PermittedZones: []string{"zone-2"}}},
		},
		Applications: map[string]*v1.Application{
			"app":     application("app", applicationToken, "pool-a", "pool-b"),
			"foreign": application("foreign", foreignToken, "pool-b"),
		},
		Trainers: map[string]*v1.Trainer{
			"trainer": {Spec: v1.TrainerSpec{Pool: "pool-a", TokenHashes: []string{v1.HashToken(trainerToken)}}},
		},
	}
}

func newBench(t *testing.T, change func(*gateway.Params)) *bench {
	gin.SetMode(gin.TestMode)
	b := &bench{
		dispatcher: &scriptedDispatcher{script: completes},
		rollouts:   &fakeRollouts{},
		source:     cluster.NewHolder(),
		logs:       &lockedBuffer{},
	}
	b.source.Update(func(*cluster.View) *cluster.View { return testView() })
	defaults := settings.Default()
	defaults.Limits.MaxBodyBytes = 4096
	defaults.Limits.MaxBatchSamples = 2
	params := gateway.Params{
		Self:       cluster.Node{Name: "node-1", Zone: "zone-1"},
		Source:     b.source,
		Dispatcher: b.dispatcher,
		Rollouts:   b.rollouts,
		Auth:       auth.New(b.source, nil),
		Limits:     defaults.Limits,
		Timing:     defaults.Timing,
		Logger:     log.NewLogfmtLogger(b.logs),
		Registerer: prometheus.NewRegistry(),
	}
	if change != nil {
		change(&params)
	}
	b.gateway = gateway.New(params)
	b.gateway.SetReady(true, "")
	router := gin.New()
	b.gateway.Routes(router)
	b.handler = router
	server := httptest.NewServer(router)
	t.Cleanup(server.Close)
	b.url = server.URL
	return b
}

// reply is an answer read to its end.
type reply struct {
	status int
	header http.Header
	body   string
}

func (r reply) failure() v1.ErrorDetail {
	var body v1.ErrorBody
	if err := json.Unmarshal([]byte(r.body), &body); err != nil {
		return v1.ErrorDetail{Message: "not an error body: " + err.Error()}
	}
	return body.Error
}

func (b *bench) send(method, path, token, body string, header ...string) reply {
	request, err := http.NewRequest(method, b.url+path, strings.NewReader(body))
	if err != nil {
		return reply{body: err.Error()}
	}
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	for index := 0; index+1 < len(header); index += 2 {
		request.Header.Set(header[index], header[index+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return reply{body: err.Error()}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return reply{body: err.Error()}
	}
	return reply{status: response.StatusCode, header: response.Header, body: string(text)}
}

func (b *bench) complete(body string, header ...string) reply {
	return b.send(http.MethodPost, "/v1/completions", applicationToken, body, header...)
}

const (
	simpleBody = `{"model":"pool-a","prompt":"secret words"}`
	streamBody = `{"model":"pool-a","prompt":"secret words","stream":true}`
)

// eventually reports whether the condition came true before a generous deadline.
func eventually(condition func() bool) bool {
	deadline := time.Now().Add(waitLimit)
	for time.Now().Before(deadline) {
		if condition() {
			return true
		}
		time.Sleep(time.Millisecond)
	}
	return false
}
