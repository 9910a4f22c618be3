package forward

import (
	"context"
	"time"

	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/routing"
)

// GrantedSendTime is how long after its grant a send to a cold engine may still leave. A later one would add to requests granted since, and
// exceed the engine's cold rate. A new connection between regions takes some 60 ms.
const GrantedSendTime = 150 * time.Millisecond

// Quota grants sends to cold engines, which have just started and serve a reduced rate. It is safe for concurrent use.
type Quota interface {
	// Cold reports whether a send to the engine currently needs a grant.
	Cold(engine *fleet.Engine) bool
	// Acquire waits until a boottime for a grant to send one request to one of the cold engines. It returns nil if none arrives, or at once if
	// none can. The request must be sent within GrantedSendTime.
	Acquire(ctx context.Context, engines []*fleet.Engine, rank routing.Rank, until time.Time) *fleet.Engine
}
