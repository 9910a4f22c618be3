// Package scheduler decides where a request runs and in which order requests wait. Everything here is pure: no
// clock, no I/O, no goroutine; the present time and random numbers are arguments.
//
// A placement passes through Filter, Score and Reserve over a Snapshot. Filters are hard rules and are counted, so that
// a decision can be explained; scores only choose among the engines that every filter has let through.
package scheduler

import (
	"math"
	"slices"
	"time"

	v1 "github.com/covelink/covelink/api/v1"

	"github.com/covelink/covelink/coord/rendezvous"
)

// DefaultMaxConcurrent is the bound on an engine's requests in flight for a pool that states none.
const DefaultMaxConcurrent = 16

// The parts of a score. An engine's score is their sum; the highest wins.
const (
	weightFreshness = 4.0
	weightAffinity  = 2.0
	weightOccupancy = 3.0
	weightDistance  = 0.5
	weightLast      = 8.0
	// weightCrowding counts interactive requests in flight against the slots that are kept free for them: beyond those, one
	// more waits for a rollout to end, which takes far longer than the way to another zone of the region.
	weightCrowding = 2.0
	// boundedLoadFactor is how far above its fair share an engine's load may be before prompts that prefer it go elsewhere.
	boundedLoadFactor = 1.25
	// loadHalfLife is the age at which a reported load counts half.
	loadHalfLife = 2 * time.Second
	// refuseRetryAfter is the advice to a request that no engine can take, until the view changes.
	refuseRetryAfter = time.Second
)

// Request is what a placement needs to know of a request.
type Request struct {
	Pool          string
	Interactive   bool
	MinVersion    int64
	PreferVersion int64
	// PrefixKey groups prompts that share a prefix; 0 means none.
	PrefixKey uint64
	// TieKey spreads requests over engines of the same score.
	TieKey uint64
	// Avoid names engines that must not be chosen.
	Avoid []string
	// Last names an engine that just failed this request: it is chosen only when there is no other.
	Last string
}

// Kind is the kind of a decision.
type Kind int

// The decisions.
const (
	// Refuse: no engine can take the request until the view changes.
	Refuse Kind = iota
	// Wait: an engine could take the request later.
	Wait
	// Placed: Engine is to run the request.
	Placed
)

// Filter is one hard rule, in the order in which the rules are applied.
type Filter int

// The filters.
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

// passing reports whether what the filter removes may come back without a new configuration.
func (f Filter) passing() bool { return f >= FilterIncarnation }

// Explanation tells how many engines each filter removed.
type Explanation struct {
	Engines int
	Removed [filterCount]int
}

// Decision is the result of a placement.
type Decision struct {
	Kind Kind
	// Engine is the index into the snapshot's engines, or -1.
	Engine int
	// Reason is the last filter that removed an engine of the pool; it explains Wait and Refuse.
	Reason Filter
	// RetryAfter is the advice that goes with Refuse.
	RetryAfter  time.Duration
	Explanation Explanation
}

// Placer makes decisions. It keeps its buffers, so that a decision allocates nothing. It is not safe for concurrent use.
type Placer struct {
	candidates []*row
	members    []rendezvous.Member
}

// Place decides where the request runs and counts it as in flight there when it is placed.
func (p *Placer) Place(now time.Time, snapshot *Snapshot, request *Request) Decision {
	decision := p.Evaluate(now, snapshot, request)
	if decision.Kind == Placed {
		snapshot.States[decision.Engine].Reserve(now, request.Interactive)
	}
	return decision
}

// Evaluate decides as Place does and reserves nothing.
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

// SlotLimit returns how many requests may be in flight on an engine when one more of the class is to start.
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
	if decision.Reason.passing() {
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
		if request.Last != "" && candidate.name == request.Last {
			score -= weightLast
		}
		if best == nil || score > bestScore || (score == bestScore && wins(request.TieKey, candidate, best)) {
			best, bestScore = candidate, score
		}
	}
	return best.index
}

// wins breaks a tie, so that requests spread over engines of the same score.
func wins(key uint64, challenger, best *row) bool {
	return rendezvous.Mix(key, challenger.state.Hash) > rendezvous.Mix(key, best.state.Hash)
}

// preferred returns the engine that the prompt's prefix prefers, or nil.
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

// freshness is 1 at the preferred version or above and falls with each version below it.
func freshness(version, preferred int64) float64 {
	if preferred <= 0 || version >= preferred {
		return 1
	}
	return 1 / (1 + float64(preferred-version))
}

// occupancy is the share of the engine's slots in use: the greater of the node's own count, which is exact, and the
// load that the engine reported, which covers other nodes but is old.
func (s *EngineState) occupancy(now time.Time, maxConcurrent int) float64 {
	used := float64(s.InFlight)
	if s.ReportedLoad > s.InFlight {
		age := now.Sub(s.ReportedAt)
		decayed := float64(s.ReportedLoad) * math.Exp2(-float64(max(age, 0))/float64(loadHalfLife))
		used = max(used, decayed)
	}
	return used / float64(maxConcurrent)
}
