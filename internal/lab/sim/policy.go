package sim

import (
	"fmt"

	"github.com/covelink/covelink/internal/rollout"
)

// PlacementKind names a way to choose an engine.
type PlacementKind string

// The placements. All keep to the pool's permitted zones, to engines that do not leave and to the pool's slots.
const (
	// PlacementCovelink is the product's own.
	PlacementCovelink PlacementKind = "covelink"
	// PlacementRoundRobin takes the engines with a free slot in turn.
	PlacementRoundRobin PlacementKind = "round-robin"
	// PlacementLeastLoaded takes the engine with the fewest requests of the node in flight.
	PlacementLeastLoaded PlacementKind = "least-loaded"
	// PlacementFirstFree takes the first engine with a free slot.
	PlacementFirstFree PlacementKind = "first-free"
)

// Policy is how decisions are made: those of the product, or with parts of them switched off or replaced.
type Policy struct {
	Name      string        `yaml:"name"`
	Placement PlacementKind `yaml:"placement"`
	// FIFO serves requests in order of arrival, whatever their class, caller and length.
	FIFO bool `yaml:"fifo"`
	// NoPriorities sends every request to engines with the same priority.
	NoPriorities bool `yaml:"noPriorities"`
	// NoEngineBound does not let engines refuse requests above the pool's slots.
	NoEngineBound bool `yaml:"noEngineBound"`
	// NoReserve lets rollouts use every slot.
	NoReserve bool `yaml:"noReserve"`
	// NoAffinity ignores prompt prefixes.
	NoAffinity bool `yaml:"noAffinity"`
	// NoBound hands samples over however old they are.
	NoBound bool `yaml:"noBound"`
	// Without switches parts of the batch owner off.
	Without rollout.Mechanisms `yaml:"without"`
}

// Covelink returns the product's own policy.
func Covelink() Policy { return Policy{Name: "covelink", Placement: PlacementCovelink} }

// Baselines returns the policies to compare with. They keep the staleness bound, by running stale samples again, but
// decide nothing by it; they start samples in order of arrival and run a failed one again from its start.
func Baselines() []Policy {
	return []Policy{
		baseline("round-robin", PlacementRoundRobin),
		baseline("least-loaded", PlacementLeastLoaded),
		baseline("fcfs", PlacementFirstFree),
	}
}

func baseline(name string, placement PlacementKind) Policy {
	return Policy{
		Name: name, Placement: placement, FIFO: true, NoPriorities: true, NoReserve: true, NoAffinity: true,
		NoEngineBound: true,
		Without:       rollout.Mechanisms{LongestFirst: true, Hedges: true, Resume: true, StaleStart: true, StaleCancel: true},
	}
}

// Ablations returns the product's policy with one mechanism switched off in each.
func Ablations() []Policy {
	without := func(name string, change func(*Policy)) Policy {
		policy := Covelink()
		policy.Name = "without " + name
		change(&policy)
		return policy
	}
	return []Policy{
		without("longest first", func(p *Policy) { p.Without.LongestFirst = true }),
		without("hedges", func(p *Policy) { p.Without.Hedges = true }),
		without("prefix affinity", func(p *Policy) { p.NoAffinity = true }),
		without("reserve", func(p *Policy) { p.NoReserve = true }),
		without("staleness-aware start", func(p *Policy) { p.Without.StaleStart = true }),
		without("staleness cancel", func(p *Policy) { p.Without.StaleCancel = true }),
		without("resume by prefix", func(p *Policy) { p.Without.Resume = true }),
		without("engine priorities", func(p *Policy) { p.NoPriorities = true }),
	}
}

func (p Policy) validate() error {
	switch p.Placement {
	case PlacementCovelink, PlacementRoundRobin, PlacementLeastLoaded, PlacementFirstFree:
		return nil
	}
	return fmt.Errorf("policy.placement: no placement %q", p.Placement)
}
