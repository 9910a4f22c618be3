// Package usage counts how many requests of each tenant began to run in each window of time, and reports each window to the deployment's
// platform once.
//
// A Meter in each gateway counts; its Teller tells the coordinating process, soon and cumulatively, so that repeats and reordering do no
// harm. The Reporter of the coordinating process sums what all meters that it ever heard of have told, in a Ledger that it also keeps in
// the metadata store, so that its successor knows the same. A gateway that reaches no coordinating process writes what it has counted into
// the store itself.
//
// Guarantees: a window's counts are fixed in the store, under the term's token, before the first report of it is sent, so that every
// report of a window is the same, also a successor's. A report leaves only as package duty permits. A count that was told, and kept in the
// store, outlives the gateway and the coordinating process; one that is told after its window was fixed is lost, and logged.
package usage

import (
	"time"
)

// Window numbers the windows of a length: window k begins k lengths after the beginning of 1970.
type Window int64

// WindowOf returns the window of a moment in true time.
func WindowOf(at time.Time, length time.Duration) Window {
	return Window(at.UnixNano() / int64(length))
}

// End returns when the window is over.
func (w Window) End(length time.Duration) time.Time { return time.Unix(0, int64(w+1)*int64(length)) }

// Counts are numbers of requests by tenant.
type Counts map[string]int64

// add adds other counts.
func (c Counts) add(other Counts) {
	for tenant, count := range other {
		c[tenant] += count
	}
}

// raise takes the larger of each tenant's two counts: both are of one meter, whose counts only grow. It reports whether one has changed.
func (c Counts) raise(other Counts) (changed bool) {
	for tenant, count := range other {
		if count > c[tenant] {
			c[tenant] = count
			changed = true
		}
	}
	return changed
}

// total returns the sum over all tenants.
func (c Counts) total() int64 {
	var total int64
	for _, count := range c {
		total += count
	}
	return total
}

// WindowCounts are the counts of a window.
type WindowCounts struct {
	Window Window
	Counts Counts
}

// Report is a window's counts as they are reported.
type Report = WindowCounts
