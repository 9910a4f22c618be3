package quorumlog

import (
	"slices"
	"time"
)

// decide ends the discovery once enough candidates have answered: it recovers the newest log, creates a new one, or
// fails.
func (w *Writer) decide(now time.Time) {
	silent := w.silent()
	late := !now.Before(w.deadline)
	best := w.best()
	switch {
	case best != nil:
		w.recover(now, best, silent == 0 || late)
	case silent > 0 && !late:
		return
	case silent > w.config.MaySilent:
		w.fail(ErrUnavailable)
	case !w.config.Create:
		w.fail(ErrNotFound)
	default:
		w.create(now)
	}
}

func (w *Writer) silent() int {
	count := 0
	for _, p := range w.peers {
		if !p.answered {
			count++
		}
	}
	return count
}

// best returns the replica whose log ends highest, by epoch and then index, or nil if none has an established log.
func (w *Writer) best() *peer {
	var best *peer
	for _, name := range w.order {
		p := w.peers[name]
		if !p.answered || p.reply.Phase != PhaseEstablished || w.unfinished(p) {
			continue
		}
		if best == nil || ahead(p.reply, best.reply) {
			best = p
		}
	}
	return best
}

// unfinished reports whether the replica holds a creation that never ended: a member has not established the log, and
// will not any more, since it has promised this epoch. Then no entry was ever appended.
func (w *Writer) unfinished(p *peer) bool {
	if p.reply.LastIndex > 0 {
		return false
	}
	for _, member := range p.reply.Members {
		other, ok := w.peers[member.Name]
		if ok && other.answered && other.incarnation == member.Incarnation && !other.reply.created(p.reply.Snapshot.Epoch) {
			return true
		}
	}
	return false
}

// created reports whether a replica with this reply may have established the log of a creation.
func (r Reply) created(epoch Epoch) bool {
	return r.Phase == PhaseEstablished && (r.LastIndex > 0 || r.Snapshot.Epoch == epoch)
}

func ahead(a, b Reply) bool {
	if order := a.LastEpoch.Compare(b.LastEpoch); order != 0 {
		return order > 0
	}
	if a.LastIndex != b.LastIndex {
		return a.LastIndex > b.LastIndex
	}
	return a.Snapshot.Index < b.Snapshot.Index
}

// recover adopts the best log if a majority of its members has promised the epoch. That majority holds a member of any
// majority that committed an entry, so that the best log has all of them.
func (w *Writer) recover(now time.Time, best *peer, final bool) {
	w.members = best.reply.Members
	w.previous = best.reply.Previous
	w.membersIndex = best.reply.MembersIndex
	w.commit = w.knownCommit()
	for _, member := range slices.Concat(w.members, w.previous) {
		if _, ok := w.peers[member.Name]; !ok {
			w.addPeer(member.Name)
			final = false
		}
	}
	// Whether a creation ended is known only from all its members.
	if best.reply.LastIndex == 0 && !w.allMembers(func(p *peer) bool { return p.answered }) {
		return
	}
	if w.agreed(func(p *peer) bool { return p.answered && p.known }) {
		w.fetchFrom(now, best)
		return
	}
	if final && w.lost() {
		w.fail(ErrLost)
	}
}

// knownCommit returns the highest index that a replica knows to be committed.
func (w *Writer) knownCommit() uint64 {
	commit := uint64(0)
	for _, p := range w.peers {
		if p.answered && p.reply.Phase == PhaseEstablished {
			commit = max(commit, p.reply.Commit)
		}
	}
	return commit
}

// lost reports whether so many members lost their storage that the others are no majority.
func (w *Writer) lost() bool {
	return w.lostSet(w.members) || w.membersIndex > w.commit && w.lostSet(w.previous)
}

func (w *Writer) lostSet(members []Member) bool {
	left := 0
	for _, member := range members {
		p := w.peers[member.Name]
		if !p.answered || p.known && p.incarnation == member.Incarnation {
			left++
		}
	}
	return left < w.quorum(len(members))
}

func (w *Writer) enter(now time.Time, next stage) {
	w.stage = next
	w.deadline = now.Add(w.config.Patience)
}

func (w *Writer) fetchFrom(now time.Time, best *peer) {
	w.enter(now, stageFetching)
	w.source = best.name
	w.snapshot = Snapshot{SnapshotHead: best.reply.Snapshot}
	w.entries = nil
	w.inFlight = 0
	w.fetchedAll(now, best)
}

// takeFetch adds what was read. The source has promised the epoch, so that its log does not change meanwhile.
func (w *Writer) takeFetch(now time.Time, p *peer, reply Reply) {
	if p.name != w.source || w.stage != stageFetching {
		return
	}
	whole := len(w.snapshot.Data) == w.snapshot.Size
	progress := len(reply.Chunk)
	if whole {
		progress = len(reply.Entries)
	}
	if reply.Status != StatusOK || progress == 0 {
		w.discover(now)
		return
	}
	w.deadline = now.Add(w.config.Patience)
	if !whole {
		w.snapshot.Data = append(w.snapshot.Data, reply.Chunk...)
	} else if !w.adopt(reply.Entries) {
		w.discover(now)
		return
	}
	w.fetchedAll(now, p)
}

func (w *Writer) adopt(entries []Entry) bool {
	for _, entry := range entries {
		if entry.Index != w.Last()+1 {
			return false
		}
		w.entries = append(w.entries, entry)
		if entry.Index > w.commit {
			w.inFlight += entry.Size()
		}
	}
	return true
}

// fetchedAll begins to replicate once the whole log of the source is here.
func (w *Writer) fetchedAll(now time.Time, source *peer) {
	if len(w.snapshot.Data) < w.snapshot.Size || w.Last() < source.reply.LastIndex {
		return
	}
	if w.commit > w.Last() {
		w.fail(ErrDiverged)
		return
	}
	w.replicate(now)
}

// replicate appends the barrier; once a majority keeps it, the log is recovered.
func (w *Writer) replicate(now time.Time) {
	w.enter(now, stageRecovering)
	w.findMembers()
	for _, p := range w.peers {
		if p.answered {
			w.locate(p)
		}
	}
	w.truncated = w.snapshot.Index
	// A change that an earlier writer logged is over once a majority knows its commit.
	w.change = change{active: w.membersIndex > 0, logged: w.membersIndex > 0}
	w.push(Entry{Kind: KindBarrier})
	w.recovered = w.Last()
}

// findMembers reads the newest member sets from the log.
func (w *Writer) findMembers() {
	w.members, w.previous, w.membersIndex = w.snapshot.Members, nil, 0
	for _, entry := range w.entries {
		if entry.Kind == KindMembers {
			w.previous, w.members, w.membersIndex = w.members, entry.Members, entry.Index
		}
	}
}

// locate guesses where a replica's log parts from the writer's. It is the same up to the entry at which both have the
// same epoch, and at least up to what the replica knows to be committed.
func (w *Writer) locate(p *peer) {
	w.moveTo(p, p.reply.Commit+1)
	last := p.reply.LastIndex
	if last >= w.snapshot.Index && last <= w.Last() && w.epochAt(last) == p.reply.LastEpoch {
		p.next = max(p.next, last+1)
	}
	p.installs = p.reply.Phase != PhaseEstablished || !w.isMember(p)
}

// moveTo makes next the first entry to send. The replica holds the writer's log up to there, since it is committed.
func (w *Writer) moveTo(p *peer, next uint64) {
	if next > w.Last()+1 {
		w.fail(ErrDiverged)
		return
	}
	p.next = next
}

// create proposes the log to the first candidates that answered. All of them must take it: then a replica that holds
// only a proposal proves that no entry was ever appended.
func (w *Writer) create(now time.Time) {
	w.members, w.previous, w.membersIndex, w.commit = nil, nil, 0, 0
	for _, name := range w.order {
		p := w.peers[name]
		if p.answered && len(w.members) < w.config.Replicas {
			w.members = append(w.members, Member{Name: name, Incarnation: p.incarnation})
		}
	}
	if len(w.members) == 0 {
		w.fail(ErrUnavailable)
		return
	}
	w.enter(now, stageProposing)
}

func (w *Writer) takeCreation(now time.Time, p *peer, reply Reply) {
	switch reply.Status {
	case StatusOK:
	case StatusFull:
		p.waiting, p.sentAt = true, now
		return
	default: // somebody created it, or a member lost its storage
		if w.stage == stageEstablishing {
			w.fail(ErrUnavailable) // a second set in one epoch could not be told from this one
			return
		}
		w.discover(now)
		return
	}
	if p.request.Op == OpEstablish {
		p.established = true
	} else {
		p.proposed = true
	}
	p.reply = reply
	switch {
	case w.stage == stageProposing && w.allMembers(func(p *peer) bool { return p.proposed }):
		w.enter(now, stageEstablishing)
	case w.stage == stageEstablishing && w.allMembers(func(p *peer) bool { return p.established }):
		w.snapshot = Snapshot{SnapshotHead: SnapshotHead{Epoch: w.config.Epoch, Members: w.members}}
		w.entries = nil
		w.replicate(now)
	}
}

func (w *Writer) allMembers(condition func(*peer) bool) bool {
	for _, member := range w.members {
		if !condition(w.peers[member.Name]) {
			return false
		}
	}
	return true
}
