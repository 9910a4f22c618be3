package sim

import (
	"iter"

	"github.com/covelink/covelink/internal/lab/enginesim"
)

// BatchLengths yields the lengths in tokens of the answers to a trainer's own batches, by the number of the batch.
func BatchLengths(scenario Scenario, trainer Trainer) iter.Seq2[int, []int] {
	scenario.Trainers = []Trainer{trainer}
	scenario = scenario.withDefaults()
	trainer = scenario.Trainers[0]
	host := &trainerHost{sim: &simulation{scenario: scenario}, spec: trainer}
	return func(yield func(int, []int) bool) {
		for number := range trainer.Batches {
			var lengths []int
			for _, sample := range host.batch(batchName(number)).Samples {
				hash := enginesim.PromptHash(sample.Prompt)
				length, _ := enginesim.AnswerEnd(scenario.Engine.Config, hash, sample.Seed, sample.MaxTokens)
				lengths = append(lengths, length)
			}
			if !yield(number, lengths) {
				return
			}
		}
	}
}
