package gateway

import (
	"sync"
	"time"
)

// The bounds of what is kept of streams that have ended.
const (
	replayTTL      = time.Minute
	replayMaxBytes = 32 << 20
	replayMaxLogs  = 4096
)

// replayKey identifies a request that a caller may come back to.
type replayKey struct {
	caller string
	key    string
}

type replayEntry struct {
	log     *eventLog
	bytes   int
	expires time.Time
}

// replayStore keeps the event logs of streams with an idempotency key: those that run, whose number the limits of
// the applications bound, and those that have ended, for a bounded time and up to a bounded size, oldest out first.
type replayStore struct {
	now func() time.Time

	mu      sync.Mutex
	running map[replayKey]*eventLog
	ended   map[replayKey]*replayEntry
	order   []replayKey // the keys of ended, oldest first
	bytes   int
}

func newReplayStore(now func() time.Time) *replayStore {
	return &replayStore{
		now:     now,
		running: make(map[replayKey]*eventLog),
		ended:   make(map[replayKey]*replayEntry),
	}
}

// start makes the log findable while it runs. A later log under the same key takes its place.
func (s *replayStore) start(key replayKey, log *eventLog) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[key] = log
}

// finish moves the log, which has ended, to the bounded part.
func (s *replayStore) finish(key replayKey, log *eventLog) {
	size := log.size()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running[key] != log {
		return
	}
	delete(s.running, key)
	s.drop(key)
	s.ended[key] = &replayEntry{log: log, bytes: size, expires: s.now().Add(replayTTL)}
	s.order = append(s.order, key)
	s.bytes += size
	s.evict()
}

// find returns the log of the key, or nil.
func (s *replayStore) find(key replayKey) *eventLog {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evict()
	if log, ok := s.running[key]; ok {
		return log
	}
	if entry, ok := s.ended[key]; ok {
		return entry.log
	}
	return nil
}

// evict removes what is past its time or above the bounds. The lock must be held.
func (s *replayStore) evict() {
	now := s.now()
	for len(s.order) > 0 {
		entry := s.ended[s.order[0]]
		over := s.bytes > replayMaxBytes || len(s.ended) > replayMaxLogs
		if entry != nil && !over && now.Before(entry.expires) {
			return
		}
		s.drop(s.order[0])
	}
}

// drop removes an ended log and its place in the order. The lock must be held.
func (s *replayStore) drop(key replayKey) {
	entry, ok := s.ended[key]
	if !ok {
		return
	}
	s.bytes -= entry.bytes
	delete(s.ended, key)
	for index, other := range s.order {
		if other == key {
			s.order = append(s.order[:index], s.order[index+1:]...)
			return
		}
	}
}
