package weightorder

import (
	"cmp"
	"slices"
	"time"
)

// maxUsableLag is by how many versions an engine may be behind and not load because it is usable for waiting items. Without a bound, a model whose
// items always wait, and accept any version, would never be updated.
const maxUsableLag = 4

// modelLoads is the state of a model's engines with regard to loads.
type modelLoads struct {
	// usableSlots are the slots of engines that can run the waiting items and do not load. coveredSlots include those of engines that load.
	usableSlots, coveredSlots int
	// currentSlots are the slots of engines that are up to date or load.
	currentSlots int
	// usable counts the engines that can run the open jobs and are at most one version behind, and loading those that load.
	usable, loading int
	// upToDate is true if an engine is up to date and does not load.
	upToDate bool
	// waiting, open and advance are the engines that may load, by reason. busy are those that would load in advance, with runs that take longer
	// than a load.
	waiting, open, advance, busy []int
	// stale are usable for waiting items, and more than maxUsableLag versions behind.
	stale []int
	// deferred counts the engines that do not load because a step is expected.
	deferred int
}

// chooseLoads returns the loads that begin now, and the number of outdated engines that could receive an order and do not load.
func chooseLoads(s *snapshot, modelOf []int) (chosen []plannedLoad, postponed int) {
	models := classify(s, modelOf)
	candidates := 0
	for i := range models {
		m := &models[i]
		candidates += len(m.waiting) + len(m.open) + len(m.advance) + len(m.busy) + len(m.stale) + m.deferred
		m.limit(s, s.models[i].nextStep)
	}
	for _, reason := range []loadReason{reasonWaiting, reasonOpen, reasonAdvance} {
		chosen = chooseByNeed(s, models, reason, chosen)
	}
	return chosen, candidates - len(chosen)
}

// classify groups the engines of each model by the reason to load. Engines that are usable for waiting items are not among them.
func classify(s *snapshot, modelOf []int) []modelLoads {
	models := make([]modelLoads, len(s.models))
	skipped := surplusEngines(s, modelOf)
	for i := range s.engines {
		engine, index := &s.engines[i], modelOf[i]
		m, model := &models[index], &s.models[index]
		if engine.loading != "" {
			m.loading++
			if engine.loading == model.name {
				m.coveredSlots += engine.slots
				m.currentSlots += engine.slots
			}
			continue
		}
		m.add(s, i, model, skipped[i])
	}
	return models
}

// add adds an engine that does not load.
func (m *modelLoads) add(s *snapshot, index int, model *modelState, skip bool) {
	engine := &s.engines[index]
	if _, held := engine.listed[model.name]; !held {
		return
	}
	lag, version, demand := engine.lag(model), engine.version(model.name), &model.demand
	if version >= demand.MinVersion {
		m.usableSlots += engine.slots
		m.coveredSlots += engine.slots
	}
	if lag == 0 {
		m.upToDate = true
		m.currentSlots += engine.slots
	}
	tooOld := lag > 1 || version < demand.OpenMinVersion
	if !tooOld {
		m.usable++
	}
	if lag == 0 || !engine.orderable || skip {
		return
	}
	switch {
	case demand.Waiting > 0 && version < demand.MinVersion:
		m.waiting = append(m.waiting, index)
	case demand.Waiting > 0 && lag > maxUsableLag:
		m.stale = append(m.stale, index)
	case demand.Waiting > 0:
		// Items could start here now; the engine loads once none wait.
	case tooOld:
		m.open = append(m.open, index)
	case model.expectsStep:
		m.deferred++
	case engine.runs.TimeLeft > s.loadTime:
		m.busy = append(m.busy, index)
	default:
		m.advance = append(m.advance, index)
	}
}

// stepMargin is by how many load durations the next step must be further off for more than half of a model's engines to load in advance.
const stepMargin = 1.25

// limit reduces the loads in advance, and those of stale engines, to half of the model's usable engines, so that a step that comes early finds
// the other half. While the next step is expected later than the loads end, all may load in advance: the second half would otherwise load when the
// step is there. In advance, an engine with a long run loads only if there is no other and none is up to date.
func (m *modelLoads) limit(s *snapshot, nextStep time.Duration) {
	if len(m.advance) == 0 && !m.upToDate && m.loading == 0 {
		m.advance = m.busy
	}
	most := max((m.usable+len(m.stale)+m.loading)/2, 1) - m.loading - len(m.open)
	first := func(engines []int) []int {
		sortByRunsEnd(s, engines)
		chosen := engines[:min(max(most, 0), len(engines))]
		most -= len(chosen)
		return chosen
	}
	m.open = append(m.open, first(m.stale)...)
	if float64(nextStep) <= stepMargin*float64(s.loadTime) {
		m.advance = first(m.advance)
	}
}

// surplusEngines marks the engines beyond those that their model needs, the most outdated ones.
func surplusEngines(s *snapshot, modelOf []int) []bool {
	byModel := make([][]int, len(s.models))
	for engine, model := range modelOf {
		if s.models[model].maxUpToDate > 0 {
			byModel[model] = append(byModel[model], engine)
		}
	}
	surplus := make([]bool, len(s.engines))
	for i, engines := range byModel {
		model := &s.models[i]
		for _, engine := range beyondNeed(engines, model.maxUpToDate, func(a, b int) int {
			x, y := &s.engines[a], &s.engines[b]
			return cmp.Or(cmp.Compare(x.lag(model), y.lag(model)), cmp.Compare(x.id, y.id))
		}) {
			surplus[engine] = true
		}
	}
	return surplus
}

func sortByRunsEnd(s *snapshot, engines []int) {
	slices.SortFunc(engines, func(a, b int) int { return s.engines[a].byRunsEnd(&s.engines[b]) })
}

// chooseByNeed appends the loads for one reason while more may begin. Each goes to the model with the most work per slot that is or will be
// usable for it; the model's next engine is the one whose runs end first.
func chooseByNeed(s *snapshot, models []modelLoads, reason loadReason, chosen []plannedLoad) []plannedLoad {
	var queues []*loadQueue
	for i := range models {
		if queue := models[i].queue(&s.models[i], reason); len(queue.engines) > 0 {
			queue.model = i
			sortByRunsEnd(s, queue.engines)
			queues = append(queues, queue)
		}
	}
	for len(queues) > 0 && len(chosen) < s.loads {
		next := slices.MinFunc(queues, (*loadQueue).byNeed)
		chosen = append(chosen, plannedLoad{engine: next.engines[0], model: next.model, usableSlots: models[next.model].usableSlots, reason: reason})
		next.slots += s.engines[next.engines[0]].slots
		if next.engines = next.engines[1:]; len(next.engines) == 0 {
			queues = slices.DeleteFunc(queues, func(queue *loadQueue) bool { return queue == next })
		}
	}
	return chosen
}

// queue returns the model's engines that load for a reason, with the work and the slots that determine its priority.
func (m *modelLoads) queue(model *modelState, reason loadReason) *loadQueue {
	submitted := (model.demand.SubmittedTime + baseTime).Seconds()
	switch reason {
	case reasonWaiting:
		return &loadQueue{engines: m.waiting, work: model.demand.WaitingTime.Seconds(), slots: m.coveredSlots}
	case reasonOpen:
		return &loadQueue{engines: m.open, work: submitted, slots: m.currentSlots}
	default:
		return &loadQueue{engines: m.advance, work: submitted, slots: m.currentSlots}
	}
}

// loadQueue holds the engines of a model that are to load.
type loadQueue struct {
	model   int
	engines []int
	work    float64
	slots   int
}

// perSlot returns the work per slot. A model without slots counts as having half of one, as it can run nothing.
func (q *loadQueue) perSlot() float64 { return q.work / max(float64(q.slots), 0.5) }

// byNeed orders models by work per slot, the most first.
func (q *loadQueue) byNeed(other *loadQueue) int {
	return cmp.Or(cmp.Compare(other.perSlot(), q.perSlot()), cmp.Compare(q.model, other.model))
}
