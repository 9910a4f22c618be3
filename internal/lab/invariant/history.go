// Package invariant judges a run of a deployment from the outside: it is told what the engines executed, what the
// trainers and the applications were told, and what the trainers stated, and reports every broken promise.
// It shares no code with the daemon beside the public types.
package invariant

import (
	"sync"
	"time"

	v1 "github.com/covelink/covelink/api/v1"
)

// Token is one token that an engine emitted.
type Token struct {
	// Index is the index of the token within the answer.
	Index   int
	Text    string
	Version int64
}

// Execution is one request that an engine began to run, as the engine itself saw it.
type Execution struct {
	RequestID string
	Attempt   uint32
	Engine    string
	Zone      string
	// Pool is the model pool that the engine serves.
	Pool   string
	Prompt string
	Seed   int64
	// Started is zero where the engine does not tell.
	Started time.Time
	Tokens  []Token
	// FinishReason is empty for an execution that did not end by itself, such as a cancelled one.
	FinishReason string
	// Length is the length of the whole answer at the end of a finished execution, resumed tokens included.
	Length int
}

// Batch is a batch as its trainer submitted it.
type Batch struct {
	Trainer string
	Name    string
	Spec    v1.BatchSpec
	// Expected is true when the trainer waited for the whole batch: samples that never came are then missing.
	Expected bool
}

// Delivery is one sample as a trainer received it.
type Delivery struct {
	Sample v1.Sample
	// After is the cursor of the fetch: the trainer had taken over every position up to it.
	After int64
	// StatedVersion is the version the trainer stated in the fetch.
	StatedVersion int64
	// FetchedAt is when the trainer began the fetch.
	FetchedAt time.Time
}

// Statement is a version that a trainer stated outside a fetch.
type Statement struct {
	Trainer string
	Version int64
	// At is when the system had acknowledged the statement.
	At time.Time
}

// Call is one interactive request as its client saw it.
type Call struct {
	// Request identifies the request; calls that ask again with the same idempotency key share it.
	Request string
	Pool    string
	// Prompt must be unique to the request: executions are found by it.
	Prompt        string
	Seed          int64
	NotRepeatable bool
	Outcome       v1.Outcome
	Text          string
	FinishReason  string
	Started       time.Time
	Ended         time.Time
}

// Terms are what an operator promised a trainer.
type Terms struct {
	Pool           string
	StalenessBound int64
}

// History is everything seen of one run.
type History struct {
	// Permitted gives the permitted zones of each pool.
	Permitted map[string][]string
	// Terms gives the terms of each trainer.
	Terms      map[string]Terms
	Batches    []Batch
	Executions []Execution
	Deliveries []Delivery
	Statements []Statement
	Calls      []Call
	// Expect computes the text of a token that an engine must emit; nil where the engines cannot be recomputed.
	Expect func(prompt string, seed, version int64, index int) string
}

// Recorder collects a history from several goroutines.
type Recorder struct {
	mu      sync.Mutex
	history History
}

// NewRecorder returns an empty Recorder.
func NewRecorder() *Recorder {
	return &Recorder{history: History{Permitted: map[string][]string{}, Terms: map[string]Terms{}}}
}

// Permit records the permitted zones of a pool.
func (r *Recorder) Permit(pool string, zones []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Permitted[pool] = append([]string(nil), zones...)
}

// Promise records the terms of a trainer.
func (r *Recorder) Promise(trainer string, terms Terms) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Terms[trainer] = terms
}

// Submitted records a batch.
func (r *Recorder) Submitted(batch Batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Batches = append(r.history.Batches, batch)
}

// Executed records executions.
func (r *Recorder) Executed(executions ...Execution) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Executions = append(r.history.Executions, executions...)
}

// Delivered records a sample that a trainer received.
func (r *Recorder) Delivered(delivery Delivery) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Deliveries = append(r.history.Deliveries, delivery)
}

// Stated records a version that a trainer stated.
func (r *Recorder) Stated(statement Statement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Statements = append(r.history.Statements, statement)
}

// Called records an interactive request.
func (r *Recorder) Called(call Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Calls = append(r.history.Calls, call)
}

// History returns what was recorded so far. The slices are shared: they must not be changed.
func (r *Recorder) History() *History {
	r.mu.Lock()
	defer r.mu.Unlock()
	history := r.history
	return &history
}
