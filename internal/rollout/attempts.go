package rollout

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/dispatch"
)

const (
	// attemptBits is the part of an attempt number that counts within an epoch; the ledger's epoch stands above it.
	attemptBits = 12
	maxSequence = 1<<attemptBits - 1
	// checkpointTokens is how many new tokens of an unfinished sample are worth an entry.
	checkpointTokens = 1024
	// At most minWindow attempts, or one in windowShare of those that have begun, wait for their first token.
	minWindow   = 32
	windowShare = 4
	// resortInterval is how often the waiting list follows new predictions.
	resortInterval = 250 * time.Millisecond
	// A straggler has taken hedgeFactor times as long for its tokens as others do, and hedgeAfter more; or it has told
	// nothing for hedgeSilence since its first token.
	hedgeFactor   = 1.5
	hedgeAfter    = 500 * time.Millisecond
	hedgeSilence  = 2 * time.Second
	hedgeInterval = 100 * time.Millisecond
	// A failed sample waits retryDelay, doubled with each failure up to maxRetryDelay.
	retryDelay    = 50 * time.Millisecond
	maxRetryDelay = 10 * time.Second
)

// attempt is one running attempt.
type attempt struct {
	identity Identity
	number   uint32
	started  time.Time
	began    time.Time // when its first token came
	told     time.Time // when its last token came
	expected int       // tokens it is expected to produce
	resumed  int       // tokens it started from
	saved    int       // tokens in its last PartialSaved
	hedged   bool      // it is, or has, a second attempt
	tokens   []string
	segments []v1.Segment
	engine   string
}

// history is what an identity's earlier attempts in this term leave behind.
type history struct {
	sequence uint32
	failures int
	// fromStart is true when the saved prefix must not be used.
	fromStart bool
}

// Schedule starts what may start now, and hedges stragglers. The caller calls it after other inputs and from time to time.
func (o *Owner) Schedule(now time.Time) {
	if o.suspended {
		return
	}
	o.waiting.sort(now, o.startOrders())
	for o.inFlight < o.config.MaxInFlight && o.unbegun < o.window() {
		id, ok := o.waiting.take(now, o.mayStart)
		if !ok {
			break
		}
		o.start(now, id, nil)
	}
	o.hedge(now)
}

func (o *Owner) request(id Identity) v1.SampleRequest {
	return o.ledger.batch(id.Batch).Spec.Samples[id.Index]
}

func (o *Owner) tokenLimit(id Identity) int {
	if limit := o.request(id).MaxTokens; limit > 0 {
		return limit
	}
	return o.config.MaxTokens
}

func (o *Owner) expectedTokens(id Identity) int {
	return o.predictor.length(o.request(id).Group, o.tokenLimit(id))
}

// minVersion returns the lowest version that is expected to be fresh still when the tokens have been produced. It asks for no
// version above the weights published, since no engine can run one, unless the bound itself does.
func (o *Owner) minVersion(tokens int) int64 {
	if o.config.Without.StaleStart {
		return 0
	}
	allowed := max(0, o.oldestAllowed())
	moves := o.predictor.versions(tokens)
	return max(allowed, min(o.ledger.Weights().Version, allowed+moves))
}

// start runs a new attempt; first is the attempt it hedges, if any.
func (o *Owner) start(now time.Time, id Identity, first *attempt) {
	request := o.request(id)
	prefix := o.prefix(id, first)
	expected := max(o.expectedTokens(id)-len(prefix.Tokens), 1)
	a := &attempt{
		identity: id, number: o.nextAttempt(id), started: now, expected: expected, hedged: first != nil,
		resumed: len(prefix.Tokens), saved: len(prefix.Tokens),
		tokens: slices.Clone(prefix.Tokens), segments: slices.Clone(prefix.Segments),
	}
	task := dispatch.Task{
		RequestID: id.String(), Attempt: a.number, Class: dispatch.ClassRollout,
		Pool: o.config.Pool, Caller: id.Trainer, Weight: o.config.Weight,
		Prompt: request.Prompt, MaxTokens: o.tokenLimit(id), Seed: request.Seed, PrefixKey: prefixKey(request),
		Resume: prefix.Tokens, ResumeSegments: prefix.Segments,
		MinVersion: o.minVersion(expected), PreferVersion: o.ledger.Version(),
		Repeatable: true, Rank: o.waiting.order(id.Batch), ExpectedTokens: expected,
	}
	if first != nil && first.engine != "" {
		task.AvoidEngines = []string{first.engine}
	}
	o.attempts[id] = append(o.attempts[id], a)
	o.inFlight++
	o.unbegun++
	o.predictor.observeRunning(request.Group, len(prefix.Tokens))
	o.actions = append(o.actions, Start{Identity: id, Attempt: a.number, Task: task})
}

// prefix returns the longest verified prefix that can still meet the bound once the rest is produced.
func (o *Owner) prefix(id Identity, first *attempt) partialState {
	_, s, err := o.ledger.sample(id)
	if err != nil || o.history(id).fromStart || o.config.Without.Resume {
		return partialState{}
	}
	best := s.Partial
	if first != nil && len(first.tokens) > len(best.Tokens) {
		best = partialState{Tokens: slices.Clone(first.tokens), Segments: slices.Clone(first.segments)}
	}
	if len(best.Tokens) == 0 || len(best.Tokens) >= o.tokenLimit(id) {
		return partialState{}
	}
	rest := max(o.expectedTokens(id)-len(best.Tokens), 1)
	if v1.OldestVersion(best.Segments) < o.minVersion(rest) {
		return partialState{}
	}
	return best
}

func prefixKey(request v1.SampleRequest) uint64 {
	if request.Group == "" {
		return 0
	}
	return xxhash.Sum64String(request.Group)
}

func (o *Owner) history(id Identity) *history {
	h, ok := o.histories[id]
	if !ok {
		h = &history{}
		o.histories[id] = h
	}
	return h
}

// nextAttempt returns a number that no other attempt of the identity has, in this term or an earlier one. When the
// numbers of an epoch are used up, another epoch is opened.
func (o *Owner) nextAttempt(id Identity) uint32 {
	h := o.history(id)
	if h.sequence == maxSequence {
		o.append(TermStarted{Token: o.ledger.state.Token})
		for _, other := range o.histories {
			other.sequence = 0
		}
	}
	h.sequence++
	return o.ledger.Epoch()<<attemptBits | h.sequence
}

// Progress notes verified tokens of an attempt. Those of an attempt that is not running any more are ignored.
func (o *Owner) Progress(now time.Time, id Identity, number uint32, progress dispatch.Progress) {
	a := o.attempt(id, number)
	if a == nil {
		return
	}
	if progress.Index != len(a.tokens) {
		o.cancel(a)
		o.rerunUnlessRunning(now, id, ReasonFailed, len(a.tokens)-a.resumed, 0)
		return
	}
	if a.began.IsZero() {
		a.began = now
		o.unbegun--
	}
	a.told = now
	a.take(progress)
	o.predictor.observeRunning(o.request(id).Group, len(a.tokens))
	if !o.fresh(a.segments) {
		o.cancelStale(now, id)
		return
	}
	if len(a.tokens)-a.saved >= checkpointTokens {
		o.savePartial(a.identity, a.tokens, a.segments)
		a.saved = len(a.tokens)
	}
}

func (a *attempt) take(progress dispatch.Progress) {
	a.engine = progress.Engine
	if len(progress.Tokens) == 0 {
		return
	}
	a.tokens = append(a.tokens, progress.Tokens...)
	if last := len(a.segments) - 1; last >= 0 {
		segment := &a.segments[last]
		if segment.Version == progress.Version && segment.Engine == progress.Engine {
			segment.Tokens += len(progress.Tokens)
			return
		}
	}
	a.segments = append(a.segments, v1.Segment{
		Version: progress.Version, Engine: progress.Engine, FirstToken: progress.Index, Tokens: len(progress.Tokens),
	})
}

// Finished notes an attempt's outcome. That of an attempt that is not running any more is ignored: it was counted when it was cancelled.
func (o *Owner) Finished(now time.Time, id Identity, number uint32, result dispatch.Result) {
	a := o.attempt(id, number)
	if a == nil {
		return
	}
	o.remove(a)
	produced := len(result.Tokens) - a.resumed
	switch {
	case result.Outcome != v1.OutcomeCompleted:
		o.failed(now, a, result)
	case !covers(result.Segments, len(result.Tokens)):
		o.history(id).fromStart = true
		o.rerunUnlessRunning(now, id, ReasonUnstamped, produced, o.backoff(id))
	case !o.fresh(result.Segments):
		o.rerunUnlessRunning(now, id, ReasonStale, produced, 0)
	default:
		o.commit(now, a, result)
	}
}

func (o *Owner) commit(now time.Time, a *attempt, result dispatch.Result) {
	id := a.identity
	o.append(SampleCommitted{
		Identity: id, Attempt: a.number, Text: joinTokens(result.Tokens), Tokens: len(result.Tokens),
		Segments: result.Segments, FinishReason: result.FinishReason,
	})
	o.observer.Commit()
	o.predictor.observeLength(o.request(id).Group, len(result.Tokens))
	if !a.began.IsZero() {
		o.predictor.observeSpeed(len(result.Tokens)-a.resumed, now.Sub(a.began))
	}
	o.history(id).failures = 0
	for _, loser := range o.attempts[id] {
		o.observer.Wasted(len(loser.tokens) - loser.resumed)
	}
	o.cancelAll(id)
	b, s, _ := o.ledger.sample(id)
	o.offerOrScore(id, s)
	if b.Committed == b.Size {
		o.observer.BatchComplete(now.Sub(o.opened[b.Name]))
	}
}

// failed keeps the verified tokens of a failed attempt and queues the sample again.
func (o *Owner) failed(now time.Time, a *attempt, result dispatch.Result) {
	wasted := len(result.Tokens) - a.resumed
	if o.savePartial(a.identity, result.Tokens, result.Segments) {
		wasted = 0
	}
	delay := o.backoff(a.identity)
	if result.Err != nil {
		delay = max(delay, result.Err.RetryAfter)
	}
	o.rerunUnlessRunning(now, a.identity, ReasonFailed, wasted, delay)
}

func (o *Owner) backoff(id Identity) time.Duration {
	h := o.history(id)
	delay := retryDelay << min(h.failures, 10)
	h.failures++
	return min(delay, maxRetryDelay)
}

// savePartial logs a prefix if it is fresh and longer than the one kept, and reports whether it did.
func (o *Owner) savePartial(id Identity, tokens []string, segments []v1.Segment) bool {
	_, s, err := o.ledger.sample(id)
	if err != nil || s.Committed || len(tokens) == 0 || !covers(segments, len(tokens)) || !o.fresh(segments) {
		return false
	}
	if len(tokens) <= len(s.Partial.Tokens) && o.fresh(s.Partial.Segments) {
		return false
	}
	o.append(s.Partial.entry(id, tokens, segments))
	return true
}

// rerun counts the waste and queues the identity.
func (o *Owner) rerun(now time.Time, id Identity, reason Reason, wasted int) {
	o.rerunUnlessRunning(now, id, reason, wasted, 0)
}

func (o *Owner) rerunUnlessRunning(now time.Time, id Identity, reason Reason, wasted int, delay time.Duration) {
	o.observer.Rerun(reason)
	o.observer.Wasted(wasted)
	if len(o.attempts[id]) == 0 {
		o.waiting.add(id, now.Add(delay))
	}
}

// cancelStale cancels the attempts of an identity that can no longer meet the bound.
func (o *Owner) cancelStale(now time.Time, id Identity) {
	if o.config.Without.StaleCancel {
		return
	}
	for _, a := range slices.Clone(o.attempts[id]) {
		if len(a.segments) > 0 && !o.fresh(a.segments) {
			o.cancel(a)
			o.rerunUnlessRunning(now, id, ReasonStale, len(a.tokens)-a.resumed, 0)
		}
	}
}

// Suspend stops starting work, keeps the verified tokens of all that runs and cancels it, so that another owner can resume.
func (o *Owner) Suspend() {
	o.suspended = true
	for _, id := range o.running() {
		for _, a := range o.attempts[id] {
			o.savePartial(id, a.tokens, a.segments)
		}
		o.cancelAll(id)
	}
}

func (o *Owner) attempt(id Identity, number uint32) *attempt {
	for _, a := range o.attempts[id] {
		if a.number == number {
			return a
		}
	}
	return nil
}

// running returns the identities with attempts, in order.
func (o *Owner) running() []Identity {
	ids := make([]Identity, 0, len(o.attempts))
	for id := range o.attempts {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b Identity) int {
		return cmp.Or(cmp.Compare(a.Batch, b.Batch), cmp.Compare(a.Index, b.Index))
	})
	return ids
}

func (o *Owner) cancelAll(id Identity) {
	for _, a := range slices.Clone(o.attempts[id]) {
		o.cancel(a)
	}
}

func (o *Owner) cancel(a *attempt) {
	o.remove(a)
	o.actions = append(o.actions, Cancel{Identity: a.identity, Attempt: a.number})
}

func (o *Owner) remove(a *attempt) {
	rest := slices.DeleteFunc(o.attempts[a.identity], func(other *attempt) bool { return other == a })
	if len(rest) == 0 {
		delete(o.attempts, a.identity)
	} else {
		o.attempts[a.identity] = rest
	}
	o.inFlight--
	if a.began.IsZero() {
		o.unbegun--
	}
}
