package coldstart

import (
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/routing"
)

// LocalQuota grants sends to items that the coordinator places itself. It never waits.
type LocalQuota struct {
	Tracker *Tracker
	Limiter *Limiter
}

// Cold reports whether a request to the engine needs a grant now.
func (q LocalQuota) Cold(engine *fleet.Engine) bool { return q.Tracker.Cold(engine) }

// Available reports whether TryAcquire would grant a send now.
func (q LocalQuota) Available(engine *fleet.Engine, rank routing.Rank) bool {
	return q.Limiter.Available(engine.Service, engine.ID, rank)
}

// TryAcquire acquires a grant for one request. It returns false if none is available now or a waiting Request of at least the same urgency competes
// for it.
func (q LocalQuota) TryAcquire(engine *fleet.Engine, rank routing.Rank) bool {
	return q.Limiter.TryAcquire(engine.Service, engine.ID, rank)
}
