package coldstart

import (
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/routing"
)

// Placer grants sends to the items that the coordinating process places: at once or not at all.
type Placer struct {
	Warmth *Warmth
	Keeper *Keeper
}

// Cold reports whether a request to the engine needs a grant now.
func (p Placer) Cold(engine *fleet.Engine) bool { return p.Warmth.Cold(engine) }

// Free reports whether Take would grant a send now.
func (p Placer) Free(engine *fleet.Engine, rank routing.Rank) bool {
	return p.Keeper.Free(engine.Service, engine.ID, rank)
}

// Take takes a grant for one request. It reports false if there is none now, or a Request that is as urgent waits for it.
func (p Placer) Take(engine *fleet.Engine, rank routing.Rank) bool {
	return p.Keeper.Take(engine.Service, engine.ID, rank)
}
