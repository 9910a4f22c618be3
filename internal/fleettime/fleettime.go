// Package fleettime estimates true time on machines whose clocks may step.
//
// A process measures time by its steady clock alone, and takes what is added to it from a wall clock: a Local from that of its machine, a
// Consensus from the median of the Locals of several machines, a Remote from the process that holds a Consensus.
//
// A step of a wall clock counts for its Local once it has lasted for stepPatience. So steps that are taken back before then, on however many
// machines, change nothing; nor do lasting ones, or clocks that were wrong when their processes began, on fewer than half of the machines
// that a Consensus hears. A step of the own clock never changes what a Remote tells once it has heard from its source.
package fleettime

import (
	"slices"
	"sync"
	"time"

	"github.com/covelink/covelink/internal/boottime"
)

const (
	// stepPatience is how long a wall clock must have been ahead or behind before it is believed: clocks that are stepped by mistake are set
	// right within some seconds, and one that was set right is believed after a minute.
	stepPatience = time.Minute
	// maxDrift is the most by which a wall clock may leave the steady clock between two looks without that being a step: clocks that are
	// disciplined run faster or slower by less than a thousandth.
	maxDrift = 20 * time.Millisecond
	// voteLife is how long after it was told a machine's clock counts: candidates tell it several times a second.
	voteLife = 5 * time.Second
	// sampleLife is how long a sample with a short round trip is kept rather than one with a longer: steady clocks drift apart by less
	// than a millisecond in that time.
	sampleLife = time.Minute
)

// Clock tells true time.
type Clock interface {
	// At returns the true time at a moment that boottime.Now returned in this process.
	At(moment time.Time) time.Time
}

// origin ties the steady clock of the process to its wall clock once, so that later steps of the latter do not show.
type origin struct{ began time.Time }

// steady returns a moment as the wall clock would show it had it not been stepped since the process began to measure.
func (o origin) steady(moment time.Time) time.Time { return o.began.Round(0).Add(moment.Sub(o.began)) }

// Local is the clock of this machine. It is safe for concurrent use.
type Local struct {
	origin origin
	now    func() time.Time
	// wall returns what the wall clock shows at a moment that now has just returned.
	wall func(moment time.Time) time.Time
	mu   sync.Mutex
	// ahead is by how much the wall clock is believed to be ahead of the steady clock.
	ahead time.Duration
	// stepped is by how much it shows to be ahead after a step that is not believed yet, and steppedAt when that was first seen; zero if
	// there is none.
	stepped   time.Duration
	steppedAt time.Time
}

// NewLocal returns a Local. now is boottime.Now, but for tests.
func NewLocal(now func() time.Time) *Local {
	return &Local{origin: origin{began: now()}, now: now, wall: boottime.Wall}
}

// At implements Clock.
func (l *Local) At(moment time.Time) time.Time { return l.origin.steady(moment).Add(l.look()) }

// look compares the clocks, and returns by how much the wall clock is believed to be ahead.
func (l *Local) look() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	shown := l.wall(now).Sub(l.origin.steady(now))
	switch {
	case near(shown, l.ahead):
		l.ahead, l.steppedAt = shown, time.Time{}
	case l.steppedAt.IsZero() || !near(shown, l.stepped):
		l.stepped, l.steppedAt = shown, now
	case now.Sub(l.steppedAt) >= stepPatience:
		l.ahead, l.steppedAt = shown, time.Time{}
	default:
		l.stepped = shown
	}
	return l.ahead
}

func near(a, b time.Duration) bool { return (a - b).Abs() <= maxDrift }

// Consensus is the median of the clocks of several machines, its own included. It is safe for concurrent use.
type Consensus struct {
	// Own is the clock of this machine.
	Own   *Local
	mu    sync.Mutex
	votes map[string]vote
}

// vote is by how much another machine's clock is ahead of the steady clock.
type vote struct {
	ahead time.Duration
	at    time.Time
}

// NewConsensus returns a Consensus of one machine.
func NewConsensus(own *Local) *Consensus {
	return &Consensus{Own: own, votes: make(map[string]vote)}
}

// Note takes in what the Local of another machine has just told. What it is late by, on its way here, counts as if that clock were behind.
func (c *Consensus) Note(machine string, shown time.Time) {
	if machine == "" || shown.IsZero() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Own.now()
	c.votes[machine] = vote{ahead: shown.Round(0).Sub(c.Own.origin.steady(now)), at: now}
}

// At implements Clock.
func (c *Consensus) At(moment time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Own.now()
	aheads := []time.Duration{c.Own.look()}
	for machine, told := range c.votes {
		if now.Sub(told.at) > voteLife {
			delete(c.votes, machine)
			continue
		}
		aheads = append(aheads, told.ahead)
	}
	slices.Sort(aheads)
	return c.Own.origin.steady(moment).Add(aheads[(len(aheads)-1)/2])
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

// NewRemote returns a Remote that has heard nothing. now is boottime.Now, but for tests.
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
		return boottime.Wall(moment)
	}
	return r.origin.steady(moment).Add(r.sample.ahead)
}
