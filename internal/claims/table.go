package claims

import (
	"time"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/gateway"
)

// Key identifies a request across gateways.
type Key struct {
	Caller string
	Pool   string
	Key    string
}

// State is the state of a claim at one keeper.
type State int

// The states. A released claim has no record, only a tombstone.
const (
	// StateClaimed: the request may be running, or its gateway failed.
	StateClaimed State = iota + 1
	// StateFinished: Stored is final.
	StateFinished
)

// Record is the entry of a key in one keeper's table.
type Record struct {
	// ID identifies the claim that holds the key.
	ID          string
	State       State
	Fingerprint uint64
	Stored      gateway.StoredOutcome
	// Expires is when the record is removed.
	Expires time.Time
}

// runningRecord returns the record of a claim that may be running.
func runningRecord(id string, fingerprint uint64) Record {
	unknown := gateway.StoredOutcome{Outcome: v1.OutcomeUnknown}
	return Record{ID: id, State: StateClaimed, Fingerprint: fingerprint, Stored: unknown}
}

// Decision is the result of Table.Claim.
type Decision int

// The decisions.
const (
	// DecisionGranted: the claim holds the key at this keeper.
	DecisionGranted Decision = iota + 1
	// DecisionExisting: another claim holds the key, or this one is finished.
	DecisionExisting
	// DecisionReleased: the claim was released before.
	DecisionReleased
	// DecisionFull: the table is full.
	DecisionFull
)

// change is one mutation of a Table, to be persisted by a store.
type change struct {
	key Key
	// record is the new record of key; nil removes it.
	record *Record
	// tombstone is the ID of a released claim; empty if the change applies to key.
	tombstone string
	// until is when the tombstone expires; zero removes it.
	until time.Time
}

// Limits are the limits of a Table.
type Limits struct {
	// Retention is how long a record or tombstone is kept after its last change.
	Retention time.Duration
	// MaxEntries bounds records and tombstones together.
	MaxEntries int
	// MaxAnswerBytes bounds the stored answers. The oldest are evicted first; their outcomes stay.
	MaxAnswerBytes int64
}

// Table is the claim table of one keeper: a deterministic state machine that reads no clock and does no I/O. It is
// not safe for concurrent use.
type Table struct {
	limits     Limits
	guards     guards
	records    map[Key]*Record
	tombstones map[string]time.Time
	// answers lists the keys with an answer, oldest first. It may include keys whose answer has been removed.
	answers     []Key
	answerBytes int64
}

// NewTable returns an empty Table.
func NewTable(limits Limits) *Table {
	return &Table{
		limits:     limits,
		guards:     allGuards,
		records:    make(map[Key]*Record),
		tombstones: make(map[string]time.Time),
	}
}

// Entries returns the number of records and tombstones.
func (r *Table) Entries() int { return len(r.records) + len(r.tombstones) }

// AnswerBytes returns the approximate size of the stored answers in bytes.
func (r *Table) AnswerBytes() int64 { return r.answerBytes }

// Claim grants the key to the claim ID unless another claim holds it, and returns the resulting record of the key.
// A retry by the holder of an unfinished claim is granted again.
func (r *Table) Claim(now time.Time, key Key, id string, fingerprint uint64) (Decision, Record, []change) {
	if r.isReleased(now, id) {
		return DecisionReleased, Record{}, nil
	}
	if held, ok := r.lookup(now, key); ok {
		if held.ID == id && held.State == StateClaimed {
			return DecisionGranted, *held, nil
		}
		return DecisionExisting, *held, nil
	}
	if r.Entries() >= r.limits.MaxEntries {
		return DecisionFull, Record{}, nil
	}
	record := runningRecord(id, fingerprint)
	record.Expires = now.Add(r.limits.Retention)
	return DecisionGranted, record, []change{r.put(key, record)}
}

// Update applies a renewal or the final outcome of a granted claim. It returns false if the table is full. Finished and
// released claims stay as they are. A final outcome replaces another unfinished claim, which has only a minority; a
// renewal does not, as it may be delayed and the other claim granted since.
func (r *Table) Update(now time.Time, key Key, stated Record) (bool, []change) {
	if r.isReleased(now, stated.ID) {
		return true, nil
	}
	held, ok := r.lookup(now, key)
	if ok && held.State == StateFinished {
		return true, nil
	}
	if ok && held.ID != stated.ID && stated.State != StateFinished {
		return true, nil
	}
	if !ok && r.Entries() >= r.limits.MaxEntries {
		return false, nil
	}
	stated.Expires = now.Add(r.limits.Retention)
	changes := []change{r.put(key, stated)}
	return true, append(changes, r.evictAnswers()...)
}

// Release removes an unfinished claim and records a tombstone that rejects delayed messages of it. It returns false if
// the table has no room for the tombstone.
func (r *Table) Release(now time.Time, key Key, id string) (bool, []change) {
	var changes []change
	if held, ok := r.lookup(now, key); ok && held.ID == id {
		if held.State == StateFinished {
			return true, nil
		}
		r.remove(key)
		changes = append(changes, change{key: key})
	}
	if r.guards.noTombstones {
		return true, changes
	}
	if _, known := r.tombstones[id]; !known && r.Entries() >= r.limits.MaxEntries {
		return false, changes
	}
	until := now.Add(r.limits.Retention)
	r.tombstones[id] = until
	return true, append(changes, change{tombstone: id, until: until})
}

// Sweep removes expired entries, and the answers of pools for which keep returns false.
func (r *Table) Sweep(now time.Time, keep func(pool string) bool) []change {
	var changes []change
	for key, record := range r.records {
		switch {
		case !now.Before(record.Expires):
			r.remove(key)
			changes = append(changes, change{key: key})
		case record.Stored.Answer != nil && !keep(key.Pool):
			changes = append(changes, r.dropAnswer(key, record))
		}
	}
	for id, until := range r.tombstones {
		if !now.Before(until) {
			delete(r.tombstones, id)
			changes = append(changes, change{tombstone: id})
		}
	}
	return changes
}

// restore applies a change read from a store.
func (r *Table) restore(c change) {
	if c.tombstone != "" {
		r.tombstones[c.tombstone] = c.until
		return
	}
	r.put(c.key, *c.record)
}

func (r *Table) isReleased(now time.Time, id string) bool {
	until, ok := r.tombstones[id]
	return ok && now.Before(until)
}

func (r *Table) lookup(now time.Time, key Key) (*Record, bool) {
	record, ok := r.records[key]
	if !ok || !now.Before(record.Expires) {
		return nil, false
	}
	return record, true
}

func (r *Table) put(key Key, record Record) change {
	r.remove(key)
	kept := record
	r.records[key] = &kept
	if kept.Stored.Answer != nil {
		r.answerBytes += answerSize(kept.Stored.Answer)
		r.answers = append(r.answers, key)
	}
	return change{key: key, record: &record}
}

func (r *Table) remove(key Key) {
	if record, ok := r.records[key]; ok {
		r.answerBytes -= answerSize(record.Stored.Answer)
		delete(r.records, key)
	}
}

// dropAnswer removes the answer and keeps the outcome. It replaces the record, since a store may be reading the old one.
func (r *Table) dropAnswer(key Key, record *Record) change {
	bare := *record
	bare.Stored.Answer = nil
	return r.put(key, bare)
}

// evictAnswers evicts the oldest answers until MaxAnswerBytes is met.
func (r *Table) evictAnswers() []change {
	var changes []change
	for r.answerBytes > r.limits.MaxAnswerBytes && len(r.answers) > 0 {
		key := r.answers[0]
		r.answers = r.answers[1:]
		if record, ok := r.records[key]; ok && record.Stored.Answer != nil {
			changes = append(changes, r.dropAnswer(key, record))
		}
	}
	return changes
}

const (
	// Approximate memory of an answer in addition to its text: per answer, per segment and per token.
	answerOverhead = 128
	segmentBytes   = 64
	tokenOverhead  = 16
)

// answerSize returns the approximate memory use of an answer in bytes.
func answerSize(answer *gateway.StoredAnswer) int64 {
	if answer == nil {
		return 0
	}
	size := answerOverhead + segmentBytes*len(answer.Segments) + tokenOverhead*len(answer.Tokens)
	for _, token := range answer.Tokens {
		size += len(token)
	}
	return int64(size)
}
