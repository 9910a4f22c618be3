package batchrun

import (
	"time"

	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/forward"
	"github.com/covelink/covelink/internal/routing"
)

// Quota is the rate limit of cold engines, which can bear only part of their load. A grant is given at once or not at all: items without a grant wait
// in the runner's queue.
type Quota interface {
	// Cold reports whether a run at the engine needs a grant now.
	Cold(engine *fleet.Engine) bool
	// Free reports whether Take would give a grant.
	Free(engine *fleet.Engine, rank routing.Rank) bool
	// Take takes a grant for one run.
	Take(engine *fleet.Engine, rank routing.Rank) bool
}

// coldSendTimeout is how soon after its placement a run must be sent to a cold engine: the lifetime of a grant.
const coldSendTimeout = forward.GrantedSendTime

// highestRank precedes the rank of any request. It is used to select candidates before the item is known.
var highestRank = routing.Rank{Tenant: -1 << 30}

// hasColdCapacity reports whether an engine is warm or has a grant left for a run.
func (r *Runner) hasColdCapacity(engine *fleet.Engine) bool {
	return r.Quota == nil || !r.Quota.Cold(engine) || r.Quota.Free(engine, highestRank)
}

// isCold reports whether a run at the engine needs a grant.
func (r *Runner) isCold(engine *fleet.Engine) bool { return r.Quota != nil && r.Quota.Cold(engine) }

// takeGrant takes the grant for a run at the engine, if it needs one. sendWithin is the time limit for sending the run, zero for none.
func (r *Runner) takeGrant(engine *fleet.Engine, rank routing.Rank) (sendWithin time.Duration, ok bool) {
	if !r.isCold(engine) {
		return 0, true
	}
	return coldSendTimeout, r.Quota.Take(engine, rank)
}
