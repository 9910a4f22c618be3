package forward

import (
	"slices"
	"strings"

	"github.com/covelink/covelink/internal/routing"
)

// fairQueue holds the waiting requests of one service. Ranks go first; within a rank tenants are served by start-time fair queueing with equal
// weights, and the requests of one tenant by arrival. With one tenant the order is that of rank and arrival. It is not safe for concurrent use.
type fairQueue struct {
	// lanes are in the order of their ranks; none is empty.
	lanes []*fairLane
	size  int
}

// fairLane holds the waiting requests of one rank.
type fairLane struct {
	rank routing.Rank
	// virtual is the start time of the request that was taken last.
	virtual float64
	flows   map[string]*fairFlow
	size    int
}

// fairFlow holds the waiting requests of one tenant. start is the virtual start time of the first; each further one starts 1 later. A flow without
// waiting requests is kept until virtual time has passed its start, so that a tenant does not gain by an empty queue.
type fairFlow struct {
	tenant  string
	start   float64
	waiters []*waiter
}

// push adds a waiter.
func (q *fairQueue) push(entry *waiter) {
	lane := q.lane(entry.rank)
	flow, ok := lane.flows[entry.tenant]
	if !ok {
		flow = &fairFlow{tenant: entry.tenant}
		lane.flows[entry.tenant] = flow
	}
	if len(flow.waiters) == 0 {
		flow.start = max(flow.start, lane.virtual)
	}
	position, _ := slices.BinarySearchFunc(flow.waiters, entry, func(other, own *waiter) int {
		if order := other.arrived.Compare(own.arrived); order != 0 {
			return order
		}
		return -1
	})
	flow.waiters = slices.Insert(flow.waiters, position, entry)
	lane.size++
	q.size++
}

// lane returns the lane of a rank, and adds it if there is none.
func (q *fairQueue) lane(rank routing.Rank) *fairLane {
	position, found := slices.BinarySearchFunc(q.lanes, rank, func(lane *fairLane, rank routing.Rank) int { return lane.rank.Compare(rank) })
	if !found {
		q.lanes = slices.Insert(q.lanes, position, &fairLane{rank: rank, flows: make(map[string]*fairFlow)})
	}
	return q.lanes[position]
}

// take removes and returns the first waiter that eligible accepts, of the tenants that admits accepts, and charges its tenant; nil if there is none.
// Tenants that are not admitted gain no claim to be served first later.
func (q *fairQueue) take(admits func(tenant string) bool, eligible func(entry *waiter) bool) *waiter {
	for _, lane := range q.lanes {
		var passedOver []*fairFlow
		for _, flow := range lane.backlogged() {
			if !admits(flow.tenant) {
				passedOver = append(passedOver, flow)
				continue
			}
			position := slices.IndexFunc(flow.waiters, eligible)
			if position < 0 {
				continue
			}
			entry := flow.waiters[position]
			lane.virtual = max(lane.virtual, flow.start)
			for _, other := range passedOver {
				other.start = max(other.start, flow.start)
			}
			flow.start++
			q.delete(lane, flow, position)
			return entry
		}
	}
	return nil
}

// remove removes a waiter that was not released, without a charge. It returns false if it does not wait.
func (q *fairQueue) remove(entry *waiter) bool {
	for _, lane := range q.lanes {
		if lane.rank.Compare(entry.rank) != 0 {
			continue
		}
		flow := lane.flows[entry.tenant]
		if flow == nil {
			return false
		}
		position := slices.Index(flow.waiters, entry)
		if position < 0 {
			return false
		}
		q.delete(lane, flow, position)
		return true
	}
	return false
}

// delete removes a waiter from its flow, and flows and lanes that are of no further use.
func (q *fairQueue) delete(lane *fairLane, flow *fairFlow, position int) {
	flow.waiters = slices.Delete(flow.waiters, position, position+1)
	lane.size--
	q.size--
	if lane.size == 0 {
		q.lanes = slices.DeleteFunc(q.lanes, func(other *fairLane) bool { return other == lane })
		return
	}
	for tenant, other := range lane.flows {
		if len(other.waiters) == 0 && other.start <= lane.virtual {
			delete(lane.flows, tenant)
		}
	}
}

// backlogged returns the flows with waiting requests in the order in which they are served next.
func (l *fairLane) backlogged() []*fairFlow {
	flows := make([]*fairFlow, 0, len(l.flows))
	for _, flow := range l.flows {
		if len(flow.waiters) > 0 {
			flows = append(flows, flow)
		}
	}
	slices.SortFunc(flows, func(a, b *fairFlow) int {
		if a.start != b.start {
			if a.start < b.start {
				return -1
			}
			return 1
		}
		if order := a.waiters[0].arrived.Compare(b.waiters[0].arrived); order != 0 {
			return order
		}
		return strings.Compare(a.tenant, b.tenant)
	})
	return flows
}

// ahead counts the waiters that would be served before a new one of a tenant: those of better ranks, all of its own in its rank, and of the others
// in its rank those that start no later.
func (q *fairQueue) ahead(rank routing.Rank, tenant string) int {
	count := 0
	for _, lane := range q.lanes {
		switch order := lane.rank.Compare(rank); {
		case order < 0:
			count += lane.size
		case order == 0:
			start, own := lane.virtual, 0
			switch flow := lane.flows[tenant]; {
			case flow != nil && len(flow.waiters) > 0:
				start, own = flow.start, len(flow.waiters)
			case flow != nil:
				start = max(flow.start, start)
			}
			count += own + lane.startBy(start+float64(own), tenant)
		}
	}
	return count
}

// startBy counts the waiters of other tenants that start by a virtual time.
func (l *fairLane) startBy(start float64, tenant string) int {
	count := 0
	for _, flow := range l.flows {
		if flow.tenant != tenant && flow.start <= start {
			count += min(int(start-flow.start)+1, len(flow.waiters))
		}
	}
	return count
}

// waiting returns the number of waiters of a tenant.
func (q *fairQueue) waiting(tenant string) int {
	count := 0
	for _, lane := range q.lanes {
		if flow := lane.flows[tenant]; flow != nil {
			count += len(flow.waiters)
		}
	}
	return count
}

// longest returns, of the last rank, the last waiter of the tenant with the most waiting; nil if nobody waits.
func (q *fairQueue) longest() *waiter {
	if len(q.lanes) == 0 {
		return nil
	}
	flow := q.lanes[len(q.lanes)-1].longest()
	return flow.waiters[len(flow.waiters)-1]
}

// longest returns the flow with the most waiters.
func (l *fairLane) longest() *fairFlow {
	var longest *fairFlow
	for _, flow := range l.flows {
		if longest == nil || len(flow.waiters) > len(longest.waiters) || (len(flow.waiters) == len(longest.waiters) && flow.tenant > longest.tenant) {
			longest = flow
		}
	}
	return longest
}

// lateWaiter returns a waiter that is expected to be served too late because other tenants go before it: the last one of the tenant with the most
// waiting of some rank. tooLate tells of a waiter with a number of others ahead whether that is so. It returns nil if there is none, and for ranks in
// which one tenant waits.
func (q *fairQueue) lateWaiter(tooLate func(entry *waiter, ahead int) bool) *waiter {
	before := 0
	for _, lane := range q.lanes {
		flow := lane.longest()
		if len(flow.waiters) < lane.size {
			last := len(flow.waiters) - 1
			ahead := before + last + lane.startBy(flow.start+float64(last), flow.tenant)
			if tooLate(flow.waiters[last], ahead) {
				return flow.waiters[last]
			}
		}
		before += lane.size
	}
	return nil
}
