package batchrun

import (
	"time"

	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/forward"
	"github.com/covelink/covelink/internal/routing"
)

// Quota grants runs at engines that bear only a part of their load. Its grants are given at once or not at all: items wait in their queue.
type Quota interface {
	// Cold reports whether a run at the engine needs a grant now.
	Cold(engine *fleet.Engine) bool
	// Free reports whether Take would give a grant.
	Free(engine *fleet.Engine, rank routing.Rank) bool
	// Take takes a grant for one run.
	Take(engine *fleet.Engine, rank routing.Rank) bool
}

// coldStartWithin is how long after it was placed a run at a cold engine may be sent: the grant's life.
const coldStartWithin = forward.GrantedSendTime

// urgentMost is more urgent than any request: whether an engine is worth looking at does not depend on the item.
var urgentMost = routing.Rank{Tenant: -1 << 30}

// bears reports whether an engine may be given a run now, as far as its start is concerned.
func (r *Runner) bears(engine *fleet.Engine) bool {
	return r.Quota == nil || !r.Quota.Cold(engine) || r.Quota.Free(engine, urgentMost)
}

// isCold reports whether a run at the engine needs a grant.
func (r *Runner) isCold(engine *fleet.Engine) bool { return r.Quota != nil && r.Quota.Cold(engine) }

// granted takes the grant for a run at the engine, if it needs one. within is how soon the run must be sent then; zero sets no bound.
func (r *Runner) granted(engine *fleet.Engine, rank routing.Rank) (within time.Duration, ok bool) {
	if !r.isCold(engine) {
		return 0, true
	}
	return coldStartWithin, r.Quota.Take(engine, rank)
}
