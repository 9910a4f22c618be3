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
	// queriesPerLength bounds the queries for one name per lease length.
	queriesPerLength = 8
	// maxHints bounds the cached hints.
	maxHints = 8192
)

// hint is the cached holder of a lease. It may be stale.
type hint struct {
	holder string
	token  lease.Token
	// expires is the expiry of the last reported grant; asked is the time of the last query.
	expires      time.Duration
	lastQuery    time.Duration
	neverQueried bool // no voter was queried yet
	// singleQuery is set by a sighting, and makes the next query go to a single voter; lastVoter is the index of the
	// last such voter.
	singleQuery bool
	lastVoter   int
}

// Holder implements Elector. It does not block: it queries the voters in the background, and reports no holder for a new
// name until they reply.
func (e *LeaseElector) Holder(name string) (cluster.Node, bool) {
	var zones []string
	if e.params.Electorate != nil {
		zones = e.params.Electorate(name)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	g := e.findGroup(name, zones)
	if g == nil {
		return cluster.Node{}, false
	}
	now := e.now()
	if _, ok := g.candidate.Held(now, name); ok {
		return e.params.Self, true
	}
	cached := e.hint(name)
	if sighting := g.voter.Sighting(now, name); sighting.Holder != "" {
		e.applySighting(now, sighting)
	}
	length := e.params.Timing.LeaseLength
	if cached.expires <= now.Monotonic {
		e.query(g, now, name, cached)
	}
	if cached.holder == "" || cached.holder == e.params.Self.Name || now.Monotonic > cached.expires+length {
		return cluster.Node{}, false
	}
	return e.lookupNode(cached.holder)
}

// findGroup returns the group of the zones or, without zones, the group in which this node campaigns for the name, if any.
func (e *LeaseElector) findGroup(name string, zones []string) *group {
	if len(zones) > 0 {
		return e.group(zones)
	}
	for _, g := range e.groups {
		if _, ok := g.campaigns[name]; ok {
			return g
		}
	}
	return nil
}

func (e *LeaseElector) hint(name string) *hint {
	cached, ok := e.hints[name]
	if !ok {
		if len(e.hints) >= maxHints {
			clear(e.hints)
		}
		cached = &hint{neverQueried: true, lastVoter: e.params.Rand.IntN(maxVoters)}
		e.hints[name] = cached
	}
	return cached
}

// Confirm implements HolderObserver. It extends the hint by a lease length if the token matches.
func (e *LeaseElector) Confirm(name string, token uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if cached := e.hint(name); cached.holder != "" && cached.token == lease.Token(token) {
		cached.expires = max(cached.expires, e.now().Monotonic+e.params.Timing.LeaseLength)
		cached.singleQuery = true
	}
}

// Invalidate implements HolderObserver. The next call of Holder queries the voters.
func (e *LeaseElector) Invalidate(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	cached := e.hint(name)
	cached.expires = min(cached.expires, e.now().Monotonic)
}

// query queries the voters for the holder after the reported grant has expired: first a single voter, round robin, and all
// voters if that one reports no current grant. Queries are rate limited by queriesPerLength. The lock is held.
func (e *LeaseElector) query(g *group, now lease.Instant, name string, cached *hint) {
	if !cached.neverQueried && now.Monotonic-cached.lastQuery < e.params.Timing.LeaseLength/queriesPerLength {
		return
	}
	voters := g.candidate.Set().Members
	if cached.singleQuery {
		cached.lastVoter = (cached.lastVoter + 1) % len(voters)
		if voters[cached.lastVoter] == e.params.Self.Name { // Holder has read the local voter
			cached.lastVoter = (cached.lastVoter + 1) % len(voters)
		}
		voters = voters[cached.lastVoter : cached.lastVoter+1]
	}
	cached.neverQueried = false
	cached.singleQuery = false
	cached.lastQuery = now.Monotonic
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

// applySightings updates the hints from the holders reported in a message. The lock is held.
func (e *LeaseElector) applySightings(_ *group, now lease.Instant, message lease.Message) {
	for _, sighting := range message.Sightings {
		e.applySighting(now, sighting)
	}
	for _, answer := range message.Answers {
		if answer.Verdict == lease.RefusedHeld {
			e.applySighting(now, lease.Sighting{
				Name: answer.Name, Holder: answer.Holder, Token: answer.HolderToken, Remaining: answer.Remaining,
			})
		}
	}
}

// applySighting updates the hint unless it has a higher token and has not expired. An expired hint is replaced whatever its
// token, as its grant may belong to a failed attempt. The lock is held.
func (e *LeaseElector) applySighting(now lease.Instant, sighting lease.Sighting) {
	cached := e.hint(sighting.Name)
	outdated := sighting.Token < cached.token && now.Monotonic < cached.expires
	if sighting.Holder == "" || outdated {
		return
	}
	if sighting.Token != cached.token {
		cached.expires = 0
	}
	cached.holder = sighting.Holder
	cached.token = sighting.Token
	cached.expires = max(cached.expires, now.Monotonic+sighting.Remaining)
	cached.singleQuery = cached.expires > now.Monotonic
}

// leaseFree queries all voters and reports whether a majority of them has granted the lease to no one.
func (e *LeaseElector) leaseFree(ctx context.Context, g *group, name string) bool {
	e.mu.Lock()
	set := g.candidate.Set()
	e.mu.Unlock()
	var queries sync.WaitGroup
	free := make([]bool, len(set.Members))
	for index, voter := range set.Members {
		queries.Go(func() { free[index] = e.voterReportsFree(ctx, g, voter, name) })
	}
	queries.Wait()
	count := len(slices.DeleteFunc(free, func(isFree bool) bool { return !isFree }))
	return count >= set.Majority()
}

// voterReportsFree queries one voter. It returns false if the voter does not reply.
func (e *LeaseElector) voterReportsFree(ctx context.Context, g *group, voter, name string) bool {
	e.mu.Lock()
	message := e.queryMessage(g, voter, name)
	node, known := e.lookupNode(voter)
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
