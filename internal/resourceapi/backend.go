// Package resourceapi serves the resource API by which operators write desired state and watch status.
package resourceapi

import (
	"context"

	v1 "github.com/covelink/covelink/api/v1"
)

// WatchEventType says what happened to a resource.
type WatchEventType string

// The watch event types.
const (
	WatchAdded    WatchEventType = "ADDED"
	WatchModified WatchEventType = "MODIFIED"
	WatchDeleted  WatchEventType = "DELETED"
)

// WatchEvent is one change of a resource or of its status.
type WatchEvent struct {
	Type     WatchEventType
	Object   v1.Object
	Revision uint64
}

// Backend keeps resources. Objects returned have their status filled and may be changed by the caller. Every error is a *v1.Error:
// conflict for a resourceVersion that is not the current one or a name that exists, not_found, unavailable with outcome
// not_run when the store refused or was not asked, unavailable with outcome unknown when a write's fate could not be read back.
type Backend interface {
	// List returns the resources of a kind, sorted by name, and the revision they are from.
	List(ctx context.Context, kind v1.Kind) ([]v1.Object, uint64, error)
	Get(ctx context.Context, kind v1.Kind, name string) (v1.Object, error)
	// Stored reports whether the store holds a resource, also one that List and Get do not show yet.
	Stored(ctx context.Context, kind v1.Kind, name string) (bool, error)
	// Create stores a new resource and returns it as stored.
	Create(ctx context.Context, object v1.Object) (v1.Object, error)
	// Update stores a changed spec if the object's resourceVersion is the current one.
	Update(ctx context.Context, object v1.Object) (v1.Object, error)
	// Delete removes a resource; an empty resourceVersion matches any.
	Delete(ctx context.Context, kind v1.Kind, name, resourceVersion string) error
	// Watch sends every change after the revision until ctx ends, then closes the channel. code gone: relist.
	Watch(ctx context.Context, kind v1.Kind, after uint64) (<-chan WatchEvent, error)
}
