package batchrun

import "math"

const (
	// assumedTokensPerEvent is the assumed number of tokens per event until a text with an estimate has completed. Engines in
	// the deployments measured produce 38 to 62 tokens per event.
	assumedTokensPerEvent = 50.0
	// assumedEvents is the assumed length, in events, of a text without an estimate until such a text has completed.
	assumedEvents = 25.0
	// assumedLengthError is the initial standard deviation of the log ratio of actual to estimated length.
	assumedLengthError = 0.5
	// minLengthError is the minimum standard deviation assumed for estimates.
	minLengthError = 0.2
	// unestimatedLengthError is the standard deviation assumed for the logarithm of the length of texts without an estimate.
	unestimatedLengthError = 1.0
	// lengthQuantile is the share of texts that are not longer than remainingAtMost.
	lengthQuantile = 0.9
	// minLengthSmoothing is the minimum smoothing factor of the moving averages, which are updated once per text. They follow a
	// change within about 200 texts, a fraction of a step.
	minLengthSmoothing = 0.005
	// tailGrowth is the expected remaining length of a text far beyond its estimate, relative to its current length. It is used where the conditional
	// mean is numerically undefined.
	tailGrowth = 0.1
)

// lengthModel predicts text lengths in events from the callers' estimates in tokens and from completed texts. It assumes a log-normal distribution
// around the estimate times the average number of events per token. It is not safe for concurrent use.
type lengthModel struct {
	// count is the number of texts with an estimate, logRatio the moving average of the logarithm of their events per estimated token, and variance
	// the moving average of its squared error.
	count              int
	logRatio, variance float64
	// unestimatedCount is the number of texts without an estimate, and unestimatedLog the moving average of the logarithm of their events.
	unestimatedCount int
	unestimatedLog   float64
	// longest is the length of the longest completed text.
	longest int
}

func newLengthModel() *lengthModel {
	return &lengthModel{
		logRatio:       -math.Log(assumedTokensPerEvent),
		variance:       assumedLengthError * assumedLengthError,
		unestimatedLog: math.Log(assumedEvents),
	}
}

// observe updates the model with a completed text. expectedTokens is the caller's estimate, zero if there was none.
func (m *lengthModel) observe(expectedTokens, events int) {
	if events <= 0 {
		return
	}
	m.longest = max(m.longest, events)
	if expectedTokens <= 0 {
		m.unestimatedCount++
		m.unestimatedLog += smoothingFactor(m.unestimatedCount) * (math.Log(float64(events)) - m.unestimatedLog)
		return
	}
	m.count++
	smoothing := smoothingFactor(m.count)
	logError := math.Log(float64(events)/float64(expectedTokens)) - m.logRatio
	m.logRatio += smoothing * logError
	// The first text only initializes the ratio; its deviation is not an estimation error.
	if m.count > 1 {
		m.variance += smoothing * (logError*logError - m.variance)
	}
}

// smoothingFactor returns the smoothing factor after count values: a plain mean at first, a moving average later.
func smoothingFactor(count int) float64 { return max(1/float64(count), minLengthSmoothing) }

// remaining returns the expected number of further events of a text, at least 1, also for a text beyond its estimate.
func (m *lengthModel) remaining(expectedTokens, produced int) float64 {
	logMean, logDeviation := m.distribution(expectedTokens)
	return m.further(conditionalMean(logMean, logDeviation, float64(produced)), produced)
}

// remainingAtMost returns the number of further events that a text exceeds with a probability of 1 - lengthQuantile, at least 1.
func (m *lengthModel) remainingAtMost(expectedTokens, produced int) float64 {
	logMean, logDeviation := m.distribution(expectedTokens)
	return m.further(conditionalQuantile(logMean, logDeviation, float64(produced)), produced)
}

// distribution returns the parameters of a text's length, before any of it is produced.
func (m *lengthModel) distribution(expectedTokens int) (logMean, logDeviation float64) {
	if expectedTokens <= 0 {
		return m.unestimatedLog, unestimatedLengthError
	}
	return math.Log(float64(expectedTokens)) + m.logRatio, max(math.Sqrt(m.variance), minLengthError)
}

// further returns the events beyond those produced. A text is not expected to be longer than the longest completed one.
func (m *lengthModel) further(length float64, produced int) float64 {
	if m.longest > produced {
		length = min(length, float64(m.longest))
	}
	return max(length-float64(produced), 1)
}

// conditionalMean returns the mean of a log-normal variable, given that it exceeds a bound.
func conditionalMean(logMean, logDeviation, bound float64) float64 {
	mean := math.Exp(logMean + logDeviation*logDeviation/2)
	if bound <= 0 {
		return mean
	}
	distance := (logMean - math.Log(bound)) / logDeviation
	tail := normalCDF(distance)
	if tail < 1e-6 {
		return bound * (1 + tailGrowth)
	}
	return mean * normalCDF(distance+logDeviation) / tail
}

// conditionalQuantile returns the quantile lengthQuantile of a log-normal variable, given that it exceeds a bound.
func conditionalQuantile(logMean, logDeviation, bound float64) float64 {
	below := 0.0
	if bound > 0 {
		below = normalCDF((math.Log(bound) - logMean) / logDeviation)
	}
	if 1-below < 1e-6 {
		return bound * (1 + tailGrowth)
	}
	share := below + lengthQuantile*(1-below)
	return math.Exp(logMean + logDeviation*math.Sqrt2*math.Erfinv(2*share-1))
}

// normalCDF is the distribution function of the standard normal distribution.
func normalCDF(x float64) float64 { return math.Erfc(-x/math.Sqrt2) / 2 }
