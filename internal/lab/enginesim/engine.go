package enginesim

import (
	"fmt"
	"slices"
	"time"

	"github.com/covelink/covelink/api/enginev1"
)

// The finish reasons of an answer.
const (
	FinishStop      = "stop"
	FinishLength    = "length"
	FinishCancelled = "cancelled"
)

// attemptKey identifies an execution.
type attemptKey struct {
	requestID string
	attempt   uint32
}

// sequence is one accepted request.
type sequence struct {
	request    enginev1.CompletionRequest
	promptHash uint64
	// tokens holds the answer so far, resumed tokens included.
	tokens []string
	// length is the length at which the answer ends for reason.
	length int
	reason string
	// events counts the events given out.
	events uint64
}

// step is the step in progress; its tokens carry the version that was active when it began.
type step struct {
	end     time.Time
	version int64
}

// Engine is the model of one engine. Make it with New.
type Engine struct {
	config   Config
	identity Identity
	loader   Loader

	// waiting is in the order of service.
	waiting  []*sequence
	running  []*sequence
	attempts map[attemptKey]*sequence
	step     *step

	cache   *prefixCache
	imports importTable

	versions versionTable
	role     string
	draining bool
	fence    uint64
	faults   faults
}

// New returns an idle engine. The config must be valid. With a nil loader a preparation goes on until
// FinishPrepare is called.
func New(config Config, identity Identity, loader Loader) *Engine {
	return &Engine{
		config:   config,
		identity: identity,
		loader:   loader,
		attempts: map[attemptKey]*sequence{},
		cache:    newPrefixCache(config.CacheTokens, config.CacheEventLog),
		imports:  importTable{limit: config.MaxImports},
		versions: versionTable{active: config.InitialVersion},
	}
}

// Identity returns the engine's identity.
func (e *Engine) Identity() Identity { return e.identity }

// Submit accepts a request, or returns why the engine refuses it; a refused request is never executed.
// The events of an accepted request come from Step, Cancel and Export.
func (e *Engine) Submit(now time.Time, request enginev1.CompletionRequest) *enginev1.Refusal {
	if refusal := e.refuse(now, request); refusal != nil {
		return refusal
	}
	accepted := e.newSequence(request)
	e.attempts[keyOf(request)] = accepted
	e.enqueue(accepted)
	e.startStep(now)
	return nil
}

func keyOf(request enginev1.CompletionRequest) attemptKey {
	return attemptKey{requestID: request.RequestID, attempt: request.Attempt}
}

// refuse returns why the engine does not take a request, or nil.
func (e *Engine) refuse(now time.Time, request enginev1.CompletionRequest) *enginev1.Refusal {
	switch {
	case request.Incarnation != e.identity.Incarnation:
		return e.refusal(now, enginev1.RefusedIncarnation, "the engine has another incarnation")
	case !slices.Contains(request.PermittedZones, e.identity.Zone):
		return e.refusal(now, enginev1.RefusedZone, "zone %s is not permitted", e.identity.Zone)
	case request.Model != e.identity.Model:
		return e.refusal(now, enginev1.RefusedInvalid, "the engine serves another model")
	case request.RequestID == "" || request.MaxTokens < 0:
		return e.refusal(now, enginev1.RefusedInvalid, "request_id or max_tokens is unfit")
	case e.attempts[keyOf(request)] != nil:
		return e.refusal(now, enginev1.RefusedInvalid, "the attempt is already in progress")
	case e.draining:
		return e.refusal(now, enginev1.RefusedDraining, "the engine drains")
	case e.versions.active == 0:
		return e.refusal(now, enginev1.RefusedLoading, "no version is active")
	case e.versions.active < request.MinVersion:
		return e.refusal(now, enginev1.RefusedVersion, "version %d is active", e.versions.active)
	case request.MaxInFlight > 0 && len(e.running)+len(e.waiting) >= request.MaxInFlight:
		return e.refusal(now, enginev1.RefusedFull, "%d requests in flight", len(e.running)+len(e.waiting))
	case len(e.waiting) >= e.config.MaxWaiting:
		return e.refusal(now, enginev1.RefusedFull, "%d requests wait", len(e.waiting))
	default:
		return nil
	}
}

// refusal returns a refusal with the current load.
func (e *Engine) refusal(now time.Time, reason enginev1.RefusalReason, format string, args ...any) *enginev1.Refusal {
	load := e.Load(now)
	return &enginev1.Refusal{Reason: reason, Message: fmt.Sprintf(format, args...), Load: &load}
}

func (e *Engine) newSequence(request enginev1.CompletionRequest) *sequence {
	promptHash := PromptHash(request.Prompt)
	length, reason := AnswerEnd(e.config, promptHash, request.Seed, request.MaxTokens)
	return &sequence{
		request:    request,
		promptHash: promptHash,
		tokens:     slices.Clone(request.Resume),
		length:     length,
		reason:     reason,
	}
}

// AnswerEnd returns the length of the answer that an uninterrupted request gets, and its finish reason.
// maxTokens 0 means the engine's bound.
func AnswerEnd(config Config, promptHash uint64, seed int64, maxTokens int) (int, string) {
	limit := config.MaxTokens
	if maxTokens > 0 {
		limit = min(limit, maxTokens)
	}
	length := AnswerLength(config.Lengths, promptHash, seed)
	if length > limit {
		return limit, FinishLength
	}
	return length, FinishStop
}

// enqueue puts a sequence behind all that wait with the same or a higher priority.
func (e *Engine) enqueue(accepted *sequence) {
	place := len(e.waiting)
	for place > 0 && e.waiting[place-1].request.Priority < accepted.request.Priority {
		place--
	}
	e.waiting = slices.Insert(e.waiting, place, accepted)
}

// NextStep returns when Step has something to do; false means not before another call.
func (e *Engine) NextStep() (time.Time, bool) {
	prepared, preparing := e.versions.preparedAt()
	if e.step == nil {
		return prepared, preparing
	}
	if preparing && prepared.Before(e.step.end) {
		return prepared, true
	}
	return e.step.end, true
}

// Step does all that is due: it ends a preparation, and it ends the step in progress and begins the next
// one. It returns the events of the step that ended, in the order of admission. Steps that fell due while
// the caller was late are not made up for.
func (e *Engine) Step(now time.Time) []enginev1.TokenEvent {
	e.endDuePreparation(now)
	if e.step == nil || e.step.end.After(now) {
		return nil
	}
	events := e.endStep(now)
	e.startStep(now)
	return events
}

// startStep admits waiting sequences and begins a step, unless one is in progress or there is no work.
func (e *Engine) startStep(now time.Time) {
	if e.step != nil {
		return
	}
	prefill := e.admit(now)
	if len(e.running) == 0 {
		return
	}
	e.step = &step{end: now.Add(e.stepDuration(len(e.running), prefill)), version: e.versions.active}
}

// admit moves waiting sequences to the batch and returns the tokens whose KV cache must be computed.
func (e *Engine) admit(now time.Time) int {
	prefill := 0
	for len(e.waiting) > 0 && len(e.running) < e.config.MaxRunning {
		next := e.waiting[0]
		e.waiting = slices.Delete(e.waiting, 0, 1)
		e.running = append(e.running, next)
		prefill += e.prefillTokens(now, next)
	}
	return prefill
}

func (e *Engine) prefillTokens(now time.Time, admitted *sequence) int {
	cached := e.cache.use(now, PrefixHashes(admitted.request.Prompt))
	if e.imports.take(admitted.request, e.versions.active) {
		return 0
	}
	return PromptTokens(admitted.request.Prompt) - cached + len(admitted.tokens)
}

func (e *Engine) endStep(now time.Time) []enginev1.TokenEvent {
	version := e.step.version
	e.step = nil
	batch := e.running
	e.running = make([]*sequence, 0, len(batch))
	events := make([]enginev1.TokenEvent, 0, len(batch))
	finished := make([]*sequence, 0)
	for _, current := range batch {
		event := e.produce(current, version)
		if len(current.tokens) < current.length {
			e.running = append(e.running, current)
		} else {
			delete(e.attempts, keyOf(current.request))
			finished = append(finished, current)
		}
		events = append(events, event)
	}
	e.finish(now, events, finished)
	return events
}

// finish adds the final part to the events of sequences that ended; the load is that after the whole step.
func (e *Engine) finish(now time.Time, events []enginev1.TokenEvent, finished []*sequence) {
	place := 0
	for _, ended := range finished {
		for events[place].RequestID != ended.request.RequestID || events[place].Attempt != ended.request.Attempt {
			place++
		}
		events[place].Final = e.final(now, ended, ended.reason)
	}
}

// produce adds a token to a sequence, unless it was resumed at its end, and returns the event of it.
func (e *Engine) produce(current *sequence, version int64) enginev1.TokenEvent {
	event := e.event(current, version)
	if len(current.tokens) < current.length {
		token := Token(current.promptHash, current.request.Seed, version, len(current.tokens))
		current.tokens = append(current.tokens, token)
		event.Tokens = []string{token}
	}
	return event
}

// event returns the next event of a sequence, without tokens.
func (e *Engine) event(current *sequence, version int64) enginev1.TokenEvent {
	event := enginev1.TokenEvent{
		RequestID:   current.request.RequestID,
		Attempt:     current.request.Attempt,
		Sequence:    current.events,
		Index:       len(current.tokens),
		Version:     version,
		Incarnation: e.identity.Incarnation,
	}
	current.events++
	return event
}

func (e *Engine) final(now time.Time, ended *sequence, reason string) *enginev1.FinalEvent {
	return &enginev1.FinalEvent{
		Tokens:       len(ended.tokens),
		Checksum:     enginev1.Checksum(ended.tokens),
		FinishReason: reason,
		Load:         e.Load(now),
	}
}

// Load returns the engine's report of itself.
func (e *Engine) Load(_ time.Time) enginev1.Load {
	return enginev1.Load{
		Name:             e.identity.Name,
		Incarnation:      e.identity.Incarnation,
		Zone:             e.identity.Zone,
		Model:            e.identity.Model,
		Draining:         e.draining,
		Role:             e.role,
		ActiveVersion:    e.versions.active,
		PreparedVersions: e.versions.preparedVersions(),
		Preparing:        e.versions.preparingVersion(),
		PrepareError:     e.versions.prepareError,
		Running:          len(e.running),
		Waiting:          len(e.waiting),
		MaxRunning:       e.config.MaxRunning,
		CachedTokens:     e.cache.tokens(),
		CacheTokens:      e.config.CacheTokens,
		HighestFence:     e.fence,
	}
}

// CacheEvents returns the cache events above a sequence number that happened by a time, oldest first. Only
// the newest ones are kept.
func (e *Engine) CacheEvents(after uint64, until time.Time) []enginev1.CacheEvent {
	return e.cache.events(after, until)
}
