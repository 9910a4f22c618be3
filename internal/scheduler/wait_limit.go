package scheduler

import "time"

// The wait of an interactive request is limited to a multiple of its expected service time or, if that is unknown, to a share of the time
// until its deadline, and at least minWaitLimit. This bounds the latency of admitted requests under overload.
const (
	waitServiceFactor = 1.0
	waitDeadlineShare = 0.125
	minWaitLimit      = 500 * time.Millisecond
	// overdueFactor is how far a queued request may exceed the limit applied at admission before it is refused.
	overdueFactor = 2
)

// Late reports whether the item would miss its deadline if it started at the given time.
func (i *Item) Late(start time.Time) bool {
	if i.Deadline.IsZero() || i.Started {
		return false
	}
	return start.Add(max(i.ServiceTime, 0)).After(i.Deadline)
}

// Overdue reports whether an interactive item has waited too long at now and is to be refused if the engines are full.
func (i *Item) Overdue(now time.Time) bool {
	return i.Interactive && !i.Started && now.Sub(i.ArrivedAt) > overdueFactor*i.waitLimit()
}

func (i *Item) waitLimit() time.Duration {
	share := time.Duration(waitServiceFactor * float64(i.ServiceTime))
	if i.ServiceTime <= 0 && !i.Deadline.IsZero() {
		share = time.Duration(waitDeadlineShare * float64(i.Deadline.Sub(i.ArrivedAt)))
	}
	return max(minWaitLimit, share)
}
