package trace

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Unmet is a stated outcome that the replay did not show.
type Unmet struct {
	File string
	Line int
	// Subject is what the expectation is about, Bound the bound that doesn't hold, Seen what was seen in its place.
	Subject, Bound, Seen string
}

// String implements fmt.Stringer.
func (u Unmet) String() string {
	return fmt.Sprintf("%s:%d: %s: %s not met: %s", u.File, u.Line, u.Subject, u.Bound, u.Seen)
}

// Judge returns the stated outcomes that are not met, in the order of the file.
func Judge(t *Trace, outcome *Outcome) []Unmet {
	j := &judge{trace: t, outcome: outcome}
	for i := range t.Expectations {
		j.line = t.Expectations[i].Line
		j.expect(&t.Expectations[i].Expect)
	}
	return j.unmet
}

type judge struct {
	trace   *Trace
	outcome *Outcome
	line    int
	subject string
	unmet   []Unmet
}

func (j *judge) fail(bound, format string, args ...any) {
	j.unmet = append(j.unmet, Unmet{
		File: j.trace.File, Line: j.line, Subject: j.subject, Bound: bound, Seen: fmt.Sprintf(format, args...),
	})
}

func (j *judge) expect(e *Expect) {
	subject := e.subjects()[0]
	j.subject = subject.field + " " + subject.name
	switch subject.field {
	case "promise":
		j.promise(e)
	case "request":
		j.request(e)
	case "load":
		j.load(e)
	case "sample":
		seen := j.outcome.Samples[e.Sample]
		j.number("delivered", e.Delivered, seen.Delivered)
		j.number("staleness", e.Staleness, seen.Staleness)
	case "batch":
		j.batch(e)
	case "trainer":
		seen := j.outcome.Trainers[e.Trainer]
		j.number("staleness", e.Staleness, seen.Staleness)
		j.length("idle", e.Idle, seen.Idle)
	case "write":
		j.write(e)
	}
}

func (j *judge) number(bound string, bounds *Range, seen int64) {
	if !bounds.Holds(seen) {
		j.fail(bound+" "+bounds.String(), "%d", seen)
	}
}

func (j *judge) length(bound string, bounds *DurationRange, seen time.Duration) {
	if !bounds.Holds(seen) {
		j.fail(bound+" "+bounds.String(), "%s", seen)
	}
}

func (j *judge) promise(e *Expect) {
	if slices.Contains(j.outcome.Unchecked, e.Promise) {
		j.fail("kept", "this replay cannot check it")
		return
	}
	bounds := e.Violations
	if bounds == nil {
		none := int64(0)
		bounds = &Range{Max: &none}
	}
	seen := j.outcome.Count(e.Promise)
	if bounds.Holds(seen) {
		return
	}
	detail := fmt.Sprint(seen)
	for _, violation := range j.outcome.Violations {
		if e.Promise == AllPromises || violation.Promise == e.Promise {
			detail += fmt.Sprintf(", first %s: %s: %s", violation.Promise, violation.Subject, violation.Detail)
			break
		}
	}
	j.fail("violations "+bounds.String(), "%s", detail)
}

func (j *judge) request(e *Expect) {
	seen, ended := j.outcome.Requests[e.Request]
	if !ended {
		j.fail("an outcome", "none by the end of the run")
		return
	}
	if e.Outcomes != nil && !slices.Contains(e.Outcomes, seen.Outcome) {
		j.fail("outcome "+strings.Join(e.Outcomes, " or "), "%s", seen.Outcome)
	}
	j.number("attempts", e.Attempts, seen.Attempts)
	j.length("elapsed", e.Elapsed, seen.Elapsed)
}

func (j *judge) load(e *Expect) {
	seen := j.outcome.Loads[e.Load]
	j.number("completed", e.Completed, seen.Completed)
	j.number("notRun", e.NotRun, seen.NotRun)
	j.number("unknown", e.Unknown, seen.Unknown)
	j.length("p99", e.P99, seen.P99())
}

func (j *judge) batch(e *Expect) {
	seen := j.outcome.Batches[e.Batch]
	j.number("delivered", e.Delivered, seen.Delivered)
	if e.Elapsed == nil {
		return
	}
	if !seen.Complete {
		j.fail("elapsed "+e.Elapsed.String(), "incomplete with %d samples", seen.Delivered)
		return
	}
	j.length("elapsed", e.Elapsed, seen.Elapsed)
}

func (j *judge) write(e *Expect) {
	seen := j.outcome.Writes[e.Write]
	shown := seen.Result
	if len(seen.Missing) > 0 {
		shown += ", not acknowledged by " + strings.Join(seen.Missing, ", ")
	}
	if e.Result != "" && seen.Result != e.Result {
		j.fail("result "+e.Result, "%s", shown)
	}
	if e.Elapsed == nil {
		return
	}
	if seen.Result != ResultAccepted {
		j.fail("elapsed "+e.Elapsed.String(), "%s", shown)
		return
	}
	j.length("elapsed", e.Elapsed, seen.Elapsed)
}

// String returns the bounds as in "min 1, max 2".
func (r *Range) String() string {
	return boundsText(r.Min, r.Max, func(number int64) string { return fmt.Sprint(number) })
}

// String returns the bounds as in "min 1s, max 2s".
func (r *DurationRange) String() string {
	return boundsText(r.Min, r.Max, func(length Duration) string { return time.Duration(length).String() })
}

func boundsText[T any](low, high *T, text func(T) string) string {
	var parts []string
	if low != nil {
		parts = append(parts, "min "+text(*low))
	}
	if high != nil {
		parts = append(parts, "max "+text(*high))
	}
	return strings.Join(parts, ", ")
}
