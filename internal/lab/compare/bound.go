package compare

import (
	"time"

	"github.com/covelink/covelink/internal/lab/enginesim"
	"github.com/covelink/covelink/internal/lab/sim"
)

// meanBound returns a lower bound on the idle time of the scenario's trainers, as a mean over trainers and seeds. No
// scheduler can be below it, with all engines up and nothing else to do: a batch is whole no earlier than its work and
// that of the batches before it fit into the capacity, and, counted from its submission, no earlier than its own work does and
// than its longest sample takes alone on an engine.
// Trainers of one pool share its capacity equally.
func meanBound(scenario sim.Scenario, seeds int) time.Duration {
	var total time.Duration
	trainers := 0
	for seed := range uint64(seeds) {
		for _, trainer := range scenario.Trainers {
			one := scenario
			one.Seed += seed
			total += idleBound(one, trainer)
			trainers++
		}
	}
	if trainers == 0 {
		return 0
	}
	return total / time.Duration(trainers)
}

func idleBound(scenario sim.Scenario, trainer sim.Trainer) time.Duration {
	perSecond := capacity(scenario, trainer.Pool)
	var work time.Duration
	var learnt, learning time.Duration
	whole := make([]time.Duration, trainer.Batches)
	for number, lengths := range sim.BatchLengths(scenario, trainer) {
		tokens, longest := 0, 0
		for _, length := range lengths {
			tokens += length
			longest = max(longest, length)
		}
		own := time.Duration(float64(tokens) / perSecond * float64(time.Second))
		work += own
		submitted := time.Duration(0)
		if before := number - 1 - trainer.Ahead; before >= 0 {
			submitted = whole[before]
		}
		whole[number] = max(work, submitted+max(own, time.Duration(longest)*fastestStep(scenario)))
		learn := time.Duration(len(lengths)) * trainer.LearnPerSample
		learning += learn
		if trainer.WholeBatch {
			learnt = max(learnt, whole[number]) + learn
			continue
		}
		learnt = max(learnt+learn, whole[number]+trainer.LearnPerSample)
	}
	return learnt - learning
}

// fastestStep is the step of an engine that runs one sequence.
func fastestStep(scenario sim.Scenario) time.Duration {
	return scenario.Engine.StepBase + scenario.Engine.StepPerSequence
}

// capacity returns a trainer's share of the tokens that a pool's engines produce in a second with full batches.
func capacity(scenario sim.Scenario, pool string) float64 {
	engines, trainers := 0, 0
	for _, group := range scenario.Engines {
		if group.Pool == pool {
			engines += group.Count
		}
	}
	for _, trainer := range scenario.Trainers {
		if trainer.Pool == pool {
			trainers++
		}
	}
	return engineRate(scenario.Engine.Config) * float64(engines) / float64(max(trainers, 1))
}

func engineRate(config enginesim.Config) float64 {
	step := config.StepBase + time.Duration(config.MaxRunning)*config.StepPerSequence
	return float64(config.MaxRunning) / step.Seconds()
}
