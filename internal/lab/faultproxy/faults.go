package faultproxy

import (
	"sync"
	"time"
)

// Direction is the way bytes flow through a proxy.
type Direction int

// The directions.
const (
	// ToTarget is from the dialling side to the target.
	ToTarget Direction = iota
	// ToClient is from the target to the dialling side.
	ToClient
	directions
)

// Faults are the faults of one direction of a link. The zero value carries bytes unharmed.
type Faults struct {
	// Delay is added to every byte; bytes keep their order.
	Delay time.Duration
	// Blackhole takes bytes in and drops them. A connection that lost bytes is reset once the fault ends,
	// for its stream can not be continued.
	Blackhole bool
	// Frozen holds bytes back without taking them in; they flow on once the fault ends.
	Frozen bool
	// Held takes bytes in and keeps them, as the buffers on both sides of a partition do; they flow on once the fault ends. If the sender resets
	// the connection meanwhile they are lost, and if it closes the connection they arrive all the same.
	Held bool
	// BytesPerSecond limits the bandwidth; 0 means no limit.
	BytesPerSecond int
	// CutAfterBytes resets, once, the connection that carries the last of so many more bytes in this direction, be it
	// in the middle of a frame; 0 means never. The bytes may be lost to their receiver, as with any reset.
	CutAfterBytes int64
}

// faultState holds the faults of one direction and tells of changes.
type faultState struct {
	mu      sync.Mutex
	faults  Faults
	changed chan struct{}
}

func newFaultState(faults Faults) *faultState {
	return &faultState{faults: faults, changed: make(chan struct{})}
}

func (s *faultState) get() (Faults, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults, s.changed
}

func (s *faultState) set(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	close(s.changed)
	s.changed = make(chan struct{})
}

// spend counts bytes against CutAfterBytes. It returns how many may be carried and whether the link is cut after them.
func (s *faultState) spend(count int) (allowed int, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := s.faults.CutAfterBytes
	if left <= 0 {
		return count, false
	}
	if int64(count) < left {
		s.faults.CutAfterBytes -= int64(count)
		return count, false
	}
	s.faults.CutAfterBytes = 0
	return int(left), true
}
