package compare

import (
	"maps"
	"slices"
	"time"

	"github.com/covelink/covelink/internal/lab/sim"
)

// sum makes the row of a policy from its runs.
func sum(policy string, row int, jobs []job, results []*digest) Row {
	made := Row{Policy: policy}
	staleness := make(map[int64]int)
	var trainers, samples, overBound, requests, notCompleted, attempts int
	var produced, delivered int64
	var idle, wall time.Duration
	for index, planned := range jobs {
		if planned.row != row {
			continue
		}
		run := results[index]
		for _, trainer := range run.trainers {
			trainers++
			idle += trainer.Idle
			wall += trainer.Wall
			made.Reruns += float64(trainer.RerunsStale + trainer.RerunsFailed + trainer.RerunsUnstamped)
			made.Hedges += float64(trainer.Hedges)
		}
		for age, count := range run.staleness {
			staleness[age] += count
		}
		samples += run.samples
		overBound += run.overBound
		produced += run.produced
		delivered += run.delivered
		requests += run.requests
		attempts += run.attempts
		made.AttemptsMax = max(made.AttemptsMax, run.attemptsMax)
		notCompleted += run.notCompleted
		made.latencies = append(made.latencies, run.latencies...)
		made.Unfinished += count(!run.finished)
		made.Broken += count(!run.kept)
	}
	if trainers > 0 {
		made.Idle, made.Wall = idle/time.Duration(trainers), wall/time.Duration(trainers)
		made.Reruns /= float64(trainers)
		made.Hedges /= float64(trainers)
	}
	made.StalenessP50, made.StalenessP99 = quantileOfCounts(staleness, 0.5), quantileOfCounts(staleness, 0.99)
	made.OverBound = share(overBound, samples)
	made.NotCompleted = share(notCompleted, requests)
	made.Attempts = share(attempts, requests)
	if produced > 0 {
		made.Wasted = 1 - float64(delivered)/float64(produced)
	}
	slices.Sort(made.latencies)
	made.Interactive = sim.Percentiles{
		P50: quantile(made.latencies, 0.5), P99: quantile(made.latencies, 0.99), P999: quantile(made.latencies, 0.999),
		Max: quantile(made.latencies, 1),
	}
	return made
}

func count(yes bool) int {
	if yes {
		return 1
	}
	return 0
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// quantile returns a quantile of sorted durations, by the nearest rank.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	rank := int(q*float64(len(sorted)) + 0.999999)
	return sorted[min(max(rank, 1), len(sorted))-1]
}

// quantileOfCounts returns a quantile of values that each occurred a number of times.
func quantileOfCounts(counts map[int64]int, q float64) int64 {
	total := 0
	for _, times := range counts {
		total += times
	}
	rank, seen := int(q*float64(total)+0.999999), 0
	for _, value := range slices.Sorted(maps.Keys(counts)) {
		seen += counts[value]
		if seen >= max(rank, 1) {
			return value
		}
	}
	return 0
}
