package quorumlog

// Operation is what a request asks for.
type Operation uint8

// The operations.
const (
	// OpPrepare asks for a promise of the epoch and for the state of the log.
	OpPrepare Operation = iota + 1
	// OpPropose creates the log with Members, unless the replica holds it already.
	OpPropose
	// OpEstablish ends the creation that proposed Members.
	OpEstablish
	// OpFetch reads entries or the snapshot.
	OpFetch
	// OpAppend appends Entries behind the entry (PrevIndex, PrevEpoch).
	OpAppend
	// OpInstall replaces everything up to Snapshot.Index by the snapshot, of which Chunk is the part at Offset.
	OpInstall
)

// Request is a message to a replica.
type Request struct {
	// Sequence is repeated in the reply.
	Sequence uint64
	Op       Operation
	Epoch    Epoch
	// Incarnation is the one the replica must have; OpPrepare does not state it.
	Incarnation uint64

	// Of OpPropose and OpEstablish.
	Members []Member
	// Abandon lets OpPropose replace an earlier creation, of which the writer knows that it never ended.
	Abandon bool

	// Of OpAppend.
	PrevIndex uint64
	PrevEpoch Epoch
	Entries   []Entry
	// Commit is the highest index the writer knows to be committed. Also of OpInstall.
	Commit uint64

	// Of OpFetch: the first index wanted. From 0 asks for the snapshot's data at Offset.
	From     uint64
	MaxBytes int

	// Of OpInstall.
	Snapshot SnapshotHead
	Chunk    []byte
	// Offset is also of OpFetch.
	Offset int
}

// Status is the outcome of a request.
type Status uint8

// The outcomes.
const (
	StatusOK Status = iota + 1
	// StatusFenced: the replica has promised the higher epoch Promised.
	StatusFenced
	// StatusUnknown: the replica holds nothing of the log, or has another incarnation than the one stated.
	StatusUnknown
	// StatusExists: the log is established and can't be proposed.
	StatusExists
	// StatusMismatch: the replica does not hold the entry before; it has everything up to Commit.
	StatusMismatch
	// StatusFull: the storage refused the update for its size.
	StatusFull
	// StatusInvalid: the request contradicts itself.
	StatusInvalid
)

// Reply answers a request.
type Reply struct {
	Sequence uint64
	Status   Status
	// The rest describes the replica after the request.
	Phase       Phase
	Incarnation uint64
	Promised    Epoch
	Commit      uint64
	LastIndex   uint64
	LastEpoch   Epoch
	Snapshot    SnapshotHead
	// Members is the newest set in the log, logged at MembersIndex (0: before all entries); Previous is the one before.
	Members      []Member
	Previous     []Member
	MembersIndex uint64

	// Staged is the length of the parts of a snapshot received so far, or of the whole once it is installed.
	Staged int
	// Entries and Chunk are what OpFetch read.
	Entries []Entry
	Chunk   []byte
}
