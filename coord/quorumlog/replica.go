package quorumlog

import (
	"errors"
	"slices"
)

// maxStaged bounds a snapshot, which is received in memory, in bytes.
const maxStaged = 1 << 30

// Replica keeps one copy of a log. It is not safe for concurrent use.
type Replica struct {
	storage  Storage
	stored   Stored
	staging  SnapshotHead
	staged   []byte
	broken   bool
	weakened weakened
}

// weakened switches guards off, so that tests can show that the checker notices.
type weakened struct {
	// noFencing lets a replica serve any epoch.
	noFencing bool
	// halfQuorum takes half of the members for a majority.
	halfQuorum bool
	// countEmpty takes a replica that lost its storage for a member with an empty log.
	countEmpty bool
}

// NewReplica returns the replica over a storage. incarnation names this copy if the storage is empty; it must be one that
// no copy of this log had on this node before, such as a random number. The error is the storage's: after ErrCorrupt
// the caller discards the storage and starts again with an empty one.
func NewReplica(storage Storage, incarnation uint64) (*Replica, error) {
	stored, err := storage.Load()
	if err != nil {
		return nil, err
	}
	if stored.State.Phase == PhaseUnknown {
		stored.State.Incarnation = incarnation
	}
	return &Replica{storage: storage, stored: stored}, nil
}

// Step handles one request. The reply must not be sent before the storage is synced.
func (r *Replica) Step(request Request) Reply {
	status, fetched := r.handle(request)
	reply := r.describe()
	reply.Sequence = request.Sequence
	reply.Status = status
	reply.Entries = fetched.entries
	reply.Chunk = fetched.chunk
	return reply
}

// Broken reports that the storage failed: the copy must be discarded.
func (r *Replica) Broken() bool { return r.broken }

// Promised returns the highest epoch promised.
func (r *Replica) Promised() Epoch { return r.stored.State.Promised }

type fetched struct {
	entries []Entry
	chunk   []byte
}

func (r *Replica) handle(request Request) (Status, fetched) {
	if r.broken {
		return StatusUnknown, fetched{}
	}
	if request.Epoch.Compare(r.stored.State.Promised) < 0 && !r.weakened.noFencing {
		return StatusFenced, fetched{}
	}
	if request.Op != OpPrepare && request.Incarnation != r.stored.State.Incarnation {
		return StatusUnknown, fetched{}
	}
	switch request.Op {
	case OpPrepare:
		return r.prepare(request), fetched{}
	case OpPropose:
		return r.propose(request), fetched{}
	case OpEstablish:
		return r.establish(request), fetched{}
	case OpFetch:
		return r.fetch(request)
	case OpAppend:
		return r.append(request), fetched{}
	case OpInstall:
		return r.install(request), fetched{}
	}
	return StatusInvalid, fetched{}
}

// prepare promises the epoch. A replica without the log promises too, so that no earlier writer can create it here any
// more, but says that it is unknown.
func (r *Replica) prepare(request Request) Status {
	state := r.promise(request.Epoch)
	if state != r.stored.State {
		if status := r.write(Update{State: state, CutAfter: KeepAll}); status != StatusOK {
			return status
		}
	}
	if state.Phase == PhaseUnknown {
		return StatusUnknown
	}
	return StatusOK
}

func (r *Replica) propose(request Request) Status {
	if r.stored.State.Phase == PhaseEstablished && !r.abandons(request) {
		return StatusExists
	}
	if len(request.Members) == 0 || len(request.Members) > maxMembers {
		return StatusInvalid
	}
	state := r.promise(request.Epoch)
	state.Phase = PhaseProposed
	base := &Snapshot{SnapshotHead: SnapshotHead{Epoch: request.Epoch, Members: request.Members}}
	return r.write(Update{State: state, Snapshot: base, CutAfter: KeepAll})
}

// abandons reports whether the proposal gives up an earlier creation that this replica holds.
func (r *Replica) abandons(request Request) bool {
	return request.Abandon && r.lastIndex() == 0 && r.stored.Snapshot.Epoch.Compare(request.Epoch) < 0
}

func (r *Replica) establish(request Request) Status {
	if r.stored.State.Phase == PhaseUnknown {
		return StatusUnknown
	}
	base := r.stored.Snapshot
	if base.Epoch != request.Epoch || !slices.Equal(base.Members, request.Members) {
		return StatusMismatch // another proposal has come in between
	}
	state := r.promise(request.Epoch)
	state.Phase = PhaseEstablished
	return r.write(Update{State: state, CutAfter: KeepAll})
}

func (r *Replica) fetch(request Request) (Status, fetched) {
	if request.Epoch != r.stored.State.Promised && !r.weakened.noFencing {
		return StatusInvalid, fetched{}
	}
	if request.From == 0 {
		chunk, err := r.storage.SnapshotData(request.Offset, request.MaxBytes)
		return r.failed(err), fetched{chunk: chunk}
	}
	if request.From <= r.stored.Snapshot.Index {
		return StatusMismatch, fetched{}
	}
	entries, err := r.storage.Entries(request.From, request.MaxBytes)
	return r.failed(err), fetched{entries: entries}
}

func (r *Replica) append(request Request) Status {
	if r.stored.State.Phase != PhaseEstablished {
		return StatusUnknown
	}
	if !contiguous(request) {
		return StatusInvalid
	}
	state := r.promise(request.Epoch)
	entries := request.Entries
	previous := request.PrevIndex
	for len(entries) > 0 && entries[0].Index <= r.stored.Snapshot.Index {
		previous, entries = entries[0].Index, entries[1:]
	}
	if previous < r.stored.Snapshot.Index {
		return r.write(Update{State: state, CutAfter: KeepAll}) // all of it is in the snapshot
	}
	if previous == request.PrevIndex && !r.holds(previous, request.PrevEpoch) {
		return StatusMismatch
	}
	for len(entries) > 0 && r.holds(entries[0].Index, entries[0].Epoch) {
		previous, entries = entries[0].Index, entries[1:]
	}
	state.Commit = max(state.Commit, min(request.Commit, previous+uint64(len(entries))))
	update := Update{State: state, CutAfter: KeepAll, Entries: entries}
	if len(entries) > 0 && previous < r.lastIndex() {
		if previous < r.stored.State.Commit {
			return StatusInvalid // committed entries are never replaced
		}
		update.CutAfter = previous
	}
	if len(entries) == 0 && state == r.stored.State {
		return StatusOK
	}
	return r.write(update)
}

func contiguous(request Request) bool {
	for offset, entry := range request.Entries {
		if entry.Index != request.PrevIndex+uint64(offset)+1 || entry.Epoch.Compare(request.Epoch) > 0 || !entry.valid() {
			return false
		}
	}
	return true
}

func (r *Replica) install(request Request) Status {
	head := request.Snapshot
	if r.covers(head) {
		r.staging, r.staged = SnapshotHead{}, nil
		return r.write(Update{State: r.promise(request.Epoch), CutAfter: KeepAll})
	}
	if head.Size < 0 || head.Size > maxStaged || request.Offset < 0 || len(head.Members) > maxMembers {
		return StatusInvalid
	}
	if !sameSnapshot(r.staging, head) {
		r.staging, r.staged = head, nil
	}
	if request.Offset == len(r.staged) && len(request.Chunk) <= head.Size-len(r.staged) {
		r.staged = append(r.staged, request.Chunk...)
	}
	if len(r.staged) < head.Size {
		return StatusOK
	}
	state := r.promise(request.Epoch)
	state.Phase = PhaseEstablished
	state.Commit = max(state.Commit, head.Index)
	update := Update{State: state, Snapshot: &Snapshot{SnapshotHead: head, Data: r.staged}, CutAfter: KeepAll}
	if !r.holds(head.Index, head.Epoch) {
		update.CutAfter = head.Index
	}
	r.staging, r.staged = SnapshotHead{}, nil
	return r.write(update)
}

// covers reports whether the replica needs no such snapshot. One that took part in an abandoned creation may hold
// another set of members before the first entry, which must be replaced.
func (r *Replica) covers(head SnapshotHead) bool {
	if r.stored.State.Phase != PhaseEstablished || head.Index > r.stored.Snapshot.Index {
		return false
	}
	held := r.stored.Snapshot
	return head.Index < held.Index || head.Epoch == held.Epoch && slices.Equal(head.Members, held.Members)
}

func sameSnapshot(a, b SnapshotHead) bool {
	return a.Index == b.Index && a.Epoch == b.Epoch && a.Size == b.Size && slices.Equal(a.Members, b.Members)
}

// holds reports whether the replica has the entry (index, epoch), or a snapshot that ends with it.
func (r *Replica) holds(index uint64, epoch Epoch) bool {
	if index == r.stored.Snapshot.Index {
		return epoch == r.stored.Snapshot.Epoch
	}
	if index < r.stored.Snapshot.Index || index > r.lastIndex() {
		return false
	}
	return r.stored.Entries[index-r.stored.Snapshot.Index-1].Epoch == epoch
}

func (r *Replica) promise(epoch Epoch) State {
	state := r.stored.State
	state.Promised = epoch
	return state
}

// write stores an update and follows it in memory.
func (r *Replica) write(update Update) Status {
	if err := r.storage.Write(update); err != nil {
		return r.failed(err)
	}
	r.stored = r.stored.apply(update)
	return StatusOK
}

// failed turns a storage's error into a status; any other than ErrFull ends this copy.
func (r *Replica) failed(err error) Status {
	if err == nil {
		return StatusOK
	}
	if errors.Is(err, ErrFull) {
		return StatusFull
	}
	r.broken = true
	return StatusUnknown
}

// apply returns what is stored after the update.
func (s Stored) apply(update Update) Stored {
	s.State = update.State
	if update.CutAfter != KeepAll {
		keep := max(update.CutAfter, s.Snapshot.Index) - s.Snapshot.Index
		s.Entries = s.Entries[:min(keep, uint64(len(s.Entries)))]
	}
	if update.Snapshot != nil {
		drop := update.Snapshot.Index - s.Snapshot.Index
		s.Entries = slices.Clone(s.Entries[min(drop, uint64(len(s.Entries))):])
		s.Snapshot = update.Snapshot.SnapshotHead
		s.Snapshot.Size = len(update.Snapshot.Data)
	}
	for _, entry := range update.Entries {
		s.Entries = append(s.Entries, Head{Epoch: entry.Epoch, Members: entry.Members})
	}
	return s
}

func (r *Replica) lastIndex() uint64 {
	return r.stored.Snapshot.Index + uint64(len(r.stored.Entries))
}

func (r *Replica) describe() Reply {
	reply := Reply{
		Phase:       r.stored.State.Phase,
		Incarnation: r.stored.State.Incarnation,
		Promised:    r.stored.State.Promised,
		Commit:      r.stored.State.Commit,
		LastIndex:   r.lastIndex(),
		LastEpoch:   r.stored.Snapshot.Epoch,
		Snapshot:    r.stored.Snapshot,
		Members:     r.stored.Snapshot.Members,
		Staged:      len(r.staged),
	}
	if r.broken {
		reply.Phase = PhaseUnknown
		reply.Incarnation = 0 // no member's: its copy does not count
		return reply
	}
	if count := len(r.stored.Entries); count > 0 {
		reply.LastEpoch = r.stored.Entries[count-1].Epoch
	}
	for offset, head := range r.stored.Entries {
		if head.Members == nil {
			continue
		}
		reply.Previous = reply.Members
		reply.Members = head.Members
		reply.MembersIndex = r.stored.Snapshot.Index + uint64(offset) + 1
	}
	return reply
}
