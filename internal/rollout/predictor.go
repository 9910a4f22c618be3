package rollout

import (
	"math"
	"time"
)

const (
	// predictorGain is the weight of a new observation in every moving average.
	predictorGain = 0.2
	// defaultTokensPerSecond holds until the first attempt has finished.
	defaultTokensPerSecond = 50
)

// average is an exponential moving mean with the moving mean of its absolute error.
type average struct {
	mean      float64
	deviation float64
	known     bool
}

func (a *average) observe(value float64) {
	if !a.known {
		*a = average{mean: value, known: true}
		return
	}
	miss := value - a.mean
	a.mean += predictorGain * miss
	a.deviation += predictorGain * (math.Abs(miss) - a.deviation)
}

// predictor forecasts the length of answers by prompt group, the speed of generation and the time between the trainer's
// versions, each from what was observed. It starts empty in every term and relearns from the ledger.
type predictor struct {
	groups   map[string]*average
	overall  average
	speed    average // tokens a second of one attempt
	interval average // seconds between two versions

	lastVersion time.Time
}

func newPredictor() *predictor { return &predictor{groups: make(map[string]*average)} }

// observeLength notes the length of a finished answer, in tokens.
func (p *predictor) observeLength(group string, tokens int) {
	a, ok := p.groups[group]
	if !ok {
		a = &average{}
		p.groups[group] = a
	}
	a.observe(float64(tokens))
	p.overall.observe(float64(tokens))
}

// observeSpeed notes that an attempt produced the tokens in the time elapsed.
func (p *predictor) observeSpeed(tokens int, elapsed time.Duration) {
	if tokens > 0 && elapsed > 0 {
		p.speed.observe(float64(tokens) / elapsed.Seconds())
	}
}

// observeVersion notes that the trainer stated a new version now.
func (p *predictor) observeVersion(now time.Time) {
	if !p.lastVersion.IsZero() {
		p.interval.observe(now.Sub(p.lastVersion).Seconds())
	}
	p.lastVersion = now
}

// length returns the expected tokens of an answer of the group: the mean plus its usual error, at most limit.
// A group without history is as long as the others; without any history the answer takes limit.
func (p *predictor) length(group string, limit int) int {
	a, ok := p.groups[group]
	if !ok {
		a = &p.overall
	}
	if !a.known {
		return limit
	}
	return min(limit, int(math.Ceil(a.mean+a.deviation)))
}

// duration returns the expected time to produce the tokens.
func (p *predictor) duration(tokens int) time.Duration {
	speed := float64(defaultTokensPerSecond)
	if p.speed.known {
		speed = max(p.speed.mean, 1)
	}
	return time.Duration(float64(tokens) / speed * float64(time.Second))
}

// versions returns how many versions the trainer is expected to move on while the tokens are produced: 0 until both the
// speed and the interval have been observed.
func (p *predictor) versions(tokens int) int64 {
	if !p.speed.known || !p.interval.known || p.interval.mean <= 0 {
		return 0
	}
	return int64(p.duration(tokens).Seconds() / p.interval.mean)
}
