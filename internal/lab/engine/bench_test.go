package engine_test

import (
	"fmt"
	"sync"
	"testing"

	"github.com/go-kit/log"

	"github.com/covelink/covelink/internal/lab/engine"
)

// BenchmarkBatch runs 1,024 samples on eight engines with the default step times and lengths.
func BenchmarkBatch(b *testing.B) {
	const engines, samples = 8, 1024
	emulators := make([]*engine.Engine, engines)
	for i := range emulators {
		config := engine.DefaultConfig()
		config.Name, config.Zone, config.Pool = fmt.Sprintf("engine-%d", i), "zone-a", "pool"
		emulator, err := engine.New(config, log.NewNopLogger())
		if err == nil {
			err = emulator.Start()
		}
		if err != nil {
			b.Fatal(err)
		}
		defer emulator.Kill()
		emulators[i] = emulator
	}
	tokens := 0
	for b.Loop() {
		answers := make([]answer, samples)
		var clients sync.WaitGroup
		for i := range answers {
			emulator := emulators[i%engines]
			clients.Go(func() { answers[i] = complete(emulator, requestFor(emulator, fmt.Sprint(i)), nil) })
		}
		clients.Wait()
		for _, got := range answers {
			if got.err != nil || !got.done {
				b.Fatalf("sample failed: %v", got.err)
			}
			tokens += got.events[len(got.events)-1].Final.Tokens
		}
	}
	b.ReportMetric(float64(tokens)/b.Elapsed().Seconds(), "tokens/s")
	b.ReportMetric(float64(tokens)/float64(b.N*samples), "tokens/sample")
}
