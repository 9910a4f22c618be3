package batchrun

import (
	"time"

	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/forward"
	"github.com/covelink/covelink/internal/routing"
)

// Quota is the rate limit of engines that have just started and bear only a part of their load. A grant is given at once or not at all: items that
// get none wait in the runner's queue.
type Quota interface {
	// Cold reports whether a run at the engine needs a grant now.
	Cold(engine *fleet.Engine) bool
	// Free reports whether Take would give a grant.
	Free(engine *fleet.Engine, rank routing.Rank) bool
	// Take takes a grant for one run.
	Take(engine *fleet.Engine, rank routing.Rank) bool
}

// coldStartWithin is how long after its placement a run may be sent to a cold engine: as long as the grant is valid.
const coldStartWithin = forward.GrantedSendTime

// highestRank is more urgent than any request. Whether an engine is a candidate at all is decided before an item is at hand.
var highestRank = routing.Rank{Tenant: -1 << 30}

// bears reports whether an engine is warm, or has a grant left for a run.
func (r *Runner) bears(engine *fleet.Engine) bool {
	return r.Quota == nil || !r.Quota.Cold(engine) || r.Quota.Free(engine, highestRank)
}

// isCold reports whether a run at the engine needs a grant.
func (r *Runner) isCold(engine *fleet.Engine) bool { return r.Quota != nil && r.Quota.Cold(engine) }

// granted takes the grant for a run at the engine, if it needs one. within is how soon the run must then be sent; zero for no bound.
func (r *Runner) granted(engine *fleet.Engine, rank routing.Rank) (within time.Duration, ok bool) {
	if !r.isCold(engine) {
		return 0, true
	}
	return coldStartWithin, r.Quota.Take(engine, rank)
}
