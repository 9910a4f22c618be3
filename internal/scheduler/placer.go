// Package scheduler decides where a request runs and in which order requests wait. It is pure: without clock, I/O or goroutines; the
// current time and random numbers are arguments.
//
// A placement filters, scores and reserves over a Snapshot. Filters are hard rules and are counted to explain the decision; scores only
// rank the engines that pass all filters.
package scheduler

import (
	"math"
	"slices"
	"time"

	v1 "github.com/covelink/covelink/api/v1"

	"github.com/covelink/covelink/coord/rendezvous"
)

// DefaultMaxConcurrent is the bound on an engine's requests in flight for pools that configure none.
const DefaultMaxConcurrent = 16

// The weights of an engine's score. The highest score wins.
const (
	weightFreshness  = 4.0
	weightAffinity   = 2.0
	weightOccupancy  = 3.0
	weightDistance   = 0.5
	weightLastFailed = 8.0
	// weightCrowding applies to interactive requests in flight relative to the reserved slots: beyond those, a request waits for a rollout
	// to end, which takes longer than a round trip to another zone of the region.
	weightCrowding = 2.0
	// boundedLoadFactor is the load relative to the fair share from which on prefix affinity selects another engine.
	boundedLoadFactor = 1.25
	// loadHalfLife is the age at which a reported load counts half.
	loadHalfLife = 2 * time.Second
	// refuseRetryAfter is the Retry-After of a request that no engine can take until the view changes.
	refuseRetryAfter = time.Second
)

// Request is the input of a placement.
type Request struct {
	Pool          string
	Interactive   bool
	MinVersion    int64
	PreferVersion int64
	// PrefixKey identifies prompts with a common prefix; 0 means none.
	PrefixKey uint64
	// TieKey spreads requests over engines with equal scores.
	TieKey uint64
	// Avoid names engines that must not be selected.
	Avoid []string
	// LastFailed names the engine that just failed this request. It is selected only if there is no other.
	LastFailed string
}

// Kind is the kind of a decision.
type Kind int

// Kind values.
const (
	// Refuse means that no engine can take the request until the view changes.
	Refuse Kind = iota
	// Wait means that an engine may take the request later.
	Wait
	// Placed means that Engine is to run the request.
	Placed
)

// Filter is a hard rule. Filters apply in the order of their values.
type Filter int

// Filter values.
const (
	FilterPool Filter = iota
	FilterZone
	FilterCordoned
	FilterLeaving
	FilterAvoided
	FilterIncarnation
	FilterVersion
	FilterBreaker
	FilterFull
	filterCount
)

var filterNames = [filterCount]string{
	"pool", "zone", "cordoned", "leaving", "avoided", "incarnation", "version", "breaker", "full",
}

// String returns the filter's name in lower case.
func (f Filter) String() string {
	if f < 0 || f >= filterCount {
		return "none"
	}
	return filterNames[f]
}

// transient reports whether engines removed by the filter may become available without a new configuration.
func (f Filter) transient() bool { return f >= FilterIncarnation }

// Explanation counts the engines removed by each filter.
type Explanation struct {
	Engines int
	Removed [filterCount]int
}

// Decision is the result of a placement.
type Decision struct {
	Kind Kind
	// Engine is the index into the snapshot's engines, or -1.
	Engine int
	// Reason is the last filter that removed an engine of the pool, for Wait and Refuse.
	Reason Filter
	// RetryAfter is set for Refuse.
	RetryAfter  time.Duration
	Explanation Explanation
}

// Placer makes decisions. It reuses its buffers, so that a decision does not allocate. It is not safe for concurrent use.
type Placer struct {
	candidates []*row
	members    []rendezvous.Member
}

// Place decides where the request runs and reserves a slot there.
func (p *Placer) Place(now time.Time, snapshot *Snapshot, request *Request) Decision {
	decision := p.Evaluate(now, snapshot, request)
	if decision.Kind == Placed {
		snapshot.States[decision.Engine].Reserve(now, request.Interactive)
	}
	return decision
}

// Evaluate decides like Place without reserving.
func (p *Placer) Evaluate(now time.Time, snapshot *Snapshot, request *Request) Decision {
	decision := Decision{Engine: -1, Reason: FilterPool}
	pool, ok := snapshot.View.Pools[request.Pool]
	if !ok {
		return refuse(decision)
	}
	limit := SlotLimit(pool.Spec.MaxConcurrent, pool.Spec.InteractiveReserve, request.Interactive)
	p.filter(now, snapshot, request, limit, &decision.Explanation)
	if len(p.candidates) == 0 {
		return undecided(decision)
	}
	decision.Kind = Placed
	decision.Engine = p.best(now, request, &pool.Spec)
	return decision
}

// SlotLimit returns the maximum number of requests in flight on an engine for one more request of the class to start.
func SlotLimit(maxConcurrent, interactiveReserve int, interactive bool) int {
	limit := maxConcurrent
	if limit <= 0 {
		limit = DefaultMaxConcurrent
	}
	if interactive {
		return limit
	}
	return limit - max(interactiveReserve, 0)
}

func (p *Placer) filter(now time.Time, snapshot *Snapshot, request *Request, limit int, explanation *Explanation) {
	p.candidates = p.candidates[:0]
	rows := snapshot.pools[request.Pool]
	explanation.Engines = len(snapshot.View.Engines)
	explanation.Removed[FilterPool] = explanation.Engines - len(rows)
	for index := range rows {
		removed := check(now, &rows[index], request, limit)
		if removed != filterCount {
			explanation.Removed[removed]++
			continue
		}
		p.candidates = append(p.candidates, &rows[index])
	}
}

// check returns the first filter that removes the engine, or filterCount.
func check(now time.Time, row *row, request *Request, limit int) Filter {
	state := row.state
	switch {
	case row.removed < FilterAvoided:
		return row.removed
	case now.Before(state.DrainingUntil):
		return FilterLeaving
	case len(request.Avoid) > 0 && slices.Contains(request.Avoid, row.name):
		return FilterAvoided
	case row.removed == FilterIncarnation || state.Unusable:
		return FilterIncarnation
	case state.Version < request.MinVersion:
		return FilterVersion
	case now.Before(state.HoldUntil) || !state.Breaker.Ready(now):
		return FilterBreaker
	case !state.hasRoom(now, request.Interactive, limit):
		return FilterFull
	}
	return filterCount
}

func undecided(decision Decision) Decision {
	decision.Reason = FilterPool
	for filter := filterCount - 1; filter > FilterPool; filter-- {
		if decision.Explanation.Removed[filter] > 0 {
			decision.Reason = filter
			break
		}
	}
	if decision.Reason.transient() {
		decision.Kind = Wait
		return decision
	}
	return refuse(decision)
}

func refuse(decision Decision) Decision {
	decision.Kind = Refuse
	decision.RetryAfter = refuseRetryAfter
	return decision
}

func (p *Placer) best(now time.Time, request *Request, spec *v1.PoolSpec) int {
	maxConcurrent := spec.MaxConcurrent
	if maxConcurrent <= 0 {
		maxConcurrent = DefaultMaxConcurrent
	}
	preferred := p.preferred(request)
	var best *row
	var bestScore float64
	for _, candidate := range p.candidates {
		score := score(now, candidate.state, request, maxConcurrent)
		if request.Interactive {
			score -= weightCrowding * float64(candidate.state.InFlightInteractive) / float64(max(spec.InteractiveReserve, 1))
		}
		if candidate == preferred {
			score += weightAffinity
		}
		if request.LastFailed != "" && candidate.name == request.LastFailed {
			score -= weightLastFailed
		}
		if best == nil || score > bestScore || (score == bestScore && winsTie(request.TieKey, candidate, best)) {
			best, bestScore = candidate, score
		}
	}
	return best.index
}

// winsTie breaks ties, which spreads requests over engines with equal scores.
func winsTie(key uint64, challenger, best *row) bool {
	return rendezvous.Mix(key, challenger.state.Hash) > rendezvous.Mix(key, best.state.Hash)
}

// preferred returns the candidate with affinity to the prompt's prefix, or nil.
func (p *Placer) preferred(request *Request) *row {
	if request.PrefixKey == 0 {
		return nil
	}
	p.members = p.members[:0]
	for _, candidate := range p.candidates {
		p.members = append(p.members, rendezvous.Member{ID: candidate.state.Hash, Load: candidate.state.InFlight})
	}
	return p.candidates[rendezvous.Pick(request.PrefixKey, p.members, boundedLoadFactor)]
}

func score(now time.Time, state *EngineState, request *Request, maxConcurrent int) float64 {
	total := weightFreshness * freshness(state.Version, request.PreferVersion)
	total -= weightOccupancy * state.occupancy(now, maxConcurrent)
	total -= weightDistance * float64(state.Distance)
	return total
}

// freshness is 1 from the preferred version on and falls with each version below it.
func freshness(version, preferred int64) float64 {
	if preferred <= 0 || version >= preferred {
		return 1
	}
	return 1 / (1 + float64(preferred-version))
}

// occupancy is the share of the engine's slots in use: the greater of this node's exact count and the load that the engine reported, which
// includes other nodes and is decayed by its age.
func (s *EngineState) occupancy(now time.Time, maxConcurrent int) float64 {
	used := float64(s.InFlight)
	if s.ReportedLoad > s.InFlight {
		age := now.Sub(s.ReportedAt)
		decayed := float64(s.ReportedLoad) * math.Exp2(-float64(max(age, 0))/float64(loadHalfLife))
		used = max(used, decayed)
	}
	return used / float64(maxConcurrent)
}
