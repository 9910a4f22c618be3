package storerelay

import (
	"cmp"
	"maps"
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
	// maxPollers bounds the processes that a hub remembers, some 400 bytes each: four times the largest deployment.
	maxPollers = 4096
	// countedWithin is how lately a process must have polled to count: longer than relays leave between two lists of whom they answer.
	countedWithin = 5 * time.Second
)

// Poller is a process that polls a hub.
type Poller struct {
	Name, Zone string
	// Known is the revision of the kind that it held when it last polled; zero for none.
	Known metastore.Revision
	// Age is how long ago it last polled.
	Age time.Duration
	// Relay names the process that answered it for the coordinating process; empty if that did so itself.
	Relay string
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
	// servedAt is when served last returned the processes.
	servedAt time.Time
}

// poll is a process's last poll.
type poll struct {
	zone  string
	known map[string]metastore.Revision
	at    time.Time
	// relay names the process that answered it; empty for this one.
	relay string
}

// counts reports whether the poll was within countedWithin.
func (p poll) counts(now time.Time) bool { return now.Sub(p.at) <= countedWithin }

// note records a poll. The map must not be changed afterwards.
func (p *pollers) note(peer rpc.Peer, known map[string]metastore.Revision, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.set(peer.Name, poll{zone: peer.Zone, known: known, at: now})
}

// set takes in a poll, unless a later one of the process is known. The mutex must be held.
func (p *pollers) set(name string, made poll) {
	if p.last == nil {
		p.last = make(map[string]poll)
	}
	known, listed := p.last[name]
	if listed && known.at.After(made.at) {
		return
	}
	if !listed && len(p.last) >= maxPollers {
		p.forgetOldest()
	}
	p.last[name] = made
}

// noteServed takes in the processes that a relay answers.
func (p *pollers) noteServed(relay string, served []ServedProcess, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, process := range served {
		p.set(process.Name, poll{zone: process.Zone, known: process.Known, at: now.Add(-process.Age), relay: relay})
	}
}

// served returns the processes that have polled within countedWithin, or nil if it returned them less than servedInterval ago.
func (p *pollers) served(now time.Time) []ServedProcess {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.servedAt) < servedInterval {
		return nil
	}
	p.servedAt = now
	var processes []ServedProcess
	for name, last := range p.last {
		if last.counts(now) {
			processes = append(processes, ServedProcess{Name: name, Zone: last.zone, Known: last.known, Age: now.Sub(last.at)})
		}
	}
	return processes
}

// count returns how many processes have polled within countedWithin. It looks at all of them.
func (p *pollers) count(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	counted := 0
	for _, last := range p.last {
		if last.counts(now) {
			counted++
		}
	}
	return counted
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
			found = append(found, Poller{Name: name, Zone: last.zone, Known: revision, Age: age, Relay: last.relay})
		}
	}
	slices.SortFunc(found, func(a, b Poller) int { return cmp.Compare(a.Name, b.Name) })
	return found
}

// RelayStatus is a process that answers others for the coordinating process.
type RelayStatus struct {
	Name string
	// Processes is how many it has answered lately, and Holding how many of those held the newest content of a kind when they last polled.
	Processes, Holding int
	// Age is how long ago the relay last polled.
	Age time.Duration
}

// relays returns the processes that answer others, with how many of those hold a kind up to a revision, sorted by name.
func (p *pollers) relays(kind string, revision metastore.Revision, now time.Time) []RelayStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	found := make(map[string]RelayStatus)
	for _, last := range p.last {
		if last.relay == "" || !last.counts(now) {
			continue
		}
		status := found[last.relay]
		status.Name, status.Age = last.relay, now.Sub(p.last[last.relay].at)
		status.Processes++
		if last.known[kind] >= revision {
			status.Holding++
		}
		found[last.relay] = status
	}
	return slices.SortedFunc(maps.Values(found), func(a, b RelayStatus) int { return cmp.Compare(a.Name, b.Name) })
}

// Relays returns the processes that answer others for this one, and how many of those hold the newest content of a kind.
func (h *Hub) Relays(kind string) []RelayStatus {
	return h.pollers.relays(kind, h.contentRevision(kind), boottime.Now())
}

// NotePoll records which process has polled, and which revisions it held.
func (h *Hub) NotePoll(peer rpc.Peer, request PollRequest) {
	h.pollers.note(peer, request.Known, boottime.Now())
}

// Processes returns how many processes this hub and its relays have answered lately, or how many have asked it, if those are more, as at a start. It
// looks at each of them.
func (h *Hub) Processes() int {
	now := boottime.Now()
	return max(h.pollers.count(now), h.direct.count(now)+h.sentAway.count(now))
}

// Spread shows which processes hold the newest content of a kind. What a process receives with a poll counts from its next poll on.
func (h *Hub) Spread(kind string) Spread {
	return Spread{Pollers: h.pollers.of(kind, boottime.Now()), Revision: h.contentRevision(kind)}
}

// contentRevision returns the revision of a kind's newest content; zero if the hub knows nothing of the kind.
func (h *Hub) contentRevision(kind string) metastore.Revision {
	h.mu.Lock()
	defer h.mu.Unlock()
	known, ok := h.kinds[kind]
	if !ok {
		return 0
	}
	return known.contentRevision
}
