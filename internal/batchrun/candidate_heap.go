package batchrun

import "container/heap"

// candidateGroup holds the engines of one weight version: cheapest first for urgent items, cheapest first among those observed lately for items that
// were moved, and by speed class for items with slack. Classes beyond maxSpeedClass are not used for the latter.
type candidateGroup struct {
	cheapest, observed candidateHeap
	classes            [maxSpeedClass + 1]candidateHeap
}

func newCandidateGroup() *candidateGroup {
	group := &candidateGroup{cheapest: candidateHeap{order: orderCheapest}, observed: candidateHeap{order: orderObserved}}
	for class := range group.classes {
		group.classes[class].order = orderFree
	}
	return group
}

// heapsOf returns the heaps that hold a candidate, by order; nil where none does.
func (g *candidateGroup) heapsOf(c *candidate) (heaps [heapOrders]*candidateHeap) {
	heaps[orderCheapest] = &g.cheapest
	if c.observed {
		heaps[orderObserved] = &g.observed
	}
	if c.speedClass >= 0 && c.speedClass <= maxSpeedClass {
		heaps[orderFree] = &g.classes[c.speedClass]
	}
	return heaps
}

// add adds a candidate to its heaps, which init must then order.
func (g *candidateGroup) add(c *candidate) {
	for _, members := range g.heapsOf(c) {
		if members != nil {
			members.Push(c)
		}
	}
}

// init orders all heaps.
func (g *candidateGroup) init() {
	heap.Init(&g.cheapest)
	heap.Init(&g.observed)
	for class := range g.classes {
		heap.Init(&g.classes[class])
	}
}

// remove removes a candidate from all heaps.
func (g *candidateGroup) remove(c *candidate) {
	for _, members := range g.heapsOf(c) {
		if members != nil {
			heap.Remove(members, c.heapIndexes[members.order])
		}
	}
}

// fix orders all heaps after a change of a candidate's cost and free slots.
func (g *candidateGroup) fix(c *candidate) {
	for _, members := range g.heapsOf(c) {
		if members != nil {
			heap.Fix(members, c.heapIndexes[members.order])
		}
	}
}

type heapOrder int

const (
	// orderCheapest sorts by the expected cost of one more item.
	orderCheapest heapOrder = iota
	// orderFree sorts by the largest share of free slots.
	orderFree
	// orderObserved is orderCheapest for the engines whose pace is known from recent observations.
	orderObserved
	heapOrders
)

// candidateHeap orders candidates. It implements heap.Interface.
type candidateHeap struct {
	order      heapOrder
	candidates []*candidate
}

// cheaperThan orders candidates by cost. Engine IDs break ties, so that decisions are deterministic.
func (c *candidate) cheaperThan(other *candidate) bool {
	if c.cost != other.cost {
		return c.cost < other.cost
	}
	return c.engine.ID < other.engine.ID
}

// freerThan orders candidates by the share of their slots that is free.
func (c *candidate) freerThan(other *candidate) bool {
	if taken, otherTaken := c.record.running*other.record.slots, other.record.running*c.record.slots; taken != otherTaken {
		return taken < otherTaken
	}
	return c.engine.ID < other.engine.ID
}

// Len implements heap.Interface.
func (h *candidateHeap) Len() int { return len(h.candidates) }

// Less implements heap.Interface.
func (h *candidateHeap) Less(a, b int) bool {
	if h.order == orderFree {
		return h.candidates[a].freerThan(h.candidates[b])
	}
	return h.candidates[a].cheaperThan(h.candidates[b])
}

// Swap implements heap.Interface.
func (h *candidateHeap) Swap(a, b int) {
	h.candidates[a], h.candidates[b] = h.candidates[b], h.candidates[a]
	h.candidates[a].heapIndexes[h.order], h.candidates[b].heapIndexes[h.order] = a, b
}

// Push implements heap.Interface.
func (h *candidateHeap) Push(added any) {
	c := added.(*candidate)
	c.heapIndexes[h.order] = len(h.candidates)
	h.candidates = append(h.candidates, c)
}

// Pop implements heap.Interface.
func (h *candidateHeap) Pop() any {
	last := len(h.candidates) - 1
	c := h.candidates[last]
	h.candidates = h.candidates[:last]
	return c
}
