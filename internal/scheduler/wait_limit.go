package scheduler

import "time"

// How long an interactive request may wait: a share of its own expected time, or while nothing is measured of the time that
// its caller gives it, and at least minPatience. It keeps the latency of what is admitted near that of an idle system while
// more is asked for.
const (
	patienceFactor   = 1.0
	patienceDeadline = 0.125
	minPatience      = 500 * time.Millisecond
	// overdueFactor is how much longer than admission allows a request may in fact wait before it is refused.
	overdueFactor = 2
)

// Late reports whether the item cannot end by its deadline when it starts at a time.
func (i *Item) Late(start time.Time) bool {
	if i.Deadline.IsZero() || i.Started {
		return false
	}
	return start.Add(max(i.Service, 0)).After(i.Deadline)
}

// Overdue reports whether an interactive item has waited so long at now that it is to be refused if the engines are full.
func (i *Item) Overdue(now time.Time) bool {
	return i.Interactive && !i.Started && now.Sub(i.Since) > overdueFactor*i.patience()
}

func (i *Item) patience() time.Duration {
	share := time.Duration(patienceFactor * float64(i.Service))
	if i.Service <= 0 && !i.Deadline.IsZero() {
		share = time.Duration(patienceDeadline * float64(i.Deadline.Sub(i.Since)))
	}
	return max(minPatience, share)
}
