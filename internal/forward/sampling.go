package forward

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/covelink/covelink/internal/fleet"
)

const (
	// sampleThreshold is the largest number of engines that are all considered for a first send.
	sampleThreshold = 256
	// randomSampleSize is the number of engines drawn at random from a larger service, in addition to those used recently.
	randomSampleSize = 32
	// maxRecentEngines bounds the recently used engines that are considered.
	maxRecentEngines = 32
)

// recentEngines lists the IDs of the engines chosen last, without duplicates, newest last. Connections to them are likely open.
type recentEngines struct{ ids []string }

func (r *recentEngines) add(id string) {
	if last := len(r.ids) - 1; last >= 0 && r.ids[last] == id {
		return
	}
	r.ids = append(slices.DeleteFunc(r.ids, func(known string) bool { return known == id }), id)
	if len(r.ids) > maxRecentEngines {
		r.ids = r.ids[len(r.ids)-maxRecentEngines:]
	}
}

// Sample returns the candidates for the first send of a request, from engines sorted by ID: all of a small service, else the recently used ones
// and a random sample, without engines in backoff. It bounds connections and selection cost in large services. If the result is empty, the caller
// must consider all engines.
func (p *Picker) Sample(engines []*fleet.Engine) []*fleet.Engine {
	if len(engines) <= sampleThreshold {
		return engines
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	sample := make([]*fleet.Engine, 0, randomSampleSize+len(p.recent.ids))
	for _, id := range p.recent.ids {
		place, listed := fleet.SearchByID(engines, id)
		if listed && !p.inBackoff(id, now) {
			sample = append(sample, engines[place])
		}
	}
	used := len(sample)
	for range randomSampleSize {
		drawn := engines[rand.IntN(len(engines))]
		if !p.inBackoff(drawn.ID, now) && !slices.Contains(sample[:used], drawn) {
			sample = append(sample, drawn)
		}
	}
	return sample
}

// inBackoff reports whether an engine is in backoff. The mutex must be held.
func (p *Picker) inBackoff(id string, now time.Time) bool {
	record, known := p.records[id]
	return known && record.backoffUntil.After(now)
}
