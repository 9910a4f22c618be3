package quorumlog

import (
	"cmp"
	"fmt"
)

// Epoch orders the writers of a log. The zero value is below every writer's.
type Epoch struct {
	// Token is the writer's fencing token, from outside.
	Token uint64
	// Opening tells apart and orders writers that carry the same token, as after a restart. It must be unique among them.
	Opening uint64
}

// Compare returns -1, 0 or +1 as e is lower than, equal to or higher than other.
func (e Epoch) Compare(other Epoch) int {
	if order := cmp.Compare(e.Token, other.Token); order != 0 {
		return order
	}
	return cmp.Compare(e.Opening, other.Opening)
}

// String returns the epoch as token.opening.
func (e Epoch) String() string { return fmt.Sprintf("%d.%d", e.Token, e.Opening) }

// Member is one replica's part in a log.
type Member struct {
	Name string
	// Incarnation changes when the replica loses its storage.
	Incarnation uint64
}

// Kind tells what an entry is.
type Kind uint8

// The kinds.
const (
	// KindData holds the caller's data.
	KindData Kind = iota + 1
	// KindBarrier is the first entry of a writer; with it, all before it is committed.
	KindBarrier
	// KindMembers replaces the member set.
	KindMembers
)

// Entry is one element of the log.
type Entry struct {
	// Index is 1 for the first entry and grows by 1.
	Index uint64
	Epoch Epoch
	Kind  Kind
	// Data is set for KindData.
	Data []byte
	// Members is set for KindMembers.
	Members []Member
}

// entryOverhead is what an entry counts beyond its data, in bytes.
const entryOverhead = 48

// Size returns what the entry counts against limits, in bytes.
func (e Entry) Size() int {
	size := entryOverhead + len(e.Data)
	for _, member := range e.Members {
		size += len(member.Name) + 8
	}
	return size
}

// Head is an entry without its data.
type Head struct {
	Epoch Epoch
	// Members is set for an entry of KindMembers.
	Members []Member
}

// SnapshotHead describes a snapshot, which stands for all entries up to Index.
type SnapshotHead struct {
	Index uint64
	// Epoch is that of the entry at Index, or of the log's creation if Index is 0.
	Epoch Epoch
	// Members is the set in force at Index.
	Members []Member
	// Size is the length of the data in bytes.
	Size int
}

// Phase is how far a replica's copy of a log has come.
type Phase uint8

// The phases.
const (
	// PhaseUnknown: the replica holds nothing of the log. It may have promised an epoch.
	PhaseUnknown Phase = iota
	// PhaseProposed: a creation has begun; no entry was ever appended anywhere.
	PhaseProposed
	// PhaseEstablished: the replica holds the log.
	PhaseEstablished
)

// State is the part of a replica's storage that is replaced as a whole.
type State struct {
	Phase       Phase
	Incarnation uint64
	Promised    Epoch
	// Commit is the highest index known to be committed.
	Commit uint64
}

// Stored is what a Storage holds, without data.
type Stored struct {
	State    State
	Snapshot SnapshotHead
	// Entries follow the snapshot without a gap.
	Entries []Head
}

// Update is one change of a Storage, applied as a whole.
type Update struct {
	State State
	// Snapshot replaces the snapshot and drops the entries up to its index; nil leaves it.
	Snapshot *Snapshot
	// CutAfter drops the entries above the index; KeepAll drops none.
	CutAfter uint64
	// Entries follow what is left.
	Entries []Entry
}

// KeepAll as Update.CutAfter drops no entry.
const KeepAll = ^uint64(0)

// Snapshot is a snapshot with its data.
type Snapshot struct {
	SnapshotHead
	Data []byte
}

// Storage keeps one replica's copy of a log.
type Storage interface {
	// Load returns what is stored; the zero value if nothing is. ErrCorrupt: it can't be trusted.
	Load() (Stored, error)
	// Entries returns the entries from an index on, one at least if there is any, up to maxBytes altogether.
	Entries(from uint64, maxBytes int) ([]Entry, error)
	// SnapshotData returns up to maxBytes of the snapshot's data from an offset on.
	SnapshotData(offset, maxBytes int) ([]byte, error)
	// Write applies the update: wholly, or not at all if it returns an error. It is durable once the caller has synced.
	Write(update Update) error
}
