package enginesim

import (
	"slices"
	"time"

	"github.com/covelink/covelink/api/enginev1"
)

// Cancel ends an attempt and returns its last event; false means that the attempt is not in progress.
func (e *Engine) Cancel(now time.Time, request enginev1.CancelRequest) (enginev1.TokenEvent, bool) {
	key := attemptKey{requestID: request.RequestID, attempt: request.Attempt}
	cancelled := e.attempts[key]
	if cancelled == nil {
		return enginev1.TokenEvent{}, false
	}
	e.remove(key, cancelled)
	event := e.event(cancelled, e.versions.active)
	event.Final = e.final(now, cancelled, FinishCancelled)
	return event, true
}

func (e *Engine) remove(key attemptKey, gone *sequence) {
	delete(e.attempts, key)
	isGone := func(candidate *sequence) bool { return candidate == gone }
	e.waiting = slices.DeleteFunc(e.waiting, isGone)
	e.running = slices.DeleteFunc(e.running, isGone)
}

// Export ends an attempt like Cancel and returns its KV state too.
func (e *Engine) Export(now time.Time, request enginev1.ExportRequest) (enginev1.KVState, enginev1.TokenEvent, bool) {
	exported := e.attempts[attemptKey{requestID: request.RequestID, attempt: request.Attempt}]
	if exported == nil {
		return enginev1.KVState{}, enginev1.TokenEvent{}, false
	}
	state := enginev1.KVState{
		RequestID: request.RequestID,
		Version:   e.versions.active,
		Prompt:    exported.request.Prompt,
		Tokens:    slices.Clone(exported.tokens),
		Seed:      exported.request.Seed,
	}
	event, _ := e.Cancel(now, enginev1.CancelRequest(request))
	return state, event, true
}

// Import takes over a KV state for a later request. It is refused when it was computed by another version.
func (e *Engine) Import(now time.Time, state enginev1.KVState) *enginev1.Refusal {
	switch {
	case state.RequestID == "":
		return e.refusal(now, enginev1.RefusedInvalid, "request_id is missing")
	case e.draining:
		return e.refusal(now, enginev1.RefusedDraining, "the engine drains")
	case state.Version != e.versions.active:
		return e.refusal(now, enginev1.RefusedVersion, "version %d is active", e.versions.active)
	default:
		e.imports.put(state)
		return nil
	}
}

// importTable holds imported KV states until their request comes, oldest first.
type importTable struct {
	limit  int
	states []enginev1.KVState
}

// put adds a state in place of an earlier one for the request, and drops the oldest when there are too many.
func (t *importTable) put(state enginev1.KVState) {
	t.drop(state.RequestID)
	t.states = append(t.states, state)
	if len(t.states) > t.limit {
		t.states = slices.Delete(t.states, 0, 1)
	}
}

// take removes the state of a request and reports whether it covers all that the request resumes.
func (t *importTable) take(request enginev1.CompletionRequest, version int64) bool {
	place := slices.IndexFunc(t.states, func(state enginev1.KVState) bool {
		return state.RequestID == request.RequestID
	})
	if place < 0 {
		return false
	}
	state := t.states[place]
	t.states = slices.Delete(t.states, place, place+1)
	sameInput := state.Prompt == request.Prompt && state.Seed == request.Seed && state.Version == version
	return sameInput && slices.Equal(state.Tokens, request.Resume)
}

func (t *importTable) drop(requestID string) {
	t.states = slices.DeleteFunc(t.states, func(state enginev1.KVState) bool {
		return state.RequestID == requestID
	})
}
