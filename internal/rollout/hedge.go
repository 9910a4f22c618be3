package rollout

import "time"

// hedge starts a second attempt of each straggler of a batch of which nothing waits.
func (o *Owner) hedge(now time.Time) {
	if o.config.Without.Hedges || now.Sub(o.lastHedge) < hedgeInterval {
		return
	}
	o.lastHedge = now
	for _, id := range o.running() {
		if o.inFlight >= o.config.MaxInFlight {
			return
		}
		first := o.attempts[id][0]
		if first.hedged || o.waiting.waits(id.Batch) || !o.straggles(now, first) {
			continue
		}
		first.hedged = true
		o.start(now, id, first)
	}
}

// straggles reports whether an attempt is slower than others, whatever its length: a second attempt of a long answer that
// runs as fast as any would end no sooner.
func (o *Owner) straggles(now time.Time, a *attempt) bool {
	if a.began.IsZero() {
		return false // it may well wait for a slot
	}
	if now.Sub(a.told) > hedgeSilence {
		return true
	}
	usual := o.predictor.duration(len(a.tokens) - a.resumed)
	return now.Sub(a.began) > time.Duration(hedgeFactor*float64(usual))+hedgeAfter
}
