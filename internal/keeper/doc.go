// Package keeper keeps replicas of the sample ledgers for their owners: in a data folder, or in memory on nodes without
// one.
//
// A reply leaves only after what it promises is on disk. Every record carries a checksum that is verified whenever it is
// read; a copy that fails it is discarded and the replica answers as one that lost its storage, never as an empty log.
// The bytes kept are bounded: an update that would not fit is refused before the folder is full.
//
// A node keeps a log only while its own view permits the log's pool in its zone.
package keeper

import "errors"

var (
	// ErrFormat reports a data folder written by a newer covelink.
	ErrFormat = errors.New("keeper: data folder of a newer format")
	// ErrLocked reports a data folder that another process has open.
	ErrLocked = errors.New("keeper: data folder in use")
	// ErrClosed reports a store that was closed.
	ErrClosed = errors.New("keeper: closed")
)
