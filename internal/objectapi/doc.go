// Package objectapi is the client of the platform's object API: a store of versioned resources under one
// revision that grows with every write, with conditional writes and watches.
//
// The client never takes a write for done or undone without proof, and never goes back to an older revision
// than one it has seen.
package objectapi

import (
	"errors"
	"strconv"

	v1 "github.com/covelink/covelink/api/v1"
)

// The outcomes of a call other than success.
var (
	// ErrConflict reports a resourceVersion that is not the current one, or a name that exists. Nothing was written.
	ErrConflict = errors.New("objectapi: conflict")
	// ErrNotFound reports that there is no such object.
	ErrNotFound = errors.New("objectapi: not found")
	// ErrGone reports that events after the revision have been compacted away: list again.
	ErrGone = errors.New("objectapi: revision compacted")
	// ErrUnavailable reports that the store did not execute the request.
	ErrUnavailable = errors.New("objectapi: store unavailable")
	// ErrUnknown reports that the store may have executed the request.
	ErrUnknown = errors.New("objectapi: outcome unknown")
	// ErrInvalid reports a request that the store refuses for its content.
	ErrInvalid = errors.New("objectapi: invalid request")
	// ErrStale reports an answer of a lower revision than one already seen.
	ErrStale = errors.New("objectapi: stale answer")
)

// The paths of the object API. One object stands under PathObjects/{kind}/{name}.
const (
	PathObjects = "/objects"
	// QueryWatch and QueryAfter ask a list for the events after a revision instead.
	QueryWatch = "watch"
	QueryAfter = "after"
	// QueryResourceVersion makes a delete conditional.
	QueryResourceVersion = "resourceVersion"
)

// EventType says what happened to an object.
type EventType string

// The event types. A bookmark carries a revision only: every event up to it has been sent.
const (
	EventAdded    EventType = "ADDED"
	EventModified EventType = "MODIFIED"
	EventDeleted  EventType = "DELETED"
	EventBookmark EventType = "BOOKMARK"
)

// Event is one line of a watch.
type Event struct {
	Type     EventType    `json:"type"`
	Revision uint64       `json:"revision"`
	Object   v1.RawObject `json:"object,omitzero"`
}

// List is every object of the store as of Revision.
type List struct {
	Revision uint64         `json:"revision"`
	Items    []v1.RawObject `json:"items"`
}

// ParseRevision returns the revision that a resourceVersion states, or 0 for none.
func ParseRevision(resourceVersion string) uint64 {
	revision, err := strconv.ParseUint(resourceVersion, 10, 64)
	if err != nil {
		return 0
	}
	return revision
}

// FormatRevision returns the resourceVersion that states a revision.
func FormatRevision(revision uint64) string { return strconv.FormatUint(revision, 10) }
