package survival

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/covelink/covelink/internal/lab/invariant"
)

// Result is the verdict on one run.
type Result struct {
	Fault Fault
	Seed  uint64
	// Asked and Delivered count samples; Delivered only those whole, fresh and named truly.
	Asked, Delivered int
	// The rest counts breaches: see package invariant.
	Duplicates, Missing, Stale, WrongVersions, NotWhole, DoubleExecutions, FalseNotRun int
	// Other counts every other breach: zones, mixed-up answers, two holders of the lease, a ledger that does not fit.
	Other int
	// Answers, NotRun and Unknown count the calls of applications by outcome.
	Answers, NotRun, Unknown int
	// Hedges counts second attempts.
	Hedges int
	// Recovery is the longest time without a sample from the fault on.
	Recovery time.Duration
	// Breaches tells each breach.
	Breaches []string
}

// Kept reports whether no promise was broken.
func (r *Result) Kept() bool { return len(r.Breaches) == 0 }

// Run plays one seed of a fault.
func Run(fault Fault, seed uint64) Result { return run(fault, seed, guards{}) }

func run(fault Fault, seed uint64, rules guards) Result {
	w := newWorld(seed, rules)
	w.inflict(fault)
	for end := leaseLength; end <= runLength && !w.finished(); end += leaseLength {
		w.clock.Run(end, nothing)
	}
	return w.conclude(fault, seed)
}

func (w *world) conclude(fault Fault, seed uint64) Result {
	for _, execution := range w.executions {
		w.history.Executions = append(w.history.Executions, *execution)
	}
	if w.commits.lost > 0 {
		w.breach("%d groups of the ledger were committed and not recovered", w.commits.lost)
	}
	report := invariant.Check(&w.history)
	result := Result{
		Fault: fault, Seed: seed, Asked: report.Expected, Delivered: report.Whole,
		Duplicates: report.Count(invariant.PromiseOnce), Missing: report.Count(invariant.PromiseDelivered),
		Stale: report.Count(invariant.PromiseFresh), WrongVersions: report.Count(invariant.PromiseVersions),
		NotWhole: report.Count(invariant.PromiseWhole), DoubleExecutions: report.Count(invariant.PromiseAtMostOnce),
		FalseNotRun: report.Count(invariant.PromiseNotRun),
		Answers:     report.Answers, NotRun: report.NotRun, Unknown: report.Unknown, Recovery: w.recovery(), Hedges: w.hedges,
	}
	for _, violation := range report.Violations {
		result.Breaches = append(result.Breaches, violation.String())
	}
	result.Breaches = append(result.Breaches, w.broken...)
	result.Other = len(result.Breaches) - result.Duplicates - result.Missing - result.Stale - result.WrongVersions -
		result.NotWhole - result.DoubleExecutions - result.FalseNotRun
	return result
}

// recovery returns the longest time without a sample that ends after the fault, counted from the fault at the earliest.
func (w *world) recovery() time.Duration {
	longest, last := time.Duration(0), w.faultAt
	for _, moment := range w.deliveries {
		if moment > last {
			longest = max(longest, moment-last)
			last = moment
		}
	}
	if !w.trainer.done {
		longest = max(longest, w.clock.Now()-last)
	}
	return longest
}

// Row is the sum of the runs of one fault.
type Row struct {
	Result
	Seeds int
	// P50 and Max are recovery times as multiples of the lease length.
	P50, Max float64
	// FirstSeed is the first seed with a breach, and First what it broke.
	FirstSeed uint64
	First     string
}

// Failed reports whether any run broke a promise.
func (r *Row) Failed() bool { return r.First != "" }

// Table runs every fault with the seeds from 1 to the number of seeds, in at most as many goroutines as workers.
func Table(faults []Fault, seeds, workers int) []Row {
	rows := make([]Row, len(faults))
	for index, fault := range faults {
		rows[index] = sum(fault, runSeeds(fault, seeds, workers))
	}
	return rows
}

func runSeeds(fault Fault, seeds, workers int) []Result {
	results := make([]Result, seeds)
	next := make(chan int)
	var work sync.WaitGroup
	for range workers {
		work.Go(func() {
			for index := range next {
				results[index] = Run(fault, uint64(index+1))
			}
		})
	}
	for index := range seeds {
		next <- index
	}
	close(next)
	work.Wait()
	return results
}

func sum(fault Fault, results []Result) Row {
	row := Row{Result: Result{Fault: fault}, Seeds: len(results)}
	var recoveries []time.Duration
	for _, r := range results {
		row.add(r)
		recoveries = append(recoveries, r.Recovery)
		if !r.Kept() && row.First == "" {
			row.FirstSeed, row.First = r.Seed, fmt.Sprintf("%s (%d in all)", r.Breaches[0], len(r.Breaches))
		}
	}
	slices.Sort(recoveries)
	row.Recovery = recoveries[len(recoveries)-1]
	row.P50 = inLeases(recoveries[len(recoveries)/2])
	row.Max = inLeases(row.Recovery)
	return row
}

func inLeases(length time.Duration) float64 { return float64(length) / float64(leaseLength) }

func (r *Row) add(one Result) {
	r.Asked += one.Asked
	r.Delivered += one.Delivered
	r.Duplicates += one.Duplicates
	r.Missing += one.Missing
	r.Stale += one.Stale
	r.WrongVersions += one.WrongVersions
	r.NotWhole += one.NotWhole
	r.DoubleExecutions += one.DoubleExecutions
	r.FalseNotRun += one.FalseNotRun
	r.Other += one.Other
	r.Answers += one.Answers
	r.NotRun += one.NotRun
	r.Unknown += one.Unknown
	r.Hedges += one.Hedges
}
