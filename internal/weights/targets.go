package weights

import (
	"slices"
	"strings"
	"sync"

	v1 "github.com/covelink/covelink/api/v1"
)

// targetSet holds the highest target known by pool.
type targetSet struct {
	mu      sync.Mutex
	byPool  map[string]v1.WeightVersion
	changed chan struct{}
}

func newTargetSet() *targetSet {
	return &targetSet{byPool: make(map[string]v1.WeightVersion), changed: make(chan struct{})}
}

// merge takes a target in if it is higher than the one known, and returns the version wanted then. Other weights under
// the version that is known are a conflict.
func (s *targetSet) merge(target Target) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.byPool[target.Pool]
	if ok && conflicts(known, target.Weights) {
		return known.Version, conflict(target)
	}
	if ok && known.Version >= target.Weights.Version {
		return known.Version, nil
	}
	s.byPool[target.Pool] = target.Weights
	close(s.changed)
	s.changed = make(chan struct{})
	return target.Weights.Version, nil
}

// check returns the conflict of a target with the one known, or nil.
func (s *targetSet) check(target Target) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.byPool[target.Pool]
	if ok && conflicts(known, target.Weights) {
		return conflict(target)
	}
	return nil
}

func conflicts(known, other v1.WeightVersion) bool {
	return known.Version == other.Version && known.Digest != other.Digest
}

func conflict(target Target) error {
	return v1.Errorf(v1.CodeConflict, "version %d of pool %s has another digest", target.Weights.Version, target.Pool)
}

// snapshot returns a copy, and a channel that is closed when it is no longer current.
func (s *targetSet) snapshot() (map[string]v1.WeightVersion, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	byPool := make(map[string]v1.WeightVersion, len(s.byPool))
	for pool, weights := range s.byPool {
		byPool[pool] = weights
	}
	return byPool, s.changed
}

// list returns the targets sorted by pool.
func (s *targetSet) list() []Target {
	byPool, _ := s.snapshot()
	targets := make([]Target, 0, len(byPool))
	for pool, weights := range byPool {
		targets = append(targets, Target{Pool: pool, Weights: weights})
	}
	slices.SortFunc(targets, func(a, b Target) int { return strings.Compare(a.Pool, b.Pool) })
	return targets
}
