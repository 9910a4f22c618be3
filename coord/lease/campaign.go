package lease

import (
	"slices"
	"time"

	"github.com/covelink/covelink/coord/voterset"
)

// phase is where a campaign stands.
type phase uint8

const (
	waiting phase = iota
	// probing: one voter is being asked whether it would grant.
	probing
	asking
	held
)

// openRounds bounds the rounds whose answers still count.
const openRounds = 4

// campaign is a candidate's part in the election of one name.
type campaign struct {
	name    string
	rank    int
	phase   phase
	token   Token
	highest Token
	rounds  []round
	// tryAt ends waiting, askUntil probing and asking; renewAt is the next renewal of a lease held.
	tryAt    time.Duration
	askUntil time.Duration
	renewAt  time.Duration
	expires  Instant
	// probe is true when the next attempt is to begin with a probe, since the lease was held when last heard of.
	probe bool
	// again is true when a notice came while asking; noticed is the last one.
	again   bool
	noticed Notice
}

// lapsed reports whether either clock says that the lease held has ended. The wall clock counts because a monotonic
// clock may stand still while the machine is stopped.
func (c *campaign) lapsed(now Instant) bool { return c.expires.Reached(now) }

// wake returns when there is something to do.
func (c *campaign) wake() time.Duration {
	switch c.phase {
	case held:
		return min(c.renewAt, c.expires.Monotonic)
	case probing, asking:
		return c.askUntil
	default:
		return c.tryAt
	}
}

func (c *campaign) open(next round) {
	c.rounds = append(c.rounds, next)
	if len(c.rounds) > openRounds {
		c.rounds = slices.Delete(c.rounds, 0, 1)
	}
}

func (c *campaign) round(number uint64) *round {
	for index := range c.rounds {
		if c.rounds[index].number == number {
			return &c.rounds[index]
		}
	}
	return nil
}

// closeUntil forgets the rounds up to the number: a later one counts for more.
func (c *campaign) closeUntil(number uint64) {
	c.rounds = slices.DeleteFunc(c.rounds, func(r round) bool { return r.number <= number })
}

// round is one ask to all voters of a set.
type round struct {
	number   uint64
	asked    Instant
	set      voterset.Set
	majority int
	grants   []string
	refusals []refusal
}

// refusal is one voter's answer other than a grant.
type refusal struct {
	voter  string
	answer Answer
}

func (r *round) grant(voter string) {
	if !slices.Contains(r.grants, voter) {
		r.grants = append(r.grants, voter)
	}
}

func (r *round) refuse(voter string, answer Answer) {
	if !r.refusedBy(voter) && !slices.Contains(r.grants, voter) {
		r.refusals = append(r.refusals, refusal{voter: voter, answer: answer})
	}
}

func (r *round) refusedBy(voter string) bool {
	return slices.ContainsFunc(r.refusals, func(known refusal) bool { return known.voter == voter })
}

// hopeless reports whether too many voters refused for a majority.
func (r *round) hopeless() bool {
	return len(r.set.Members)-len(r.refusals) < r.majority
}

// onlyToken reports whether voters refused, and all of them because of the token: a higher one may win at once.
func (r *round) onlyToken() bool {
	other := func(known refusal) bool { return known.answer.Verdict != RefusedToken }
	return len(r.refusals) > 0 && r.hopeless() && !slices.ContainsFunc(r.refusals, other)
}

// freeAfter returns how long the refusals say that a majority cannot grant.
func (r *round) freeAfter() time.Duration {
	remaining := make([]time.Duration, 0, len(r.refusals))
	for _, known := range r.refusals {
		remaining = append(remaining, known.answer.Remaining)
	}
	slices.Sort(remaining)
	needed := r.hopelessBy()
	if needed <= 0 || needed > len(remaining) {
		return 0
	}
	return remaining[needed-1]
}

// hopelessBy returns how many of the voters that refused would have to grant for a majority.
func (r *round) hopelessBy() int {
	return r.majority - (len(r.set.Members) - len(r.refusals))
}
