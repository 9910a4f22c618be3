package rollout

import "math"

const (
	// The mean length of a group is taken from one of 2*gridSteps+1 points, up to gridReach deviations from that of all.
	gridSteps = 12
	gridReach = 3.0
	// The variances of the logarithm of lengths count as if assumedCount answers had shown the assumed ones.
	assumedCount  = 8
	assumedWithin = 0.5
	assumedTotal  = 1.0
	// leastBetween keeps groups apart even if all had the same mean so far.
	leastBetween = 0.1
	// maxWeight is the number of answers after which old ones fade.
	maxWeight = 4096
	// leastChance is that of an attempt to get as far as it got, at least: no single attempt rules a point out.
	leastChance = 1e-12
)

// movingMean is the mean of all values observed, of about the last maxWeight once there are more.
type movingMean struct {
	mean  float64
	count float64
}

func (m *movingMean) observe(value float64) {
	m.count = min(m.count+1, maxWeight)
	m.mean += (value - m.mean) / m.count
}

// including returns the mean with assumedCount values of assumed added.
func (m *movingMean) including(assumed float64) float64 {
	return (m.count*m.mean + assumedCount*assumed) / (m.count + assumedCount)
}

// logSum sums up the logarithms of the lengths of a group's finished answers.
type logSum struct {
	count float64
	sum   float64
}

// lengthModel takes the logarithm of lengths to be normal, with a variance within a prompt group and one between the groups'
// means, both learnt from finished answers.
type lengthModel struct {
	log    movingMean
	square movingMean // squared distances of the logarithms from their mean
	within movingMean // squared distances from the mean of the group, unbiased
}

// observe takes in the length of a finished answer and adds it to its group.
func (m *lengthModel) observe(group *logSum, tokens int) {
	value := math.Log(float64(max(tokens, 1)))
	before := m.log.mean
	m.log.observe(value)
	if m.log.count > 1 {
		m.square.observe((value - before) * (value - m.log.mean))
	}
	if group.count > 0 {
		miss := value - group.sum/group.count
		m.within.observe(miss * miss * group.count / (group.count + 1))
	}
	group.count++
	group.sum += value
}

// expected returns the expected tokens of another answer of the group, cut at limit, given its finished answers and the tokens
// that each of its running attempts has produced so far.
func (m *lengthModel) expected(group logSum, running []int, limit int) int {
	within := m.within.including(assumedWithin)
	between := math.Sqrt(max(m.square.including(assumedTotal)-within, leastBetween))
	var means, logs [2*gridSteps + 1]float64
	highest := math.Inf(-1)
	for point := range means {
		distance := gridReach * float64(point-gridSteps) / gridSteps
		means[point] = m.log.mean + distance*between
		logs[point] = -distance*distance/2 + logLikelihood(means[point], within, group, running)
		highest = max(highest, logs[point])
	}
	var weights, total float64
	for point, mean := range means {
		weight := math.Exp(logs[point] - highest)
		weights += weight
		total += weight * cutMean(mean, within, float64(limit))
	}
	return min(limit, int(total/weights))
}

// logLikelihood returns that of the group's answers if their logarithms have the mean and variance, up to a constant.
func logLikelihood(mean, variance float64, group logSum, running []int) float64 {
	made := -(group.count*mean*mean - 2*mean*group.sum) / (2 * variance)
	for _, tokens := range running {
		if tokens > 0 {
			chance := normalBelow((mean - math.Log(float64(tokens))) / math.Sqrt(variance))
			made += math.Log(max(chance, leastChance))
		}
	}
	return made
}

// cutMean returns the mean of the smaller of limit and a value whose logarithm is normal.
func cutMean(mean, variance, limit float64) float64 {
	deviation := math.Sqrt(variance)
	distance := (math.Log(limit) - mean) / deviation
	return math.Exp(mean+variance/2)*normalBelow(distance-deviation) + limit*normalBelow(-distance)
}

// normalBelow is the share of the normal distribution below x.
func normalBelow(x float64) float64 { return math.Erfc(-x/math.Sqrt2) / 2 }
