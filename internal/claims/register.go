package claims

import (
	"time"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/gateway"
)

// Key identifies a request at every gateway.
type Key struct {
	Caller string
	Pool   string
	Key    string
}

// State is what became of a claim at one keeper.
type State int

// The states. A released claim has no record, only a tombstone.
const (
	// StateClaimed: the request may be running, or its holder is gone.
	StateClaimed State = iota + 1
	// StateFinished: Stored is final.
	StateFinished
)

// Record is one keeper's knowledge of a key.
type Record struct {
	// ID is the claim that holds the key.
	ID          string
	State       State
	Fingerprint uint64
	Stored      gateway.StoredOutcome
	// Expires is when the record is forgotten.
	Expires time.Time
}

// heldRecord returns the record of a claim that may be running.
func heldRecord(id string, fingerprint uint64) Record {
	unknown := gateway.StoredOutcome{Outcome: v1.OutcomeUnknown}
	return Record{ID: id, State: StateClaimed, Fingerprint: fingerprint, Stored: unknown}
}

// Decision is a keeper's answer to a claim.
type Decision int

// The decisions.
const (
	// DecisionGranted: this keeper holds the key for the claim.
	DecisionGranted Decision = iota + 1
	// DecisionExisting: another claim has the key.
	DecisionExisting
	// DecisionReleased: the claim was released before.
	DecisionReleased
	// DecisionFull: the table has no room.
	DecisionFull
)

// change is one step that a Register has taken, as a store must repeat it.
type change struct {
	key Key
	// record is what the key now has; nil removes it.
	record *Record
	// tombstone is the ID of a released claim; empty if the change is about key.
	tombstone string
	// until is when the tombstone is forgotten; zero removes it.
	until time.Time
}

// Limits bounds a Register.
type Limits struct {
	// Retention is how long a record or tombstone is kept after its last change.
	Retention time.Duration
	// MaxEntries bounds records and tombstones together.
	MaxEntries int
	// MaxAnswerBytes bounds the kept answers. The oldest are dropped first; their outcomes stay.
	MaxAnswerBytes int64
}

// Register is one keeper's table of claims. It is a state machine: it reads no clock and does no I/O.
// It is not safe for concurrent use.
type Register struct {
	limits     Limits
	guards     guards
	records    map[Key]*Record
	tombstones map[string]time.Time
	// answers lists the keys with an answer, oldest first; a key may stand in it for an answer dropped since.
	answers     []Key
	answerBytes int64
}

// NewRegister returns an empty Register.
func NewRegister(limits Limits) *Register {
	return &Register{
		limits:     limits,
		guards:     allGuards,
		records:    make(map[Key]*Record),
		tombstones: make(map[string]time.Time),
	}
}

// Entries returns the number of records and tombstones.
func (r *Register) Entries() int { return len(r.records) + len(r.tombstones) }

// AnswerBytes returns the size of the kept answers.
func (r *Register) AnswerBytes() int64 { return r.answerBytes }

// Claim takes the key for the claim ID unless another claim has it. The record is what the key has afterwards.
// A claim that is repeated by its holder is granted again.
func (r *Register) Claim(now time.Time, key Key, id string, fingerprint uint64) (Decision, Record, []change) {
	if r.buried(now, id) {
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
	record := heldRecord(id, fingerprint)
	record.Expires = now.Add(r.limits.Retention)
	return DecisionGranted, record, []change{r.put(key, record)}
}

// Learn notes what the holder of a granted claim states: that it still runs, or its final outcome. It reports whether
// the statement is noted or needs no more.
//
// A final outcome takes the place of another claim that is not finished: that one can have a minority only. A statement
// that the claim still runs does not, since it may be late: the claim may have been released elsewhere, and the other
// one granted. A finished claim stays as it is, and a released one stays released.
func (r *Register) Learn(now time.Time, key Key, stated Record) (bool, []change) {
	if r.buried(now, stated.ID) {
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
	return true, append(changes, r.trimAnswers()...)
}

// Release gives the key up if the claim ID holds it unfinished, and refuses the claim from then on. It reports whether
// the claim can no longer be granted here.
func (r *Register) Release(now time.Time, key Key, id string) (bool, []change) {
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

// Sweep forgets what has expired, and the answers of pools that are not to be kept here.
func (r *Register) Sweep(now time.Time, keep func(pool string) bool) []change {
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

// restore repeats a change read from a store.
func (r *Register) restore(c change) {
	if c.tombstone != "" {
		r.tombstones[c.tombstone] = c.until
		return
	}
	r.put(c.key, *c.record)
}

func (r *Register) buried(now time.Time, id string) bool {
	until, ok := r.tombstones[id]
	return ok && now.Before(until)
}

func (r *Register) lookup(now time.Time, key Key) (*Record, bool) {
	record, ok := r.records[key]
	if !ok || !now.Before(record.Expires) {
		return nil, false
	}
	return record, true
}

func (r *Register) put(key Key, record Record) change {
	r.remove(key)
	kept := record
	r.records[key] = &kept
	if kept.Stored.Answer != nil {
		r.answerBytes += answerSize(kept.Stored.Answer)
		r.answers = append(r.answers, key)
	}
	return change{key: key, record: &record}
}

func (r *Register) remove(key Key) {
	if record, ok := r.records[key]; ok {
		r.answerBytes -= answerSize(record.Stored.Answer)
		delete(r.records, key)
	}
}

// dropAnswer keeps the outcome without its answer. Records are never changed in place, since a store may be writing one.
func (r *Register) dropAnswer(key Key, record *Record) change {
	bare := *record
	bare.Stored.Answer = nil
	return r.put(key, bare)
}

// trimAnswers drops the oldest answers until the rest fits.
func (r *Register) trimAnswers() []change {
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
	// answerOverhead and segmentBytes approximate the memory of an answer beside its text.
	answerOverhead = 128
	segmentBytes   = 64
	tokenOverhead  = 16
)

// answerSize approximates the memory of an answer.
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
