package trainer

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/lab/invariant"
)

// fakeService hands a batch over in pieces and fails now and then.
type fakeService struct {
	spec     v1.BatchSpec
	acked    int64
	stated   []v1.WeightVersion
	failures map[string]int
	err      error
	fetches  []v1.FetchRequest
}

// fail returns the error for a call as often as failures say.
func (f *fakeService) fail(call string) error {
	if f.failures[call] > 0 {
		f.failures[call]--
		return f.err
	}
	return nil
}

func (f *fakeService) PutBatch(_ context.Context, trainer, batch string, spec v1.BatchSpec) (v1.BatchStatus, error) {
	f.spec = spec
	return v1.BatchStatus{Trainer: trainer, Batch: batch}, f.fail("put")
}

func (f *fakeService) Fetch(_ context.Context, trainer, batch string, request v1.FetchRequest) (v1.FetchResponse, error) {
	f.fetches = append(f.fetches, request)
	if err := f.fail("fetch"); err != nil {
		return v1.FetchResponse{}, err
	}
	response := v1.FetchResponse{Next: request.After}
	for i := int(request.After); i < len(f.spec.Samples) && len(response.Samples) < request.Limit; i++ {
		response.Next++
		response.Samples = append(response.Samples, v1.Sample{Trainer: trainer, Batch: batch, Index: i, Position: response.Next,
			Segments: []v1.Segment{{Version: request.Version, Tokens: 1}}})
	}
	response.Done = int(response.Next) == len(f.spec.Samples)
	return response, nil
}

func (f *fakeService) Ack(_ context.Context, _, _ string, request v1.AckRequest) (v1.BatchStatus, error) {
	if err := f.fail("ack"); err != nil {
		return v1.BatchStatus{}, err
	}
	f.acked = request.Position
	return v1.BatchStatus{}, nil
}

func (f *fakeService) PutVersion(_ context.Context, _ string, version v1.WeightVersion) error {
	if err := f.fail("version"); err != nil {
		return err
	}
	f.stated = append(f.stated, version)
	return nil
}

// weightServer keeps what is uploaded and refuses the first upload.
func weightServer(files *sync.Map) *httptest.Server {
	var refused sync.Once
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		refuse := false
		refused.Do(func() { refuse = true })
		if refuse {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		sum := sha256.Sum256(body)
		files.Store(r.Method+" "+r.URL.Path, hex.EncodeToString(sum[:]))
	}))
}

func testConfig(store string) Config {
	config := DefaultConfig()
	config.Trainer, config.URLs, config.Token, config.WeightStore = "t", []string{"http://127.0.0.1:1"}, "secret", store
	config.Samples, config.FetchLimit, config.PublishEverySamples, config.WeightBytes = 40, 7, 20, 1000
	return config
}

func TestTrainerConsumesAndPublishes(t *testing.T) {
	Convey("A trainer takes over each sample once, publishes on schedule, and rides out failures that pass", t, func() {
		var files sync.Map
		server := weightServer(&files)
		defer server.Close()
		service := &fakeService{err: v1.Errorf(v1.CodeUnavailable, "away"),
			failures: map[string]int{"put": 1, "fetch": 2, "ack": 1, "version": 1}}
		recorder := invariant.NewRecorder()
		trainer, err := New(testConfig(server.URL), service, recorder, log.NewNopLogger())
		So(err, ShouldBeNil)
		report, err := trainer.Run(context.Background())
		So(err, ShouldBeNil)
		So([]int{report.Batches, report.Received, report.Versions}, ShouldResemble, []int{1, 40, 3})
		So(service.acked, ShouldEqual, 40)
		So(report.Staleness.Max(), ShouldEqual, 0)
		for i, stated := range service.stated {
			So(stated.Version, ShouldEqual, i+2)
			stored, _ := files.Load("PUT /weights/" + stated.Location)
			So(stored, ShouldEqual, stated.Digest)
		}
		So(service.fetches[len(service.fetches)-1].Version, ShouldEqual, 3)
		history := recorder.History()
		So(len(history.Deliveries), ShouldEqual, 40)
		So(len(history.Statements), ShouldEqual, 3)
		So(history.Batches[0].Spec, ShouldResemble, service.spec)
		So(history.Deliveries[39].After, ShouldEqual, 35)
	})
	Convey("A refusal ends the run", t, func() {
		var files sync.Map
		server := weightServer(&files)
		defer server.Close()
		service := &fakeService{err: v1.Errorf(v1.CodeForbidden, "no"), failures: map[string]int{"put": 1}}
		trainer, err := New(testConfig(server.URL), service, nil, log.NewNopLogger())
		So(err, ShouldBeNil)
		_, err = trainer.Run(context.Background())
		So(err, ShouldNotBeNil)
	})
	Convey("The end of the context ends a run that can't go on", t, func() {
		service := &fakeService{err: v1.Errorf(v1.CodeUnavailable, "away"), failures: map[string]int{"version": 1 << 30}}
		var files sync.Map
		server := weightServer(&files)
		defer server.Close()
		trainer, err := New(testConfig(server.URL), service, nil, log.NewNopLogger())
		So(err, ShouldBeNil)
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		_, err = trainer.Run(ctx)
		So(err, ShouldNotBeNil)
	})
}

func TestConfig(t *testing.T) {
	Convey("Unfit settings are refused with the field's name", t, func() {
		config := testConfig("http://127.0.0.1:1")
		config.Token = ""
		_, err := New(config, nil, nil, log.NewNopLogger())
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, "Token")
	})
	Convey("The same settings give the same samples, in groups, each with its own seed", t, func() {
		config := testConfig("http://127.0.0.1:1")
		spec := config.batchSpec(3)
		So(spec, ShouldResemble, config.batchSpec(3))
		So(spec.Samples[7].Prompt, ShouldEqual, spec.Samples[0].Prompt)
		So(spec.Samples[8].Prompt, ShouldNotEqual, spec.Samples[0].Prompt)
		So(spec.Samples[1].Seed, ShouldNotEqual, spec.Samples[0].Seed)
		So(config.batchSpec(4).Samples[0].Prompt, ShouldNotEqual, spec.Samples[0].Prompt)
	})
}

func TestIdleMeter(t *testing.T) {
	Convey("Only the time without a sample to learn from is idle", t, func() {
		begin := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		meter := idleMeter{perSample: time.Second}
		meter.start(begin)
		meter.received(begin.Add(2*time.Second), 3)
		So(meter.idle, ShouldEqual, 2*time.Second)
		meter.received(begin.Add(4*time.Second), 1)
		So(meter.idle, ShouldEqual, 2*time.Second)
		meter.received(begin.Add(10*time.Second), 1)
		So(meter.idle, ShouldEqual, 6*time.Second)
	})
}
