package batchrun

import (
	"math"
	"slices"
	"time"

	"github.com/covelink/covelink/internal/decay"
)

const (
	// intervalSmoothing is the smoothing factor of the passing part, per event.
	intervalSmoothing = 0.12
	// maxIntervalFactor caps an observed interval at this multiple of the estimate, because a single long interval, for example while weights are
	// loaded, does not mean that the engine is slow.
	maxIntervalFactor = 4
	// passingDecay is the time constant with which the passing part loses weight. Pauses caused by other load on an engine's machine take seconds.
	passingDecay = 2 * time.Second
	// maxPassingWeight bounds the weight of the passing part, in events. It exceeds the memory of the moving average, about 8 events.
	maxPassingWeight = 30
	// passingPrior is the weight of the lasting part against the passing part, in events. Most pauses at the start of a step are among the first six
	// events of a run.
	passingPrior = 6
	// profilePeriod is the time over which intervals are averaged for the lasting part.
	profilePeriod = time.Second
	// profilePeriods is the number of periods in the lasting part. A fault of 8 s changes less than half of them.
	profilePeriods = 32
	// periodTTL is how long a period counts for the lasting part.
	periodTTL = 3 * time.Minute
	// lastingDecay is the time constant with which the lasting part loses weight toward the fleet's pace.
	lastingDecay = time.Minute
	// maxLastingWeight bounds the weight of the lasting part, and lastingPrior is the weight of the fleet's pace against it, in events.
	maxLastingWeight = 200
	lastingPrior     = 10
)

// speedProfile estimates the interval between two events of a run that is alone at an engine. It has a passing part, a fast moving average, and a
// lasting part, the median of the averages of past periods. With few recent events the estimate tends to the lasting part, and without that to the
// fleet's pace. It is not safe for concurrent use.
type speedProfile struct {
	passing       time.Duration
	passingWeight decay.Value

	lasting time.Duration
	// lastingWeight is the zero Value until the first period ends.
	lastingWeight decay.Value
	periods       []profileSample
	current       profileSample
}

// profileSample holds the intervals observed in one period.
type profileSample struct {
	started time.Time
	total   time.Duration
	count   int
}

func (s profileSample) mean() time.Duration { return s.total / time.Duration(s.count) }

// observe adds the mean of count intervals. starting is true for the first intervals of a run, which do not count for the lasting part. usual is the
// fleet's interval.
func (p *speedProfile) observe(interval time.Duration, count int, starting bool, usual time.Duration, now time.Time) {
	interval = min(interval, maxIntervalFactor*p.estimate(usual, now))
	weight := p.recentWeight(now)
	events := float64(count)
	smoothing := max(1-math.Pow(1-intervalSmoothing, events), events/(weight+events))
	p.passing += time.Duration(smoothing * float64(interval-p.passing))
	p.passingWeight = decay.New(min(weight+events, maxPassingWeight), now)
	if starting {
		return
	}
	if now.Sub(p.current.started) >= profilePeriod {
		p.closePeriod(now)
	}
	p.current.total += interval * time.Duration(count)
	p.current.count += count
}

// closePeriod adds the current period to the lasting part and begins another.
func (p *speedProfile) closePeriod(now time.Time) {
	closed := p.current
	p.current = profileSample{started: now}
	if closed.count == 0 {
		return
	}
	p.periods = slices.DeleteFunc(append(p.periods, closed), func(s profileSample) bool { return now.Sub(s.started) > periodTTL })
	if excess := len(p.periods) - profilePeriods; excess > 0 {
		p.periods = slices.Delete(p.periods, 0, excess)
	}
	if len(p.periods) == 0 {
		return
	}
	means, events := make([]time.Duration, 0, len(p.periods)), 0
	for _, period := range p.periods {
		means = append(means, period.mean())
		events += period.count
	}
	slices.Sort(means)
	// With an even number the shorter of the two middle values is used, so that noise needs more than half of the periods to count.
	p.lasting = means[(len(means)-1)/2]
	p.lastingWeight = decay.New(min(float64(events), maxLastingWeight), now)
}

// recentWeight returns the weight of the passing part, in events.
func (p *speedProfile) recentWeight(now time.Time) float64 {
	return p.passingWeight.At(now, passingDecay)
}

// settledWeight returns the weight of the lasting part, in events.
func (p *speedProfile) settledWeight(now time.Time) float64 {
	return p.lastingWeight.At(now, lastingDecay)
}

// weight returns the number of events behind the estimate, less with time.
func (p *speedProfile) weight(now time.Time) float64 {
	return p.recentWeight(now) + p.settledWeight(now)
}

// settled returns the estimate without the passing part. Until the first period ends, its average so far is used.
func (p *speedProfile) settled(usual time.Duration, now time.Time) time.Duration {
	if p.lastingWeight == (decay.Value{}) && p.current.count > 0 {
		return weightedMean(p.current.mean(), float64(p.current.count), usual, lastingPrior)
	}
	return weightedMean(p.lasting, p.settledWeight(now), usual, lastingPrior)
}

// estimate returns the expected interval of a run that is alone at the engine. usual is the fleet's interval.
func (p *speedProfile) estimate(usual time.Duration, now time.Time) time.Duration {
	return weightedMean(p.passing, p.recentWeight(now), p.settled(usual, now), passingPrior)
}

func weightedMean(x time.Duration, xWeight float64, y time.Duration, yWeight float64) time.Duration {
	return time.Duration((xWeight*float64(x) + yWeight*float64(y)) / (xWeight + yWeight))
}
