// Package fleettime estimates true time on machines whose clocks may step.
//
// A process measures time by its steady clock alone, and takes what is added to it from others: a Consensus from the median of the clocks
// of several machines, a Remote from the process that holds a Consensus. A step of the clocks of fewer than half of the machines that a
// Consensus hears changes what it tells by less than the clocks of the others differ; a step of the own clock never changes what a Remote
// tells once it has heard from its source.
package fleettime

import (
	"slices"
	"sync"
	"time"
)

const (
	// voteLife is how long after it was told a machine's clock counts: candidates tell it several times a second.
	voteLife = 5 * time.Second
	// sampleLife is how long a sample with a short round trip is kept rather than one with a longer: steady clocks drift apart by less
	// than a millisecond in that time.
	sampleLife = time.Minute
)

// Clock tells true time.
type Clock interface {
	// At returns the true time at a moment that time.Now returned in this process.
	At(moment time.Time) time.Time
}

// origin ties the steady clock of the process to its wall clock once, so that later steps of the latter do not show.
type origin struct{ began time.Time }

// steady returns a moment as the wall clock would show it had it not been stepped since the process began to measure.
func (o origin) steady(moment time.Time) time.Time { return o.began.Round(0).Add(moment.Sub(o.began)) }

// Consensus is the median of the clocks of several machines, its own included. It is safe for concurrent use.
type Consensus struct {
	origin origin
	now    func() time.Time
	// wall returns what the own wall clock shows at a moment that now has just returned.
	wall  func(moment time.Time) time.Time
	mu    sync.Mutex
	votes map[string]vote
}

// wallReading returns the wall clock's part of a moment.
func wallReading(moment time.Time) time.Time { return moment.Round(0) }

// vote is by how much another machine's clock is ahead of the steady clock.
type vote struct {
	ahead time.Duration
	at    time.Time
}

// NewConsensus returns a Consensus of one machine. now is time.Now, but for tests.
func NewConsensus(now func() time.Time) *Consensus {
	return &Consensus{origin: origin{began: now()}, now: now, wall: wallReading, votes: make(map[string]vote)}
}

// Note takes in what the clock of another machine has just shown. What it is late by, on its way here, counts as if that clock were behind.
func (c *Consensus) Note(machine string, shown time.Time) {
	if machine == "" || shown.IsZero() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	c.votes[machine] = vote{ahead: shown.Round(0).Sub(c.origin.steady(now)), at: now}
}

// At implements Clock.
func (c *Consensus) At(moment time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	own := c.wall(now).Sub(c.origin.steady(now))
	aheads := []time.Duration{own}
	for machine, told := range c.votes {
		if now.Sub(told.at) > voteLife {
			delete(c.votes, machine)
			continue
		}
		aheads = append(aheads, told.ahead)
	}
	slices.Sort(aheads)
	return c.origin.steady(moment).Add(aheads[(len(aheads)-1)/2])
}

// Remote is the time that another process tells. Until it has told any, it is that of the own clock. It is safe for concurrent use.
type Remote struct {
	origin origin
	now    func() time.Time
	mu     sync.Mutex
	sample sample
}

// sample is what the source told in one exchange.
type sample struct {
	ahead     time.Duration
	roundTrip time.Duration
	at        time.Time
}

// NewRemote returns a Remote that has heard nothing. now is time.Now, but for tests.
func NewRemote(now func() time.Time) *Remote {
	return &Remote{origin: origin{began: now()}, now: now}
}

// Note takes in the time that the source told in an exchange between two moments. The error of the estimate is at most half of the time
// between them, so that a sample gives way only to one with a shorter round trip, or when it is old.
func (r *Remote) Note(asked, answered, told time.Time) {
	if told.IsZero() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	roundTrip := answered.Sub(asked)
	fresh := !r.sample.at.IsZero() && r.now().Sub(r.sample.at) < sampleLife
	if fresh && roundTrip > r.sample.roundTrip {
		return
	}
	middle := r.origin.steady(asked.Add(roundTrip / 2))
	r.sample = sample{ahead: told.Round(0).Sub(middle), roundTrip: roundTrip, at: r.now()}
}

// Known reports whether the source has told the time.
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
		return moment.Round(0)
	}
	return r.origin.steady(moment).Add(r.sample.ahead)
}
