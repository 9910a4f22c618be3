package soak

import (
	"fmt"
	"io"
	"maps"
	"runtime"
	"slices"
	"time"

	"github.com/covelink/covelink/internal/lab/demo"
	"github.com/covelink/covelink/internal/lab/invariant"
	"github.com/covelink/covelink/internal/lab/load"
)

const (
	// A node leaks when at rest it holds more than leakFactor times what it held at its first sample, and leakMargin more.
	leakFactor           = 2
	leakMarginGoroutines = 200
	leakMarginFiles      = 200
	leakMarginMemory     = 256 << 20

	maxListed = 40
	mebibyte  = 1 << 20
)

// Round is what one round showed.
type Round struct {
	Number int
	Length time.Duration
	Struck []Struck
	// Promises is the verdict on everything since the start of the soak.
	Promises invariant.Report
	Idle     time.Duration
	Wall     time.Duration
	Loads    []demo.LoadResult
}

// calls sums what the applications saw in the round.
func (r Round) calls() load.Report {
	var sum load.Report
	for _, result := range r.Loads {
		sum.Sent += result.Report.Sent
		sum.Completed += result.Report.Completed
		sum.NotRun += result.Report.NotRun
		sum.Unknown += result.Report.Unknown
	}
	return sum
}

// Stop is the planned stop of a node at the end.
type Stop struct {
	Node     string
	ExitCode int
	Err      error
}

// Report is what a soak showed.
type Report struct {
	Deployment     string
	Nodes, Engines int
	Seed           int64
	Wanted         time.Duration
	Began, Ended   time.Time
	Rounds         []Round
	// Samples holds what each node held at rest, in time order.
	Samples map[string][]Sample
	Stops   []Stop
	// Problems are faults of the soak itself.
	Problems []string
}

func newReport(config Config) *Report {
	report := &Report{
		Deployment: config.Description.Name,
		Seed:       config.Seed,
		Wanted:     config.Duration,
		Began:      time.Now(),
		Samples:    map[string][]Sample{},
	}
	for _, zone := range config.Description.Zones {
		report.Nodes += zone.Nodes
	}
	for _, pool := range config.Description.Pools {
		for _, engines := range pool.Engines {
			report.Engines += engines
		}
	}
	return report
}

func (r *Report) addRound(number int, length time.Duration, struck []Struck, result demo.Result) {
	r.Rounds = append(r.Rounds, Round{
		Number: number, Length: length, Struck: struck, Promises: result.Promises,
		Idle: result.Trainer.Idle, Wall: result.Trainer.Wall, Loads: result.Loads,
	})
	if calls := r.Rounds[len(r.Rounds)-1].calls(); calls.Sent > 0 && calls.Completed == 0 {
		r.Problems = append(r.Problems, fmt.Sprintf("round %d: none of %d calls was completed", number, calls.Sent))
	}
	for _, fault := range struck {
		if fault.Err != nil {
			r.Problems = append(r.Problems, fmt.Sprintf("round %d: %s of %s: %v", number, fault.Kind, fault.Target, fault.Err))
		}
	}
}

// Verdict is the verdict of the last round, which covers all of them.
func (r *Report) Verdict() invariant.Report {
	if len(r.Rounds) == 0 {
		return invariant.Report{}
	}
	return r.Rounds[len(r.Rounds)-1].Promises
}

// Leaks names what nodes hold more of than they may, at any sample of a life against the first sample of the node.
func (r *Report) Leaks() []string {
	var leaks []string
	for _, node := range slices.Sorted(maps.Keys(r.Samples)) {
		samples := r.Samples[node]
		first, last := samples[0], samples[len(samples)-1]
		leaks = append(leaks, leak(node, "goroutines", int64(first.Goroutines), int64(last.Goroutines), leakMarginGoroutines)...)
		leaks = append(leaks, leak(node, "open files", int64(first.OpenFiles), int64(last.OpenFiles), leakMarginFiles)...)
		leaks = append(leaks, leak(node, "memory bytes", first.MemoryBytes, last.MemoryBytes, leakMarginMemory)...)
	}
	return leaks
}

func leak(node, what string, first, last, margin int64) []string {
	if last <= max(leakFactor*first, first+margin) {
		return nil
	}
	return []string{fmt.Sprintf("%s: %d %s, at first %d", node, last, what, first)}
}

// Passed reports whether every promise was kept, nothing leaked, every planned stop ended well and nothing else went wrong.
func (r *Report) Passed() bool {
	verdict := r.Verdict()
	for _, stop := range r.Stops {
		if stop.Err != nil || stop.ExitCode != 0 {
			return false
		}
	}
	return len(r.Rounds) > 0 && verdict.Kept() && len(r.Leaks()) == 0 && len(r.Problems) == 0
}

// WriteMarkdown writes the report; failure is why the soak could not go on, or nil.
func (r *Report) WriteMarkdown(out io.Writer, failure error) error {
	w := &markdown{out: out}
	w.line("# Soak\n")
	w.line("As measured by `covelink-lab soak --minutes %.0f --seed %d`: the deployment %s with %d nodes and %d engines, each a",
		r.Wanted.Minutes(), r.Seed, r.Deployment, r.Nodes, r.Engines)
	w.line("process of its own, on one machine with %d CPUs that had other work to do.\n", runtime.NumCPU())
	w.line("- began %s, ran %s, %d rounds", r.Began.UTC().Format(time.DateTime), r.Ended.Sub(r.Began).Round(time.Second), len(r.Rounds))
	w.line("- passed: %t", r.Passed() && failure == nil)
	if failure != nil {
		w.line("- ended early: %v", failure)
	}
	r.writePromises(w)
	r.writeRounds(w)
	r.writeFaults(w)
	r.writeProcesses(w)
	r.writeProblems(w)
	return w.err
}

func (r *Report) writePromises(w *markdown) {
	verdict := r.Verdict()
	w.line("\n## Promises\n")
	w.line("| promise | broken |\n|---|---|")
	for _, promise := range invariant.Promises {
		w.line("| %s | %d |", promise, verdict.Count(promise))
	}
	w.line("\n%d of %d samples whole, %d executions; calls: %d completed, %d refused as not run, %d of unknown outcome.",
		verdict.Whole, verdict.Expected, verdict.Executions, verdict.Answers, verdict.NotRun, verdict.Unknown)
	for number, violation := range verdict.Violations {
		if number == maxListed {
			w.line("- and %d more", len(verdict.Violations)-maxListed)
			break
		}
		w.line("- %s", violation)
	}
}

func (r *Report) writeRounds(w *markdown) {
	w.line("\n## Rounds\n")
	w.line("| round | length | faults | trainer idle | calls completed | not run | unknown | broken so far |\n|---|---|---|---|---|---|---|---|")
	for _, round := range r.Rounds {
		calls := round.calls()
		w.line("| %d | %s | %d | %s | %d | %d | %d | %d |", round.Number, round.Length.Round(time.Second), len(round.Struck),
			round.Idle.Round(100*time.Millisecond), calls.Completed, calls.NotRun, calls.Unknown, len(round.Promises.Violations))
	}
}

func (r *Report) writeFaults(w *markdown) {
	counts := map[string]int{}
	for _, round := range r.Rounds {
		for _, fault := range round.Struck {
			counts[fault.Kind]++
		}
	}
	w.line("\n## Faults\n")
	w.line("| fault | times |\n|---|---|")
	for _, kind := range slices.Sorted(maps.Keys(counts)) {
		w.line("| %s | %d |", kind, counts[kind])
	}
}

func (r *Report) writeProcesses(w *markdown) {
	w.line("\n## Nodes at rest\n")
	w.line("First and last sample; the nodes were killed and started again in between.\n")
	w.line("| node | lives seen | goroutines | open files | memory (MiB) | data folder (MiB) | planned stop at the end |\n|---|---|---|---|---|---|---|")
	for _, node := range slices.Sorted(maps.Keys(r.Samples)) {
		samples := r.Samples[node]
		first, last := samples[0], samples[len(samples)-1]
		w.line("| %s | %d | %d → %d | %d → %d | %d → %d | %.1f → %.1f | %s |", node, lives(samples), first.Goroutines, last.Goroutines,
			first.OpenFiles, last.OpenFiles, first.MemoryBytes/mebibyte, last.MemoryBytes/mebibyte,
			float64(first.DiskBytes)/mebibyte, float64(last.DiskBytes)/mebibyte, r.stopOf(node))
	}
	for _, leak := range r.Leaks() {
		w.line("\n- leak: %s", leak)
	}
}

func lives(samples []Sample) int {
	seen := map[int]bool{}
	for _, sample := range samples {
		seen[sample.PID] = true
	}
	return len(seen)
}

func (r *Report) stopOf(node string) string {
	for _, stop := range r.Stops {
		if stop.Node == node && stop.Err == nil {
			return fmt.Sprintf("exit code %d", stop.ExitCode)
		}
		if stop.Node == node {
			return stop.Err.Error()
		}
	}
	return "not done"
}

func (r *Report) writeProblems(w *markdown) {
	if len(r.Problems) == 0 {
		return
	}
	w.line("\n## Problems\n")
	for _, problem := range r.Problems {
		w.line("- %s", problem)
	}
}

// markdown writes lines; the first error is kept.
type markdown struct {
	out io.Writer
	err error
}

func (w *markdown) line(format string, args ...any) {
	if w.err == nil {
		_, w.err = fmt.Fprintf(w.out, format+"\n", args...)
	}
}
