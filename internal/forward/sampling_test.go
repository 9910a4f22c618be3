package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/covelink/covelink/internal/fleet"
)

func manyEngines(count int) []*fleet.Engine {
	engines := make([]*fleet.Engine, count)
	for i := range engines {
		engines[i] = &fleet.Engine{ID: fmt.Sprintf("engine-%05d", i), Service: "pool", Slots: 6, Ready: true}
	}
	return engines
}

func anyEngine(*fleet.Engine) bool { return true }

// TestSampleBoundsConsideredEngines guards against selection costs and records that grow with the number of engines.
func TestSampleBoundsConsideredEngines(t *testing.T) {
	for _, count := range []int{1000, 10000} {
		picker, engines := NewPicker(time.Now), manyEngines(count)
		sample := picker.Sample(engines)
		if len(sample) > randomSampleSize {
			t.Errorf("sample has %d of %d engines", len(sample), count)
		}
		picker.Release(picker.Acquire(sample, anyEngine), VerdictServed, time.Millisecond)
		if len(picker.records) > randomSampleSize {
			t.Errorf("picker keeps records of %d engines", len(picker.records))
		}
	}
	if sample := NewPicker(time.Now).Sample(manyEngines(100)); len(sample) != 100 {
		t.Errorf("sample has %d of 100 engines, want all", len(sample))
	}
}

// TestSampleReusesConnections guards against new connections for sequential requests, and against concurrent ones that overload a few engines.
func TestSampleReusesConnections(t *testing.T) {
	picker, engines := NewPicker(time.Now), manyEngines(5000)
	chosen := make(map[string]int)
	for range 100 {
		engine := picker.Acquire(picker.Sample(engines), anyEngine)
		chosen[engine.ID]++
		picker.Release(engine, VerdictServed, 20*time.Millisecond)
	}
	if len(chosen) > 10 {
		t.Errorf("100 sequential requests went to %d engines", len(chosen))
	}
	chosen = make(map[string]int)
	for range 100 {
		engine := picker.Acquire(picker.Sample(engines), anyEngine)
		chosen[engine.ID]++
	}
	if len(chosen) < 60 {
		t.Errorf("100 concurrent requests went to only %d engines", len(chosen))
	}
}

// TestSampleSpreadsLoadAcrossProcesses checks that many processes with one request each spread their load over the engines.
func TestSampleSpreadsLoadAcrossProcesses(t *testing.T) {
	engines := manyEngines(2000)
	busiest, chosen := 0, make(map[string]int)
	for range 4000 {
		engine := NewPicker(time.Now).Acquire(NewPicker(time.Now).Sample(engines), anyEngine)
		chosen[engine.ID]++
		busiest = max(busiest, chosen[engine.ID])
	}
	if busiest > 12 {
		t.Errorf("the busiest of 2,000 engines got %d of 4,000 requests", busiest)
	}
}

// TestSampleExcludesEnginesInBackoff checks that a sample without available engines is empty, so that all engines are considered.
func TestSampleExcludesEnginesInBackoff(t *testing.T) {
	picker, engines := NewPicker(time.Now), manyEngines(500)
	for _, engine := range engines {
		picker.Acquire([]*fleet.Engine{engine}, anyEngine)
		picker.Release(engine, VerdictFailed, time.Second)
	}
	if sample := picker.Sample(engines); len(sample) > 0 {
		t.Errorf("sample has %d engines in backoff", len(sample))
	}
}

// BenchmarkSelectionByServiceSize measures the selection for a first send: at 10,000 engines it may take at most twice as long as at 100.
func BenchmarkSelectionByServiceSize(b *testing.B) {
	for _, count := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			picker, engines := NewPicker(time.Now), manyEngines(count)
			b.ReportAllocs()
			for b.Loop() {
				picker.Release(picker.Acquire(picker.Sample(engines), anyEngine), VerdictServed, time.Millisecond)
			}
		})
	}
}
