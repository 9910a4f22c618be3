// Package weights brings the engines of a zone to the newest weights of their pool.
package weights

import (
	"context"

	v1 "github.com/covelink/covelink/api/v1"
)

// Target is the weight version that a pool is to run. A higher version replaces a lower one; an equal one changes nothing.
// A pool's targets must come from one publisher at a time: zones cut off from each other can't tell that two publishers
// used one version for different weights.
type Target struct {
	Pool    string
	Weights v1.WeightVersion
}

// Publisher spreads targets to the coordinators of the pool's permitted zones.
type Publisher interface {
	// Publish returns nil once at least one coordinator has taken the target; the rest are told again until they have it.
	Publish(ctx context.Context, target Target) error
}
