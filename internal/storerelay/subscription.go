package storerelay

import (
	"sync"

	"github.com/covelink/covelink/internal/metastore"
	"github.com/covelink/covelink/internal/sharedmap"
)

// subscription is a kind that is followed.
type subscription struct {
	changed func(metastore.Snapshot)
	// listed is closed once the kind is known.
	listed chan struct{}

	mu       sync.Mutex
	snapshot metastore.Snapshot
}

func newSubscription(changed func(metastore.Snapshot)) *subscription {
	return &subscription{changed: changed, listed: make(chan struct{})}
}

// take hands on a snapshot, unless it is older than the last one.
func (s *subscription) take(snapshot metastore.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if snapshot.Revision < s.snapshot.Revision {
		return
	}
	if !s.known() {
		close(s.listed)
	}
	s.snapshot = snapshot
	s.changed(snapshot)
}

// known reports whether the kind is known.
func (s *subscription) known() bool {
	select {
	case <-s.listed:
		return true
	default:
		return false
	}
}

// apply takes in a change that a hub told.
func (s *subscription) apply(change Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if change.Revision < s.snapshot.Revision || !change.Whole && !s.known() {
		return
	}
	known := s.snapshot.Objects
	if change.Whole {
		known = sharedmap.Map[metastore.Object]{}
	}
	edit := known.Edit()
	for _, object := range change.Objects {
		edit.Set(object.Name, object)
	}
	for _, name := range change.Removed {
		edit.Delete(name)
	}
	if !s.known() {
		close(s.listed)
	}
	s.snapshot = metastore.Snapshot{Objects: edit.Map(), Revision: change.Revision}
	s.changed(s.snapshot)
}

// advance notes that nothing has changed up to a revision, so that the store need not keep the history since an older one.
func (s *subscription) advance(revision metastore.Revision) {
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
