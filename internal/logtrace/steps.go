package logtrace

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"time"
)

// Messages of part batch that tell of a trainer's steps.
const (
	messageAttemptEnded = "attempt ended"
	messageJobEnds      = "job ends"
)

const (
	// maxSteps bounds the jobs that are told of, and maxRunsPerStep the runs of one that are remembered: the logs of a day of eight
	// trainers with 1,024 samples a step stay within some 100 MB.
	maxSteps       = 20_000
	maxRunsPerStep = 8_192
)

// ErrNoSteps reports logs that tell of no step.
var ErrNoSteps = errors.New("no line of these logs tells of a batch job: are they the coordinators' logs, at level info?")

// ItemRun is a run of an item at an engine.
type ItemRun struct {
	Item, Engine, Verdict string
	Begun, Ended          time.Time
	// Events is the length of the text when the run ended, and Expected the caller's estimate in tokens.
	Events, Expected int
	Version          string
}

// Step is one batch job of a trainer.
type Step struct {
	Job, Model string
	Number     int
	Items      int
	// Submitted is when the job was taken, and Ended when its end was asked for; zero if the logs do not tell.
	Submitted, Ended time.Time
	// Runs are the runs of its items that had ended, in that order.
	Runs []ItemRun
	// Terms are the changes of the coordinating process while the job was open.
	Terms []time.Time
	// CameAgain, Spare and Renewed count its groups when it ended.
	CameAgain, Spare, Renewed int
}

// Critical is the item of a step that became whole last before its end; false if none did.
func (s *Step) Critical() (item string, runs []ItemRun, found bool) {
	for _, run := range slices.Backward(s.Runs) {
		if run.Verdict == "whole" && (s.Ended.IsZero() || !run.Ended.After(s.Ended)) {
			item, found = run.Item, true
			break
		}
	}
	for _, run := range s.Runs {
		if found && run.Item == item {
			runs = append(runs, run)
		}
	}
	return item, runs, found
}

// stepReader makes steps from lines that come in any order of files, each file in the order of its times.
type stepReader struct {
	byJob map[string]*Step
	terms []time.Time
}

// ReadSteps returns the steps that the logs of a folder tell of, in the order of their submission. It reads a line at a time and
// keeps only what it returns. ErrNoSteps if there are none.
func ReadSteps(folder string) ([]*Step, error) {
	reader := &stepReader{byJob: make(map[string]*Step)}
	if err := scanFolder(folder, reader.take); err != nil {
		return nil, err
	}
	return reader.steps()
}

// take takes in a line.
func (r *stepReader) take(line Line) {
	switch line.Message {
	case messageLeading:
		r.terms = append(r.terms, line.Time)
	case messageJobSubmitted:
		r.submitted(line)
	case messageAttemptEnded:
		r.ended(line)
	case messageJobEnds:
		step := r.step(line.Get(fieldRequest))
		if step == nil || !step.Ended.IsZero() {
			return
		}
		step.Ended = line.Time
		step.CameAgain, step.Spare, step.Renewed = number(line, "came_again"), number(line, "spare"), number(line, "renewed")
	}
}

func (r *stepReader) submitted(line Line) {
	step := r.step(line.Get(fieldRequest))
	if step == nil || !step.Submitted.IsZero() || line.Get("err") != "null" {
		return
	}
	step.Submitted, step.Model = line.Time, line.Get("model")
	step.Number, step.Items = number(line, "step"), number(line, "items")
}

func (r *stepReader) ended(line Line) {
	step := r.step(line.Get(fieldJob))
	took, err := time.ParseDuration(line.Get("took"))
	if step == nil || err != nil || len(step.Runs) >= maxRunsPerStep {
		return
	}
	step.Runs = append(step.Runs, ItemRun{
		Item:     line.Get(fieldRequest),
		Engine:   line.Get("engine"),
		Verdict:  line.Get("verdict"),
		Version:  line.Get("version"),
		Events:   number(line, "text_events"),
		Expected: number(line, "expected_tokens"),
		Begun:    line.Time.Add(-took),
		Ended:    line.Time,
	})
}

// step returns the step of a job; nil if there are too many.
func (r *stepReader) step(job string) *Step {
	known, ok := r.byJob[job]
	if !ok && job != "" && len(r.byJob) < maxSteps {
		known = &Step{Job: job}
		r.byJob[job] = known
	}
	return known
}

// number returns a field's number; a field that is missing, as in the lines of earlier versions, counts as zero.
func number(line Line, field string) int {
	value, err := strconv.Atoi(line.Get(field))
	if err != nil {
		return 0
	}
	return value
}

// steps returns what was read, in order.
func (r *stepReader) steps() ([]*Step, error) {
	var steps []*Step
	for _, step := range r.byJob {
		if step.Submitted.IsZero() {
			continue
		}
		slices.SortStableFunc(step.Runs, func(a, b ItemRun) int { return a.Ended.Compare(b.Ended) })
		for _, term := range r.terms {
			if term.After(step.Submitted) && (step.Ended.IsZero() || term.Before(step.Ended)) {
				step.Terms = append(step.Terms, term)
			}
		}
		steps = append(steps, step)
	}
	if len(steps) == 0 {
		return nil, ErrNoSteps
	}
	slices.SortFunc(steps, func(a, b *Step) int {
		return cmp.Or(a.Submitted.Compare(b.Submitted), cmp.Compare(a.Job, b.Job))
	})
	return steps, nil
}

// WriteSteps prints a paragraph a step: when it was asked and ended, and why it took as long as it did.
func WriteSteps(out io.Writer, steps []*Step) error {
	begin := steps[0].Submitted
	for _, step := range steps {
		if err := step.write(out, begin); err != nil {
			return err
		}
	}
	return nil
}

func (s *Step) write(out io.Writer, begin time.Time) error {
	ended := "not ended in these logs"
	if !s.Ended.IsZero() {
		ended = fmt.Sprintf("ended after %.2fs", s.Ended.Sub(s.Submitted).Seconds())
	}
	_, err := fmt.Fprintf(out, "%+8.2fs step %d of %s, job %s: %d items, %s; groups: %d came again, %d spare, %d begun anew\n",
		s.Submitted.Sub(begin).Seconds(), s.Number, s.Model, s.Job, s.Items, ended, s.CameAgain, s.Spare, s.Renewed)
	if err != nil {
		return err
	}
	for _, term := range s.Terms {
		if _, err := fmt.Fprintf(out, "           the coordinator changed %.2fs after it was taken\n", term.Sub(s.Submitted).Seconds()); err != nil {
			return err
		}
	}
	item, runs, found := s.Critical()
	if !found {
		_, err := fmt.Fprintln(out, "           no item became whole")
		return err
	}
	if _, err := fmt.Fprintf(out, "           last whole: item %s, estimated at %d tokens\n", item, runs[0].Expected); err != nil {
		return err
	}
	return s.writeRuns(out, runs)
}

func (s *Step) writeRuns(out io.Writer, runs []ItemRun) error {
	waitedFrom := s.Submitted
	for _, run := range runs {
		waited := max(run.Begun.Sub(waitedFrom), 0)
		_, err := fmt.Fprintf(out, "             waited %.2fs, ran %.2fs at engine %s (weights %s): %s with %d events\n",
			waited.Seconds(), run.Ended.Sub(run.Begun).Seconds(), run.Engine, run.Version, run.Verdict, run.Events)
		if err != nil {
			return err
		}
		waitedFrom = run.Ended
	}
	if s.Ended.IsZero() {
		return nil
	}
	_, err := fmt.Fprintf(out, "             then %.2fs for its reward call, its listing and the trainer's reading\n", s.Ended.Sub(waitedFrom).Seconds())
	return err
}
