// Package metastore is the linearizable object store that lasting state lives in, as its users see it: objects by kind and
// name, conditional writes, and watches. The store itself is the platform's; package platform speaks to it.
package metastore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// Revision counts the changes of the store; an object carries that of its last change. Zero means none.
type Revision int64

// Object is one object of a kind.
type Object struct {
	Name       string
	Revision   Revision
	Finalizers []string
	Deleting   bool
	Spec       json.RawMessage
	Status     json.RawMessage
}

// Page is a part of a list, in the order of names.
type Page struct {
	Objects []Object
	// More is true if the list goes on after the last name.
	More bool
	// Revision is the store's revision that the page shows.
	Revision Revision
}

// ListOptions select a page.
type ListOptions struct {
	// After is the name that the page starts behind.
	After string
	// Stale allows a page that is seconds old, which is cheaper.
	Stale bool
}

// Event is a change of an object.
type Event struct {
	Object Object
	// Gone is true if the object was removed.
	Gone bool
}

// Events are changes up to a revision.
type Events struct {
	Events   []Event
	Revision Revision
}

// Client calls the store. Reads are linearizable unless stale ones are asked for. Every method returns one of the errors of
// this package, or that of a context.
type Client interface {
	List(ctx context.Context, kind string, options ListOptions) (Page, error)
	// Get returns ErrNotFound if there is no such object.
	Get(ctx context.Context, kind, name string) (Object, error)
	// Create returns a *ConflictError if the name is taken.
	Create(ctx context.Context, kind string, object Object) (Object, error)
	// Replace writes the spec and the finalizers. If the object bears a revision that is not the stored one, it returns a
	// *ConflictError.
	Replace(ctx context.Context, kind string, object Object) (Object, error)
	// ReplaceStatus writes the status, on the condition of Replace.
	ReplaceStatus(ctx context.Context, kind string, object Object) (Object, error)
	// Delete removes an object; zero as revision sets no condition.
	Delete(ctx context.Context, kind, name string, revision Revision) error
	// Watch returns the changes after a revision as soon as there is one, or none after the wait. ErrCompacted if the
	// history since the revision is gone.
	Watch(ctx context.Context, kind string, after Revision, wait time.Duration) (Events, error)
}

var (
	// ErrNotFound reports that there is no such object.
	ErrNotFound = errors.New("metastore: not found")
	// ErrCompacted reports that the history since a revision is gone; list again.
	ErrCompacted = errors.New("metastore: history gone")
	// ErrNotDone reports a call that the store refused, or that never reached it: nothing was done.
	ErrNotDone = errors.New("metastore: not done")
	// ErrUnknown reports a call without an answer: it may have been done, or may still be done if its condition holds.
	ErrUnknown = errors.New("metastore: outcome unknown")
	// ErrInvalid reports a call that the store will never take.
	ErrInvalid = errors.New("metastore: invalid")
)

// ConflictError reports a write whose condition did not hold.
type ConflictError struct {
	// Current is the object as it is.
	Current Object
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("metastore: %s is at revision %d", e.Current.Name, e.Current.Revision)
}
