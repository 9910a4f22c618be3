package storerelay

import (
	"maps"
	"sync"
	"time"
)

const (
	// recentPeerTTL is how long a name is kept. It exceeds a poll and the pause before the next.
	recentPeerTTL = 3 * time.Second
	// recentPeerSweepInterval limits how often expired names are removed, as each sweep scans all names.
	recentPeerSweepInterval = 500 * time.Millisecond
)

// recentPeers is the set of process names seen within recentPeerTTL. It is safe for concurrent use.
type recentPeers struct {
	mu      sync.Mutex
	seenAt  map[string]time.Time
	sweptAt time.Time
}

func (r *recentPeers) add(name string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sweep(now)
	r.set(name, now)
}

// admit adds a name, or refreshes it if present. It reports false, and adds nothing, if the set already has limit other names.
func (r *recentPeers) admit(name string, now time.Time, limit int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sweep(now)
	if _, known := r.seenAt[name]; !known && len(r.seenAt) >= limit {
		return false
	}
	r.set(name, now)
	return true
}

func (r *recentPeers) count(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sweep(now)
	return len(r.seenAt)
}

// set adds or refreshes a name. The mutex must be held.
func (r *recentPeers) set(name string, now time.Time) {
	if r.seenAt == nil {
		r.seenAt = make(map[string]time.Time)
	}
	r.seenAt[name] = now
}

// sweep removes expired names. The mutex must be held.
func (r *recentPeers) sweep(now time.Time) {
	if now.Sub(r.sweptAt) < recentPeerSweepInterval {
		return
	}
	r.sweptAt = now
	maps.DeleteFunc(r.seenAt, func(_ string, at time.Time) bool { return now.Sub(at) > recentPeerTTL })
}
