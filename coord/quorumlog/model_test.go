package quorumlog

import (
	"flag"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

const (
	// guardSeeds schedules are tried to catch a guard switched off, and pass with all guards on.
	guardSeeds  = 3000
	maxSteps    = 400
	scheduleKey = 7
)

// run plays a schedule and returns its history's verdict.
func run(choose chooser, weak weakened, steps int) (*sim, bool, error) {
	s := newSim(choose, weak)
	for range steps {
		s.step()
	}
	if err := s.settle(); err != nil {
		return s, s.check(), err
	}
	return s, s.check(), nil
}

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	m.Run()
}

func seeded(seed uint64) chooser {
	random := rand.New(rand.NewPCG(seed, scheduleKey))
	return random.IntN
}

func TestSchedulesAreExplainedByOneLog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		choose := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }
		_, explained, err := run(choose, weakened{}, rapid.IntRange(50, maxSteps).Draw(t, "steps"))
		if err != nil {
			t.Fatal(err)
		}
		if !explained {
			t.Fatal("no log explains the history")
		}
	})
}

func TestSeededSchedulesAreExplainedByOneLog(t *testing.T) {
	served := 0
	for seed := range uint64(guardSeeds) {
		s, explained, err := run(seeded(seed), weakened{}, maxSteps)
		if err != nil || !explained {
			t.Fatalf("seed %d: explained %v, err %v", seed, explained, err)
		}
		served += s.serving
	}
	if served < 2*guardSeeds {
		t.Fatalf("the schedules serve too seldom to tell: %d writers of %d schedules", served, guardSeeds)
	}
}

// caught reports whether some schedule shows the guard to be missing.
func caught(weak weakened) bool {
	for seed := range uint64(guardSeeds) {
		if _, explained, _ := run(seeded(seed), weak, maxSteps); !explained {
			return true
		}
	}
	return false
}

func TestCheckerCatchesMissingFencing(t *testing.T) {
	if !caught(weakened{noFencing: true}) {
		t.Fatal("replicas without fencing pass for correct")
	}
}

func TestCheckerCatchesHalfQuorum(t *testing.T) {
	if !caught(weakened{halfQuorum: true}) {
		t.Fatal("half of the members pass for a majority")
	}
}

func TestCheckerCatchesCountingEmptyReplica(t *testing.T) {
	if !caught(weakened{countEmpty: true}) {
		t.Fatal("an empty replica passes for a member")
	}
}
