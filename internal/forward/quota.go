package forward

import (
	"context"
	"time"

	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/routing"
)

// GrantedSendTime is how long after it was granted a send to a cold engine may leave: a new connection between regions takes some 60 ms. What
// leaves later would arrive beside requests that were granted since.
const GrantedSendTime = 150 * time.Millisecond

// Quota grants sends to engines that bear only a part of their load. It is safe for concurrent use.
type Quota interface {
	// Cold reports whether a send to the engine needs a grant now.
	Cold(engine *fleet.Engine) bool
	// Acquire waits until one of the cold engines may be sent one request, at most until a moment of boottime. It returns nil if there is none by
	// then, or at once if it is known that there will be none. The request must be sent at once.
	Acquire(ctx context.Context, engines []*fleet.Engine, rank routing.Rank, until time.Time) *fleet.Engine
}

// warm returns those of the engines that may be sent requests without a grant. The argument is not changed.
func (j *job) warm(engines []*fleet.Engine) []*fleet.Engine {
	if j.Quota == nil {
		return engines
	}
	for i, engine := range engines {
		if j.Quota.Cold(engine) {
			return j.warmAfter(engines, i)
		}
	}
	return engines
}

// warmAfter is warm for engines of which the first cold one is known.
func (j *job) warmAfter(engines []*fleet.Engine, firstCold int) []*fleet.Engine {
	found := make([]*fleet.Engine, firstCold, len(engines))
	copy(found, engines)
	for _, engine := range engines[firstCold+1:] {
		if !j.Quota.Cold(engine) {
			found = append(found, engine)
		}
	}
	return found
}

// cold returns those of the engines that need a grant and that the route lets the request be sent to.
func (j *job) cold(engines []*fleet.Engine) []*fleet.Engine {
	var found []*fleet.Engine
	for _, engine := range engines {
		if j.Quota.Cold(engine) && j.allowed(engine) {
			found = append(found, engine)
		}
	}
	return found
}

// acquire returns the engine for the next attempt, warm ones before cold ones, or nil if none can be sent the request by a moment of boottime.
// grantedAt is when the send was granted; zero if it needs no grant.
func (j *job) acquire(ctx context.Context, permitted []*fleet.Engine, until time.Time) (engine *fleet.Engine, grantedAt time.Time) {
	warm := j.warm(permitted)
	if engine = j.picker.Acquire(warm, j.allowed); engine != nil || len(warm) == len(permitted) {
		return engine, time.Time{}
	}
	if len(warm) > 0 {
		// A warm engine that was full may have room sooner.
		until = earlier(until, boottime.Now().Add(busyPause))
	}
	granted := j.Quota.Acquire(ctx, j.cold(permitted), j.rank, until)
	if granted == nil {
		return nil, time.Time{}
	}
	grantedAt = boottime.Now()
	return j.picker.Acquire([]*fleet.Engine{granted}, j.allowed), grantedAt
}

// mayBecomeFree reports whether it is worth waiting for an engine where none was chosen: some are warm, and others are cold.
func (j *job) mayBecomeFree(permitted []*fleet.Engine, until time.Time) bool {
	warm := len(j.warm(permitted))
	return warm > 0 && warm < len(permitted) && boottime.Now().Before(until)
}

// reasonNotChosen returns why none of the permitted engines was chosen.
func (j *job) reasonNotChosen(permitted []*fleet.Engine) Reason {
	if len(j.warm(permitted)) < len(permitted) {
		return ReasonEnginesCold
	}
	return j.reasonNoEngine()
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
