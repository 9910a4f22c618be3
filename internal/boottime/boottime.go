// Package boottime tells how much time has passed, the time in which the machine was suspended included. Go's own readings count that not: the
// monotonic clock stands still meanwhile, so that what was promised for half a second still looks fresh after a sleep of ten.
//
// Use it for what another process counts on: how long a permit lasts, how old a confirmation is, when a request's time is over. A promise is
// judged at the moment of its use: a timer that was armed before a sleep fires as much later.
//
// Guarantees: a moment is never told to be before an earlier one. Moments of this package are compared with each other only; for contexts
// and timers, which follow Go's clock, Until is converted at the moment of use.
package boottime

import (
	"time"
)

// Now returns the present moment.
func Now() time.Time { return time.Now().Add(system.suspended()) }

// Since returns how much time has passed since a moment.
func Since(moment time.Time) time.Duration { return Now().Sub(moment) }

// Until returns how much time passes until a moment.
func Until(moment time.Time) time.Duration { return moment.Sub(Now()) }

// Wall returns what the wall clock showed at a moment that Now has just returned.
func Wall(moment time.Time) time.Time { return moment.Round(0).Add(-Suspended()) }

// Suspended returns for how long the machine was suspended since this process began.
func Suspended() time.Duration { return system.suspended() }

// SimulateSuspension makes this package count a suspension that did not happen, for tests. Go's clock does not see it, as it sees none.
func SimulateSuspension(length time.Duration) { system.simulated.Add(int64(length)) }
