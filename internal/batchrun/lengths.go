package batchrun

import "math"

const (
	// assumedTokensPerEvent stands until texts have ended: engines of the deployments measured so far put 38 to 62 tokens in an
	// event.
	assumedTokensPerEvent = 50.0
	// assumedEvents is the length of a text of which nothing is known, in events.
	assumedEvents = 25.0
	// assumedLengthError is the standard deviation of the logarithm of a length relative to its estimate, until it is observed.
	assumedLengthError = 0.5
	// minLengthError keeps estimates from being taken for certain.
	minLengthError = 0.2
	// lengthWeight is the least share of the newest text in the moving averages: they follow a change within some 200 texts, a
	// fraction of a step.
	lengthWeight = 0.005
	// tailStep is the expected rest of a text that is far beyond its estimate, relative to its length: where the distribution gives
	// no number any more.
	tailStep = 0.1
)

// lengthModel expects the lengths of texts from their callers' estimates, which are in tokens, and from what texts that have ended
// were like. Lengths are taken to be distributed log-normally around the corrected estimate. It is not safe for concurrent use.
type lengthModel struct {
	// count is the number of texts with an estimate, ratio the moving average of the logarithm of their events per estimated token,
	// and variance that of the squared error.
	count           int
	ratio, variance float64
	// plainCount and plain are the number of texts without an estimate and the moving average of the logarithm of their events.
	plainCount int
	plain      float64
	// longest is the length of the longest text that has ended.
	longest int
}

func newLengthModel() *lengthModel {
	return &lengthModel{
		ratio:    -math.Log(assumedTokensPerEvent),
		variance: assumedLengthError * assumedLengthError,
		plain:    math.Log(assumedEvents),
	}
}

// observe takes in a text that is whole. expectedTokens is its caller's estimate, zero if there was none.
func (m *lengthModel) observe(expectedTokens, events int) {
	if events <= 0 {
		return
	}
	m.longest = max(m.longest, events)
	if expectedTokens <= 0 {
		m.plainCount++
		m.plain += averageWeight(m.plainCount) * (math.Log(float64(events)) - m.plain)
		return
	}
	m.count++
	weight := averageWeight(m.count)
	miss := math.Log(float64(events)/float64(expectedTokens)) - m.ratio
	m.ratio += weight * miss
	// The first texts tell the ratio; their miss is no error of their estimate.
	if m.count > 1 {
		m.variance += weight * (miss*miss - m.variance)
	}
}

// averageWeight makes a moving average the plain mean of what it has seen until that is much.
func averageWeight(count int) float64 { return max(1/float64(count), lengthWeight) }

// remaining returns how many events a text is expected to lack that has some already: a text that is beyond its estimate is
// expected to be longer still.
func (m *lengthModel) remaining(expectedTokens, made int) float64 {
	middle, deviation := m.plain, 1.0
	if expectedTokens > 0 {
		middle = math.Log(float64(expectedTokens)) + m.ratio
		deviation = max(math.Sqrt(m.variance), minLengthError)
	}
	expected := conditionalMean(middle, deviation, float64(made))
	if m.longest > made {
		expected = min(expected, float64(m.longest))
	}
	return max(expected-float64(made), 1)
}

// conditionalMean returns the mean of a log-normal variable that is known to be greater than a bound.
func conditionalMean(middle, deviation, bound float64) float64 {
	mean := math.Exp(middle + deviation*deviation/2)
	if bound <= 0 {
		return mean
	}
	distance := (middle - math.Log(bound)) / deviation
	beyond := normalBelow(distance)
	if beyond < 1e-6 {
		return bound * (1 + tailStep)
	}
	return mean * normalBelow(distance+deviation) / beyond
}

// normalBelow is the distribution function of the standard normal distribution.
func normalBelow(x float64) float64 { return math.Erfc(-x/math.Sqrt2) / 2 }
