package keeper

import (
	"sync"

	"github.com/covelink/covelink/coord/quorumlog"
)

// memory keeps the logs of a node without a data folder, bounded together.
type memory struct {
	mu    sync.Mutex
	limit int64
	used  int64
	logs  map[string]*memoryLog
}

func newMemory(limit int64) *memory {
	return &memory{limit: limit, logs: make(map[string]*memoryLog)}
}

func (m *memory) log(name string) quorumlog.Storage {
	m.mu.Lock()
	defer m.mu.Unlock()
	kept, ok := m.logs[name]
	if !ok {
		kept = &memoryLog{memory: m}
		m.logs[name] = kept
	}
	return kept
}

func (m *memory) remove(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if kept, ok := m.logs[name]; ok {
		m.used -= int64(kept.Size())
		delete(m.logs, name)
	}
}

// memoryLog is the storage of one log.
type memoryLog struct {
	quorumlog.MemoryStorage
	memory *memory
}

// Write implements quorumlog.Storage: it refuses what does not fit into the memory of all logs.
func (l *memoryLog) Write(update quorumlog.Update) error {
	l.memory.mu.Lock()
	defer l.memory.mu.Unlock()
	before := l.Size()
	l.Limit = int(l.memory.limit-l.memory.used) + before
	if err := l.MemoryStorage.Write(update); err != nil {
		return err
	}
	l.memory.used += int64(l.Size() - before)
	return nil
}
