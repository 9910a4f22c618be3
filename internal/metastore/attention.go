package metastore

import (
	"sync"
	"time"
)

const (
	// attentionTick is the pause between two looks at whether this process runs.
	attentionTick = 50 * time.Millisecond
	// maxAttentionGap is the most that one pause between two looks counts: timers fire late by some milliseconds, and a process whose
	// share of a core is spent for now stands still for up to a tenth of a second.
	maxAttentionGap = 100 * time.Millisecond
)

// attention is a clock that stands still while its process does not get to run, be it frozen or busy for long: an answer that lies there
// unread meanwhile was not late. Until its first look it is the steady clock. It is safe for concurrent use.
type attention struct {
	mu sync.Mutex
	// looked is when the last look was, and missed the time that does not count; looked is zero before the first look.
	looked time.Time
	missed time.Duration
}

// look notes that the process runs.
func (a *attention) look() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.missed += a.beyond(now)
	a.looked = now
}

// beyond returns by how much the time since the last look is longer than a pause may be. The mutex must be held.
func (a *attention) beyond(now time.Time) time.Duration {
	if a.looked.IsZero() {
		return 0
	}
	return max(now.Sub(a.looked)-maxAttentionGap, 0)
}

// now returns the clock's time.
func (a *attention) now() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	return now.Add(-a.missed - a.beyond(now))
}
