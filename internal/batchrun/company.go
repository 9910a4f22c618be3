package batchrun

import "math"

const (
	// loadFactor is the relative increase in the event interval of a full engine over an idle one, until observations show another.
	loadFactor = 0.1
	// minLoadFactor and maxLoadFactor bound the observed increase. The minimum spreads items over equally fast engines.
	minLoadFactor = loadFactor
	maxLoadFactor = 1.5
	// loadFactorPrior is the weight of loadFactor against observations, as a sum of squared deviations of company. It corresponds to some hundred
	// events at varying company.
	loadFactorPrior = 10
	// companySmoothing is the smoothing factor, per event, of an engine's average company and interval.
	companySmoothing = 0.02
	// companyMemory is the factor by which the sums of companyEffect shrink with each event: a memory of 20,000 events.
	companyMemory = 1 - 1.0/20000
	// maxRelativeDeviation caps the deviation of an interval from the engine's average. Noise and faults exceed the effect of company.
	maxRelativeDeviation = 0.5
)

// companyEffect estimates how much longer an engine's event interval becomes with the share of its slots that other runs take (the company of a run).
// It is the slope of a linear regression of the deviations from each engine's average, so that the speed of engines does not affect it.
type companyEffect struct {
	covariance, variance float64
}

// factor returns the relative increase in the event interval of an engine whose slots are full.
func (c *companyEffect) factor() float64 {
	slope := (loadFactorPrior*loadFactor + c.covariance) / (loadFactorPrior + c.variance)
	return min(max(slope, minLoadFactor), maxLoadFactor)
}

// slowdown returns the factor by which the event interval increases with company.
func (c *companyEffect) slowdown(company float64) float64 { return 1 + c.factor()*company }

// companyAverages holds the averages of an engine from which deviations are measured.
type companyAverages struct {
	company, interval float64
	events            float64
}

// observe adds the mean interval, in seconds, of count events with the given company.
func (c *companyEffect) observe(engine *companyAverages, interval, company float64, count int) {
	events := float64(count)
	engine.events += events
	smoothing := max(1-math.Pow(1-companySmoothing, events), events/engine.events)
	deviation := company - engine.company
	relative := 0.0
	if engine.interval > 0 {
		relative = min(max(interval/engine.interval-1, -maxRelativeDeviation), maxRelativeDeviation)
	}
	if engine.events > events {
		memory := math.Pow(companyMemory, events)
		c.covariance = c.covariance*memory + events*deviation*relative
		c.variance = c.variance*memory + events*deviation*deviation
	}
	engine.company += smoothing * deviation
	engine.interval += smoothing * (interval - engine.interval)
}
