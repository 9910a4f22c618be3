package enginescale

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// recentWindow is the time over which the offered load is averaged before more engines are ordered: one interval between two steps of a trainer,
	// since the estimate jumps with each submitted job.
	recentWindow = 4 * time.Second
	// minHistory is how long the load must have been known before it counts.
	minHistory = 2 * time.Second
	// loadingDecay is the time constant of the mean share of loading engines: several loads of each engine.
	loadingDecay = 20 * time.Second
)

// observedLoad is the recent load of a service. It is not safe for concurrent use.
type observedLoad struct {
	samples []loadSample
	loading decayedMean
}

type loadSample struct {
	at    time.Time
	slots float64
}

// add records the offered load in slots, and forgets samples older than fallDelay.
func (o *observedLoad) add(now time.Time, slots float64) {
	o.samples = slices.DeleteFunc(o.samples, func(sample loadSample) bool { return now.Sub(sample.at) > fallDelay })
	o.samples = append(o.samples, loadSample{at: now, slots: slots})
}

// recent returns the mean load within recentWindow. ok is false if the load was not known for minHistory.
func (o *observedLoad) recent(now time.Time) (slots float64, ok bool) {
	if len(o.samples) == 0 || now.Sub(o.samples[0].at) < minHistory {
		return 0, false
	}
	count := 0
	for _, sample := range o.samples {
		if now.Sub(sample.at) <= recentWindow {
			slots += sample.slots
			count++
		}
	}
	return slots / float64(max(count, 1)), count > 0
}

// peak returns the highest known load within fallDelay.
func (o *observedLoad) peak() float64 {
	highest := 0.0
	for _, sample := range o.samples {
		highest = max(highest, sample.slots)
	}
	return highest
}

// decayedMean is the mean of samples that lose weight exponentially with time. The zero value has no samples.
type decayedMean struct {
	sum, weight float64
	last        time.Time
}

// add records a value that has applied since the last one.
func (m *decayedMean) add(now time.Time, value float64, timeConstant time.Duration) {
	kept := 0.0
	if !m.last.IsZero() {
		kept = math.Exp(-now.Sub(m.last).Seconds() / timeConstant.Seconds())
	}
	m.sum, m.weight, m.last = kept*m.sum+(1-kept)*value, kept*m.weight+(1-kept), now
}

// value returns the mean; zero without samples.
func (m *decayedMean) value() float64 {
	if m.weight == 0 {
		return 0
	}
	return m.sum / m.weight
}

// LoadingSet holds the engines that load weights. It is safe for concurrent use.
type LoadingSet struct {
	mu      sync.Mutex
	engines map[string]struct{}
}

// NewLoadingSet returns an empty LoadingSet.
func NewLoadingSet() *LoadingSet { return &LoadingSet{engines: make(map[string]struct{})} }

// Set records the start or the end of a load.
func (s *LoadingSet) Set(engineID string, loading bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if loading {
		s.engines[engineID] = struct{}{}
		return
	}
	delete(s.engines, engineID)
}

// Contains reports whether an engine loads weights.
func (s *LoadingSet) Contains(engineID string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, loading := s.engines[engineID]
	return loading
}
