// Package configfaults runs the acceptance of configuration under faults, in virtual time: zones of nodes, a store, operators
// that write, and callers whose requests are placed. What decides is the code of the daemon (configsync's Coordinator,
// Replica, Spread and Inquiry, objectapi's Position and Objects, the stand-in's Store); time, network, leases of coordinators
// and processes that pause are simulated. A run is a function of its faults and its seed.
package configfaults

import (
	"time"

	"github.com/covelink/covelink/internal/lab/virtual"
)

// clock is virtual time as moments of the calendar.
type clock struct {
	start  time.Time
	events *virtual.Clock
}

func newClock(start time.Time) clock { return clock{start: start, events: virtual.NewClock()} }

func (c *clock) now() time.Time { return c.start.Add(c.events.Now()) }

// after runs something after a time.
func (c *clock) after(wait time.Duration, run func()) { c.events.After(max(0, wait), run) }

// runUntil runs every event before the end.
func (c *clock) runUntil(end time.Time) { c.events.Run(end.Sub(c.start), nil) }
