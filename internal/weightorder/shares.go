package weightorder

import (
	"math"
	"slices"
	"time"
)

const (
	// baseTime is added to the submitted time of each model, so that shares are even without work. It is one slot in use.
	baseTime = DemandDecay
	// maxRaise is the largest factor by which the weight of a model rises because its oldest job is late. With more, one trainer that is late for a
	// reason of its own would make the others late.
	maxRaise = 1.5
	// lateAge is the age from which a job counts as late if the oldest jobs of other models are younger. Results are due after 7.5 s and given up
	// after 12 s; the raise is complete at 2*lateAge, when engines can still end the job.
	lateAge = 5 * time.Second
	// minGap is by how many engines two models must differ from their shares, in sum, before one gives an engine to the other. Such a move
	// never makes the receiver exceed its share by more than the donor does, so it is not undone.
	minGap = 2 - 1e-9
	// roundRoom is the room from which on an engine without a model takes the model that it is least behind in.
	roundRoom = 0.5
)

// modelShares returns the number of engines due to each model; fractional, at least one. No model gets more than its need while another has
// less than its own (weighted max-min fairness); engines beyond all needs are shared by weight.
func modelShares(s *snapshot) []float64 {
	engines := float64(len(s.engines))
	raises := modelRaises(s)
	weights, needs := modelWeights(s, raises), modelNeeds(s, raises)
	total, totalWeight := 0.0, 0.0
	for i := range needs {
		total += needs[i]
		totalWeight += weights[i]
	}
	shares := make([]float64, len(needs))
	if total <= engines {
		for i := range shares {
			shares[i] = needs[i] + (engines-total)*weights[i]/totalWeight
		}
		return shares
	}
	fill := func(level float64) (sum float64) {
		for i := range shares {
			shares[i] = math.Max(1, math.Min(needs[i], level*weights[i]))
			sum += shares[i]
		}
		return sum
	}
	// The least base weight bounds the level at which all needs are met.
	low, high := 0.0, engines*total/baseTime.Seconds()
	for range 60 {
		if middle := (low + high) / 2; fill(middle) > engines {
			high = middle
		} else {
			low = middle
		}
	}
	fill(low)
	return shares
}

// modelWeights returns the weight of each model: its submitted time, raised if its trainer is late. As long as the sums are incomplete, they
// count in part only, as the first step of a trainer would otherwise draw the engines of the others.
func modelWeights(s *snapshot, raises []float64) []float64 {
	mean := 0.0
	for i := range s.models {
		mean += s.models[i].demand.SubmittedTime.Seconds() / float64(len(s.models))
	}
	known := 1 - math.Exp(-s.observed.Seconds()/DemandDecay.Seconds())
	weights := make([]float64, len(s.models))
	for i := range s.models {
		submitted := known*s.models[i].demand.SubmittedTime.Seconds() + (1-known)*mean
		weights[i] = (submitted + baseTime.Seconds()) * raises[i]
	}
	return weights
}

// modelRaises returns the factor of each model for the lateness of its trainer.
func modelRaises(s *snapshot) []float64 {
	oldest := time.Duration(0)
	for i := range s.models {
		oldest += s.models[i].demand.OldestOpen
	}
	raises := make([]float64, len(s.models))
	for i := range s.models {
		age := s.models[i].demand.OldestOpen
		raises[i] = raise(age, (oldest-age)/time.Duration(max(len(s.models)-1, 1)))
	}
	return raises
}

// raise returns the factor for a model whose oldest job has the given age, where others is the mean age of the oldest jobs of the other models.
func raise(age, others time.Duration) float64 {
	late := float64(age-max(others, lateAge)) / float64(lateAge)
	return 1 + (maxRaise-1)*math.Min(1, math.Max(0, late))
}

// modelNeeds returns the number of engines whose slots the submitted items of each model occupy to targetOccupancy, raised if its trainer is late
// and has to catch up; fractional, at least one.
func modelNeeds(s *snapshot, raises []float64) []float64 {
	perEngine := targetOccupancy * s.slotsPerEngine() * DemandDecay.Seconds()
	needs := make([]float64, len(s.models))
	for i := range s.models {
		needs[i] = math.Max(1, s.models[i].demand.SubmittedTime.Seconds()*raises[i]/perEngine)
	}
	return needs
}

// division is the division of a service's engines among its models.
type division struct {
	*snapshot
	shares []float64
	counts []int
	// modelOf holds the model of each engine; -1 for none.
	modelOf []int
	changed []reassignment
	// donors holds the engines that each model may give away, the best last; nil before they are needed.
	donors [][]int
}

// divide assigns a model to each engine. An engine keeps its model while the shares allow it.
func divide(s *snapshot) *division {
	d := &division{
		snapshot: s,
		shares:   modelShares(s),
		counts:   make([]int, len(s.models)),
		modelOf:  make([]int, len(s.engines)),
		donors:   make([][]int, len(s.models)),
	}
	index := make(map[string]int, len(s.models))
	for i := range s.models {
		index[s.models[i].name] = i
	}
	var free []int
	for i := range s.engines {
		model, ok := index[s.engines[i].assigned]
		if !ok {
			model, ok = index[s.engines[i].loading]
		}
		if !ok {
			d.modelOf[i] = -1
			free = append(free, i)
			continue
		}
		d.modelOf[i] = model
		d.counts[model]++
		if s.engines[i].assigned == "" {
			d.changed = append(d.changed, reassignment{engine: i, from: -1, to: model})
		}
	}
	for _, engine := range free {
		d.assign(engine, d.modelFor(engine))
	}
	d.rebalance()
	d.exchangeSlow()
	return d
}

func (d *division) assign(engine, model int) {
	from := d.modelOf[engine]
	if from >= 0 {
		d.counts[from]--
	}
	d.modelOf[engine] = model
	d.counts[model]++
	d.changed = append(d.changed, reassignment{engine: engine, from: from, to: model})
}

// room returns how many engines a model lacks; negative if it has more than its share.
func (d *division) room(model int) float64 { return d.shares[model] - float64(d.counts[model]) }

// modelFor returns the model for an engine without one: of those that lack engines, the one that it is least behind in, so that a new
// coordinator finds the division of the one before; otherwise the one that lacks most.
func (d *division) modelFor(engine int) int {
	best, bestRoom, bestLag := -1, 0.0, int64(0)
	for model := range d.shares {
		room, lag := d.room(model), int64(math.MaxInt64)
		if room >= roundRoom || d.counts[model] == 0 {
			lag = d.engines[engine].lagOr(&d.models[model], math.MaxInt64-1)
		}
		if best < 0 || lag < bestLag || lag == bestLag && room > bestRoom {
			best, bestRoom, bestLag = model, room, lag
		}
	}
	return best
}

// rebalance moves engines from models with too many to models with too few.
func (d *division) rebalance() {
	exhausted := make([]bool, len(d.shares))
	for {
		donor, receiver := -1, 0
		for model := range d.shares {
			if !exhausted[model] && d.counts[model] > 1 && (donor < 0 || d.room(model) < d.room(donor)) {
				donor = model
			}
			if d.room(model) > d.room(receiver) {
				receiver = model
			}
		}
		starved := d.counts[receiver] == 0
		if donor < 0 || donor == receiver || !starved && d.room(receiver)-d.room(donor) < minGap {
			return
		}
		engine, ok := d.nextDonor(donor, starved)
		if !ok {
			exhausted[donor] = true
			continue
		}
		d.assign(engine, receiver)
	}
}

// nextDonor returns the engine that a model gives away: one that is idle or would have to load for the model anyway. If the receiver has no
// engine, any one that does not load.
func (d *division) nextDonor(model int, starved bool) (engine int, ok bool) {
	if d.donors[model] == nil {
		d.donors[model] = d.sortDonors(model)
	}
	candidates := d.donors[model]
	if len(candidates) == 0 {
		return 0, false
	}
	engine = candidates[len(candidates)-1]
	state := &d.engines[engine]
	if !starved && !state.idle() && state.lag(&d.models[model]) == 0 {
		return 0, false
	}
	d.donors[model] = candidates[:len(candidates)-1]
	return engine, true
}

// sortDonors returns the engines of a model that do not load, the best donor last: idle ones before others, outdated ones before others.
func (d *division) sortDonors(model int) []int {
	donors := make([]int, 0, d.counts[model])
	for engine, assigned := range d.modelOf {
		if assigned == model && d.engines[engine].loading == "" {
			donors = append(donors, engine)
		}
	}
	target := &d.models[model]
	rank := func(e *engineState) int {
		switch outdated := e.lag(target) > 0; {
		case e.idle() && outdated:
			return 0
		case e.idle():
			return 1
		case outdated:
			return 2
		}
		return 3
	}
	slices.SortFunc(donors, func(a, b int) int {
		x, y := &d.engines[a], &d.engines[b]
		if difference := rank(y) - rank(x); difference != 0 {
			return difference
		}
		return y.byRunsEnd(x)
	})
	return donors
}
