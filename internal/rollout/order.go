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
	probed := make(map[batchGroup]bool)
	return func(id Identity) int {
		group := o.request(id).Group
		key := batchGroup{id.Batch, group}
		if group == "" || o.predictor.tried(group) || probed[key] {
			return o.predictor.atLeast(group, o.tokenLimit(id))
		}
		probed[key] = true
		return math.MaxInt
	}
}
