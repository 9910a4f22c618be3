// Package compare runs policies over the same seeded scenarios in the simulator and sums up what each does to trainers and
// to interactive callers.
package compare

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/lab/sim"
)

// PolicyEmptyPool is the row without trainers: the latency that interactive callers would have alone.
const PolicyEmptyPool = "empty pool"

// emptyPoolDuration is how long the applications send without trainers.
const emptyPoolDuration = 5 * time.Minute

// Options say what to compare.
type Options struct {
	// Seeds is the number of runs of each policy, with the scenario's seed and those that follow it.
	Seeds int
	// Ablations adds the product with one mechanism switched off at a time.
	Ablations bool
	// Load multiplies the rates of the applications; 0 means 1.
	Load float64
	// Workers bounds the simulations that run at once.
	Workers int
}

// Report is the comparison on one scenario.
type Report struct {
	Scenario string `json:"scenario"`
	Seeds    int    `json:"seeds"`
	// Bound is the lower bound on a trainer's mean idle time.
	Bound time.Duration `json:"boundNanos"`
	Rows  []Row         `json:"rows"`
	Aims  []Aim         `json:"aims"`
}

// Row sums up the runs of one policy. Durations and counts of trainers are means over trainers and seeds.
type Row struct {
	Policy string        `json:"policy"`
	Idle   time.Duration `json:"idleNanos"`
	Wall   time.Duration `json:"wallNanos"`
	// Staleness is over all samples of all runs, in versions; OverBound is a share.
	StalenessP50 int64   `json:"stalenessP50"`
	StalenessP99 int64   `json:"stalenessP99"`
	OverBound    float64 `json:"overBoundShare"`
	Reruns       float64 `json:"reruns"`
	Hedges       float64 `json:"hedges"`
	// Wasted is the share of the tokens produced that nobody got.
	Wasted float64 `json:"wastedShare"`
	// Interactive is the latency of completed requests of the pools that trainers share.
	Interactive sim.Percentiles `json:"interactiveNanos"`
	// NotCompleted is the share of those requests that were refused or lost.
	NotCompleted float64 `json:"notCompletedShare"`
	// Attempts is the mean number of engines that a request was written to, AttemptsMax the highest.
	Attempts    float64 `json:"attempts"`
	AttemptsMax int     `json:"attemptsMax"`
	// Unfinished counts the runs that did not deliver every batch in time. Broken counts those that broke a promise; only the
	// product's first run is checked, since the history of every token is large.
	Unfinished int `json:"unfinished"`
	Broken     int `json:"broken"`

	latencies []time.Duration
}

// job is one simulation to run.
type job struct {
	row      int
	scenario sim.Scenario
}

// Run compares. The same scenario and options give the same report. It gives up with ctx's error when ctx ends.
func Run(ctx context.Context, scenario sim.Scenario, options Options) (*Report, error) {
	if options.Seeds < 1 {
		return nil, fmt.Errorf("seeds must be above 0")
	}
	if options.Load > 0 {
		scenario = loaded(scenario, options.Load)
	}
	policies := append([]sim.Policy{sim.Covelink()}, sim.Baselines()...)
	if options.Ablations {
		policies = append(policies, sim.Ablations()...)
	}
	jobs := planJobs(scenario, policies, options.Seeds)
	results := make([]*digest, len(jobs))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(options.Workers, 1))
	for index, planned := range jobs {
		group.Go(func() error {
			result, err := sim.RunContext(ctx, planned.scenario)
			if err != nil {
				return err
			}
			results[index] = newDigest(planned.scenario, result)
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	report := &Report{Scenario: scenario.Name, Seeds: options.Seeds, Bound: meanBound(scenario, options.Seeds)}
	for row, policy := range policies {
		report.Rows = append(report.Rows, sum(policy.Name, row, jobs, results))
	}
	report.Rows = append(report.Rows, sum(PolicyEmptyPool, len(policies), jobs, results))
	report.Aims = judge(report)
	return report, nil
}

// loaded returns the scenario with the applications' rates multiplied.
func loaded(scenario sim.Scenario, factor float64) sim.Scenario {
	applications := make([]sim.Application, 0, len(scenario.Applications))
	for _, application := range scenario.Applications {
		application.RequestsPerSecond *= factor
		applications = append(applications, application)
	}
	scenario.Applications = applications
	return scenario
}

func planJobs(scenario sim.Scenario, policies []sim.Policy, seeds int) []job {
	var jobs []job
	for seed := range uint64(seeds) {
		for row, policy := range policies {
			one := scenario
			one.Seed += seed
			one.Policy = policy
			one.SkipInvariants = scenario.SkipInvariants || row > 0 || seed > 0
			jobs = append(jobs, job{row: row, scenario: one})
		}
		jobs = append(jobs, job{row: len(policies), scenario: emptyPool(scenario, seed)})
	}
	return jobs
}

// emptyPool returns the scenario with its applications alone, and without faults.
func emptyPool(scenario sim.Scenario, seed uint64) sim.Scenario {
	scenario.Seed += seed
	scenario.Trainers, scenario.Batches, scenario.Publications, scenario.Faults = nil, nil, nil, nil
	applications := make([]sim.Application, 0, len(scenario.Applications))
	for _, application := range scenario.Applications {
		application.End = emptyPoolDuration
		applications = append(applications, application)
	}
	scenario.Applications = applications
	scenario.SkipInvariants = true
	return scenario
}

// digest is what remains of a Result, which can be large.
type digest struct {
	trainers     []sim.TrainerResult
	staleness    map[int64]int
	overBound    int
	samples      int
	produced     int64
	delivered    int64
	latencies    []time.Duration
	requests     int
	notCompleted int
	attempts     int
	attemptsMax  int
	finished     bool
	kept         bool
}

func newDigest(scenario sim.Scenario, result *sim.Result) *digest {
	d := &digest{
		trainers: result.Trainers, staleness: make(map[int64]int), samples: len(result.Samples),
		produced: result.ProducedTokens, delivered: result.DeliveredTokens,
		finished: result.Finished, kept: scenario.SkipInvariants || result.Report.Kept(),
	}
	for _, sample := range result.Samples {
		d.staleness[sample.Staleness]++
	}
	for _, trainer := range result.Trainers {
		d.overBound += trainer.Staleness.OverBound
	}
	shared := sharedPools(scenario)
	for _, request := range result.Requests {
		if !shared[request.Pool] {
			continue
		}
		d.requests++
		d.attempts += request.Attempts
		d.attemptsMax = max(d.attemptsMax, request.Attempts)
		if request.Outcome != v1.OutcomeCompleted {
			d.notCompleted++
			continue
		}
		d.latencies = append(d.latencies, request.Ended-request.Arrived)
	}
	return d
}

// sharedPools returns the pools of trainers, or every pool when there is no trainer.
func sharedPools(scenario sim.Scenario) map[string]bool {
	shared := make(map[string]bool)
	for _, trainer := range scenario.Trainers {
		shared[trainer.Pool] = true
	}
	if len(shared) == 0 {
		for _, application := range scenario.Applications {
			shared[application.Pool] = true
		}
	}
	return shared
}
