package sharedmap

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
)

// A Map must agree with a Go map under random edits, and earlier copies must stay unchanged.
func TestMapMatchesGoMap(t *testing.T) {
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
			t.Fatalf("map after the edits: got %v, want %v", got, plain)
		}
		if got := maps.Collect(before.All()); !maps.Equal(got, beforePlain) {
			t.Fatalf("earlier copy changed: got %v, want %v", got, beforePlain)
		}
		applied := maps.Clone(beforePlain)
		Diff(before, shared, func(key string, value int) { applied[key] = value }, func(key string) { delete(applied, key) })
		if !maps.Equal(applied, plain) {
			t.Fatalf("earlier copy with the diff applied: got %v, want %v", applied, plain)
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

// Guards against a diff that visits all entries for a single change.
func TestDiffVisitsChangedShardsOnly(t *testing.T) {
	for _, count := range []int{100, 10000} {
		before := numbered(count)
		edit := before.Edit()
		edit.Set("engine-00007", -1)
		after := edit.Map()
		reported := 0
		Diff(before, after, func(string, int) { reported++ }, func(string) { t.Error("Diff reported a removal") })
		if limit := 4*count/shardCount + 4; reported > limit {
			t.Errorf("Diff reported one change among %d entries as %d", count, reported)
		}
	}
}

// BenchmarkChange guards against edits and diffs whose cost grows with the number of entries.
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
