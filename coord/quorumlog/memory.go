package quorumlog

import "slices"

// MemoryStorage is a Storage in memory: it is lost with the process.
type MemoryStorage struct {
	// Limit bounds the data kept, in bytes; 0 sets no bound.
	Limit    int
	state    State
	snapshot Snapshot
	entries  []Entry
	size     int
}

// Load implements Storage.
func (m *MemoryStorage) Load() (Stored, error) {
	stored := Stored{State: m.state, Snapshot: m.snapshot.SnapshotHead}
	for _, entry := range m.entries {
		stored.Entries = append(stored.Entries, Head{Epoch: entry.Epoch, Members: entry.Members})
	}
	return stored, nil
}

// Entries implements Storage.
func (m *MemoryStorage) Entries(from uint64, maxBytes int) ([]Entry, error) {
	if from <= m.snapshot.Index || from > m.snapshot.Index+uint64(len(m.entries)) {
		return nil, nil
	}
	return firstEntries(m.entries[from-m.snapshot.Index-1:], maxBytes), nil
}

// firstEntries returns the first entries of up to maxBytes altogether, one at least if there is any.
func firstEntries(entries []Entry, maxBytes int) []Entry {
	size := 0
	for count, entry := range entries {
		size += entry.Size()
		if size > maxBytes && count > 0 {
			return entries[:count:count]
		}
	}
	return entries[:len(entries):len(entries)]
}

// SnapshotData implements Storage.
func (m *MemoryStorage) SnapshotData(offset, maxBytes int) ([]byte, error) {
	return chunk(m.snapshot.Data, offset, maxBytes), nil
}

// chunk returns up to maxBytes of data from an offset on.
func chunk(data []byte, offset, maxBytes int) []byte {
	if offset < 0 || offset >= len(data) || maxBytes <= 0 {
		return nil
	}
	return data[offset:min(len(data), offset+maxBytes)]
}

// Write implements Storage. An update that makes the storage smaller is never refused.
func (m *MemoryStorage) Write(update Update) error {
	next := m.apply(update)
	if m.Limit > 0 && next.size > m.Limit && next.size > m.size {
		return ErrFull
	}
	*m = next
	return nil
}

func (m *MemoryStorage) apply(update Update) MemoryStorage {
	next := *m
	next.state = update.State
	if update.CutAfter != KeepAll {
		keep := max(update.CutAfter, next.snapshot.Index) - next.snapshot.Index
		// Cloned, since replies may still refer to what is cut.
		next.entries = slices.Clone(next.entries[:min(keep, uint64(len(next.entries)))])
		next.size = next.count()
	}
	if update.Snapshot != nil {
		drop := min(update.Snapshot.Index-next.snapshot.Index, uint64(len(next.entries)))
		next.entries = slices.Clone(next.entries[drop:])
		next.snapshot = *update.Snapshot
		next.snapshot.Size = len(update.Snapshot.Data)
		next.size = next.count()
	}
	next.entries = append(next.entries, update.Entries...)
	for _, entry := range update.Entries {
		next.size += entry.Size()
	}
	return next
}

func (m *MemoryStorage) count() int {
	size := len(m.snapshot.Data)
	for _, entry := range m.entries {
		size += entry.Size()
	}
	return size
}

// Size returns what the storage holds, in bytes.
func (m *MemoryStorage) Size() int { return m.size }
