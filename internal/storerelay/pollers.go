package storerelay

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/metastore"
	"github.com/covelink/covelink/internal/rpc"
)

const (
	// pollerMemory is how long a process that has stopped polling stays listed: long enough that operators see one that is cut off, and short
	// enough that machines which were replaced do not pile up.
	pollerMemory = 5 * time.Minute
	// maxPollers bounds the processes that a hub remembers: some three times the largest deployment.
	maxPollers = 1024
)

// Poller is a process that polls a hub.
type Poller struct {
	Name, Zone string
	// Known is the revision of the kind that it held when it last polled; zero for none.
	Known metastore.Revision
	// Age is how long ago it last polled.
	Age time.Duration
}

// Spread shows which processes hold the newest content of a kind.
type Spread struct {
	// Revision is that of the newest content; zero if the hub knows nothing of the kind.
	Revision metastore.Revision
	// Pollers are the processes that follow the kind and have polled within pollerMemory, sorted by name.
	Pollers []Poller
}

// Holds reports whether a process held the newest content when it last polled.
func (s Spread) Holds(poller Poller) bool { return s.Revision > 0 && poller.Known >= s.Revision }

// pollers remembers which revisions each process held when it last polled. It is safe for concurrent use.
type pollers struct {
	mu   sync.Mutex
	last map[string]poll
}

// poll is a process's last poll.
type poll struct {
	zone  string
	known map[string]metastore.Revision
	at    time.Time
}

// note records a poll. The map must not be changed afterwards.
func (p *pollers) note(peer rpc.Peer, known map[string]metastore.Revision, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.last == nil {
		p.last = make(map[string]poll)
	}
	if _, listed := p.last[peer.Name]; !listed && len(p.last) >= maxPollers {
		p.forgetOldest()
	}
	p.last[peer.Name] = poll{zone: peer.Zone, known: known, at: now}
}

// forgetOldest makes room for one more process. The mutex must be held.
func (p *pollers) forgetOldest() {
	oldest := ""
	for name, last := range p.last {
		if oldest == "" || last.at.Before(p.last[oldest].at) {
			oldest = name
		}
	}
	delete(p.last, oldest)
}

// of returns the processes that follow a kind, and forgets those that have not polled for pollerMemory.
func (p *pollers) of(kind string, now time.Time) []Poller {
	p.mu.Lock()
	defer p.mu.Unlock()
	var found []Poller
	for name, last := range p.last {
		age := now.Sub(last.at)
		if age > pollerMemory {
			delete(p.last, name)
			continue
		}
		if revision, follows := last.known[kind]; follows {
			found = append(found, Poller{Name: name, Zone: last.zone, Known: revision, Age: age})
		}
	}
	slices.SortFunc(found, func(a, b Poller) int { return cmp.Compare(a.Name, b.Name) })
	return found
}

// NotePoll records which process has polled, and which revisions it held.
func (h *Hub) NotePoll(peer rpc.Peer, request PollRequest) {
	h.pollers.note(peer, request.Known, boottime.Now())
}

// Spread shows which processes hold the newest content of a kind. What a process receives with a poll counts from its next poll on.
func (h *Hub) Spread(kind string) Spread {
	spread := Spread{Pollers: h.pollers.of(kind, boottime.Now())}
	h.mu.Lock()
	defer h.mu.Unlock()
	if known, ok := h.kinds[kind]; ok {
		spread.Revision = known.contentRevision
	}
	return spread
}
