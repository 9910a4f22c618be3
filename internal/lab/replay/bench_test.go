package replay

import (
	"testing"

	"github.com/covelink/covelink/internal/lab/controlsim"
	"github.com/covelink/covelink/internal/lab/trace"
)

func readBenchmarkTrace(b *testing.B) *trace.Trace {
	b.Helper()
	read, err := trace.ReadFile("../../../testdata/traces/moreton-all-at-once.jsonl")
	if err != nil {
		b.Fatal(err)
	}
	return read
}

// BenchmarkWork measures the requests, batches and weights of a trace of 8 virtual minutes.
func BenchmarkWork(b *testing.B) {
	read := readBenchmarkTrace(b)
	for b.Loop() {
		if err := runWork(read, &trace.Outcome{}, options{}); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkControl measures the control plane of the same trace.
func BenchmarkControl(b *testing.B) {
	read := readBenchmarkTrace(b)
	for b.Loop() {
		controlsim.Run(read, &trace.Outcome{})
	}
}
