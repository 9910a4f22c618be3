package metastore

import (
	"slices"
	"time"
)

// maxCallTimes is how many calls the usual time is taken from: enough that one slow call in three leaves it as it is, few enough that it
// follows a link that becomes slow within some calls.
const maxCallTimes = 9

// callTimes are how long the last calls took. It is not safe for concurrent use.
type callTimes struct {
	taken []time.Duration
}

// note takes in how long a call took.
func (c *callTimes) note(took time.Duration) {
	if len(c.taken) == maxCallTimes {
		c.taken = c.taken[1:]
	}
	c.taken = append(c.taken, took)
}

// median returns the middle one; zero if no call was noted.
func (c *callTimes) median() time.Duration {
	if len(c.taken) == 0 {
		return 0
	}
	return slices.Sorted(slices.Values(c.taken))[len(c.taken)/2]
}

// CallTime returns how long a call to the store usually takes, from this process's last calls that were answered and were no watches; zero if
// there was none.
func (o *Outage) CallTime() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.times.median()
}
