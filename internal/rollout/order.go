package rollout

import "math"

// mayStart reports whether samples of a batch may be started: not while as many run or are ready as the trainer takes over
// until the first of them goes stale, since one that is started now would probably be too old by its turn. The batch
// that the trainer waits for goes on in any case.
func (o *Owner) mayStart(batch string) bool {
	bound, known := o.predictor.consumedWithin(o.config.Bound)
	if !known || o.config.Without.StaleStart || batch == o.fetched || batch == o.ledger.foremost() {
		return true
	}
	ahead := len(o.attempts)
	for _, ready := range o.ready {
		ahead += len(ready)
	}
	return ahead < max(bound, minWindow)
}

// window returns how many attempts may wait for their first token. Attempts that wait cannot be put into another order
// when predictions change, so that no more are started than keep the engines' slots filled.
func (o *Owner) window() int {
	return max(minWindow, (o.inFlight-o.unbegun)/windowShare)
}

// startOrders returns the function that gives the waiting samples of a batch their keys; the highest is started first.
// One sample of each prompt group goes ahead, because it tells the length of the rest.
func (o *Owner) startOrders() func(id Identity) int {
	if o.config.Without.LongestFirst {
		return func(Identity) int { return 0 }
	}
	type batchGroup struct{ batch, group string }
	expected := o.expectations()
	probed := make(map[batchGroup]bool)
	return func(id Identity) int {
		group := o.request(id).Group
		key := batchGroup{id.Batch, group}
		if group == "" || o.predictor.tried(group) || probed[key] {
			return expected(group, o.tokenLimit(id))
		}
		probed[key] = true
		return math.MaxInt
	}
}

// expectations returns the function that gives the expected tokens of one more answer of a group. It works out each once.
func (o *Owner) expectations() func(group string, limit int) int {
	type groupLimit struct {
		group string
		limit int
	}
	var running map[string][]int
	known := make(map[groupLimit]int)
	return func(group string, limit int) int {
		key := groupLimit{group, limit}
		if tokens, ok := known[key]; ok {
			return tokens
		}
		if running == nil {
			running = o.runningTokens()
		}
		known[key] = o.predictor.another(group, running[group], limit)
		return known[key]
	}
}

// runningTokens returns, by group, the tokens of each running sample so far.
func (o *Owner) runningTokens() map[string][]int {
	running := make(map[string][]int)
	for _, id := range o.running() {
		most := 0
		for _, a := range o.attempts[id] {
			most = max(most, len(a.tokens))
		}
		group := o.request(id).Group
		running[group] = append(running[group], most)
	}
	return running
}
