package resourceapi

import (
	"context"
	"strconv"
	"time"

	v1 "github.com/covelink/covelink/api/v1"
)

const (
	// settleTimeout bounds the wait for the backend's reads to show a write.
	settleTimeout = 2 * time.Second
	// settleInterval is the time between two such reads.
	settleInterval = 10 * time.Millisecond
)

// settle waits until the backend's reads show a stored write. A backend may write to the store and read from what its
// node holds, which follows a little later; without the wait, the next request of the same operator would be judged by
// resources from before this one. The write stands whether or not the reads show it in time.
func (a *API) settle(ctx context.Context, shown func(context.Context) bool) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	for !shown(ctx) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(settleInterval):
		}
	}
}

// settleWrite waits until reads show the resource at the version or a later one.
func (a *API) settleWrite(ctx context.Context, kind v1.Kind, name, version string) {
	a.settle(ctx, func(ctx context.Context) bool {
		object, err := a.backend.Get(ctx, kind, name)
		return err == nil && !isOlder(object.Meta().ResourceVersion, version)
	})
}

// settleDelete waits until reads no longer show the resource at the version that was deleted.
func (a *API) settleDelete(ctx context.Context, kind v1.Kind, name, version string) {
	a.settle(ctx, func(ctx context.Context) bool {
		object, err := a.backend.Get(ctx, kind, name)
		if err != nil {
			return isNotFound(err)
		}
		return object.Meta().ResourceVersion != version
	})
}

// isOlder reports whether version a is before b. A version that is not a number is never older.
func isOlder(a, b string) bool {
	left, leftErr := strconv.ParseUint(a, 10, 64)
	right, rightErr := strconv.ParseUint(b, 10, 64)
	return leftErr == nil && rightErr == nil && left < right
}
