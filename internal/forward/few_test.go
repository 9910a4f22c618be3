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

// A choice looked at each engine of the service and kept a record of each, which grew with the fleet.
func TestChoiceLooksAtFewEngines(t *testing.T) {
	for _, count := range []int{1000, 10000} {
		picker, engines := NewPicker(time.Now), manyEngines(count)
		few := picker.Few(engines)
		if len(few) > fewRandom {
			t.Errorf("looked at %d of %d engines", len(few), count)
		}
		picker.Release(picker.Acquire(few, anyEngine), VerdictServed, time.Millisecond)
		if len(picker.records) > fewRandom {
			t.Errorf("keeps records of %d engines", len(picker.records))
		}
	}
	if few := NewPicker(time.Now).Few(manyEngines(100)); len(few) != 100 {
		t.Errorf("looked at %d of 100 engines", len(few))
	}
}

// Requests one after the other use one connection, and requests at once spread.
func TestFewKeepsToConnections(t *testing.T) {
	picker, engines := NewPicker(time.Now), manyEngines(5000)
	chosen := make(map[string]int)
	for range 100 {
		engine := picker.Acquire(picker.Few(engines), anyEngine)
		chosen[engine.ID]++
		picker.Release(engine, VerdictServed, 20*time.Millisecond)
	}
	if len(chosen) > 10 {
		t.Errorf("100 requests one after the other went to %d engines", len(chosen))
	}
	chosen = make(map[string]int)
	for range 100 {
		engine := picker.Acquire(picker.Few(engines), anyEngine)
		chosen[engine.ID]++
	}
	if len(chosen) < 60 {
		t.Errorf("100 requests at once went to %d engines", len(chosen))
	}
}

// Many processes with a request each spread over the engines as evenly as by chance.
func TestFewSpreadsOverProcesses(t *testing.T) {
	engines := manyEngines(2000)
	busiest, chosen := 0, make(map[string]int)
	for range 4000 {
		engine := NewPicker(time.Now).Acquire(NewPicker(time.Now).Few(engines), anyEngine)
		chosen[engine.ID]++
		busiest = max(busiest, chosen[engine.ID])
	}
	if busiest > 12 {
		t.Errorf("the busiest of 2,000 engines got %d of 4,000 requests", busiest)
	}
}

// Engines that are left aside are not among the few, so that the others are looked at.
func TestFewLeavesOutEnginesAside(t *testing.T) {
	picker, engines := NewPicker(time.Now), manyEngines(500)
	for _, engine := range engines {
		picker.Acquire([]*fleet.Engine{engine}, anyEngine)
		picker.Release(engine, VerdictFailed, time.Second)
	}
	if few := picker.Few(engines); len(few) > 0 {
		t.Errorf("%d engines that are left aside", len(few))
	}
}

// BenchmarkChoiceOfSize measures the choice for a first try: at 10,000 engines it takes at most twice what it takes at 100.
func BenchmarkChoiceOfSize(b *testing.B) {
	for _, count := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			picker, engines := NewPicker(time.Now), manyEngines(count)
			b.ReportAllocs()
			for b.Loop() {
				picker.Release(picker.Acquire(picker.Few(engines), anyEngine), VerdictServed, time.Millisecond)
			}
		})
	}
}
