package machines

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/covelink/covelink/api/machinesv1"
)

// snapshot is the list from one moment on, until the next snapshot.
type snapshot struct {
	at       time.Time
	revision uint64
	machines map[string]machinesv1.Machine
}

// history holds what the list was, back to a bounded age. Its first snapshot is the oldest known.
type history struct {
	keep      time.Duration
	snapshots []snapshot
}

func newHistory(now time.Time, keep time.Duration, machines []machinesv1.Machine) *history {
	first := snapshot{at: now, revision: 1, machines: make(map[string]machinesv1.Machine)}
	for _, machine := range machines {
		first.machines[machine.Name] = machine
	}
	return &history{keep: keep, snapshots: []snapshot{first}}
}

// change adds a snapshot that differs from the newest by what edit does.
func (h *history) change(now time.Time, edit func(map[string]machinesv1.Machine)) {
	newest := h.snapshots[len(h.snapshots)-1]
	next := snapshot{at: now, revision: newest.revision + 1, machines: maps.Clone(newest.machines)}
	edit(next.machines)
	h.snapshots = append(h.snapshots, next)
	h.trim(now.Add(-h.keep))
}

// trim drops the snapshots that were over before the time.
func (h *history) trim(before time.Time) {
	for len(h.snapshots) > 1 && !h.snapshots[1].at.After(before) {
		h.snapshots = h.snapshots[1:]
	}
}

// list returns the list as it was at the time, or the oldest known.
func (h *history) list(at time.Time, zone string) machinesv1.List {
	found := h.snapshots[0]
	for _, candidate := range h.snapshots[1:] {
		if candidate.at.After(at) {
			break
		}
		found = candidate
	}
	list := machinesv1.List{Revision: found.revision, Machines: []machinesv1.Machine{}}
	for _, machine := range found.machines {
		if zone == "" || machine.Zone == zone {
			list.Machines = append(list.Machines, machine)
		}
	}
	slices.SortFunc(list.Machines, func(a, b machinesv1.Machine) int { return strings.Compare(a.Name, b.Name) })
	return list
}
