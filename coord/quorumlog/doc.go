// Package quorumlog is a replicated log with one writer at a time, fenced by epochs.
//
// A Replica keeps a copy of the log in a Storage; a Writer appends to a set of replicas. Both are state machines: they
// start no goroutine, do no I/O beyond their Storage and read no clock. The caller carries requests and replies, which
// may be lost, repeated, delayed and reordered, and syncs the Storage before a reply leaves.
//
// Guarantees, given epochs of which no two writers share one:
//
//   - An entry is committed once a majority of the members keeps it under its writer's epoch. Every later writer
//     recovers it, at the same index. An entry that was not reported committed may survive or not, for good, once a
//     later writer serves.
//   - A replica refuses whoever has a lower epoch than the highest it has promised (ErrFenced).
//   - The members are written in every replica. A member is a name and an incarnation: a replica that lost its storage
//     has another incarnation, so neither its old promises nor its old copies count. Replacing a member, or letting one
//     that lost its storage rejoin, is an entry that a majority of the old and of the new set must keep.
//   - If so many members lost their storage that no majority is left, opening fails with ErrLost. Nothing is ever
//     appended before all members hold the log as created, so a creation that was cut short can be told from a loss.
package quorumlog

import (
	"errors"
	"fmt"
)

// The errors of a writer. After any of them the writer is of no more use.
var (
	// ErrFenced reports a replica that promised a higher epoch; Fenced says which.
	ErrFenced = errors.New("quorumlog: fenced by a higher epoch")
	// ErrLost reports that a majority of the members lost their storage.
	ErrLost = errors.New("quorumlog: log lost by a majority of its members")
	// ErrUnavailable reports that too few replicas answered in time.
	ErrUnavailable = errors.New("quorumlog: majority not reached")
	// ErrDiverged reports a replica that knows more entries to be committed than the writer recovered: a storage, or the
	// epochs given to the writers, did not keep what they promise.
	ErrDiverged = errors.New("quorumlog: replica is ahead of the recovered log")
	// ErrNotFound reports that no replica keeps the log and that it was not to be created.
	ErrNotFound = errors.New("quorumlog: no such log")
)

// The refusals of a call on a writer, which changes nothing.
var (
	// ErrWindowFull reports that too much is in flight; append again after a commit.
	ErrWindowFull = errors.New("quorumlog: window full")
	// ErrNotServing reports a writer that has not recovered yet, or has failed.
	ErrNotServing = errors.New("quorumlog: writer not serving")
	// ErrBusy reports a member change while another is under way.
	ErrBusy = errors.New("quorumlog: member change under way")
	// ErrNotMember reports a member that is not in the set, or that would be in it twice.
	ErrNotMember = errors.New("quorumlog: not a member")
	// ErrNotCommitted reports a truncation beyond the committed entries.
	ErrNotCommitted = errors.New("quorumlog: not committed")
)

// The errors of a Storage.
var (
	// ErrFull reports that an update does not fit; nothing of it was kept.
	ErrFull = errors.New("quorumlog: storage full")
	// ErrCorrupt reports that what is stored is not what was written.
	ErrCorrupt = errors.New("quorumlog: storage corrupt")
)

// FencedError is an ErrFenced with the epoch promised.
type FencedError struct{ Promised Epoch }

// Error implements error.
func (e *FencedError) Error() string { return fmt.Sprintf("%v: %v", ErrFenced, e.Promised) }

// Unwrap returns ErrFenced.
func (e *FencedError) Unwrap() error { return ErrFenced }
