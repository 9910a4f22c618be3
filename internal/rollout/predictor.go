package rollout

import (
	"container/list"
	"math"
	"time"
)

const (
	// predictorGain is the weight of a new observation in every moving average.
	predictorGain = 0.2
	// runningFactor is how much longer than the longest running attempt an answer is expected to be.
	runningFactor = 1.5
	// defaultTokensPerSecond holds until the first attempt has finished.
	defaultTokensPerSecond = 50
	// maxGroups bounds the prompt groups remembered: those of sixteen batches with 1,024 groups each. A group that is
	// forgotten is taken for as long as the others, and tried first again.
	maxGroups = 16384
)

// average is an exponential moving mean with the moving mean of its absolute error.
type average struct {
	mean      float64
	deviation float64
	known     bool
	observed  int // observations, up to 1/predictorGain
}

// observe takes a value in: the first ones count alike, later ones with predictorGain.
func (a *average) observe(value float64) {
	a.observed = min(a.observed+1, 1/predictorGain)
	if !a.known {
		a.mean, a.known = value, true
		return
	}
	gain := 1 / float64(a.observed)
	miss := value - a.mean
	a.mean += gain * miss
	a.deviation += gain * (math.Abs(miss) - a.deviation)
}

// promptGroup is what is known of the answers to one prompt.
type promptGroup struct {
	name    string
	lengths average
	// running is the number of tokens of the longest attempt so far.
	running int
}

// predictor forecasts the length of answers by prompt group, the speed of generation and the time between the trainer's
// versions, each from what was observed. It starts empty in every term and relearns from the ledger. Of the groups it
// forgets the one not observed for the longest time, above maxGroups.
type predictor struct {
	groups map[string]*list.Element
	// recent holds the groups, each a *promptGroup, the one observed last in front.
	recent   *list.List
	overall  average
	speed    average // tokens a second of one attempt
	interval average // seconds between two versions
	// consumption is the number of samples between two versions.
	consumption average

	lastVersion time.Time
}

func newPredictor() *predictor {
	return &predictor{groups: make(map[string]*list.Element), recent: list.New()}
}

// observeLength notes the length of a finished answer, in tokens.
func (p *predictor) observeLength(group string, tokens int) {
	p.observed(group).lengths.observe(float64(tokens))
	p.overall.observe(float64(tokens))
}

// group returns what is known of a group, or nil.
func (p *predictor) group(name string) *promptGroup {
	element, ok := p.groups[name]
	if !ok {
		return nil
	}
	return element.Value.(*promptGroup)
}

// observed returns the group to note an observation in, new if need be.
func (p *predictor) observed(name string) *promptGroup {
	if element, ok := p.groups[name]; ok {
		p.recent.MoveToFront(element)
		return element.Value.(*promptGroup)
	}
	if len(p.groups) == maxGroups {
		oldest := p.recent.Remove(p.recent.Back()).(*promptGroup)
		delete(p.groups, oldest.name)
	}
	g := &promptGroup{name: name}
	p.groups[name] = p.recent.PushFront(g)
	return g
}

// observeRunning notes that an attempt of the group has produced so many tokens and goes on.
func (p *predictor) observeRunning(group string, tokens int) {
	g := p.observed(group)
	g.running = max(g.running, tokens)
}

// tried reports whether a sample of the group was ever started.
func (p *predictor) tried(group string) bool { return p.group(group) != nil }

// atLeast returns the expected tokens of an answer of the group, by running attempts too: while none has finished, the
// answers are expected to be longer than the longest so far.
func (p *predictor) atLeast(group string, limit int) int {
	expected := p.length(group, limit)
	g := p.group(group)
	if g == nil || g.lengths.known {
		return expected
	}
	return min(limit, max(expected, int(runningFactor*float64(g.running))))
}

// observeSpeed notes that an attempt produced the tokens in the time elapsed.
func (p *predictor) observeSpeed(tokens int, elapsed time.Duration) {
	if tokens > 0 && elapsed > 0 {
		p.speed.observe(float64(tokens) / elapsed.Seconds())
	}
}

// observeVersion notes that the trainer stated a new version now, and how many samples it took over since the one before.
func (p *predictor) observeVersion(now time.Time, samples int) {
	if samples > 0 && !p.lastVersion.IsZero() {
		p.consumption.observe(float64(samples))
	}
	if !p.lastVersion.IsZero() {
		p.interval.observe(now.Sub(p.lastVersion).Seconds())
	}
	p.lastVersion = now
}

// length returns the expected tokens of an answer of the group: the mean plus its usual error, at most limit.
// A group without history is as long as the others; without any history the answer takes limit.
func (p *predictor) length(group string, limit int) int {
	a := &p.overall
	if g := p.group(group); g != nil && g.lengths.known {
		a = &g.lengths
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

// consumedWithin returns how many samples the trainer takes over while it moves on by so many versions, or false while that
// is not known.
func (p *predictor) consumedWithin(versions int64) (int, bool) {
	return int(p.consumption.mean * float64(versions)), p.consumption.known
}

// versions returns how many versions the trainer is expected to move on while the tokens are produced: 0 until both the
// speed and the interval have been observed.
func (p *predictor) versions(tokens int) int64 {
	if !p.speed.known || !p.interval.known || p.interval.mean <= 0 {
		return 0
	}
	return int64(p.duration(tokens).Seconds() / p.interval.mean)
}
