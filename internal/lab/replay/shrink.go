package replay

import (
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/covelink/covelink/internal/lab/trace"
)

// ErrMet reports that a trace to be reduced shows every outcome that it states.
var ErrMet = errors.New("every stated outcome is met: there is nothing to reduce")

// Shrink returns a smaller trace that still does not show the outcome that t failed first: events, expectations and
// resources that the failure does not need are gone, and numbers and times are smaller.
func Shrink(t *trace.Trace) (*trace.Trace, error) { return shrinkWith(t, options{}) }

func shrinkWith(t *trace.Trace, broken options) (*trace.Trace, error) {
	result, err := run(t, broken)
	if err != nil {
		return nil, err
	}
	if result.Met() {
		return nil, ErrMet
	}
	s := &shrinker{best: t, wanted: result.Unmet[0], broken: broken}
	s.keepExpectation()
	for s.removeEvents() || s.reduceEvents() || s.removeDeclarations() {
	}
	return s.best, nil
}

// shrinker reduces a trace step by step; every step that still fails alike is kept.
type shrinker struct {
	best   *trace.Trace
	wanted trace.Unmet
	broken options
}

// try keeps a candidate that is a sound trace and fails alike.
func (s *shrinker) try(candidate *trace.Trace) bool {
	var text strings.Builder
	if _, err := candidate.WriteTo(&text); err != nil {
		return false
	}
	sound, err := trace.Parse(candidate.File, strings.NewReader(text.String()))
	if err != nil {
		return false
	}
	result, err := run(sound, s.broken)
	if err != nil {
		return false
	}
	alike := func(unmet trace.Unmet) bool {
		return unmet.Subject == s.wanted.Subject && promiseIn(unmet) == promiseIn(s.wanted)
	}
	if !slices.ContainsFunc(result.Unmet, alike) {
		return false
	}
	s.best = sound
	return true
}

// promiseIn returns the name of the first promise that an unmet outcome says is broken.
func promiseIn(unmet trace.Unmet) string {
	_, rest, found := strings.Cut(unmet.Seen, "first ")
	if !found {
		return ""
	}
	name, _, _ := strings.Cut(rest, ":")
	return name
}

// variant returns a copy of the best trace whose slices may be changed.
func (s *shrinker) variant() *trace.Trace {
	copied := *s.best
	copied.Events = slices.Clone(s.best.Events)
	copied.Expectations = slices.Clone(s.best.Expectations)
	return &copied
}

// keepExpectation drops every expectation but the one that failed.
func (s *shrinker) keepExpectation() {
	candidate := s.variant()
	candidate.Expectations = slices.DeleteFunc(candidate.Expectations, func(e trace.Expectation) bool {
		return e.Line != s.wanted.Line
	})
	s.try(candidate)
}

// removeEvents drops runs of events, long ones first.
func (s *shrinker) removeEvents() bool {
	removed := false
	for size := max(len(s.best.Events)/2, 1); size >= 1; size /= 2 {
		for start := 0; start+size <= len(s.best.Events); {
			candidate := s.variant()
			candidate.Events = slices.Delete(candidate.Events, start, start+size)
			if s.try(candidate) {
				removed = true
				continue
			}
			start += size
		}
	}
	return removed
}

// reduceEvents halves the numbers of single events.
func (s *shrinker) reduceEvents() bool {
	reduced := false
	for i := range s.best.Events {
		for _, smaller := range reductions(s.best.Events[i].Record) {
			candidate := s.variant()
			candidate.Events[i].Record = smaller
			reduced = s.try(candidate) || reduced
		}
	}
	return reduced
}

// reductions returns smaller forms of an event.
func reductions(record trace.Record) []trace.Record {
	var smaller []trace.Record
	switch r := record.(type) {
	case *trace.Batch:
		if r.Samples > 1 && r.Tokens == nil {
			half := *r
			half.Samples /= 2
			smaller = append(smaller, &half)
		}
		if r.MaxTokens > 1 {
			half := *r
			half.MaxTokens /= 2
			smaller = append(smaller, &half)
		}
	case *trace.Load:
		if length := r.Until - r.At; length > trace.Duration(time.Second) {
			half := *r
			half.Until = r.At + length/2
			smaller = append(smaller, &half)
		}
		if r.Rate > 1 {
			half := *r
			half.Rate /= 2
			smaller = append(smaller, &half)
		}
	case *trace.Fault:
		if r.For > trace.Duration(10*time.Millisecond) {
			half := *r
			half.For /= 2
			smaller = append(smaller, &half)
		}
	}
	return smaller
}

// removeDeclarations drops trainers, applications and pools that nothing needs any more, and engines.
func (s *shrinker) removeDeclarations() bool {
	removed := false
	h := &s.best.Header
	for i := len(h.Trainers) - 1; i >= 0; i-- {
		candidate := s.variant()
		candidate.Header.Trainers = slices.Delete(slices.Clone(s.best.Header.Trainers), i, i+1)
		removed = s.try(candidate) || removed
	}
	for i := len(s.best.Header.Applications) - 1; i >= 0; i-- {
		candidate := s.variant()
		candidate.Header.Applications = slices.Delete(slices.Clone(s.best.Header.Applications), i, i+1)
		removed = s.try(candidate) || removed
	}
	for i := len(s.best.Header.Pools) - 1; i >= 0 && len(s.best.Header.Pools) > 1; i-- {
		candidate := s.variant()
		candidate.Header.Pools = slices.Delete(slices.Clone(s.best.Header.Pools), i, i+1)
		removed = s.try(candidate) || removed
	}
	return removed
}
