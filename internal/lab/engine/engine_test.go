package engine_test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"

	"github.com/covelink/covelink/api/enginev1"
	"github.com/covelink/covelink/internal/lab/engine"
	"github.com/covelink/covelink/internal/lab/enginesim"
	"github.com/covelink/covelink/internal/lab/weightstore"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// deadline bounds every wait of the tests.
const deadline = 30 * time.Second

// answerTokens is the length of every answer unless a test changes it.
const answerTokens = 12

func testConfig() engine.Config {
	config := engine.DefaultConfig()
	config.Name, config.Zone, config.Pool = "engine-0", "zone-a", "pool"
	config.Simulation.Lengths = enginesim.Lengths{Median: answerTokens}
	config.LoadLag, config.CacheEventLag, config.CacheEventLoss = 0, 0, 0
	return config
}

// started returns a running engine that stops with the present Convey scope.
func started(config engine.Config) *engine.Engine {
	emulator, err := engine.New(config, log.NewNopLogger())
	So(err, ShouldBeNil)
	So(emulator.Start(), ShouldBeNil)
	Reset(func() {
		emulator.Kill()
		http.DefaultClient.CloseIdleConnections()
	})
	return emulator
}

func requestFor(emulator *engine.Engine, id string) enginev1.CompletionRequest {
	return enginev1.CompletionRequest{
		Model: "pool", RequestID: id, Incarnation: emulator.Incarnation(), Prompt: strings.Repeat("word ", 40) + id,
		Seed: 3, PermittedZones: []string{"zone-a"}, Stream: true,
	}
}

// answer is what a client saw of a completion.
type answer struct {
	status  int
	refusal enginev1.Refusal
	events  []enginev1.TokenEvent
	// done is true when the stream ended as a whole one does.
	done bool
	err  error
}

func post(ctx context.Context, url string, body any) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	return http.DefaultClient.Do(request)
}

// complete reads a whole completion; it calls each, if not nil, after every event.
func complete(emulator *engine.Engine, request enginev1.CompletionRequest, each func()) answer {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	response, err := post(ctx, emulator.URL()+enginev1.PathCompletions, request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	got := answer{status: response.StatusCode}
	if got.status != http.StatusOK {
		got.err = json.NewDecoder(response.Body).Decode(&got.refusal)
		return got
	}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		data, isData := strings.CutPrefix(lines.Text(), "data: ")
		if !isData {
			continue
		}
		if data == "[DONE]" {
			got.done = true
			continue
		}
		var event enginev1.TokenEvent
		if got.err = json.Unmarshal([]byte(data), &event); got.err != nil {
			return got
		}
		got.events = append(got.events, event)
		if each != nil {
			each()
		}
	}
	got.err = lines.Err()
	return got
}

// call posts a body and returns the status; it decodes the answer into out unless that is nil.
func call(emulator *engine.Engine, path string, body, out any) int {
	response, err := post(context.Background(), emulator.URL()+path, body)
	So(err, ShouldBeNil)
	defer response.Body.Close()
	if out != nil {
		So(json.NewDecoder(response.Body).Decode(out), ShouldBeNil)
	}
	return response.StatusCode
}

func eventually(condition func() bool) {
	end := time.Now().Add(deadline)
	for !condition() {
		So(time.Now(), ShouldHappenBefore, end)
		time.Sleep(time.Millisecond)
	}
}

// sequences returns the sequence numbers of an answer's events.
func (a answer) sequences() []uint64 {
	var numbers []uint64
	for _, event := range a.events {
		numbers = append(numbers, event.Sequence)
	}
	return numbers
}

func TestStream(t *testing.T) {
	Convey("Concurrent streams are whole, in order and have the right checksum", t, func() {
		emulator := started(testConfig())
		answers := make([]answer, 64)
		var clients sync.WaitGroup
		for i := range answers {
			request := requestFor(emulator, fmt.Sprint(i))
			clients.Go(func() { answers[i] = complete(emulator, request, nil) })
		}
		clients.Wait()
		for i, got := range answers {
			So(got.err, ShouldBeNil)
			So(got.done, ShouldBeTrue)
			var tokens []string
			for place, event := range got.events {
				So(event.Sequence, ShouldEqual, place)
				So(event.Index, ShouldEqual, len(tokens))
				So(event.RequestID, ShouldEqual, fmt.Sprint(i))
				So(event.Version, ShouldEqual, 1)
				tokens = append(tokens, event.Tokens...)
			}
			final := got.events[len(got.events)-1].Final
			So(final.Tokens, ShouldEqual, answerTokens)
			So(final.Checksum, ShouldEqual, enginev1.Checksum(tokens))
		}
		executions := emulator.Executions()
		So(executions, ShouldHaveLength, len(answers))
		for _, execution := range executions {
			So(execution.Tokens, ShouldEqual, answerTokens)
			So(execution.Finish, ShouldEqual, enginesim.FinishStop)
			So(execution.FirstVersion, ShouldEqual, 1)
		}
	})
	Convey("A client that goes away, a cancel and an export each end the attempt", t, func() {
		config := testConfig()
		config.Simulation.Lengths.Median = 4000
		emulator := started(config)
		ctx, leave := context.WithCancel(context.Background())
		response, err := post(ctx, emulator.URL()+enginev1.PathCompletions, requestFor(emulator, "left"))
		So(err, ShouldBeNil)
		So(emulator.Load().Running, ShouldEqual, 1)
		leave()
		response.Body.Close()
		eventually(func() bool { return emulator.Load().Running == 0 })
		So(emulator.Executions()[0].Finish, ShouldEqual, enginesim.FinishCancelled)

		cancelled := complete(emulator, requestFor(emulator, "cancelled"), sync.OnceFunc(func() {
			So(call(emulator, enginev1.PathCancel, enginev1.CancelRequest{RequestID: "cancelled"}, nil), ShouldEqual, http.StatusNoContent)
		}))
		So(cancelled.done, ShouldBeTrue)
		So(cancelled.events[len(cancelled.events)-1].Final.FinishReason, ShouldEqual, enginesim.FinishCancelled)

		var state enginev1.KVState
		exported := complete(emulator, requestFor(emulator, "moved"), sync.OnceFunc(func() {
			So(call(emulator, enginev1.PathExport, enginev1.ExportRequest{RequestID: "moved"}, &state), ShouldEqual, http.StatusOK)
		}))
		So(exported.events[len(exported.events)-1].Final.Checksum, ShouldEqual, enginev1.Checksum(state.Tokens))
		So(call(emulator, enginev1.PathImport, state, nil), ShouldEqual, http.StatusNoContent)
		So(call(emulator, enginev1.PathExport, enginev1.ExportRequest{RequestID: "moved"}, nil), ShouldEqual, http.StatusNotFound)
	})
	Convey("Refusals have their status and execute nothing", t, func() {
		emulator := started(testConfig())
		refusals := map[int]func(*enginev1.CompletionRequest){
			http.StatusConflict:   func(r *enginev1.CompletionRequest) { r.Incarnation = "other" },
			http.StatusForbidden:  func(r *enginev1.CompletionRequest) { r.PermittedZones = nil },
			http.StatusBadRequest: func(r *enginev1.CompletionRequest) { r.MaxTokens = -1 },
		}
		for status, change := range refusals {
			request := requestFor(emulator, "a")
			change(&request)
			So(complete(emulator, request, nil).status, ShouldEqual, status)
		}
		drain := enginev1.Order{Kind: enginev1.OrderDrain, Fence: 2, Incarnation: emulator.Incarnation(), Drain: true}
		So(call(emulator, enginev1.PathOrders, drain, nil), ShouldEqual, http.StatusOK)
		So(complete(emulator, requestFor(emulator, "a"), nil).status, ShouldEqual, http.StatusServiceUnavailable)
		drain.Fence = 1
		var refusal enginev1.Refusal
		So(call(emulator, enginev1.PathOrders, drain, &refusal), ShouldEqual, http.StatusConflict)
		So(refusal.HighestFence, ShouldEqual, 2)
		So(emulator.Executions(), ShouldBeEmpty)
	})
}

func TestWeights(t *testing.T) {
	Convey("Weights come from the store or from another engine, and their digest is checked", t, func() {
		store, err := weightstore.New(weightstore.DefaultConfig(), log.NewNopLogger())
		So(err, ShouldBeNil)
		So(store.Start(), ShouldBeNil)
		Reset(func() { _ = store.Stop(context.Background()) })
		weights := []byte("weights of version 2")
		So(store.Put("pool/2", weights), ShouldBeNil)
		sum := sha256.Sum256(weights)
		config := testConfig()
		config.WeightStore = store.URL()
		first, second := started(config), started(config)
		prepare := enginev1.Order{
			Kind: enginev1.OrderPrepare, Version: 2, Location: "pool/2", Digest: hex.EncodeToString(sum[:]),
		}
		send := func(emulator *engine.Engine, order enginev1.Order) int {
			order.Incarnation = emulator.Incarnation()
			return call(emulator, enginev1.PathOrders, order, nil)
		}
		prepared := func(emulator *engine.Engine) func() bool {
			return func() bool { return len(emulator.Load().PreparedVersions) == 1 }
		}
		So(send(first, prepare), ShouldEqual, http.StatusOK)
		eventually(prepared(first))
		copied := prepare
		copied.Source = first.URL()
		So(send(second, copied), ShouldEqual, http.StatusOK)
		eventually(prepared(second))
		So(store.Stats().Reads, ShouldEqual, 1)

		So(second.Inject(engine.Fault{Kind: engine.FaultFailActivate, TakesEffect: true}), ShouldBeNil)
		activate := enginev1.Order{Kind: enginev1.OrderActivate, Version: 2}
		So(send(second, activate), ShouldEqual, http.StatusInternalServerError)
		So(second.Load().ActiveVersion, ShouldEqual, 2)
		So(complete(second, requestFor(second, "a"), nil).events[0].Version, ShouldEqual, 2)

		wrong := prepare
		wrong.Version, wrong.Digest = 3, hex.EncodeToString(make([]byte, sha256.Size))
		failed := func() bool { return second.Load().PrepareError != "" }
		So(send(second, wrong), ShouldEqual, http.StatusOK)
		eventually(failed)
		So(second.Load().PrepareError, ShouldEqual, engine.ErrDigest.Error())
		So(second.Inject(engine.Fault{Kind: engine.FaultFailPrepare}), ShouldBeNil)
		right := prepare
		right.Version = 3
		So(send(second, right), ShouldEqual, http.StatusOK)
		eventually(failed)
		So(second.Load().PreparedVersions, ShouldBeEmpty)

		So(weightsStatus(first, 2), ShouldEqual, http.StatusOK)
		So(send(first, enginev1.Order{Kind: enginev1.OrderUnload, Version: 2}), ShouldEqual, http.StatusOK)
		So(weightsStatus(first, 2), ShouldEqual, http.StatusNotFound)
	})
	Convey("Unloading a version that is being loaded ends its loading", t, func() {
		begun, ended := make(chan struct{}), make(chan struct{})
		source := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
			close(begun)
			<-request.Context().Done()
			close(ended)
		}))
		Reset(source.Close)
		emulator := started(testConfig())
		order := enginev1.Order{
			Kind: enginev1.OrderPrepare, Version: 2, Source: source.URL, Incarnation: emulator.Incarnation(),
		}
		So(call(emulator, enginev1.PathOrders, order, nil), ShouldEqual, http.StatusOK)
		<-begun
		So(emulator.Load().Preparing, ShouldEqual, 2)
		order.Kind = enginev1.OrderUnload
		So(call(emulator, enginev1.PathOrders, order, nil), ShouldEqual, http.StatusOK)
		select {
		case <-ended:
		case <-time.After(deadline):
			So("the loading goes on", ShouldBeEmpty)
		}
		So(emulator.Load().Preparing, ShouldEqual, 0)
	})
}

func weightsStatus(emulator *engine.Engine, version int64) int {
	response, err := http.Get(fmt.Sprintf("%s%s/%d", emulator.URL(), enginev1.PathWeights, version))
	So(err, ShouldBeNil)
	response.Body.Close()
	return response.StatusCode
}

func TestReports(t *testing.T) {
	Convey("Load reports lag, and cache events are late and have gaps", t, func() {
		config := testConfig()
		config.LoadLag, config.CacheEventLag, config.CacheEventLoss = time.Hour, time.Hour, 0.5
		late := started(config)
		config.CacheEventLag = 0
		prompt := config.Simulation.CacheTokens
		lossy := started(config)
		for _, emulator := range []*engine.Engine{late, lossy} {
			request := requestFor(emulator, "a")
			request.Prompt = strings.Repeat("word ", prompt)
			So(complete(emulator, request, nil).done, ShouldBeTrue)
		}
		So(late.Load().CachedTokens, ShouldEqual, prompt)
		var report enginev1.Load
		get(late, enginev1.PathLoad, &report)
		So(report.CachedTokens, ShouldEqual, 0)
		var events []enginev1.CacheEvent
		get(late, enginev1.PathCacheEvents, &events)
		So(events, ShouldBeEmpty)
		get(lossy, enginev1.PathCacheEvents+"?after=0", &events)
		So(len(events), ShouldBeBetween, 0, prompt/enginesim.BlockTokens)
	})
}

func get(emulator *engine.Engine, path string, out any) {
	response, err := http.Get(emulator.URL() + path)
	So(err, ShouldBeNil)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	So(err, ShouldBeNil)
	So(json.Unmarshal(body, out), ShouldBeNil)
}
