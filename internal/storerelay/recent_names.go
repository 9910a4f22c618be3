package storerelay

import (
	"maps"
	"sync"
	"time"
)

const (
	// recentFor is how long a name is remembered after it was last noted: longer than a poll and the pause before the next.
	recentFor = 3 * time.Second
	// recentSweep is the pause between two looks for names that are forgotten, each of which goes through all of them.
	recentSweep = 500 * time.Millisecond
)

// recentNames are the names of processes that were noted lately. It is safe for concurrent use.
type recentNames struct {
	mu    sync.Mutex
	noted map[string]time.Time
	swept time.Time
}

// note remembers a name.
func (r *recentNames) note(name string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sweep(now)
	r.set(name, now)
}

// admit remembers a name if it is remembered already or fewer than most are, and reports whether it does.
func (r *recentNames) admit(name string, now time.Time, most int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sweep(now)
	if _, known := r.noted[name]; !known && len(r.noted) >= most {
		return false
	}
	r.set(name, now)
	return true
}

// count returns how many names are remembered.
func (r *recentNames) count(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sweep(now)
	return len(r.noted)
}

// set remembers a name. The mutex must be held.
func (r *recentNames) set(name string, now time.Time) {
	if r.noted == nil {
		r.noted = make(map[string]time.Time)
	}
	r.noted[name] = now
}

// sweep forgets names. The mutex must be held.
func (r *recentNames) sweep(now time.Time) {
	if now.Sub(r.swept) < recentSweep {
		return
	}
	r.swept = now
	maps.DeleteFunc(r.noted, func(_ string, at time.Time) bool { return now.Sub(at) > recentFor })
}
