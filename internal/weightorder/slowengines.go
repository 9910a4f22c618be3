package weightorder

import (
	"slices"
	"time"
)

const (
	// slowFactor is by how much an engine's event interval must exceed the median for the engine to count as slow hardware. Engines of one kind differ
	// by less.
	slowFactor = 1.5
	// minSlowExcess is by how many engines a model must have more slow ones than its part before it exchanges one. Less would move engines to and fro.
	minSlowExcess = 1 - 1e-9
)

// slowEngines marks the engines that count as slow. None does while fewer than half of the intervals are known.
func (s *snapshot) slowEngines() []bool {
	var known []time.Duration
	for i := range s.engines {
		if interval := s.engines[i].eventInterval; interval > 0 {
			known = append(known, interval)
		}
	}
	slow := make([]bool, len(s.engines))
	if 2*len(known) < len(s.engines) || len(known) == 0 {
		return slow
	}
	slices.Sort(known)
	median := known[len(known)/2]
	for i := range s.engines {
		slow[i] = float64(s.engines[i].eventInterval) > slowFactor*float64(median)
	}
	return slow
}

// exchangeSlow divides the slow engines among the models in proportion to their engines: the longest texts of a model whose engines are all slow would
// end its steps. A model with too many gives one to the model that lacks most of them, for one that is not slow. Both engines are idle or outdated.
func (d *division) exchangeSlow() {
	slow := d.slowEngines()
	total, counts := 0, make([]int, len(d.counts))
	for engine, model := range d.modelOf {
		if slow[engine] {
			total++
			counts[model]++
		}
	}
	if total == 0 {
		return
	}
	excess := func(model int) float64 {
		return float64(counts[model]) - float64(total)*float64(d.counts[model])/float64(len(d.engines))
	}
	for range d.shares {
		most, least := 0, 0
		for model := range d.shares {
			if excess(model) > excess(most) {
				most = model
			}
			if excess(model) < excess(least) {
				least = model
			}
		}
		if excess(most) < minSlowExcess || most == least {
			return
		}
		given, found := d.exchangeable(most, slow, true)
		taken, also := d.exchangeable(least, slow, false)
		if !found || !also {
			return
		}
		d.assign(given, least)
		d.assign(taken, most)
		counts[most]--
		counts[least]++
	}
}

// exchangeable returns an engine of a model, slow or not, that a model may give away: one that is idle or would have to load for the model anyway.
func (d *division) exchangeable(model int, slow []bool, wanted bool) (engine int, ok bool) {
	best, found := 0, false
	for engine, assigned := range d.modelOf {
		state := &d.engines[engine]
		if assigned != model || slow[engine] != wanted || state.loading != "" || !state.idle() && state.lag(&d.models[model]) == 0 {
			continue
		}
		if !found || state.byRunsEnd(&d.engines[best]) < 0 {
			best, found = engine, true
		}
	}
	return best, found
}
