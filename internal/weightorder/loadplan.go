package weightorder

import (
	"cmp"
	"time"
)

// snapshot is the input of a plan for a service whose engines are divided among its models. A plan reads no clock and no other state.
type snapshot struct {
	engines []engineState
	models  []modelState
	// loads is the number of loads that may begin.
	loads int
	// loadTime is the usual duration of a load.
	loadTime time.Duration
	// observed is how long the demand has been observed. Sums over a longer window are incomplete.
	observed time.Duration
}

// engineState is the state of an engine in a snapshot.
type engineState struct {
	id    string
	slots int
	// listed and reported hold versions by model; the newer one counts. An engine holds only the models in listed.
	listed, reported map[string]int64
	// assigned is the model that the engine keeps up to date, and loading the one that it loads now; both may be empty.
	assigned, loading string
	// orderable is false while the engine may receive no order.
	orderable bool
	runs      EngineRuns
	// eventInterval is the expected interval between two events of a stream; zero if unknown.
	eventInterval time.Duration
}

// modelState is the state of a model in a snapshot.
type modelState struct {
	name   string
	target int64
	demand Demand
	// expectsStep is true from the naming of a version until the step that follows it has been submitted.
	expectsStep bool
	// nextStep is the expected time until the next version is named; zero if that is unknown or overdue.
	nextStep time.Duration
	// maxUpToDate bounds the engines that are kept up to date; zero for no bound.
	maxUpToDate int
}

// loadReason tells why an engine loads.
type loadReason string

// Reasons of loads.
const (
	// reasonWaiting is the load of an engine that is too old for waiting items.
	reasonWaiting loadReason = "too old for waiting items"
	// reasonOpen is the load of an engine that is too old for open jobs or more than one version behind.
	reasonOpen loadReason = "too old for open jobs"
	// reasonAdvance is the load of an engine that is one version behind, before the next step requires it.
	reasonAdvance loadReason = "next step"
	// reasonBehind is the load of an outdated engine of a service whose engines are not divided among models.
	reasonBehind loadReason = "behind"
)

// reassignment is the change of an engine's model. from is -1 if the engine had none.
type reassignment struct{ engine, from, to int }

// plannedLoad is a load that is to begin now. usableSlots are the slots of the model's engines that do not load and can run its waiting items.
type plannedLoad struct {
	engine, model, usableSlots int
	reason                     loadReason
}

// decision is the output of a plan. Engines and models are indexes into the snapshot.
type decision struct {
	// models holds the model of each engine.
	models []int
	// shares holds the engines due to each model; fractional.
	shares     []float64
	reassigned []reassignment
	// loads are ordered by urgency.
	loads []plannedLoad
	// postponed counts the outdated engines that could receive an order and do not load now.
	postponed int
}

// decide computes a plan. The cost is linear in engines plus models, except that each load and each engine without a model compare all models.
func decide(s *snapshot) decision {
	divided := divide(s)
	chosen := decision{models: divided.modelOf, shares: divided.shares, reassigned: divided.changed}
	chosen.loads, chosen.postponed = chooseLoads(s, divided.modelOf)
	return chosen
}

// version returns the newest version of a model that the engine is known to hold.
func (e *engineState) version(model string) int64 { return newestVersion(e.listed, e.reported, model) }

// lag returns by how many versions the engine is behind the model's target; zero if it does not hold the model.
func (e *engineState) lag(model *modelState) int64 { return e.lagOr(model, 0) }

// lagOr is lag with another value for an engine that does not hold the model.
func (e *engineState) lagOr(model *modelState, notHeld int64) int64 {
	return lagOf(e.listed, e.reported, model.name, model.target, notHeld)
}

// idle reports whether the engine has no runs.
func (e *engineState) idle() bool { return e.runs.Running == 0 }

// byRunsEnd orders engines by the time until their runs end, idle ones first, then the fastest.
func (e *engineState) byRunsEnd(other *engineState) int {
	if e.idle() != other.idle() {
		if e.idle() {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(e.runs.TimeLeft, other.runs.TimeLeft), cmp.Compare(e.eventInterval, other.eventInterval), cmp.Compare(e.id, other.id))
}

// slotsPerEngine returns the mean number of slots.
func (s *snapshot) slotsPerEngine() float64 {
	return meanSlots(s.engines, func(engine engineState) int { return engine.slots })
}
