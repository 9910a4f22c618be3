package keeper

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"

	"github.com/covelink/covelink/coord/quorumlog"
)

const (
	// partBytes is the length of the parts in which a snapshot is stored: large values need contiguous free pages.
	partBytes    = 64 << 10
	checksumSize = 8
	// fillPercent suits keys that only grow.
	fillPercent = 0.9
)

var (
	stateKey      = []byte("state")
	headKey       = []byte("snapshot")
	entriesBucket = []byte("entries")
	partsBucket   = []byte("parts")
)

// seal returns the record with its checksum in front, which covers the key too.
func seal(log string, key, record []byte) []byte {
	out := make([]byte, checksumSize, checksumSize+len(record))
	binary.BigEndian.PutUint64(out, checksum(log, key, record))
	return append(out, record...)
}

// unseal returns a record if its checksum holds, else ErrCorrupt.
func unseal(log string, key, sealed []byte) ([]byte, error) {
	if len(sealed) < checksumSize {
		return nil, fmt.Errorf("%w: record missing or short", quorumlog.ErrCorrupt)
	}
	record := sealed[checksumSize:]
	if binary.BigEndian.Uint64(sealed) != checksum(log, key, record) {
		return nil, fmt.Errorf("%w: checksum", quorumlog.ErrCorrupt)
	}
	return record, nil
}

func checksum(log string, key, record []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(log)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write(record)
	return digest.Sum64()
}

func numberKey(number uint64) []byte { return binary.BigEndian.AppendUint64(nil, number) }

// apply writes the update in a transaction.
func (u *update) apply(tx *bbolt.Tx) error {
	logs := tx.Bucket(logsBucket)
	if u.remove {
		err := logs.DeleteBucket([]byte(u.log))
		if errors.Is(err, bbolterrors.ErrBucketNotFound) {
			return nil
		}
		return err
	}
	bucket, err := logs.CreateBucketIfNotExists([]byte(u.log))
	if err != nil {
		return err
	}
	entries, err := bucket.CreateBucketIfNotExists(entriesBucket)
	if err != nil {
		return err
	}
	entries.FillPercent = fillPercent
	if u.content.CutAfter != quorumlog.KeepAll {
		if err := deleteFrom(entries, u.content.CutAfter+1); err != nil {
			return err
		}
	}
	if u.content.Snapshot != nil {
		if err := u.putSnapshot(bucket, entries); err != nil {
			return err
		}
	}
	for _, entry := range u.content.Entries {
		key := numberKey(entry.Index)
		if err := entries.Put(key, seal(u.log, key, quorumlog.EncodeEntry(entry))); err != nil {
			return err
		}
	}
	return bucket.Put(stateKey, seal(u.log, stateKey, quorumlog.EncodeState(u.content.State)))
}

func (u *update) putSnapshot(bucket, entries *bbolt.Bucket) error {
	snapshot := u.content.Snapshot
	if err := deleteThrough(entries, snapshot.Index); err != nil {
		return err
	}
	if err := bucket.DeleteBucket(partsBucket); err != nil && !errors.Is(err, bbolterrors.ErrBucketNotFound) {
		return err
	}
	parts, err := bucket.CreateBucket(partsBucket)
	if err != nil {
		return err
	}
	parts.FillPercent = fillPercent
	for offset := 0; offset < len(snapshot.Data); offset += partBytes {
		key := numberKey(uint64(offset / partBytes))
		part := snapshot.Data[offset:min(len(snapshot.Data), offset+partBytes)]
		if err := parts.Put(key, seal(u.log, key, part)); err != nil {
			return err
		}
	}
	head := snapshot.SnapshotHead
	head.Size = len(snapshot.Data)
	return bucket.Put(headKey, seal(u.log, headKey, quorumlog.EncodeSnapshotHead(head)))
}

func deleteFrom(entries *bbolt.Bucket, index uint64) error {
	cursor := entries.Cursor()
	for key, _ := cursor.Seek(numberKey(index)); key != nil; key, _ = cursor.Seek(numberKey(index)) {
		if err := cursor.Delete(); err != nil {
			return err
		}
	}
	return nil
}

func deleteThrough(entries *bbolt.Bucket, index uint64) error {
	cursor := entries.Cursor()
	for key, _ := cursor.First(); key != nil && binary.BigEndian.Uint64(key) <= index; key, _ = cursor.First() {
		if err := cursor.Delete(); err != nil {
			return err
		}
	}
	return nil
}
