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
	// openLife is the time in which the most open items that are remembered fall to a part of 1/e.
	openLife = 30 * time.Second
	// fill is the share of the slots of the engines of a model that its open items may take before more engines keep up: engines
	// that are less full are quicker.
	fill = 0.4
	// itemsShare is the share of the sum of submitted items that counts as open together, if more than are open: jobs may have
	// ended quickly.
	itemsShare = 0.2
	// minKept is the least number of engines that keep up with a model.
	minKept = 16
	// assumedSlots stands for engines that tell no slots.
	assumedSlots = 4
)

// noteOpen takes in how many items are open. The mutex must be held.
func (m *Manager) noteOpen(now time.Time) {
	for model, demand := range m.demand {
		most := max(m.open[model].At(now, openLife), float64(demand.Open), itemsShare*demand.Items)
		m.open[model] = decay.New(most, now)
	}
}

// spare returns the engines that need not keep up with their model, because others suffice for its work: a load that nobody
// uses costs orders and connections. Of the engines of a model those keep up that lag the least. The mutex must be held.
func (m *Manager) spare(engines []*fleet.Engine, models []string, now time.Time) map[string]struct{} {
	if m.Demands == nil || len(engines) <= minKept {
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
	spare := make(map[string]struct{})
	for model, kept := range byModel {
		most := m.needed(kept, model, now)
		if len(kept) <= most {
			continue
		}
		slices.SortFunc(kept, func(a, b *fleet.Engine) int {
			return cmp.Or(cmp.Compare(m.lag(a, model), m.lag(b, model)), cmp.Compare(a.ID, b.ID))
		})
		for _, engine := range kept[most:] {
			spare[engine.ID] = struct{}{}
		}
	}
	return spare
}

// needed returns how many of the engines suffice for the work of a model.
func (m *Manager) needed(engines []*fleet.Engine, model string, now time.Time) int {
	slots := 0
	for _, engine := range engines {
		slots += cmp.Or(engine.Slots, assumedSlots)
	}
	perEngine := fill * float64(slots) / float64(max(len(engines), 1))
	return minKept + int(math.Ceil(m.open[model].At(now, openLife)/perEngine))
}
