// Package pause waits for a time that a context may cut short.
package pause

import (
	"context"
	"time"
)

// For waits for the length, or until ctx ends.
func For(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
