package quorumlog

import "time"

// peer is what a writer knows of one replica.
type peer struct {
	name string
	// answered: it has told its state in this epoch, which is described by the other fields.
	answered    bool
	known       bool // it holds something of the log
	reply       Reply
	incarnation uint64
	proposed    bool
	established bool

	next     uint64 // the first entry to send
	match    uint64 // it keeps the writer's log up to here
	snapshot uint64 // index of its snapshot
	offset   int    // of the next part of a snapshot
	installs bool   // it needs the snapshot whatever next says
	commit   uint64 // it has been told

	waiting bool
	sentAt  time.Time
	heardAt time.Time // of the last reply; zero if there was none
	request Request
}

// pump sends to each replica what it needs next, one request at a time.
func (w *Writer) pump(now time.Time) {
	for _, name := range w.order {
		p := w.peers[name]
		if p.waiting && now.Sub(p.sentAt) < w.config.RetryAfter {
			continue
		}
		request, ok := w.next(now, p)
		if !ok {
			p.waiting = false
			continue
		}
		w.sequence++
		request.Sequence = w.sequence
		request.Epoch = w.config.Epoch
		request.Incarnation = p.incarnation
		p.request, p.sentAt, p.waiting = request, now, true
		w.outgoing = append(w.outgoing, Message{To: name, Request: request})
	}
}

// next returns what a replica needs next, if anything.
func (w *Writer) next(now time.Time, p *peer) (Request, bool) {
	if !p.answered {
		return Request{Op: OpPrepare}, w.wanted(p)
	}
	switch w.stage {
	case stageProposing:
		abandon := p.reply.Phase == PhaseEstablished
		return Request{Op: OpPropose, Members: w.members, Abandon: abandon}, w.isMember(p) && !p.proposed
	case stageEstablishing:
		return Request{Op: OpEstablish, Members: w.members}, w.isMember(p) && !p.established
	case stageFetching:
		return w.nextFetch(), p.name == w.source
	case stageRecovering, stageServing:
		if w.replicates(p) {
			return w.nextReplication(now, p)
		}
	}
	return Request{}, false
}

// wanted reports whether the replica's state matters.
func (w *Writer) wanted(p *peer) bool {
	switch w.stage {
	case stageDiscovering:
		return true
	case stageFetching, stageRecovering, stageServing:
		return w.named(p.name) || w.change.active && p.name == w.change.in
	}
	return false
}

// named reports whether a member in force, or of the set before an uncommitted change, bears the name.
func (w *Writer) named(name string) bool {
	return contains(w.members, name) || w.membersIndex > w.commit && contains(w.previous, name)
}

func contains(members []Member, name string) bool {
	for _, member := range members {
		if member.Name == name {
			return true
		}
	}
	return false
}

// isMember reports whether the replica is a member in its present incarnation.
func (w *Writer) isMember(p *peer) bool {
	return w.hasMember(w.members, p) || w.membersIndex > w.commit && w.hasMember(w.previous, p)
}

func (w *Writer) hasMember(members []Member, p *peer) bool {
	for _, member := range members {
		if member.Name == p.name && (member.Incarnation == p.incarnation || w.config.weakened.countEmpty) {
			return true
		}
	}
	return false
}

// replicates reports whether the replica receives the log: as a member, or to become one.
func (w *Writer) replicates(p *peer) bool {
	return w.isMember(p) || w.change.active && p.name == w.change.in
}

func (w *Writer) nextFetch() Request {
	if len(w.snapshot.Data) < w.snapshot.Size {
		return Request{Op: OpFetch, Offset: len(w.snapshot.Data), MaxBytes: w.config.MaxBatchBytes}
	}
	return Request{Op: OpFetch, From: w.Last() + 1, MaxBytes: w.config.MaxBatchBytes}
}

func (w *Writer) nextReplication(now time.Time, p *peer) (Request, bool) {
	if p.installs || p.next <= w.snapshot.Index || p.snapshot < w.truncated {
		data := chunk(w.snapshot.Data, p.offset, w.config.MaxBatchBytes)
		return Request{Op: OpInstall, Snapshot: w.snapshot.SnapshotHead, Offset: p.offset, Chunk: data, Commit: w.commit}, true
	}
	fresh := p.next <= w.Last()
	// An idle replica hears of commits late, so that an append costs one message to each replica.
	untold := p.commit < w.commit && (w.change.logged || now.Sub(p.sentAt) >= w.config.RetryAfter/2)
	if !fresh && !untold && p.match >= p.next-1 {
		return Request{}, false
	}
	request := Request{
		Op:        OpAppend,
		PrevIndex: p.next - 1,
		PrevEpoch: w.epochAt(p.next - 1),
		Commit:    w.commit,
	}
	if fresh {
		request.Entries = firstEntries(w.entries[p.next-w.snapshot.Index-1:], w.config.MaxBatchBytes)
	}
	return request, true
}

// take handles a reply by the request that it answers.
func (w *Writer) take(now time.Time, p *peer, reply Reply) {
	switch p.request.Op {
	case OpPrepare:
		w.takePrepare(now, p, reply)
	case OpPropose, OpEstablish:
		w.takeCreation(now, p, reply)
	case OpFetch:
		w.takeFetch(now, p, reply)
	case OpAppend, OpInstall:
		w.takeReplication(now, p, reply)
	}
}

func (w *Writer) takePrepare(now time.Time, p *peer, reply Reply) {
	if reply.Status != StatusOK && reply.Status != StatusUnknown {
		p.waiting, p.sentAt = true, now // its storage refused the promise: asked again later
		return
	}
	*p = peer{
		name: p.name, answered: true, known: reply.Status == StatusOK || w.config.weakened.countEmpty, reply: reply, incarnation: reply.Incarnation,
		commit: reply.Commit, snapshot: reply.Snapshot.Index, sentAt: p.sentAt, heardAt: p.heardAt,
	}
	switch w.stage {
	case stageDiscovering:
		w.decide(now)
	case stageRecovering, stageServing:
		w.locate(p)
	}
}

// takeReplication moves a replica's position in the log.
func (w *Writer) takeReplication(now time.Time, p *peer, reply Reply) {
	switch reply.Status {
	case StatusOK:
		p.commit = reply.Commit
		if p.request.Op == OpInstall {
			w.installed(p, reply)
		} else {
			p.match = max(p.match, p.request.PrevIndex+uint64(len(p.request.Entries)))
			p.next = p.match + 1
		}
	case StatusMismatch:
		if p.request.PrevIndex <= reply.Commit {
			w.fail(ErrDiverged)
			return
		}
		w.moveTo(p, reply.Commit+1)
	case StatusUnknown:
		*p = peer{name: p.name, sentAt: p.sentAt, heardAt: p.heardAt} // it lost its storage: ask for its state
		return
	default:
		p.sentAt = now // refused for now: tried again later
		p.waiting = true
		return
	}
	w.advance(now)
}

func (w *Writer) installed(p *peer, reply Reply) {
	if reply.Snapshot.Index < p.request.Snapshot.Index || reply.Phase != PhaseEstablished {
		p.offset = reply.Staged
		return
	}
	p.offset = 0
	p.installs = false
	p.snapshot = reply.Snapshot.Index
	p.match = max(p.match, p.request.Snapshot.Index)
	p.next = max(p.next, p.match+1)
}

// advance commits what enough members keep. Only an entry of this epoch commits what is before it: a majority that
// keeps an older entry may still be overruled by a writer whose log ends with a higher epoch.
func (w *Writer) advance(now time.Time) {
	for index := w.Last(); index > w.commit && w.epochAt(index) == w.config.Epoch; index-- {
		if w.committable(index) {
			w.commitTo(index)
			break
		}
	}
	if w.stage == stageRecovering && w.commit >= w.recovered {
		w.stage = stageServing
	}
	w.advanceChange(now)
}

// committable reports whether enough members keep the entry. From the entry of a change on, the old set must agree too.
func (w *Writer) committable(index uint64) bool {
	kept := func(p *peer) bool { return p.match >= index }
	if index < w.membersIndex {
		return w.majority(w.previous, kept)
	}
	return w.agreed(kept)
}

func (w *Writer) commitTo(index uint64) {
	for ; w.commit < index; w.commit++ {
		w.inFlight -= w.entries[w.commit-w.snapshot.Index].Size()
	}
}
