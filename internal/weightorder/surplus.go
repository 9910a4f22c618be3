package weightorder

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/covelink/covelink/internal/decay"
	"github.com/covelink/covelink/internal/fleet"
)

const (
	// openItemsDecay is the time constant of the decaying maximum of open items.
	openItemsDecay = 30 * time.Second
	// targetOccupancy is the share of the model's engine slots that its open items may occupy before more engines are kept up to date: less
	// occupied engines are faster.
	targetOccupancy = 0.4
	// openItemsShare is the share of recently submitted items that counts as open at the same time, if that is more than are open: short
	// jobs may have ended already.
	openItemsShare = 0.2
	// minUpToDate is the least number of engines that keep a model up to date.
	minUpToDate = 16
)

// updateOpenItems updates the decaying maximum of open items. The mutex must be held.
func (m *Manager) updateOpenItems(now time.Time) {
	for model, demand := range m.demand {
		items := max(m.openItems[model].At(now, openItemsDecay), float64(demand.Open), openItemsShare*demand.Items)
		m.openItems[model] = decay.New(items, now)
	}
}

// surplus returns the engines of an undivided service that need not load, as others suffice for the work of its only model; none if it has
// several models, which every engine then keeps up to date. The mutex must be held.
func (m *Manager) surplus(engines []*fleet.Engine, models []string, now time.Time) map[string]struct{} {
	if m.Demands == nil || len(engines) <= minUpToDate || len(models) != 1 {
		return nil
	}
	model := models[0]
	surplus := make(map[string]struct{})
	for _, engine := range beyondNeed(engines, m.neededEngines(engines, model, now), func(a, b *fleet.Engine) int {
		return cmp.Or(cmp.Compare(m.lag(a, model), m.lag(b, model)), cmp.Compare(a.ID, b.ID))
	}) {
		surplus[engine.ID] = struct{}{}
	}
	return surplus
}

// beyondNeed returns the engines that need not load if a number of them suffices: the first ones in the order are kept up to date.
func beyondNeed[E any](engines []E, needed int, order func(a, b E) int) []E {
	if len(engines) <= needed {
		return nil
	}
	return slices.SortedFunc(slices.Values(engines), order)[needed:]
}

// neededEngines returns how many of the engines suffice for the work of a model.
func (m *Manager) neededEngines(engines []*fleet.Engine, model string, now time.Time) int {
	return m.neededOf(meanSlots(engines, (*fleet.Engine).SlotCount), model, now)
}

// neededOf is neededEngines for engines with the given mean number of slots.
func (m *Manager) neededOf(slots float64, model string, now time.Time) int {
	return minUpToDate + int(math.Ceil(m.openItems[model].At(now, openItemsDecay)/(targetOccupancy*slots)))
}

// meanSlots returns the mean number of slots.
func meanSlots[E any](engines []E, slots func(E) int) float64 {
	sum := 0
	for _, engine := range engines {
		sum += slots(engine)
	}
	return float64(sum) / float64(max(len(engines), 1))
}
