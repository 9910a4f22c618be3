package rollout

import (
	"context"
	"errors"
	"sync"

	"github.com/covelink/covelink/internal/leadership"
)

// ErrFenced reports that a later term has opened the log: this owner must stop.
var ErrFenced = errors.New("rollout: log fenced by a later term")

// LogInfo describes where a log's entries are kept.
type LogInfo struct {
	// Replicas names the nodes that keep the log.
	Replicas []string
	// MemoryOnly is true while fewer than a majority of the replicas are on disk.
	MemoryOnly bool
}

// Log is the durable sequence of a ledger's entries, held open by one term.
type Log interface {
	// Append returns nil once all entries are as durable as the log promises. After any error some of them may or may not
	// be kept; the owner must discard its state and recover. ErrFenced: a later term has opened the log.
	Append(ctx context.Context, entries []Entry) error
	// Recover returns the last snapshot (nil if none) and every entry after it, in order.
	Recover(ctx context.Context) (snapshot []byte, entries []Entry, err error)
	// Truncate replaces everything appended so far by the snapshot.
	Truncate(ctx context.Context, snapshot []byte) error
	// Info describes the log as it is kept now.
	Info() LogInfo
}

// LogOpener opens logs.
type LogOpener interface {
	// Open opens the named log for a term; its replicas are in the zones only. Every earlier opening is fenced from then on.
	Open(ctx context.Context, name string, term leadership.Term, zones []string) (Log, error)
}

// MemoryLogs keeps logs in this process: a single copy that survives a change of owner within the process and is lost
// with it. It is for one node and for tests.
type MemoryLogs struct {
	mu   sync.Mutex
	logs map[string]*memoryState
}

type memoryState struct {
	token    uint64
	opening  uint64 // counts openings, since a restarted term may carry the same token
	snapshot []byte
	batches  [][]byte // each an encoded append
}

// NewMemoryLogs returns a LogOpener without logs.
func NewMemoryLogs() *MemoryLogs { return &MemoryLogs{logs: make(map[string]*memoryState)} }

// Open implements LogOpener.
func (m *MemoryLogs) Open(_ context.Context, name string, term leadership.Term, _ []string) (Log, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	state, ok := m.logs[name]
	if !ok {
		state = &memoryState{}
		m.logs[name] = state
	}
	if term.Token < state.token {
		return nil, ErrFenced
	}
	state.token = term.Token
	state.opening++
	return &memoryLog{logs: m, state: state, opening: state.opening}, nil
}

type memoryLog struct {
	logs    *MemoryLogs
	state   *memoryState
	opening uint64
}

// locked runs change unless a later opening has fenced this one.
func (l *memoryLog) locked(ctx context.Context, change func(*memoryState) error) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	l.logs.mu.Lock()
	defer l.logs.mu.Unlock()
	if l.opening != l.state.opening {
		return ErrFenced
	}
	return change(l.state)
}

// Append implements Log.
func (l *memoryLog) Append(ctx context.Context, entries []Entry) error {
	data, err := EncodeEntries(entries)
	if err != nil {
		return err
	}
	return l.locked(ctx, func(state *memoryState) error {
		state.batches = append(state.batches, data)
		return nil
	})
}

// Recover implements Log.
func (l *memoryLog) Recover(ctx context.Context) (snapshot []byte, entries []Entry, err error) {
	err = l.locked(ctx, func(state *memoryState) error {
		snapshot = state.snapshot
		for _, data := range state.batches {
			batch, err := DecodeEntries(data)
			if err != nil {
				return err
			}
			entries = append(entries, batch...)
		}
		return nil
	})
	return snapshot, entries, err
}

// Truncate implements Log.
func (l *memoryLog) Truncate(ctx context.Context, snapshot []byte) error {
	return l.locked(ctx, func(state *memoryState) error {
		state.snapshot = snapshot
		state.batches = nil
		return nil
	})
}

// Info implements Log.
func (l *memoryLog) Info() LogInfo { return LogInfo{MemoryOnly: true} }
