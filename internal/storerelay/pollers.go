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
	// pollerRetention is how long a process that no longer polls stays listed, so that operators see that it is cut off.
	pollerRetention = 5 * time.Minute
	// maxPollers bounds the memory for poll records.
	maxPollers = 4096
	// activeWindow is how recently a process must have polled to be counted. It exceeds servedReportInterval.
	activeWindow = 5 * time.Second
)

// Poller is a process that polls a hub.
type Poller struct {
	Name, Zone string
	// Known is the revision of the kind at the last poll; zero for none.
	Known metastore.Revision
	// Age is the time since the last poll.
	Age time.Duration
	// Relay names the process that answered on behalf of the coordinator; empty if the coordinator answered.
	Relay string
}

// Propagation reports which processes have the newest content of a kind.
type Propagation struct {
	// Revision is the revision of the newest content; zero if the kind is unknown.
	Revision metastore.Revision
	// Pollers are the processes that follow the kind and have polled within pollerRetention, sorted by name.
	Pollers []Poller
}

// UpToDate reports whether a process had the newest content at its last poll.
func (s Propagation) UpToDate(poller Poller) bool {
	return s.Revision > 0 && poller.Known >= s.Revision
}

// pollers records the last poll of each process. It is safe for concurrent use.
type pollers struct {
	mu     sync.Mutex
	byName map[string]pollRecord
	// servedReportedAt is when servedProcesses last returned the processes.
	servedReportedAt time.Time
}

// pollRecord is the last poll of a process.
type pollRecord struct {
	zone  string
	known map[string]metastore.Revision
	at    time.Time
	// relay names the process that answered; empty for this one.
	relay string
}

// active reports whether the poll was within activeWindow.
func (p pollRecord) active(now time.Time) bool { return now.Sub(p.at) <= activeWindow }

// record stores a poll. The map must not be modified afterwards.
func (p *pollers) record(peer rpc.Peer, known map[string]metastore.Revision, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setIfNewer(peer.Name, pollRecord{zone: peer.Zone, known: known, at: now})
}

// setIfNewer stores a poll unless a later one of the process is stored. The mutex must be held.
func (p *pollers) setIfNewer(name string, record pollRecord) {
	if p.byName == nil {
		p.byName = make(map[string]pollRecord)
	}
	stored, listed := p.byName[name]
	if listed && stored.at.After(record.at) {
		return
	}
	if !listed && len(p.byName) >= maxPollers {
		p.evictOldest()
	}
	p.byName[name] = record
}

// recordServed stores the polls that a relay has answered.
func (p *pollers) recordServed(relay string, served []ServedProcess, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, process := range served {
		p.setIfNewer(process.Name, pollRecord{zone: process.Zone, known: process.Known, at: now.Add(-process.Age), relay: relay})
	}
}

// servedProcesses returns the active processes; nil if it returned them less than servedReportInterval ago.
func (p *pollers) servedProcesses(now time.Time) []ServedProcess {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.servedReportedAt) < servedReportInterval {
		return nil
	}
	p.servedReportedAt = now
	var processes []ServedProcess
	for name, record := range p.byName {
		if record.active(now) {
			processes = append(processes, ServedProcess{Name: name, Zone: record.zone, Known: record.known, Age: now.Sub(record.at)})
		}
	}
	return processes
}

// countActive returns the number of active processes, in time linear in the number of records.
func (p *pollers) countActive(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for _, record := range p.byName {
		if record.active(now) {
			count++
		}
	}
	return count
}

// evictOldest removes the process whose last poll is the oldest. The mutex must be held.
func (p *pollers) evictOldest() {
	oldest := ""
	for name, record := range p.byName {
		if oldest == "" || record.at.Before(p.byName[oldest].at) {
			oldest = name
		}
	}
	delete(p.byName, oldest)
}

// followersOf returns the processes that follow a kind, and removes records older than pollerRetention.
func (p *pollers) followersOf(kind string, now time.Time) []Poller {
	p.mu.Lock()
	defer p.mu.Unlock()
	var followers []Poller
	for name, record := range p.byName {
		age := now.Sub(record.at)
		if age > pollerRetention {
			delete(p.byName, name)
			continue
		}
		if revision, follows := record.known[kind]; follows {
			followers = append(followers, Poller{Name: name, Zone: record.zone, Known: revision, Age: age, Relay: record.relay})
		}
	}
	slices.SortFunc(followers, func(a, b Poller) int { return cmp.Compare(a.Name, b.Name) })
	return followers
}

// RelayStatus describes a process that answers polls on behalf of the coordinator.
type RelayStatus struct {
	Name string
	// Processes is the number of active processes that it answers, and UpToDate how many of those had the newest content of a kind at their
	// last poll.
	Processes, UpToDate int
	// Age is the time since the relay's own last poll.
	Age time.Duration
}

// relayStatuses returns the status of each relay with respect to a revision of a kind, sorted by name.
func (p *pollers) relayStatuses(kind string, revision metastore.Revision, now time.Time) []RelayStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	statuses := make(map[string]RelayStatus)
	for _, record := range p.byName {
		if record.relay == "" || !record.active(now) {
			continue
		}
		status := statuses[record.relay]
		status.Name, status.Age = record.relay, now.Sub(p.byName[record.relay].at)
		status.Processes++
		if record.known[kind] >= revision {
			status.UpToDate++
		}
		statuses[record.relay] = status
	}
	return slices.SortedFunc(maps.Values(statuses), func(a, b RelayStatus) int { return cmp.Compare(a.Name, b.Name) })
}

// Relays returns the status of each relay with respect to the newest content of a kind.
func (h *Hub) Relays(kind string) []RelayStatus {
	return h.pollers.relayStatuses(kind, h.contentRevision(kind), boottime.Now())
}

// RecordPoll records a poll and the revisions that the process had.
func (h *Hub) RecordPoll(peer rpc.Peer, request PollRequest) {
	h.pollers.record(peer, request.Known, boottime.Now())
}

// ProcessCount returns the number of active processes that this hub and its relays answer, or of those that polled this hub if that is larger,
// as during startup. It takes time linear in that number.
func (h *Hub) ProcessCount() int {
	now := boottime.Now()
	return max(h.pollers.countActive(now), h.direct.count(now)+h.redirected.count(now))
}

// Propagation reports which processes have the newest content of a kind. Content sent in reply to a poll counts from the process's next poll.
func (h *Hub) Propagation(kind string) Propagation {
	return Propagation{Pollers: h.pollers.followersOf(kind, boottime.Now()), Revision: h.contentRevision(kind)}
}

// contentRevision returns the revision of a kind's newest content; zero if the kind is unknown.
func (h *Hub) contentRevision(kind string) metastore.Revision {
	h.mu.Lock()
	defer h.mu.Unlock()
	cached, ok := h.kinds[kind]
	if !ok {
		return 0
	}
	return cached.contentRevision
}
