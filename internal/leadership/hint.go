package leadership

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/covelink/covelink/coord/lease"
	"github.com/covelink/covelink/internal/cluster"
)

const (
	// queriesPerLength bounds how often the voters are asked for the holder of one name.
	queriesPerLength = 8
	// maxHints bounds the names remembered.
	maxHints = 8192
)

// hint is the holder of a name as last heard.
type hint struct {
	holder string
	token  lease.Token
	// until is the end of the grant heard of; asked is when voters were last asked.
	until time.Duration
	asked time.Duration
	never bool // no voter was asked yet
	// heardOf is true from a sighting until the first voter is asked after it; next is the voter to ask then.
	heardOf bool
	next    int
}

// Holder implements Elector. It does not wait: a name heard of for the first time may be unknown until the voters, which
// are asked in the background, have answered.
func (e *LeaseElector) Holder(name string) (cluster.Node, bool) {
	var zones []string
	if e.params.Electorate != nil {
		zones = e.params.Electorate(name)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	g := e.groupOf(name, zones)
	if g == nil {
		return cluster.Node{}, false
	}
	now := e.now()
	if _, ok := g.candidate.Held(now, name); ok {
		return e.params.Self, true
	}
	known := e.hint(name)
	if sighting := g.voter.Sighting(now, name); sighting.Holder != "" {
		e.sighted(now, sighting)
	}
	length := e.params.Timing.LeaseLength
	if known.until <= now.Monotonic {
		e.query(g, now, name, known)
	}
	if known.holder == "" || known.holder == e.params.Self.Name || now.Monotonic > known.until+length {
		return cluster.Node{}, false
	}
	return e.lookUp(known.holder)
}

// groupOf returns the group in which this node campaigns for the name, else that of the zones, which may be unknown.
func (e *LeaseElector) groupOf(name string, zones []string) *group {
	if len(zones) > 0 {
		return e.group(zones)
	}
	for _, g := range e.groups {
		if _, ok := g.contests[name]; ok {
			return g
		}
	}
	return nil
}

func (e *LeaseElector) hint(name string) *hint {
	known, ok := e.hints[name]
	if !ok {
		if len(e.hints) >= maxHints {
			clear(e.hints)
		}
		known = &hint{never: true, next: e.params.Rand.IntN(maxVoters)}
		e.hints[name] = known
	}
	return known
}

// Confirm implements Witness: the holder heard of under the token is believed in for another lease length.
func (e *LeaseElector) Confirm(name string, token uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if known := e.hint(name); known.holder != "" && known.token == lease.Token(token) {
		known.until = max(known.until, e.now().Monotonic+e.params.Timing.LeaseLength)
		known.heardOf = true
	}
}

// Doubt implements Witness: the next look for the holder asks the voters.
func (e *LeaseElector) Doubt(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	known := e.hint(name)
	known.until = min(known.until, e.now().Monotonic)
}

// query asks for the holder after the grant heard of has ended: one voter at first, each in turn, then, when that one has told
// of no grant that goes on, all of them, unless they were asked a moment ago. The lock is held.
func (e *LeaseElector) query(g *group, now lease.Instant, name string, known *hint) {
	if !known.never && now.Monotonic-known.asked < e.params.Timing.LeaseLength/queriesPerLength {
		return
	}
	voters := g.candidate.Set().Members
	if known.heardOf {
		known.next = (known.next + 1) % len(voters)
		if voters[known.next] == e.params.Self.Name { // whose vote is known
			known.next = (known.next + 1) % len(voters)
		}
		voters = voters[known.next : known.next+1]
	}
	known.never = false
	known.heardOf = false
	known.asked = now.Monotonic
	for _, voter := range voters {
		if voter != e.params.Self.Name {
			e.send(g, e.queryMessage(g, voter, name), nil)
		}
	}
}

func (e *LeaseElector) queryMessage(g *group, voter, name string) lease.Message {
	return lease.Message{
		From:        e.params.Self.Name,
		To:          voter,
		Incarnation: e.incarnation,
		Set:         g.candidate.Set(),
		Queries:     []string{name},
	}
}

// note takes the holders in that a message tells of. The lock is held.
func (e *LeaseElector) note(_ *group, now lease.Instant, message lease.Message) {
	for _, sighting := range message.Sightings {
		e.sighted(now, sighting)
	}
	for _, answer := range message.Answers {
		if answer.Verdict == lease.RefusedHeld {
			e.sighted(now, lease.Sighting{
				Name: answer.Name, Holder: answer.Holder, Token: answer.HolderToken, Remaining: answer.Remaining,
			})
		}
	}
}

// sighted keeps the sighting of the highest token, until its grant has ended: it may have been of an attempt that failed.
func (e *LeaseElector) sighted(now lease.Instant, sighting lease.Sighting) {
	known := e.hint(sighting.Name)
	outdated := sighting.Token < known.token && now.Monotonic < known.until
	if sighting.Holder == "" || outdated {
		return
	}
	if sighting.Token != known.token {
		known.until = 0
	}
	known.holder = sighting.Holder
	known.token = sighting.Token
	known.until = max(known.until, now.Monotonic+sighting.Remaining)
	known.heardOf = known.until > now.Monotonic
}

// vacant asks all voters whether the lease is held. It is vacant when a majority knows of no holder.
func (e *LeaseElector) vacant(ctx context.Context, g *group, name string) bool {
	e.mu.Lock()
	set := g.candidate.Set()
	e.mu.Unlock()
	var asked sync.WaitGroup
	free := make([]bool, len(set.Members))
	for index, voter := range set.Members {
		asked.Go(func() { free[index] = e.knowsNoHolder(ctx, g, voter, name) })
	}
	asked.Wait()
	count := len(slices.DeleteFunc(free, func(known bool) bool { return !known }))
	return count >= set.Majority()
}

// knowsNoHolder asks one voter.
func (e *LeaseElector) knowsNoHolder(ctx context.Context, g *group, voter, name string) bool {
	e.mu.Lock()
	message := e.queryMessage(g, voter, name)
	node, known := e.lookUp(voter)
	local := g.voter.Sighting(e.now(), name)
	e.mu.Unlock()
	if voter == e.params.Self.Name {
		return local.Holder == ""
	}
	if !known {
		return false
	}
	replies, err := e.call(ctx, node, g.zones, message)
	if err != nil || len(replies) != 1 || len(replies[0].Sightings) != 1 {
		return false
	}
	return replies[0].Sightings[0].Holder == ""
}
