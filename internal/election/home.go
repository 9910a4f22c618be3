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
	// awayPatience is how much longer a candidate away from home waits than those at home: they take up to 2.8 s to replace a lost holder,
	// and what may run anywhere should not wait for them much longer.
	awayPatience = 3 * time.Second
	// replacePause is the pause between two attempts to replace a holder away from home.
	replacePause = 3 * time.Second
	// homeRetry is the pause before the home is told again after the store did not take it.
	homeRetry = time.Second
	// distanceFactor is how much longer a candidate waits for each millisecond that its calls to the store take: with a region 20 ms away,
	// whose calls take 40 ms longer, it exceeds maxJitter, so that the nearer ones go first whatever their names.
	distanceFactor = 3
	// maxDistanceDelay bounds that wait: it is added to a takeover if only distant candidates are left.
	maxDistanceDelay = 150 * time.Millisecond
)

// home is where the holder of the term should stand, as this process knows it. It is safe for concurrent use.
type home struct {
	mu      sync.Mutex
	known   bool
	regions []string
	// set is closed when there are others.
	set chan struct{}
	// notBefore is when the lease may be written again.
	notBefore time.Time
}

// changed returns a channel that is closed when the home is set.
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

// forget makes the home unknown, as at the start of a term.
func (h *home) forget() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.known, h.regions, h.notBefore = false, nil, time.Time{}
}

// due reports whether the lease may be written.
func (h *home) due() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !time.Now().Before(h.notBefore)
}

// retry leaves the store alone for a while.
func (h *home) retry() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.notBefore = time.Now().Add(homeRetry)
}

// SetHome tells in which regions the holder should stand, for the term that lasts: none if any will do. The lease names them from then on.
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

// tellHome writes the home into the lease if the lease names another, or lacks the zone. It returns whether it did.
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

// strays reports whether this process, which holds the lease, is away from home: by its own knowledge, or as the lease has it until then.
func (e *Elector) strays() bool {
	regions, known := e.home.current()
	if !known {
		lease, _, _ := e.current()
		regions = lease.Home
	}
	return e.outside(e.Zone, regions)
}

// away reports whether this process is not where the lease wants the holder.
func (e *Elector) away(lease Lease) bool { return e.outside(e.Zone, lease.Home) }

// replaces reports whether this process is where the lease wants the holder, and the holder is not.
func (e *Elector) replaces(lease Lease) bool {
	return !e.away(lease) && e.outside(lease.Zone, lease.Home)
}

// outside reports whether a zone is in none of some regions. Every zone is in an empty list of regions.
func (e *Elector) outside(zone string, regions []string) bool {
	return e.Region != nil && len(regions) > 0 && !slices.Contains(regions, e.region(zone))
}

func (e *Elector) region(zone string) string {
	if e.Region == nil {
		return ""
	}
	return e.Region(zone)
}

// turn is how long this process leaves others a chance before it acts on the lease.
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
