package forward

import (
	"context"
	"time"

	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/routing"
)

// GrantedSendTime is how long after its grant a send to a cold engine may still leave. A new connection between regions takes some 60 ms. A
// later send would reach the engine together with requests that were granted since, and exceed its cold rate.
const GrantedSendTime = 150 * time.Millisecond

// Quota grants sends to cold engines, which have just started and serve only a part of their usual rate. It is safe for concurrent use.
type Quota interface {
	// Cold reports whether a send to the engine needs a grant now.
	Cold(engine *fleet.Engine) bool
	// Acquire waits for a grant to send one request to one of the cold engines, at most until a moment of boottime. It returns nil if there is no
	// grant by then, or at once if it is known that there will be none. The request must be sent within GrantedSendTime.
	Acquire(ctx context.Context, engines []*fleet.Engine, rank routing.Rank, until time.Time) *fleet.Engine
}
