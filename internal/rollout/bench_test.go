package rollout

import (
	"fmt"
	"testing"
	"time"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/dispatch"
)

// BenchmarkOwner runs batches of 1024 samples of 64 tokens through the decisions alone: no log, no engines.
func BenchmarkOwner(b *testing.B) {
	const samples, tokens = 1024, 64
	now := time.Unix(1000, 0)
	config := benchConfig()
	config.MaxInFlight, config.MaxBatchSamples = 256, samples
	owner, err := NewOwner(now, NewLedger("t"), 1, config, NewMetrics(nil))
	if err != nil {
		b.Fatal(err)
	}
	spec := v1.BatchSpec{Samples: make([]v1.SampleRequest, samples)}
	result := dispatch.Result{Outcome: v1.OutcomeCompleted, Tokens: make([]string, tokens), Segments: segments(1, tokens)}
	for count := 0; b.Loop(); count++ {
		batch := fmt.Sprint(count)
		if _, err := owner.PutBatch(now, batch, spec); err != nil {
			b.Fatal(err)
		}
		for owner.Schedule(now); len(owner.attempts) > 0; owner.Schedule(now) {
			for _, action := range owner.Actions() {
				if start, ok := action.(Start); ok {
					owner.Finished(now, start.Identity, start.Attempt, result)
				}
			}
		}
		response, _, err := owner.Fetch(now, batch, v1.FetchRequest{Limit: samples})
		if err != nil || !response.Done {
			b.Fatal("not delivered", err)
		}
		if _, err := owner.Ack(batch, v1.AckRequest{Position: response.Next}); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*samples), "us/sample")
}
