package weightorder

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/covelink/covelink/internal/decay"
)

// The load of docs/design/competing-load.md, first deployment.
const (
	replayTick      = 10 * time.Millisecond
	replayEngines   = 26
	replaySlots     = 6
	replayItems     = 110
	replayStep      = 4 * time.Second
	replayNaming    = 150 * time.Millisecond // from the naming of a version to the submission of its step
	replayEvent     = 42 * time.Millisecond
	replayLoad      = 900 * time.Millisecond
	replayReportLag = 250 * time.Millisecond
	// replayBandwidth is the number of loads that do not slow each other down: a fifth of all 38 engines.
	replayBandwidth = 8
	replayGiveUp    = 12 * time.Second
	replayDue       = 7500 * time.Millisecond
)

type replayItem struct {
	job       *replayJob
	duration  time.Duration
	left      time.Duration
	submitted time.Duration
}

type replayJob struct {
	model       int
	minVersion  int64
	submitted   time.Duration
	items, done int
}

// open reports whether the job has not ended: it ends with 90% of its items.
func (j *replayJob) open(now time.Duration) bool {
	return j.done*10 < j.items*9 && now-j.submitted < replayGiveUp
}

type replayEngine struct {
	id       string
	versions map[string]int64
	runs     []*replayItem
	// loading is the model that the engine loads, and seenAt the time at which the end of the load is observed, once known.
	loading string
	target  int64
	left    time.Duration
	began   time.Duration
	seenAt  time.Duration
	// concurrent is the number of loads when this one began, and window the number allowed then.
	concurrent, window int
}

// replay runs the load in virtual time under a rule that chooses the loads.
type replay struct {
	now      time.Duration
	random   *rand.Rand
	names    []string
	engines  []*replayEngine
	jobs     []*replayJob
	waiting  []*replayItem
	targets  map[string]int64
	namedAt  []time.Duration
	submit   []time.Duration
	items    []decay.Value
	times    []decay.Value
	waits    []time.Duration
	steps    int
	late     int
	assigned map[string]string
	window   *loadWindow
	// usableLoads counts the loads of engines that could have run items that waited.
	usableLoads, loads int
	// onTick is called after each tick; may be nil.
	onTick func(r *replay)
}

func newReplay(seed uint64, models int) *replay {
	r := &replay{
		random: rand.New(rand.NewPCG(seed, 1)), targets: make(map[string]int64), assigned: make(map[string]string), window: newLoadWindow(),
		namedAt: make([]time.Duration, models), submit: make([]time.Duration, models), items: make([]decay.Value, models), times: make([]decay.Value, models),
	}
	for i := range models {
		name := string(rune('a' + i))
		r.names = append(r.names, name)
		r.targets[name] = 1
		r.namedAt[i] = time.Duration(r.random.Int64N(int64(replayStep)))
		r.submit[i] = -1
	}
	for i := range replayEngines {
		versions := make(map[string]int64)
		for _, name := range r.names {
			versions[name] = 1
		}
		r.engines = append(r.engines, &replayEngine{id: fmt.Sprintf("engine-%02d", i), versions: versions})
	}
	return r
}

func (r *replay) at() time.Time { return time.Unix(0, 0).Add(r.now) }

// train names versions and submits steps. A trainer has two jobs open at a time.
func (r *replay) train(model int) {
	open := 0
	for _, j := range r.jobs {
		if j.model == model {
			open++
		}
	}
	if r.submit[model] < 0 && open < 2 && r.now >= r.namedAt[model] {
		r.targets[r.names[model]]++
		r.namedAt[model] = r.now
		r.submit[model] = r.now + replayNaming
	}
	if r.submit[model] < 0 || r.now < r.submit[model] {
		return
	}
	r.submit[model] = -1
	j := &replayJob{model: model, minVersion: r.targets[r.names[model]] - 1, submitted: r.now, items: replayItems - 20 + r.random.IntN(41)}
	r.jobs = append(r.jobs, j)
	r.namedAt[model] += replayStep
	total := time.Duration(0)
	for range j.items {
		// The mean is 8 to 20 events, depending on the model, and the longest text has 130 events.
		events := math.Min(130, math.Max(1, (6.5+3*float64(model))*math.Exp(0.7*r.random.NormFloat64())))
		it := &replayItem{job: j, duration: time.Duration(events * float64(replayEvent)), submitted: r.now}
		it.left = it.duration
		total += it.duration
		r.waiting = append(r.waiting, it)
	}
	r.items[model] = r.items[model].Plus(float64(j.items), r.at(), DemandDecay)
	r.times[model] = r.times[model].Plus(total.Seconds(), r.at(), DemandDecay)
	slices.SortStableFunc(r.waiting, func(a, b *replayItem) int { return cmp.Compare(b.duration, a.duration) })
	r.steps++
}

// place starts waiting items, the longest first, at the engines with the fewest runs.
func (r *replay) place() {
	r.waiting = slices.DeleteFunc(r.waiting, func(it *replayItem) bool {
		if !it.job.open(r.now) {
			r.waits = append(r.waits, r.now-it.submitted)
			return true
		}
		var best *replayEngine
		for _, engine := range r.engines {
			usable := engine.loading == "" && len(engine.runs) < replaySlots && engine.versions[r.names[it.job.model]] >= it.job.minVersion
			if usable && (best == nil || len(engine.runs) < len(best.runs)) {
				best = engine
			}
		}
		if best == nil {
			return false
		}
		best.runs = append(best.runs, it)
		r.waits = append(r.waits, r.now-it.submitted)
		return true
	})
}

// advance advances runs and loads by a tick.
func (r *replay) advance() {
	loads := 0
	for _, engine := range r.engines {
		if engine.loading != "" && engine.left > 0 {
			loads++
		}
	}
	for _, engine := range r.engines {
		engine.runs = slices.DeleteFunc(engine.runs, func(it *replayItem) bool {
			it.left -= replayTick
			if it.left <= 0 {
				it.job.done++
			}
			return it.left <= 0 || !it.job.open(r.now)
		})
		if engine.loading == "" {
			continue
		}
		if engine.left > 0 {
			engine.left -= time.Duration(float64(replayTick) * math.Min(1, replayBandwidth/float64(loads)))
			engine.seenAt = r.now + replayReportLag
			continue
		}
		if r.now >= engine.seenAt {
			engine.versions[engine.loading] = engine.target
			r.window.observe(r.at(), finishedLoad{model: engine.loading, took: r.now - engine.began, concurrent: engine.concurrent, window: engine.window})
			engine.loading = ""
		}
	}
	r.jobs = slices.DeleteFunc(r.jobs, func(j *replayJob) bool {
		if j.open(r.now) {
			return false
		}
		if r.now-j.submitted > replayDue {
			r.late++
		}
		return true
	})
}

func (r *replay) demand(model int) Demand {
	demand := Demand{
		Items:         r.items[model].At(r.at(), DemandDecay),
		SubmittedTime: time.Duration(r.times[model].At(r.at(), DemandDecay) * float64(time.Second)),
	}
	for _, j := range r.jobs {
		if j.model != model {
			continue
		}
		demand.OldestOpen = max(demand.OldestOpen, r.now-j.submitted)
		demand.NewestOpen = r.now - j.submitted
		demand.OpenMinVersion = max(demand.OpenMinVersion, j.minVersion)
		demand.Open += j.items - j.done
	}
	for _, it := range r.waiting {
		if it.job.model == model {
			demand.Waiting++
			demand.WaitingTime += it.duration
			demand.MinVersion = max(demand.MinVersion, it.job.minVersion)
		}
	}
	return demand
}

func (r *replay) loading() int {
	loading := 0
	for _, engine := range r.engines {
		if engine.loading != "" {
			loading++
		}
	}
	return loading
}

// begin begins a load.
func (r *replay) begin(engine *replayEngine, model string, concurrent int) {
	r.loads++
	for _, it := range r.waiting {
		if r.names[it.job.model] == model && engine.versions[model] >= it.job.minVersion {
			r.usableLoads++
			break
		}
	}
	engine.loading, engine.target, engine.left = model, r.targets[model], replayLoad
	engine.began, engine.concurrent, engine.window = r.now, concurrent, r.window.size()
}

// snapshot returns the input of decide.
func (r *replay) snapshot() *snapshot {
	s := &snapshot{loadTime: firstPollDelay, observed: r.now}
	for _, engine := range r.engines {
		state := engineState{
			id: engine.id, slots: replaySlots, listed: engine.versions, assigned: r.assigned[engine.id], loading: engine.loading, orderable: engine.loading == "",
		}
		for _, it := range engine.runs {
			state.runs.Running++
			state.runs.TimeLeft = max(state.runs.TimeLeft, it.left)
		}
		s.engines = append(s.engines, state)
	}
	for i, name := range r.names {
		demand := r.demand(i)
		s.models = append(s.models, modelState{
			name: name, target: r.targets[name], demand: demand, expectsStep: demand.SubmittedTime > 0 && r.submit[i] >= 0, nextStep: max(r.namedAt[i]-r.now, 0),
		})
		s.loadTime = max(s.loadTime, r.window.usualDuration(name, 0))
	}
	return s
}

// planNow applies the rules of decide.
func (r *replay) planNow() {
	s := r.snapshot()
	r.window.fit(len(r.engines))
	loading := r.loading()
	s.loads = max(r.window.size()-loading, 0)
	decided := decide(s)
	for _, change := range decided.reassigned {
		r.assigned[s.engines[change.engine].id] = s.models[change.to].name
	}
	for _, load := range decided.loads {
		r.begin(r.engines[load.engine], s.models[load.model].name, loading+len(decided.loads))
	}
}

// planBefore applies the rules that planNow replaced: a fifth of the engines load at once; those too old for waiting items, then the most
// outdated first. The shares of the models are even in this load.
func (r *replay) planBefore() {
	type candidate struct {
		engine *replayEngine
		model  string
		lag    int64
		tooOld bool
	}
	demands := make(map[string]Demand)
	for i, name := range r.names {
		demands[name] = r.demand(i)
	}
	var candidates []candidate
	for i, engine := range r.engines {
		model := r.names[i%len(r.names)]
		lag, demand := r.targets[model]-engine.versions[model], demands[model]
		if engine.loading == "" && lag > 0 {
			candidates = append(candidates, candidate{engine, model, lag, demand.Waiting > 0 && engine.versions[model] < demand.MinVersion})
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		if a.tooOld != b.tooOld {
			if a.tooOld {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.lag, a.lag)
	})
	available := max((len(r.engines)+2)/5-r.loading(), 0)
	for _, c := range candidates[:min(available, len(candidates))] {
		r.begin(c.engine, c.model, 0)
	}
}

// run runs the load for a time under a rule.
func (r *replay) run(length time.Duration, plan func()) {
	for end := r.now + length; r.now < end; r.now += replayTick {
		for model := range r.names {
			r.train(model)
		}
		r.place()
		if r.now%(100*time.Millisecond) == 0 {
			plan()
		}
		r.advance()
		if r.onTick != nil {
			r.onTick(r)
		}
	}
}

func (r *replay) quantile(part float64) time.Duration {
	slices.Sort(r.waits)
	return r.waits[int(part*float64(len(r.waits)-1))]
}

func (r *replay) String() string {
	return fmt.Sprintf("median wait %v, 90%% %v, %d steps, %d late, %d loads, %d of usable engines, window %d", r.quantile(0.5), r.quantile(0.9), r.steps,
		r.late, r.loads, r.usableLoads, r.window.size())
}

// TestReplay guards against loads that keep items waiting: the load of the page, under the rules and under those before.
func TestReplay(t *testing.T) {
	const seeds, length = 3, time.Minute
	for seed := range uint64(seeds) {
		old, current := newReplay(seed, 4), newReplay(seed, 4)
		old.run(length, old.planBefore)
		current.run(length, current.planNow)
		t.Logf("seed %d, before: %v", seed, old)
		t.Logf("seed %d, now:    %v", seed, current)
		for _, part := range []float64{0.5, 0.9} {
			if wait, before := current.quantile(part), old.quantile(part); wait >= before {
				t.Errorf("seed %d: quantile %v of the wait is %v, before %v", seed, part, wait, before)
			}
		}
		if current.steps < old.steps || current.late > old.late {
			t.Errorf("seed %d: %d steps, %d late; before %d and %d", seed, current.steps, current.late, old.steps, old.late)
		}
		if current.usableLoads > 0 {
			t.Errorf("seed %d: %d loads of engines that could run waiting items", seed, current.usableLoads)
		}
	}
}

// TestReplayOfLostEngines guards against a model that starves after half of its engines were lost at once.
func TestReplayOfLostEngines(t *testing.T) {
	r := newReplay(1, 4)
	r.run(30*time.Second, r.planNow)
	steps, lost := r.steps, 0
	r.engines = slices.DeleteFunc(r.engines, func(engine *replayEngine) bool {
		if r.assigned[engine.id] != "a" || lost == 3 {
			return false
		}
		lost++
		r.waiting = append(r.waiting, engine.runs...)
		return true
	})
	r.waits = nil
	r.run(30*time.Second, r.planNow)
	counts := make(map[string]int)
	for _, engine := range r.engines {
		counts[r.assigned[engine.id]]++
	}
	for _, name := range r.names {
		if counts[name] < 4 {
			t.Errorf("%d engines for %s", counts[name], name)
		}
	}
	if r.steps-steps < 28 || r.late > 0 {
		t.Errorf("%d steps in 30 s, %d late: %v", r.steps-steps, r.late, r)
	}
}
