package sharedmap

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
)

// Whatever is set and deleted, copies hold what a plain map would, and earlier ones stay as they were.
func TestMapHoldsWhatAPlainMapWould(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	plain, shared := make(map[string]int), Map[int]{}
	for range 300 {
		before, beforePlain := shared, maps.Clone(plain)
		edit := shared.Edit()
		for range random.IntN(20) {
			key := fmt.Sprint(random.IntN(400))
			if random.IntN(3) == 0 {
				delete(plain, key)
				edit.Delete(key)
				continue
			}
			value := random.IntN(1000)
			plain[key] = value
			edit.Set(key, value)
		}
		shared = edit.Map()
		if got := maps.Collect(shared.All()); !maps.Equal(got, plain) || shared.Len() != len(plain) {
			t.Fatalf("holds %v, want %v", got, plain)
		}
		if got := maps.Collect(before.All()); !maps.Equal(got, beforePlain) {
			t.Fatalf("an earlier copy holds %v, want %v", got, beforePlain)
		}
		applied := maps.Clone(beforePlain)
		Diff(before, shared, func(key string, value int) { applied[key] = value }, func(key string) { delete(applied, key) })
		if !maps.Equal(applied, plain) {
			t.Fatalf("the difference makes %v, want %v", applied, plain)
		}
	}
}

func numbered(count int) Map[int] {
	entries := make(map[string]int)
	for i := range count {
		entries[fmt.Sprintf("engine-%05d", i)] = i
	}
	return Of(entries)
}

// A change of one entry copied all of them, which grew with the fleet.
func TestAChangeCostsThatChange(t *testing.T) {
	for _, count := range []int{100, 10000} {
		before := numbered(count)
		edit := before.Edit()
		edit.Set("engine-00007", -1)
		after := edit.Map()
		told := 0
		Diff(before, after, func(string, int) { told++ }, func(string) { t.Error("an entry is told to be gone") })
		if most := 4*count/shardCount + 4; told > most {
			t.Errorf("one change of %d entries is told as %d", count, told)
		}
	}
}

// BenchmarkChange measures a change of one entry and finding it: at 10,000 entries it takes at most ten times what it takes at 100.
func BenchmarkChange(b *testing.B) {
	for _, count := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			before := numbered(count)
			b.ReportAllocs()
			for b.Loop() {
				edit := before.Edit()
				edit.Set("engine-00007", -1)
				Diff(before, edit.Map(), func(string, int) {}, func(string) {})
			}
		})
	}
}
