package lease

import "time"

// try makes an attempt, after a probe if the lease was held when last heard of.
func (c *Candidate) try(now Instant, known *campaign, out *outbox) {
	if !known.probe || len(c.set.Members) == 0 {
		c.begin(now, known, out)
		return
	}
	known.probe = false
	known.phase = probing
	known.askUntil = now.Monotonic + c.config.Length/attemptsPerLength
	c.rounds++
	known.rounds = []round{{number: c.rounds, asked: now, set: c.set, majority: c.majority()}}
	message := out.to(c.probed(now))
	message.Asks = append(message.Asks, Ask{Name: known.name, Token: known.token, Round: c.rounds, Probe: true})
}

// probed returns the voter to probe: this process's own, which costs no message, or each in turn, the same for all leases at
// one moment.
func (c *Candidate) probed(now Instant) string {
	if c.set.Contains(c.config.Name) {
		return c.config.Name
	}
	turn := uint64(now.Monotonic/c.config.Length) + c.config.Incarnation
	return c.set.Members[turn%uint64(len(c.set.Members))]
}

// probeAnswered waits for the end of the grant that the voter tells of, or makes the attempt.
func (c *Candidate) probeAnswered(now Instant, known *campaign, answer Answer, out *outbox) {
	if answer.Verdict != RefusedHeld {
		c.begin(now, known, out)
		return
	}
	known.phase = waiting
	known.rounds = nil
	c.awaitEnd(now, known, answer.Remaining)
}

// awaitEnd plans the next attempt for when the grants heard of have ended.
func (c *Candidate) awaitEnd(now Instant, known *campaign, remaining time.Duration) {
	turn := time.Duration(known.rank) * c.config.RankDelay
	known.tryAt = c.onGrid(now.Monotonic+remaining) + turn + c.config.jitter(c.config.RankDelay)/retryGrid
	known.probe = remaining > 0
}
