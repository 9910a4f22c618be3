package keeper

import (
	"fmt"

	"go.etcd.io/bbolt"

	"github.com/covelink/covelink/coord/quorumlog"
)

// diskLog is the quorumlog.Storage of one log of a Disk. What Write has done is durable when it returns.
type diskLog struct {
	disk *Disk
	name string
}

// Log returns the storage of a log.
func (d *Disk) Log(name string) quorumlog.Storage { return &diskLog{disk: d, name: name} }

// Remove deletes a log.
func (d *Disk) Remove(name string) error { return d.commit(&update{log: name, remove: true}) }

// Write implements quorumlog.Storage.
func (l *diskLog) Write(content quorumlog.Update) error {
	return l.disk.commit(&update{log: l.name, content: content})
}

// view reads from the log's bucket; read is not called if there is none.
func (l *diskLog) view(read func(bucket *bbolt.Bucket) error) error {
	return protect(func() error {
		return l.disk.db.View(func(tx *bbolt.Tx) error {
			bucket := tx.Bucket(logsBucket).Bucket([]byte(l.name))
			if bucket == nil {
				return nil
			}
			return read(bucket)
		})
	})
}

// Load implements quorumlog.Storage.
func (l *diskLog) Load() (stored quorumlog.Stored, err error) {
	err = l.view(func(bucket *bbolt.Bucket) error {
		if stored.State, err = read(l.name, bucket, stateKey, quorumlog.DecodeState); err != nil {
			return err
		}
		if bucket.Get(headKey) != nil {
			if stored.Snapshot, err = read(l.name, bucket, headKey, quorumlog.DecodeSnapshotHead); err != nil {
				return err
			}
		} else if stored.State.Phase != quorumlog.PhaseUnknown {
			return fmt.Errorf("%w: no snapshot", quorumlog.ErrCorrupt)
		}
		return l.eachEntry(bucket, stored.Snapshot.Index+1, func(entry quorumlog.Entry) bool {
			stored.Entries = append(stored.Entries, quorumlog.Head{Epoch: entry.Epoch, Members: entry.Members})
			return true
		})
	})
	if err != nil {
		return quorumlog.Stored{}, err
	}
	last := stored.Snapshot.Index + uint64(len(stored.Entries))
	if stored.State.Commit > last {
		return quorumlog.Stored{}, fmt.Errorf("%w: committed entries missing", quorumlog.ErrCorrupt)
	}
	return stored, nil
}

func read[T any](log string, bucket *bbolt.Bucket, key []byte, decode func([]byte) (T, error)) (T, error) {
	record, err := unseal(log, key, bucket.Get(key))
	if err != nil {
		var none T
		return none, err
	}
	return decode(record)
}

// eachEntry visits the entries from an index on until visit returns false. A gap is ErrCorrupt.
func (l *diskLog) eachEntry(bucket *bbolt.Bucket, from uint64, visit func(quorumlog.Entry) bool) error {
	entries := bucket.Bucket(entriesBucket)
	if entries == nil {
		return fmt.Errorf("%w: no entries", quorumlog.ErrCorrupt)
	}
	cursor := entries.Cursor()
	next := from
	for key, value := cursor.Seek(numberKey(from)); key != nil; key, value = cursor.Next() {
		record, err := unseal(l.name, key, value)
		if err != nil {
			return err
		}
		entry, err := quorumlog.DecodeEntry(record)
		if err != nil {
			return err
		}
		if entry.Index != next {
			return fmt.Errorf("%w: entry %d in place of %d", quorumlog.ErrCorrupt, entry.Index, next)
		}
		if !visit(entry) {
			return nil
		}
		next++
	}
	return nil
}

// Entries implements quorumlog.Storage.
func (l *diskLog) Entries(from uint64, maxBytes int) ([]quorumlog.Entry, error) {
	var entries []quorumlog.Entry
	size := 0
	err := l.view(func(bucket *bbolt.Bucket) error {
		return l.eachEntry(bucket, from, func(entry quorumlog.Entry) bool {
			size += entry.Size()
			if size > maxBytes && len(entries) > 0 {
				return false
			}
			entries = append(entries, entry)
			return true
		})
	})
	return entries, err
}

// SnapshotData implements quorumlog.Storage.
func (l *diskLog) SnapshotData(offset, maxBytes int) ([]byte, error) {
	if offset < 0 || maxBytes <= 0 {
		return nil, nil
	}
	var data []byte
	err := l.view(func(bucket *bbolt.Bucket) error {
		parts := bucket.Bucket(partsBucket)
		if parts == nil {
			return nil
		}
		cursor := parts.Cursor()
		skip := offset % partBytes
		for key, value := cursor.Seek(numberKey(uint64(offset / partBytes))); key != nil && len(data) < maxBytes; key, value = cursor.Next() {
			part, err := unseal(l.name, key, value)
			if err != nil {
				return err
			}
			data = append(data, part[min(skip, len(part)):]...)
			skip = 0
		}
		return nil
	})
	return data[:min(len(data), maxBytes)], err
}
