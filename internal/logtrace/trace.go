package logtrace

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// Messages that the trace knows by their meaning; the parts named in the comments write them.
const (
	messageRequestEnded  = "request ended"        // forward
	messageItemGivenUp   = "item given up"        // batch
	messageJobSubmitted  = "job submitted"        // batch
	messageJobEnded      = "job ended"            // batch
	messageResultsListed = "results listed"       // batch
	messageNotKept       = "results not kept"     // batch
	messageLeading       = "leading"              // batch
	messageStoreFailed   = "store call failed"    // several
	messageLeaseAcquired = "lease acquired"       // election
	messageChallenged    = "holder challenged"    // election
	messageVersionNamed  = "weight version named" // orders
)

const (
	// gapAfter is the time without a line that is named.
	gapAfter = time.Second
	// lead is how long before the first line of a job the circumstances are shown.
	lead = time.Second
)

// Trace is what the logs tell of an ID.
type Trace struct {
	ID    string
	Lines []Line
	// Causes are what ended it as it did, as far as the lines tell.
	Causes []string
}

// Find returns the trace of a request, a batch job, an item or a reward call. ErrNotFound if no line names it.
func Find(lines []Line, id string) (Trace, error) {
	trace := Trace{ID: id}
	ids := related(lines, id)
	for _, line := range lines {
		if ids[line.Get(fieldRequest)] || ids[line.Get(fieldJob)] || ids[line.Get(fieldCall)] {
			trace.Lines = append(trace.Lines, line)
		}
	}
	if len(trace.Lines) == 0 {
		return trace, fmt.Errorf("%s: %w", id, ErrNotFound)
	}
	if isJob(lines, id) {
		trace.addCircumstances(lines)
	}
	trace.explain()
	return trace, nil
}

// related returns the ID with those of its reward call.
func related(lines []Line, id string) map[string]bool {
	ids := map[string]bool{id: true}
	for _, line := range lines {
		if call := line.Get(fieldCall); call != "" && line.Get(fieldRequest) == id {
			ids[call] = true
		}
	}
	return ids
}

func isJob(lines []Line, id string) bool {
	return slices.ContainsFunc(lines, func(line Line) bool {
		return line.Message == messageJobSubmitted && line.Get(fieldRequest) == id
	})
}

// circumstances are messages that concern every job of their time.
var circumstances = []string{messageLeading, messageLeaseAcquired, messageChallenged, messageStoreFailed, messageVersionNamed}

// addCircumstances adds the lines that concern every job, from shortly before the first line to the last.
func (t *Trace) addCircumstances(lines []Line) {
	begin := t.Lines[0].Time.Add(-lead)
	end := t.Lines[len(t.Lines)-1].Time
	for _, line := range lines {
		if slices.Contains(circumstances, line.Message) && !line.Time.Before(begin) && !line.Time.After(end) {
			t.Lines = append(t.Lines, line)
		}
	}
	slices.SortStableFunc(t.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// explain names the causes.
func (t *Trace) explain() {
	taken := time.Time{}
	for _, line := range t.Lines {
		switch line.Message {
		case messageRequestEnded:
			t.explainRequest(line)
		case messageItemGivenUp:
			t.cause("item %s was given up: %s", line.Get(fieldRequest), line.Get("reason"))
		case messageNotKept:
			t.cause("results were not kept: %s", line.Get("err"))
		case messageJobSubmitted:
			taken = line.Time
		case messageLeading:
			if !taken.IsZero() {
				t.cause("the coordinator changed %s after the job was taken: %s leads with token %s", line.Time.Sub(taken).Round(time.Millisecond),
					line.Node, line.Get("token"))
			}
		case messageStoreFailed:
			t.cause("the store did not answer %s: %s", line.Node, line.Get("err"))
		case messageJobEnded:
			if !taken.IsZero() {
				t.cause("the job ended %s after it was taken", line.Time.Sub(taken).Round(time.Millisecond))
				taken = time.Time{}
			}
		}
	}
	t.Causes = slices.Compact(t.Causes)
}

// explainRequest names the cause of a request that was not answered as it should.
func (t *Trace) explainRequest(line Line) {
	outcome, status := line.Get("outcome"), line.Get("status")
	if outcome == "completed" && !strings.HasPrefix(status, "5") {
		return
	}
	reason := line.Get("reason")
	if reason == "" {
		reason = "the engine's own status " + status
	}
	t.cause("request %s ended %s: %s (engines asked: %s, configuration %s)", line.Get(fieldRequest), outcome, reason, line.Get("engines"), line.Get("config"))
}

func (t *Trace) cause(format string, values ...any) {
	t.Causes = append(t.Causes, fmt.Sprintf(format, values...))
}

// Write prints the lines in their order with the time since the first, names the gaps between them, and closes with the causes.
func (t Trace) Write(out io.Writer) error {
	first, last := t.Lines[0].Time, t.Lines[0].Time
	for _, line := range t.Lines {
		if gap := line.Time.Sub(last); gap >= gapAfter {
			if _, err := fmt.Fprintf(out, "         (no line for %s)\n", gap.Round(time.Millisecond)); err != nil {
				return err
			}
		}
		last = line.Time
		if _, err := fmt.Fprintf(out, "%+8.3fs %s\n", line.Time.Sub(first).Seconds(), line); err != nil {
			return err
		}
	}
	if len(t.Causes) == 0 {
		_, err := fmt.Fprintln(out, "cause: none; it ended as it should, or its end is in no log")
		return err
	}
	for _, cause := range t.Causes {
		if _, err := fmt.Fprintf(out, "cause: %s\n", cause); err != nil {
			return err
		}
	}
	return nil
}
