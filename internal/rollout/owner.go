package rollout

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"time"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/dispatch"
)

// maxOpenBatches bounds a trainer's batches that are neither delivered nor cancelled.
const maxOpenBatches = 64

// Action is something the owner wants done: one of the action types of this file.
type Action interface{ action() }

// Append asks for entries to be made durable. The ledger holds them already: no other action may be carried out and nothing
// may be answered before they are durable, and if that fails the owner must be discarded.
type Append struct{ Entries []Entry }

// Start asks for an attempt to be run.
type Start struct {
	Identity Identity
	Attempt  uint32
	Task     dispatch.Task
}

// Cancel asks for an attempt to be cut off. Its result is ignored.
type Cancel struct {
	Identity Identity
	Attempt  uint32
}

// Score asks for an answer to be scored once under its identity and attempt.
type Score struct {
	Identity Identity
	Attempt  uint32
	Scorer   string
	Text     string
}

func (Append) action() {}
func (Start) action()  {}
func (Cancel) action() {}
func (Score) action()  {}

// Config is what the owner takes from the resources and settings in force.
type Config struct {
	Pool        string
	Bound       int64
	MaxInFlight int
	Weight      int
	// MaxTokens bounds the tokens of one answer.
	MaxTokens int
	// Scorer is the base URL of the scoring service; empty means samples are handed over without a score.
	Scorer string
	// MaxBatchSamples bounds the samples of one batch.
	MaxBatchSamples int
	// MaxFetchBytes bounds the text of one fetch; a first sample is handed over whatever its size.
	MaxFetchBytes int
	// Replicas names the nodes that keep the ledger.
	Replicas []string
	// Without switches mechanisms off; the zero value runs all of them.
	Without Mechanisms
}

// Mechanisms names the parts of the owner's decisions that can be switched off, so that an experiment can tell what each
// is worth. None of them is needed for a promise.
type Mechanisms struct {
	// LongestFirst starts the samples that are expected to be long before the short ones of a batch.
	LongestFirst bool
	// Hedges runs a second attempt of a straggler.
	Hedges bool
	// Resume continues a failed attempt from its verified prefix.
	Resume bool
	// StaleStart keeps work off engines whose version will be too old by the time the answer is done.
	StaleStart bool
	// StaleCancel cancels running work as soon as it can no longer meet the bound.
	StaleCancel bool
}

// Owner decides what runs and what is handed over, for all batches of one trainer. It has no clock and no I/O, and is
// not safe for concurrent use. After every call, Actions must be carried out.
type Owner struct {
	ledger    *Ledger
	config    Config
	predictor *predictor
	observer  Observer

	attempts  map[Identity][]*attempt
	inFlight  int
	unbegun   int // attempts in flight that have told no token yet
	histories map[Identity]*history
	opened    map[string]time.Time // by batch, when this term first saw it
	waiting   waitingList
	ready     map[string][]int // by batch: committed, scored if need be, not handed over
	fetched   string           // the batch that the trainer fetched from last
	consumed  int              // samples handed over since the trainer's last version
	suspended bool
	lastHedge time.Time

	entries []Entry
	actions []Action
}

// NewOwner returns the owner over a recovered ledger and opens its term in it.
func NewOwner(now time.Time, ledger *Ledger, token uint64, config Config, observer Observer) (*Owner, error) {
	o := &Owner{
		ledger: ledger, config: config, predictor: newPredictor(), observer: observer,
		attempts: make(map[Identity][]*attempt), histories: make(map[Identity]*history),
		opened: make(map[string]time.Time), ready: make(map[string][]int),
	}
	started := TermStarted{Token: token}
	if err := ledger.Apply(started); err != nil {
		return nil, err
	}
	o.entries = append(o.entries, started)
	o.resume(now)
	o.dropStale(now)
	return o, nil
}

// resume takes up the work the ledger shows: it learns the lengths of finished answers and queues what is open.
func (o *Owner) resume(now time.Time) {
	o.ledger.eachActive(func(b *batchState, index int, s *sampleState) {
		if s.Committed {
			o.predictor.observeLength(b.Spec.Samples[index].Group, s.Answer.Tokens)
		}
	})
	for _, b := range o.ledger.state.Batches {
		if !b.ended() {
			o.opened[b.Name] = now
		}
	}
	for _, id := range o.ledger.Open() {
		o.waiting.add(id, time.Time{})
	}
	o.offerUndelivered()
}

// Actions returns what is to be done since the last call, an Append first if there are entries.
func (o *Owner) Actions() []Action {
	actions := o.actions
	if len(o.entries) > 0 {
		actions = append([]Action{Append{Entries: o.entries}}, actions...)
	}
	o.entries, o.actions = nil, nil
	return actions
}

// Ledger returns the owner's ledger, for reading.
func (o *Owner) Ledger() *Ledger { return o.ledger }

// Configure sets the resources in force.
func (o *Owner) Configure(now time.Time, config Config) {
	tightened := config.Bound < o.config.Bound
	otherScorer := config.Scorer != o.config.Scorer
	o.config = config
	if otherScorer {
		o.offerUndelivered()
	}
	if tightened {
		o.dropStale(now)
	}
}

// PutBatch submits a batch.
func (o *Owner) PutBatch(now time.Time, name string, spec v1.BatchSpec) (v1.BatchStatus, error) {
	digest, err := specDigest(spec)
	if err != nil {
		return v1.BatchStatus{}, v1.Errorf(v1.CodeInternal, "batch cannot be digested")
	}
	if existing := o.ledger.batch(name); existing != nil {
		if existing.Digest != digest {
			return v1.BatchStatus{}, v1.NotRun(v1.CodeConflict, 0, "batch %s exists with another spec", name)
		}
		return o.Status(name)
	}
	if err := o.checkSpec(spec); err != nil {
		return v1.BatchStatus{}, err
	}
	o.append(BatchOpened{Batch: name, Digest: digest, Spec: spec, Replicas: o.config.Replicas})
	o.opened[name] = now
	for index := range spec.Samples {
		o.waiting.add(Identity{Trainer: o.ledger.Trainer(), Batch: name, Index: index}, time.Time{})
	}
	return o.Status(name)
}

func (o *Owner) checkSpec(spec v1.BatchSpec) error {
	if len(spec.Samples) == 0 || len(spec.Samples) > o.config.MaxBatchSamples {
		return &v1.Error{
			Code: v1.CodeInvalid, Field: "samples", Outcome: v1.OutcomeNotRun,
			Message: fmt.Sprintf("a batch has 1 to %d samples, not %d", o.config.MaxBatchSamples, len(spec.Samples)),
		}
	}
	for index, sample := range spec.Samples {
		if sample.MaxTokens < 0 || sample.MaxTokens > o.config.MaxTokens {
			return &v1.Error{
				Code: v1.CodeInvalid, Field: fmt.Sprintf("samples[%d].maxTokens", index), Outcome: v1.OutcomeNotRun,
				Message: fmt.Sprintf("must be 0 to %d, not %d", o.config.MaxTokens, sample.MaxTokens),
			}
		}
	}
	if o.ledger.activeBatches() >= maxOpenBatches {
		return v1.NotRun(v1.CodeOverloaded, time.Second, "the trainer has %d open batches", maxOpenBatches)
	}
	return nil
}

// Status returns the progress of a batch.
func (o *Owner) Status(batch string) (v1.BatchStatus, error) {
	status, ok := o.ledger.Status(batch)
	if !ok {
		return status, v1.Errorf(v1.CodeNotFound, "no batch %s of trainer %s", batch, o.ledger.Trainer())
	}
	return status, nil
}

// CancelBatch ends a batch. A batch that has ended stays as it is.
func (o *Owner) CancelBatch(batch string) (v1.BatchStatus, error) {
	if _, err := o.ledger.active(batch); err != nil {
		return o.Status(batch)
	}
	o.append(BatchCancelled{Batch: batch})
	o.forgetBatch(batch)
	return o.Status(batch)
}

func (o *Owner) forgetBatch(batch string) {
	for _, id := range o.running() {
		if id.Batch == batch {
			o.cancelAll(id)
		}
	}
	o.waiting.dropBatch(batch)
	delete(o.ready, batch)
	delete(o.opened, batch)
	maps.DeleteFunc(o.histories, func(id Identity, _ *history) bool { return id.Batch == batch })
}

// PutVersion notes new weights. The same version with the same weights changes nothing; another is a conflict, and so is
// a lower version.
func (o *Owner) PutVersion(now time.Time, weights v1.WeightVersion) error {
	if weights.Version <= 0 {
		return &v1.Error{Code: v1.CodeInvalid, Field: "version", Message: "must be above 0", Outcome: v1.OutcomeNotRun}
	}
	published := o.ledger.Weights()
	if weights == published {
		return nil
	}
	if weights.Version < o.ledger.Version() || weights.Version == published.Version {
		return v1.NotRun(v1.CodeConflict, 0, "version %d: the trainer is at version %d", weights.Version, o.ledger.Version())
	}
	o.stateVersion(now, VersionStated{Version: weights.Version, Weights: weights})
	return nil
}

// stateVersion logs a version and drops what it makes too old.
func (o *Owner) stateVersion(now time.Time, stated VersionStated) {
	higher := stated.Version > o.ledger.Version()
	o.append(stated)
	if higher {
		o.predictor.observeVersion(now, o.consumed)
		o.consumed = 0
		o.dropStale(now)
	}
}

// append applies an entry that the owner has checked; a refusal is a broken invariant.
func (o *Owner) append(entry Entry) {
	if err := o.ledger.Apply(entry); err != nil {
		panic(fmt.Sprintf("rollout: owner made an entry %T that its ledger refuses: %v", entry, err))
	}
	o.entries = append(o.entries, entry)
}

// oldestAllowed returns the lowest version that may still be handed over.
func (o *Owner) oldestAllowed() int64 { return o.ledger.Version() - o.config.Bound }

func (o *Owner) fresh(segments []v1.Segment) bool {
	return v1.OldestVersion(segments) >= o.oldestAllowed()
}

func specDigest(spec v1.BatchSpec) (string, error) {
	data, err := json.Marshal(spec)
	if err != nil {
		return "", err
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:]), nil
}
