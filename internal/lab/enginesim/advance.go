package enginesim

import (
	"slices"
	"time"

	"github.com/covelink/covelink/api/enginev1"
)

// NextChange returns when the batch changes by itself: the end of the first step after which a sequence ends or is admitted,
// or the end of a preparation. Until then Advance may be put off without any effect but that tokens are told later. False means not
// before another call.
func (e *Engine) NextChange() (time.Time, bool) {
	prepared, preparing := e.versions.preparedAt()
	if e.step == nil {
		return prepared, preparing
	}
	if len(e.waiting) > 0 && len(e.running) < e.config.MaxRunning {
		return e.step.end, true
	}
	steps := 0
	for index, current := range e.running {
		left := max(current.length-len(current.tokens), 1)
		if index == 0 || left < steps {
			steps = left
		}
	}
	change := e.step.end.Add(time.Duration(max(steps-1, 0)) * e.stepDuration(len(e.running), 0))
	if preparing && prepared.Before(change) {
		return prepared, true
	}
	return change, true
}

// Advance does all that has fallen due up to now, step by step, as Step called at every NextStep would: unlike Step it makes
// up for steps that fell due earlier. The tokens that a sequence got from consecutive steps under one version come in
// one event. Events stand in the order of the first step that they cover.
func (e *Engine) Advance(now time.Time) []enginev1.TokenEvent {
	var events []enginev1.TokenEvent
	for {
		due, ok := e.NextStep()
		if !ok || due.After(now) {
			return events
		}
		steps, end := e.quietSteps(now)
		if steps > 1 {
			events = append(events, e.skip(steps, end)...)
			continue
		}
		events = append(events, e.Step(due)...)
	}
}

// quietSteps returns how many whole steps fall due by now before the one that changes the batch, and the end of the last.
func (e *Engine) quietSteps(now time.Time) (int, time.Time) {
	change, ok := e.NextChange()
	if e.step == nil || !ok {
		return 0, time.Time{}
	}
	duration := e.stepDuration(len(e.running), 0)
	last := now
	if !change.After(now) {
		last = change.Add(-1)
	}
	if duration <= 0 || e.step.end.After(last) {
		return 0, time.Time{}
	}
	steps := int(last.Sub(e.step.end)/duration) + 1
	return steps, e.step.end.Add(time.Duration(steps-1) * duration)
}

// skip produces the tokens of a number of steps of an unchanged batch, the last of which ends at end.
func (e *Engine) skip(steps int, end time.Time) []enginev1.TokenEvent {
	version, first := e.step.version, 1
	var events []enginev1.TokenEvent
	if version != e.versions.active {
		// The step in progress began under the version before.
		events = e.produceMany(version, 1)
		version, first = e.versions.active, 2
	}
	if steps >= first {
		events = append(events, e.produceMany(version, steps-first+1)...)
	}
	e.step = &step{end: end.Add(e.stepDuration(len(e.running), 0)), version: e.versions.active}
	return events
}

// produceMany adds a number of tokens to every running sequence, none of which ends by it.
func (e *Engine) produceMany(version int64, count int) []enginev1.TokenEvent {
	events := make([]enginev1.TokenEvent, 0, len(e.running))
	for _, current := range e.running {
		event := e.event(current, version)
		current.tokens = slices.Grow(current.tokens, count)
		for range count {
			token := Token(current.promptHash, current.request.Seed, version, len(current.tokens))
			current.tokens = append(current.tokens, token)
		}
		event.Tokens = slices.Clone(current.tokens[len(current.tokens)-count:])
		events = append(events, event)
	}
	return events
}

// stepDuration returns the time of a step of a number of sequences with a number of tokens to compute anew.
func (e *Engine) stepDuration(sequences, prefill int) time.Duration {
	duration := e.config.StepBase
	duration += time.Duration(sequences) * e.config.StepPerSequence
	duration += time.Duration(prefill) * e.config.StepPerPrefillToken
	return duration
}
