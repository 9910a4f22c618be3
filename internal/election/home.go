package election

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log/level"
)

const (
	// awayPatience is how much longer a candidate away from home waits than one at home. Those at home take up to 2.8 s to replace a lost holder;
	// beyond that, jobs that may run anywhere should not wait for them.
	awayPatience = 3 * time.Second
	// replacePause is the pause between two attempts to replace a holder away from home: an attempt that was refused is not repeated at once.
	replacePause = 3 * time.Second
	// homeRetry is the pause before the home regions are written again after the store did not take them.
	homeRetry = time.Second
	// distanceFactor is by how many milliseconds a candidate waits longer for each millisecond that its calls to the store take. Calls from a region
	// 20 ms away take 40 ms longer, which gives 120 ms: more than maxJitter, so that nearer candidates go first whatever their names.
	distanceFactor = 3
	// maxDistanceDelay bounds that wait, which prolongs a takeover if only distant candidates are left.
	maxDistanceDelay = 150 * time.Millisecond
)

// home holds the home regions of the term that this process leads, as SetHome gave them. It is safe for concurrent use.
type home struct {
	mu      sync.Mutex
	known   bool
	regions []string
	// set is closed when the regions change.
	set chan struct{}
	// notBefore is when the regions may be written into the lease again.
	notBefore time.Time
}

// changed returns a channel that is closed when the regions change.
func (h *home) changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.set == nil {
		h.set = make(chan struct{})
	}
	return h.set
}

func (h *home) current() (regions []string, known bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.regions, h.known
}

// forget makes the regions unknown, at the start of a term.
func (h *home) forget() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.known, h.regions, h.notBefore = false, nil, time.Time{}
}

// due reports whether the regions may be written into the lease now.
func (h *home) due() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !time.Now().Before(h.notBefore)
}

// retry puts the next write off by homeRetry.
func (h *home) retry() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.notBefore = time.Now().Add(homeRetry)
}

// SetHome sets the home regions for the current term; none if the holder may be anywhere. The lease names them from then on.
func (e *Elector) SetHome(regions []string) {
	h := &e.home
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.known && slices.Equal(h.regions, regions) {
		return
	}
	h.known, h.regions, h.notBefore = true, regions, time.Time{}
	level.Info(e.Logger).Log("msg", "home regions", "home", strings.Join(regions, ","), "region", e.region(e.Zone), "away", e.outside(e.Zone, regions))
	if h.set != nil {
		close(h.set)
	}
	h.set = make(chan struct{})
}

// tellHome writes the home regions and this process's zone into the lease, if the lease differs. It returns whether it tried to.
func (e *Elector) tellHome(ctx context.Context, lease Lease) bool {
	regions, known := e.home.current()
	if !known || (slices.Equal(regions, lease.Home) && lease.Zone == e.Zone) || !e.home.due() {
		return false
	}
	next := lease
	next.Home, next.Zone = regions, e.Zone
	if !e.store(ctx, lease, next, "home told") {
		e.home.retry()
	}
	return true
}

// holderAway reports whether this process, the holder, is outside the home regions: those it knows itself, or else those that the lease names.
func (e *Elector) holderAway() bool {
	regions, known := e.home.current()
	if !known {
		lease, _, _ := e.current()
		regions = lease.Home
	}
	return e.outside(e.Zone, regions)
}

// away reports whether this process is outside the lease's home regions.
func (e *Elector) away(lease Lease) bool { return e.outside(e.Zone, lease.Home) }

// replaces reports whether this process is in the lease's home regions and the holder is not.
func (e *Elector) replaces(lease Lease) bool {
	return !e.away(lease) && e.outside(lease.Zone, lease.Home)
}

// outside reports whether a zone is in none of the regions. An empty list contains every zone.
func (e *Elector) outside(zone string, regions []string) bool {
	return e.Region != nil && len(regions) > 0 && !slices.Contains(regions, e.region(zone))
}

func (e *Elector) region(zone string) string {
	if e.Region == nil {
		return ""
	}
	return e.Region(zone)
}

// turn returns how long this process waits before it acts on the lease, so that better candidates go first.
func (e *Elector) turn(lease Lease) time.Duration {
	turn := e.jitter()
	if e.Distance != nil {
		turn += min(distanceFactor*e.Distance(), maxDistanceDelay)
	}
	if e.away(lease) {
		turn += awayPatience
	}
	return turn
}
