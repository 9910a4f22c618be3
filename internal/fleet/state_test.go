package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/covelink/covelink/internal/sharedmap"
)

func numberedEngine(number int, ready bool) *Engine {
	return &Engine{ID: fmt.Sprintf("engine-%05d", number), Service: fmt.Sprint("service-", number%3), Zone: "z", Slots: 6, Ready: ready}
}

// Incremental updates of the ready lists must give the same lists as a full rebuild.
func TestReadyListsMatchEngines(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	state, engines := NewState(), sharedmap.Map[*Engine]{}
	for range 300 {
		edit := engines.Edit()
		for range random.IntN(30) {
			engine := numberedEngine(random.IntN(200), random.IntN(3) > 0)
			if random.IntN(4) == 0 {
				edit.Delete(engine.ID)
				continue
			}
			edit.Set(engine.ID, engine)
		}
		engines = edit.Map()
		state.SetEngines(engines)
		wanted := make(map[string][]string)
		for id, engine := range engines.All() {
			if engine.Ready {
				wanted[engine.Service] = append(wanted[engine.Service], id)
			}
		}
		for service := range 3 {
			name := fmt.Sprint("service-", service)
			slices.Sort(wanted[name])
			var got []string
			for _, engine := range state.View().Ready(name) {
				got = append(got, engine.ID)
			}
			if !slices.Equal(got, wanted[name]) {
				t.Fatalf("ready engines of %s: got %v, want %v", name, got, wanted[name])
			}
		}
	}
}

// benchmarkEngineChange repeatedly changes one engine of a fleet of the given size.
func benchmarkEngineChange(b *testing.B, count int) {
	state, all := NewState(), sharedmap.Map[*Engine]{}.Edit()
	for number := range count {
		engine := numberedEngine(number, true)
		all.Set(engine.ID, engine)
	}
	engines := all.Map()
	state.SetEngines(engines)
	b.ReportAllocs()
	for number := 0; b.Loop(); number++ {
		edit := engines.Edit()
		edit.Set("engine-00007", numberedEngine(7, number%2 == 0))
		engines = edit.Map()
		state.SetEngines(engines)
	}
}

// BenchmarkEngineChange guards against updates that rebuild maps of all engines.
func BenchmarkEngineChange(b *testing.B) {
	for _, count := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) { benchmarkEngineChange(b, count) })
	}
}

// Allocations of a change may grow only by the copy of its service's list: one pointer per engine.
func TestEngineChangeAllocations(t *testing.T) {
	allocated := func(count int) int64 {
		return testing.Benchmark(func(b *testing.B) { benchmarkEngineChange(b, count) }).AllocedBytesPerOp()
	}
	const pointer = 8
	small, large := allocated(100), allocated(10000)
	if most := 10*small + 2*pointer*10000/3; large > most {
		t.Errorf("a change of one engine allocates %d bytes at 100 engines and %d at 10,000", small, large)
	}
}
