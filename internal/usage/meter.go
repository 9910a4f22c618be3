package usage

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/covelink/covelink/internal/fleettime"
)

// keptWindows is how many windows a meter remembers behind the newest: a coordinating process that begins its term while the store is away
// asks for what none before it has kept.
const keptWindows = 24

// Meter counts the requests that began to run through this process, by window and tenant. It is safe for concurrent use.
type Meter struct {
	// source names this start of the process.
	source string
	length time.Duration
	clock  fleettime.Clock

	mu      sync.Mutex
	windows map[Window]Counts
	// fresh are the windows whose counts have grown since they were last taken.
	fresh map[Window]struct{}
	// changed has a value while there are fresh windows that nobody was told of.
	changed chan struct{}
}

// NewMeter returns a Meter of windows of a length.
func NewMeter(length time.Duration, clock fleettime.Clock) *Meter {
	return &Meter{
		source:  uuid.NewString(),
		length:  length,
		clock:   clock,
		windows: make(map[Window]Counts),
		fresh:   make(map[Window]struct{}),
		changed: make(chan struct{}, 1),
	}
}

// Began counts a request of a tenant that began to run at a moment of this process. Requests of nobody's are not counted.
func (m *Meter) Began(tenant string, at time.Time) {
	if tenant == "" {
		return
	}
	window := WindowOf(m.clock.At(at), m.length)
	m.mu.Lock()
	defer m.mu.Unlock()
	counts, known := m.windows[window]
	if !known {
		counts = make(Counts)
		m.windows[window] = counts
		m.forget(window)
	}
	counts[tenant]++
	m.fresh[window] = struct{}{}
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// forget drops the windows that are too old beside the newest.
func (m *Meter) forget(newest Window) {
	for window := range m.windows {
		if window < newest-keptWindows {
			delete(m.windows, window)
			delete(m.fresh, window)
		}
	}
}

// takeFresh returns the counts of the windows that have grown since the last call.
func (m *Meter) takeFresh() []WindowCounts {
	m.mu.Lock()
	defer m.mu.Unlock()
	taken := m.copyOf(slices.Sorted(maps.Keys(m.fresh)))
	clear(m.fresh)
	return taken
}

// renew makes all windows fresh that were taken before, for somebody who may not know them.
func (m *Meter) renew() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for window := range m.windows {
		m.fresh[window] = struct{}{}
	}
}

// putBack makes windows fresh again that were taken and not told.
func (m *Meter) putBack(taken []WindowCounts) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, counted := range taken {
		if _, kept := m.windows[counted.Window]; kept {
			m.fresh[counted.Window] = struct{}{}
		}
	}
}

// all returns the counts of all windows.
func (m *Meter) all() []WindowCounts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.copyOf(slices.Sorted(maps.Keys(m.windows)))
}

// copyOf returns the counts of some windows. The mutex must be held.
func (m *Meter) copyOf(windows []Window) []WindowCounts {
	copied := make([]WindowCounts, 0, len(windows))
	for _, window := range windows {
		copied = append(copied, WindowCounts{Window: window, Counts: maps.Clone(m.windows[window])})
	}
	return copied
}
