package quorumlog

import (
	"slices"
	"time"
)

// catchUpSlack is how many entries a replica may lack when it becomes a member.
const catchUpSlack = 64

// Replace begins to replace the member out by the replica in, which first catches up with the log. Both may be the same
// name: the member lost its storage and rejoins. An empty out adds a member, an empty in removes one. Changing reports
// whether the change is still under way: until then the set bears no further loss. ErrBusy, ErrNotMember, ErrNotServing, or Err.
func (w *Writer) Replace(now time.Time, out, in string) error {
	if err := w.ready(); err != nil {
		return err
	}
	if w.change.active || w.membersIndex > w.commit {
		return ErrBusy
	}
	if out != "" && !contains(w.members, out) || in != out && contains(w.members, in) || out == "" && in == "" {
		return ErrNotMember
	}
	if in == "" && len(w.members) == 1 {
		return ErrNotMember
	}
	w.change = change{out: out, in: in, active: true}
	if in != "" {
		p := w.addPeer(in)
		*p = peer{name: p.name, heardAt: p.heardAt} // what is known may be old: it is asked, and catches up, from here on
	}
	w.advanceChange(now)
	w.pump(now)
	return nil
}

// Changing reports whether a change of members is under way.
func (w *Writer) Changing() bool { return w.change.active }

// Abandon ends a change whose replica does not catch up. It has no effect once the change is logged.
func (w *Writer) Abandon() {
	if !w.change.logged {
		w.change = change{}
	}
}

// advanceChange logs the change once the new replica has caught up, and ends it once it is committed.
func (w *Writer) advanceChange(now time.Time) {
	if !w.change.active || w.stage != stageServing {
		return
	}
	if w.change.logged {
		w.endChange()
		return
	}
	added := Member{}
	if w.change.in != "" {
		p := w.peers[w.change.in]
		if !p.answered || p.installs || p.match+catchUpSlack < w.Last() {
			return
		}
		added = Member{Name: p.name, Incarnation: p.incarnation}
	}
	w.logChange(added)
}

// endChange ends a change once a majority of the new members knows it to be committed: from then on the old set is not
// asked any more, so that the loss of one more member can be borne.
func (w *Writer) endChange() {
	told := w.majority(w.members, func(p *peer) bool { return p.commit >= w.membersIndex })
	if w.membersIndex <= w.commit && told {
		w.change = change{}
	}
}

func (w *Writer) logChange(added Member) {
	members := slices.DeleteFunc(slices.Clone(w.members), func(m Member) bool { return m.Name == w.change.out })
	if added.Name != "" {
		members = append(members, added)
	}
	if slices.Equal(members, w.members) {
		w.change = change{} // it had not lost its storage
		return
	}
	w.push(Entry{Kind: KindMembers, Members: members})
	w.previous, w.members, w.membersIndex = w.members, members, w.Last()
	w.change.logged = true
}

// ReplicaStatus is what a writer knows of a replica.
type ReplicaStatus struct {
	Name string
	// Lost: the replica lost its storage, or never had it, and must rejoin to count.
	Lost bool
	// Match is the index up to which it is known to keep the log.
	Match uint64
	// HeardAt is the time of its last reply; zero if there was none.
	HeardAt time.Time
	// Waiting: it has not replied to a request yet.
	Waiting bool
}

// Status describes the members in force.
func (w *Writer) Status() []ReplicaStatus {
	statuses := make([]ReplicaStatus, 0, len(w.members))
	for _, member := range w.members {
		p := w.peers[member.Name]
		statuses = append(statuses, ReplicaStatus{
			Name: p.name, Lost: p.answered && p.incarnation != member.Incarnation,
			Match: p.match, HeardAt: p.heardAt, Waiting: p.waiting,
		})
	}
	return statuses
}
