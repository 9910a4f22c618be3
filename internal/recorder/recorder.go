// Package recorder remembers the last requests, batches and weight publications of a node, without any text of them: what
// was asked, how it was decided, and what became of it. GET /debug/trace hands them out for a replay, and
// GET /debug/explain/{id} tells why a request or a sample was placed, waited or was refused.
package recorder

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	v1 "github.com/covelink/covelink/api/v1"
)

// Capacity is the number of records that a node remembers.
const Capacity = 8192

// Kind says what a record is of.
type Kind string

// The kinds.
const (
	KindTask    Kind = "task"
	KindBatch   Kind = "batch"
	KindPublish Kind = "publish"
)

// Record is one line of /debug/trace. Fields that do not apply to its kind are left out.
type Record struct {
	Kind Kind      `json:"kind"`
	At   time.Time `json:"at"`
	// ID is the request ID of a task: that of an interactive request, or TRAINER/BATCH/INDEX of a sample.
	ID    string `json:"id,omitempty"`
	Class string `json:"class,omitempty"`
	Pool  string `json:"pool,omitempty"`
	// Caller is the application or the trainer.
	Caller  string `json:"caller,omitempty"`
	Attempt uint32 `json:"attempt,omitempty"`
	// PromptHash is a hash under a key that only this process has: it tells which prompts are the same and nothing else.
	PromptHash  string `json:"promptHash,omitempty"`
	PromptBytes int    `json:"promptBytes,omitempty"`
	MaxTokens   int    `json:"maxTokens,omitempty"`
	// TimeoutMillis is what was left of the deadline at the arrival.
	TimeoutMillis int64 `json:"timeoutMillis,omitempty"`
	NotRepeatable bool  `json:"notRepeatable,omitempty"`
	MinVersion    int64 `json:"minVersion,omitempty"`
	ResumedTokens int   `json:"resumedTokens,omitempty"`
	// Decision is the one at the arrival; Outcome names the engine that a placed task ran on.
	Decision *Decision `json:"decision,omitempty"`
	// Outcome is nil while the task goes on.
	Outcome *Outcome `json:"outcome,omitempty"`

	Batch   string `json:"batch,omitempty"`
	Samples int    `json:"samples,omitempty"`
	// SampleMaxTokens are the bounds of a batch's samples.
	SampleMaxTokens []int `json:"sampleMaxTokens,omitempty"`
	Version         int64 `json:"version,omitempty"`
}

// Decision explains a placement.
type Decision struct {
	// Kind is placed, wait or refuse.
	Kind string `json:"kind"`
	// Reason is the rule that removed the last engine, for wait and refuse.
	Reason string `json:"reason,omitempty"`
	// Engines is the number considered; Removed counts those that each rule removed, in the order of the rules.
	Engines int       `json:"engines"`
	Removed []Removal `json:"removed,omitempty"`
}

// Removal counts the engines that a rule removed.
type Removal struct {
	Rule    string `json:"rule"`
	Engines int    `json:"engines"`
}

// Outcome is what became of a task.
type Outcome struct {
	Outcome       v1.Outcome   `json:"outcome"`
	Code          v1.ErrorCode `json:"code,omitempty"`
	Message       string       `json:"message,omitempty"`
	Engine        string       `json:"engine,omitempty"`
	Attempts      int          `json:"attempts"`
	Tokens        int          `json:"tokens"`
	FinishReason  string       `json:"finishReason,omitempty"`
	Segments      []v1.Segment `json:"segments,omitempty"`
	ElapsedMillis int64        `json:"elapsedMillis"`
}

// Recorder remembers the last Capacity records. It is safe for concurrent use.
type Recorder struct {
	now func() time.Time
	key [8]byte

	mu   sync.Mutex
	ring []Record
	// next is the number of the next record; the number modulo the capacity is its place in the ring.
	next uint64
}

// New returns an empty Recorder; a nil now means time.Now.
func New(now func() time.Time) *Recorder {
	if now == nil {
		now = time.Now
	}
	r := &Recorder{now: now, ring: make([]Record, 0, Capacity)}
	_, _ = rand.Read(r.key[:]) // never fails
	return r
}

// add remembers a record and returns its number.
func (r *Recorder) add(record Record) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	number := r.next
	r.next++
	if len(r.ring) < Capacity {
		r.ring = append(r.ring, record)
		return number
	}
	r.ring[number%Capacity] = record
	return number
}

// finish notes the outcome of a task unless its record has been dropped by now.
func (r *Recorder) finish(number uint64, outcome Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.next-number <= Capacity {
		r.ring[number%Capacity].Outcome = &outcome
	}
}

// Records returns what is remembered, oldest first.
func (r *Recorder) Records() []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	start := int(r.next % Capacity)
	if len(r.ring) < Capacity {
		start = 0
	}
	return slices.Concat(r.ring[start:], r.ring[:start])
}

// Explain returns the records of a request or a sample, oldest first: a sample has one for each attempt.
func (r *Recorder) Explain(id string) []Record {
	return slices.DeleteFunc(r.Records(), func(record Record) bool { return record.Kind != KindTask || record.ID != id })
}

// hash returns the keyed hash of a prompt.
func (r *Recorder) hash(prompt string) string {
	digest := xxhash.New()
	_, _ = digest.Write(r.key[:])
	_, _ = digest.WriteString(prompt)
	_, _ = digest.Write(r.key[:])
	return hex.EncodeToString(binary.BigEndian.AppendUint64(nil, digest.Sum64()))
}
