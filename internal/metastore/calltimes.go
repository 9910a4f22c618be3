package metastore

import (
	"slices"
	"time"
)

// maxCallTimes is the number of calls that the median is taken of: enough that one slow call in three does not change it, and few enough that it
// follows a link that becomes slow after five calls.
const maxCallTimes = 9

// callTimes holds how long the last maxCallTimes calls took. It is not safe for concurrent use.
type callTimes struct {
	taken []time.Duration
}

// note adds a call's time and drops the oldest beyond maxCallTimes.
func (c *callTimes) note(took time.Duration) {
	if len(c.taken) == maxCallTimes {
		c.taken = c.taken[1:]
	}
	c.taken = append(c.taken, took)
}

// median returns the median time; zero if there is none.
func (c *callTimes) median() time.Duration {
	if len(c.taken) == 0 {
		return 0
	}
	return slices.Sorted(slices.Values(c.taken))[len(c.taken)/2]
}

// CallTime returns the median time of this process's last calls to the store that were answered, without watches; zero if there was none.
func (o *Outage) CallTime() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.times.median()
}
