package storerelay

import (
	"sync"

	"github.com/covelink/covelink/internal/metastore"
	"github.com/covelink/covelink/internal/sharedmap"
)

// subscription is a followed kind.
type subscription struct {
	onChange func(metastore.Snapshot)
	// ready is closed once the first snapshot is known.
	ready chan struct{}

	mu       sync.Mutex
	snapshot metastore.Snapshot
}

func newSubscription(changed func(metastore.Snapshot)) *subscription {
	return &subscription{onChange: changed, ready: make(chan struct{})}
}

// update publishes a snapshot, unless it is older than the current one.
func (s *subscription) update(snapshot metastore.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if snapshot.Revision < s.snapshot.Revision {
		return
	}
	if !s.known() {
		close(s.ready)
	}
	s.snapshot = snapshot
	s.onChange(snapshot)
}

// known reports whether there is a snapshot.
func (s *subscription) known() bool {
	select {
	case <-s.ready:
		return true
	default:
		return false
	}
}

// apply applies a change received from a hub.
func (s *subscription) apply(change Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if change.Revision < s.snapshot.Revision || !change.Whole && !s.known() {
		return
	}
	objects := s.snapshot.Objects
	if change.Whole {
		objects = sharedmap.Map[metastore.Object]{}
	}
	edit := objects.Edit()
	for _, object := range change.Objects {
		edit.Set(object.Name, object)
	}
	for _, name := range change.Removed {
		edit.Delete(name)
	}
	if !s.known() {
		close(s.ready)
	}
	s.snapshot = metastore.Snapshot{Objects: edit.Map(), Revision: change.Revision}
	s.onChange(s.snapshot)
}

// advanceRevision raises the revision of an unchanged snapshot, so that a later watch does not need history that the store has compacted.
func (s *subscription) advanceRevision(revision metastore.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.known() {
		return
	}
	s.snapshot.Revision = max(s.snapshot.Revision, revision)
}

func (s *subscription) current() metastore.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshot
}
