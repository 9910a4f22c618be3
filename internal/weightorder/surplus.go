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
	// defaultSlots is assumed of engines that report no slots.
	defaultSlots = 4
)

// updateOpenItems updates the decaying maximum of open items. The mutex must be held.
func (m *Manager) updateOpenItems(now time.Time) {
	for model, demand := range m.demand {
		items := max(m.openItems[model].At(now, openItemsDecay), float64(demand.Open), openItemsShare*demand.Items)
		m.openItems[model] = decay.New(items, now)
	}
}

// surplus returns the engines that need not load, as others suffice for their model's work. The engines with the least lag are kept up to
// date. The mutex must be held.
func (m *Manager) surplus(engines []*fleet.Engine, models []string, now time.Time) map[string]struct{} {
	if m.Demands == nil || len(engines) <= minUpToDate {
		return nil
	}
	byModel := make(map[string][]*fleet.Engine, len(models))
	for _, engine := range engines {
		if model, ok := m.assigned[engine.ID]; ok {
			byModel[model] = append(byModel[model], engine)
		}
	}
	if len(models) == 1 {
		byModel[models[0]] = slices.Clone(engines)
	}
	surplus := make(map[string]struct{})
	for model, candidates := range byModel {
		count := m.neededEngines(candidates, model, now)
		if len(candidates) <= count {
			continue
		}
		slices.SortFunc(candidates, func(a, b *fleet.Engine) int {
			return cmp.Or(cmp.Compare(m.lag(a, model), m.lag(b, model)), cmp.Compare(a.ID, b.ID))
		})
		for _, engine := range candidates[count:] {
			surplus[engine.ID] = struct{}{}
		}
	}
	return surplus
}

// neededEngines returns how many of the engines suffice for the work of a model.
func (m *Manager) neededEngines(engines []*fleet.Engine, model string, now time.Time) int {
	return m.neededOf(slotsPerEngine(engines), model, now)
}

// neededOf is neededEngines for engines with the given mean number of slots.
func (m *Manager) neededOf(slots float64, model string, now time.Time) int {
	return minUpToDate + int(math.Ceil(m.openItems[model].At(now, openItemsDecay)/(targetOccupancy*slots)))
}

// slotsPerEngine returns the mean number of slots.
func slotsPerEngine(engines []*fleet.Engine) float64 {
	slots := 0
	for _, engine := range engines {
		slots += cmp.Or(engine.Slots, defaultSlots)
	}
	return float64(slots) / float64(max(len(engines), 1))
}
