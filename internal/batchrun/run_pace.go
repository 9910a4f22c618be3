package batchrun

import (
	"cmp"
	"slices"
	"time"
)

const (
	// startingEvents is the weight, in events, of the start of a run that does not tell the speed of the engine. Pauses of 56 to 140 ms were seen among
	// the first six events at engines that produce an event in 24 ms.
	startingEvents = 6.0
	// paceWindow is the weight, in events, of the recent observations that tell the pace of a run. With paceQuantile, two long pauses among them do not
	// change the pace. A run that becomes three times slower than 24 ms is recognized after three events, in 0.2 s.
	paceWindow = 4.0
	// minPaceSamples is the minimum number of samples in the window. A worker reports the events of up to 0.3 s as one sample, which one pause can spoil.
	minPaceSamples = 2
	// paceQuantile is the share of these observations that may be shorter than the pace that counts as certain.
	paceQuantile = 1.0 / 3
	// longPause is a pause that counts as one event. Longer pauses count with the square of the ratio, so that a slow run is recognized in a similar
	// time at any speed.
	longPause = 120 * time.Millisecond
	// minPaceWeight is the weight of the events of a run from which its pace is certain: two more than those of its start.
	minPaceWeight = startingEvents + 2
	// minPaceTime is the time over which events must have been observed.
	minPaceTime = 350 * time.Millisecond
	// minSilence is the time without events from which the pause in progress counts. A worker reports progress every 0.3 s, and
	// less often while there are many workers.
	minSilence = 500 * time.Millisecond
)

// runPace holds the recent pauses of one run. It is not safe for concurrent use.
type runPace struct {
	recent []paceSample
	// weight and time are the sums over all observations of the run.
	weight float64
	time   time.Duration
	// lastEvent is when the last event was reported; zero before the first.
	lastEvent time.Time
}

// paceSample is the mean of several intervals.
type paceSample struct {
	interval time.Duration
	weight   float64
}

// newPaceSample returns the sample of count intervals, and their weight in minPaceWeight.
func newPaceSample(interval time.Duration, count int) (sample paceSample, weight float64) {
	relative := max(1, float64(interval)/float64(longPause))
	weight = float64(count) * relative * relative
	// A single pause, however long, takes at most half of the window.
	return paceSample{interval: interval, weight: min(weight, max(float64(count), paceWindow/2))}, weight
}

// silence returns the sample of the pause in progress, and its weight; nil if it is no longer than pauses between events or reports.
func (p *runPace) silence(now time.Time) (samples []paceSample, weight float64) {
	elapsed := now.Sub(p.lastEvent)
	if p.lastEvent.IsZero() || elapsed < minSilence {
		return nil, 0
	}
	sample, weight := newPaceSample(elapsed, 1)
	return []paceSample{sample}, weight
}

// observe adds the mean of count intervals.
func (p *runPace) observe(interval time.Duration, count int) {
	sample, weight := newPaceSample(interval, count)
	if !p.starting() {
		p.recent = append(p.recent, sample)
		p.trim()
	}
	p.weight += weight
	p.time += interval * time.Duration(count)
}

// trim drops the samples before the window.
func (p *runPace) trim() {
	total := 0.0
	for i, recent := range slices.Backward(p.recent) {
		if total >= paceWindow && len(p.recent)-1-i >= minPaceSamples {
			p.recent = slices.Delete(p.recent, 0, i+1)
			return
		}
		total += recent.weight
	}
}

// starting reports whether the intervals observed so far are those of the start of the run, with a weight below startingEvents.
func (p *runPace) starting() bool { return p.weight < startingEvents }

// certain reports whether the run was observed long enough to tell its pace. A long pause in progress counts.
func (p *runPace) certain(now time.Time) bool {
	samples, weight := p.silence(now)
	observed := p.time
	for _, sample := range samples {
		observed += sample.interval
	}
	return p.weight+weight >= minPaceWeight && observed >= minPaceTime
}

// atLeast returns the interval that a share paceQuantile of the recent observations does not reach: some long pauses do not increase it. It is zero
// without observations. A long pause in progress counts.
func (p *runPace) atLeast(now time.Time) time.Duration {
	samples, _ := p.silence(now)
	sorted := slices.SortedFunc(slices.Values(append(samples, p.recent...)), func(a, b paceSample) int { return cmp.Compare(a.interval, b.interval) })
	total := 0.0
	for _, sample := range sorted {
		total += sample.weight
	}
	below := 0.0
	for _, sample := range sorted {
		if below += sample.weight; below >= paceQuantile*total {
			return sample.interval
		}
	}
	return 0
}
