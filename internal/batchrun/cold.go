package batchrun

import (
	"time"

	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/forward"
	"github.com/covelink/covelink/internal/routing"
)

// Quota limits the rate of runs at cold engines. Its methods do not block: an item that gets no grant waits in the runner's queue.
type Quota interface {
	// Cold reports whether a run at the engine needs a grant now.
	Cold(engine *fleet.Engine) bool
	// Available reports whether TryAcquire would give a grant.
	Available(engine *fleet.Engine, rank routing.Rank) bool
	// TryAcquire acquires a grant for one run.
	TryAcquire(engine *fleet.Engine, rank routing.Rank) bool
}

// coldSendTimeout is how soon after placement a run must be sent to a cold engine. It equals the lifetime of a grant.
const coldSendTimeout = forward.GrantedSendTime

// highestRank precedes the rank of any request. It is used to select candidates before the item is known.
var highestRank = routing.Rank{Tenant: -1 << 30}

// hasColdCapacity reports whether an engine is warm or has a grant left for a run.
func (r *Runner) hasColdCapacity(engine *fleet.Engine) bool {
	return r.Quota == nil || !r.Quota.Cold(engine) || r.Quota.Available(engine, highestRank)
}

// isCold reports whether a run at the engine needs a grant.
func (r *Runner) isCold(engine *fleet.Engine) bool { return r.Quota != nil && r.Quota.Cold(engine) }

// takeGrant takes the grant for a run at the engine, if it needs one. sendWithin is the time limit for sending the run, zero for none.
func (r *Runner) takeGrant(engine *fleet.Engine, rank routing.Rank) (sendWithin time.Duration, ok bool) {
	if !r.isCold(engine) {
		return 0, true
	}
	return coldSendTimeout, r.Quota.TryAcquire(engine, rank)
}
