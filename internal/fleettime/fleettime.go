// Package fleettime estimates true time on machines whose wall clocks may step. It measures with the boottime clock and adds an offset: that
// of the local wall clock (Local), the median of several machines (Consensus), or that of another process (Remote).
//
// A step counts once it has lasted for stepConfirmation. Shorter steps, and lasting ones on fewer than half of the machines of a Consensus,
// have no effect; nor has any local step on a Remote that has a sample.
package fleettime

import (
	"slices"
	"sync"
	"time"

	"github.com/covelink/covelink/internal/boottime"
)

const (
	// stepConfirmation is how long a wall clock step must last before it is accepted, so that one which is corrected soon has no effect.
	stepConfirmation = time.Minute
	// maxDrift is the largest offset change between two readings that counts as drift rather than as a step.
	maxDrift = 20 * time.Millisecond
	// voteTTL is how long a machine's vote counts. Candidates send theirs several times a second.
	voteTTL = 5 * time.Second
	// sampleTTL is how long a sample is preferred over newer ones with a longer round trip. Boottime clocks drift apart by less than a
	// millisecond in that time.
	sampleTTL = time.Minute
)

// Clock estimates true time.
type Clock interface {
	// At returns the true time at a moment returned by boottime.Now in this process.
	At(moment time.Time) time.Time
}

// origin is the wall clock reading to which the boottime clock is anchored, so that later steps have no effect.
type origin struct{ began time.Time }

// wallTime returns what the wall clock would show at a moment had it not stepped since the origin.
func (o origin) wallTime(moment time.Time) time.Time {
	return o.began.Round(0).Add(moment.Sub(o.began))
}

// Local is the clock of this machine. It is safe for concurrent use.
type Local struct {
	origin origin
	now    func() time.Time
	// wall returns the wall clock reading at a moment just returned by now.
	wall func(moment time.Time) time.Time
	mu   sync.Mutex
	// offset is the accepted offset of the wall clock from the boottime clock.
	offset time.Duration
	// pendingOffset is the offset after a step that is not yet accepted, and pendingSince when the step was first seen; zero if there is none.
	pendingOffset time.Duration
	pendingSince  time.Time
}

// NewLocal returns a Local. now is boottime.Now, except in tests.
func NewLocal(now func() time.Time) *Local {
	return &Local{origin: origin{began: now()}, now: now, wall: boottime.Wall}
}

// At implements Clock.
func (l *Local) At(moment time.Time) time.Time {
	return l.origin.wallTime(moment).Add(l.updateOffset())
}

// updateOffset reads the wall clock, and returns the accepted offset.
func (l *Local) updateOffset() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	offset := l.wall(now).Sub(l.origin.wallTime(now))
	switch {
	case withinDrift(offset, l.offset):
		l.offset, l.pendingSince = offset, time.Time{}
	case l.pendingSince.IsZero() || !withinDrift(offset, l.pendingOffset):
		l.pendingOffset, l.pendingSince = offset, now
	case now.Sub(l.pendingSince) >= stepConfirmation:
		l.offset, l.pendingSince = offset, time.Time{}
	default:
		l.pendingOffset = offset
	}
	return l.offset
}

func withinDrift(a, b time.Duration) bool { return (a - b).Abs() <= maxDrift }

// Consensus is the median of the clocks of several machines, including its own. It is safe for concurrent use.
type Consensus struct {
	// Own is the clock of this machine.
	Own   *Local
	mu    sync.Mutex
	votes map[string]vote
}

// vote is the offset of another machine's clock from the local boottime clock.
type vote struct {
	offset time.Duration
	at     time.Time
}

// NewConsensus returns a Consensus with its own clock only.
func NewConsensus(own *Local) *Consensus {
	return &Consensus{Own: own, votes: make(map[string]vote)}
}

// AddVote records the time just received from the Local of another machine. Transit delay makes that clock appear behind by as much.
func (c *Consensus) AddVote(machine string, reading time.Time) {
	if machine == "" || reading.IsZero() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Own.now()
	c.votes[machine] = vote{offset: reading.Round(0).Sub(c.Own.origin.wallTime(now)), at: now}
}

// At implements Clock. It takes the median of the votes that have not expired.
func (c *Consensus) At(moment time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Own.now()
	offsets := []time.Duration{c.Own.updateOffset()}
	for machine, entry := range c.votes {
		if now.Sub(entry.at) > voteTTL {
			delete(c.votes, machine)
			continue
		}
		offsets = append(offsets, entry.offset)
	}
	slices.Sort(offsets)
	return c.Own.origin.wallTime(moment).Add(offsets[(len(offsets)-1)/2])
}

// Remote is the time of another process; until a sample is recorded, that of the local wall clock. It is safe for concurrent use.
type Remote struct {
	origin origin
	now    func() time.Time
	mu     sync.Mutex
	sample sample
}

// sample is the offset measured in one exchange with the source.
type sample struct {
	offset    time.Duration
	roundTrip time.Duration
	at        time.Time
}

// NewRemote returns a Remote without samples. now is boottime.Now, except in tests.
func NewRemote(now func() time.Time) *Remote {
	return &Remote{origin: origin{began: now()}, now: now}
}

// AddSample records a time that the source returned in an exchange between two moments. The error is at most half of the round trip, so that a
// sample is replaced by one with a shorter round trip, or once it expires.
func (r *Remote) AddSample(sent, received, reported time.Time) {
	if reported.IsZero() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	roundTrip := received.Sub(sent)
	fresh := !r.sample.at.IsZero() && r.now().Sub(r.sample.at) < sampleTTL
	if fresh && roundTrip > r.sample.roundTrip {
		return
	}
	middle := r.origin.wallTime(sent.Add(roundTrip / 2))
	r.sample = sample{offset: reported.Round(0).Sub(middle), roundTrip: roundTrip, at: r.now()}
}

// Known reports whether a sample has been recorded.
func (r *Remote) Known() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.sample.at.IsZero()
}

// At implements Clock.
func (r *Remote) At(moment time.Time) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sample.at.IsZero() {
		return boottime.Wall(moment)
	}
	return r.origin.wallTime(moment).Add(r.sample.offset)
}
