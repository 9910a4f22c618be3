// Package pause waits for a time that a context may cut short.
package pause

import (
	"context"
	"time"
)

// For waits for the length, or until ctx ends.
func For(ctx context.Context, length time.Duration) { Unless(ctx, nil, length) }

// Unless waits for the length, until something has happened, or until ctx ends. It reports true unless the length is over. A nil channel
// stands for what never happens.
func Unless(ctx context.Context, happened <-chan struct{}, length time.Duration) bool {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return false
	case <-happened:
		return true
	case <-ctx.Done():
		return true
	}
}
