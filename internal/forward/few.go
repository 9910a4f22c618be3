package forward

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/covelink/covelink/internal/fleet"
)

const (
	// wholeService is up to how many engines a first try is chosen among all of them: a look at 256 takes some 15 µs.
	wholeService = 256
	// fewRandom is how many engines of a larger service are drawn for a first try, beside those that were used lately. The least loaded of 32 out of
	// thousands is nearly always idle, and drawing them takes less than a look at 100 engines.
	fewRandom = 32
	// maxRecent bounds the engines used lately that are looked at.
	maxRecent = 32
)

// recentEngines are the IDs of the engines that were chosen last, without repetition, the newest at the end: to those a connection is open.
type recentEngines struct{ ids []string }

func (r *recentEngines) note(id string) {
	if last := len(r.ids) - 1; last >= 0 && r.ids[last] == id {
		return
	}
	r.ids = append(slices.DeleteFunc(r.ids, func(known string) bool { return known == id }), id)
	if len(r.ids) > maxRecent {
		r.ids = r.ids[len(r.ids)-maxRecent:]
	}
}

// Few returns engines for the first try of a request out of a list in the order of IDs: all of a small one, else those that were used lately and some
// at random, without those that are left aside. A process that has few requests then keeps few connections, and what a choice costs does not grow with the
// service. It may be empty; the others are to be looked at then.
func (p *Picker) Few(engines []*fleet.Engine) []*fleet.Engine {
	if len(engines) <= wholeService {
		return engines
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	few := make([]*fleet.Engine, 0, fewRandom+len(p.recent.ids))
	for _, id := range p.recent.ids {
		place, listed := fleet.Find(engines, id)
		if listed && !p.aside(id, now) {
			few = append(few, engines[place])
		}
	}
	used := len(few)
	for range fewRandom {
		drawn := engines[rand.IntN(len(engines))]
		if !p.aside(drawn.ID, now) && !slices.Contains(few[:used], drawn) {
			few = append(few, drawn)
		}
	}
	return few
}

// aside reports whether an engine is left alone for now. The mutex must be held.
func (p *Picker) aside(id string, now time.Time) bool {
	record, known := p.records[id]
	return known && record.asideTil.After(now)
}
