package forward

import (
	"context"
	"time"

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
