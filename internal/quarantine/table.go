package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
)

const (
	// maxRecords bounds the entries of a table.
	maxRecords = 2048
	// sweepInterval is the least time between two sweeps of expired entries.
	sweepInterval = 10 * time.Second
)

// State is the quarantine state of a request.
type State int

// State values.
const (
	// Clear means that no engine is known to have exited under the request since its last successful run.
	Clear State = iota
	// Suspect means that an engine exited under the request.
	Suspect
	// Isolated means that the request runs apart from other isolated ones, at one engine per try of its caller, so that its next crash is
	// not charged to them.
	Isolated
	// Held means that the request may run in trials only.
	Held
)

var stateNames = [...]string{"clear", "suspect", "isolated", "held"}

// String returns the name used in logs.
func (s State) String() string { return stateNames[s] }

// Cursor identifies a revision of a table.
type Cursor struct {
	// Table is the table's unique ID, and Number the revision.
	Table  string
	Number uint64
}

// Changes are the records that changed up to a cursor.
type Changes struct {
	Cursor  Cursor
	Records []Record
}

// entry is a record in a table.
type entry struct {
	record Record
	// updated is when the record was last updated by any process.
	updated time.Time
	// backoffFrom is when the request's last crash or trial was, leaving out returned trials. beforeTrial is its value before the last trial, and
	// returnedAt is when the last trial was returned.
	backoffFrom, beforeTrial, returnedAt time.Time
	// revision is that of the entry's last change in this table, and localRevision that of its last change found by this process.
	revision, localRevision uint64
}

// Table holds the records that a process knows. It is safe for concurrent use.
type Table struct {
	now  func() time.Time
	name string

	mu        sync.Mutex
	entries   map[Fingerprint]*entry
	exits     exitLog
	revision  uint64
	changed   chan struct{}
	lastSweep time.Time
}

// NewTable returns an empty Table. now returns the current time.
func NewTable(now func() time.Time) *Table {
	return &Table{now: now, name: uuid.NewString(), entries: make(map[Fingerprint]*entry), changed: make(chan struct{})}
}

// Empty reports whether the table has no records.
func (t *Table) Empty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries) == 0
}

// Status is the state of a request. The zero value is that of a request without a record.
type Status struct {
	State State
	// Crashes counts the engines that exited under the request.
	Crashes int
	// Wait is the time until a held request may be tried.
	Wait time.Duration
}

// Status returns the status of a request.
func (t *Table) Status(fingerprint Fingerprint) Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	e := t.lookupAt(fingerprint, now)
	if e == nil {
		return Status{}
	}
	status := Status{State: t.stateOf(e), Crashes: len(e.record.Engines)}
	if status.State == Held {
		status.Wait = e.wait(now)
	}
	return status
}

// stateOf returns the state of a request by the exits known now. The mutex must be held.
func (t *Table) stateOf(e *entry) State {
	t.exits.update(&e.record)
	switch {
	case e.record.held():
		return Held
	case e.record.isolated():
		return Isolated
	case len(e.record.Engines) > 0:
		return Suspect
	}
	return Clear
}

// RecordCrash records that an engine exited under a request, and returns the request's new state.
func (t *Table) RecordCrash(fingerprint Fingerprint, engine string) (state State, crashes int) {
	return t.recordCrash(fingerprint, engine, false)
}

// RecordDeferredCrash is RecordCrash for a batch item or its reward call.
func (t *Table) RecordDeferredCrash(fingerprint Fingerprint, engine string) (state State, crashes int) {
	return t.recordCrash(fingerprint, engine, true)
}

func (t *Table) recordCrash(fingerprint Fingerprint, engine string, deferred bool) (state State, crashes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.getOrCreate(fingerprint)
	e.record.Deferred = e.record.Deferred || deferred
	if e.record.add(engine) {
		t.exits.add(engine, t.now())
		e.backoffFrom = t.now()
		t.markLocalChange(e)
	}
	return t.stateOf(e), len(e.record.Engines)
}

// Release clears a request. It reports whether the request was suspect, isolated or held.
func (t *Table) Release(fingerprint Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.lookup(fingerprint)
	if e == nil || t.stateOf(e) == Clear {
		return false
	}
	e.record.clear()
	t.markLocalChange(e)
	return true
}

// RecordTrial records that a held request was granted a trial run, and returns the trial; none if the request is not held.
func (t *Table) RecordTrial(fingerprint Fingerprint) Trial {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.lookup(fingerprint)
	if e == nil || t.stateOf(e) != Held {
		return Trial{}
	}
	e.record.Trials++
	e.beforeTrial, e.backoffFrom = e.backoffFrom, t.now()
	t.markLocalChange(e)
	return e.record.lastTrial()
}

// ReturnTrial records that a trial ended without an outcome, so that it does not count for the backoff. It reports whether that changed the
// record: only the last trial of a request can be returned, and only once.
func (t *Table) ReturnTrial(trial Trial) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.lookup(trial.Fingerprint)
	if e == nil || !trial.Granted() || e.record.lastTrial() != trial {
		return false
	}
	e.record.Returned++
	e.trialReturned(t.now())
	t.markLocalChange(e)
	return true
}

// Merge merges the records of another process.
func (t *Table) Merge(records []Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range records {
		received := &records[i]
		if received.Idle > received.ttl() {
			continue
		}
		e := t.getOrCreate(received.Fingerprint)
		before := e.record
		if !e.record.merge(received) {
			continue
		}
		at := t.now().Add(-received.Idle)
		for _, engine := range received.Engines {
			t.exits.add(engine, at)
		}
		e.updated = latest(e.updated, at)
		e.merged(&before, at)
		t.markChange(e)
	}
}

// Record returns the record of a request.
func (t *Table) Record(fingerprint Fingerprint) Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.lookup(fingerprint)
	if e == nil {
		return Record{Fingerprint: fingerprint}
	}
	return t.recordOf(e)
}

// Since returns the records that changed after a cursor, and a channel that is closed at the next change. A cursor of another table yields
// all records.
func (t *Table) Since(cursor Cursor) (Changes, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if cursor.Table != t.name {
		cursor.Number = 0
	}
	if cursor.Number == t.revision {
		return Changes{Cursor: Cursor{Table: t.name, Number: t.revision}}, t.changed
	}
	return t.collect(func(e *entry) bool { return e.revision > cursor.Number }), t.changed
}

// Changed returns a channel that is closed at the next change.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// LocalSince returns the records that this process changed itself after a cursor; all records if the cursor is of another table.
func (t *Table) LocalSince(cursor Cursor) (Changes, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if cursor.Table != t.name {
		return t.collect(func(*entry) bool { return true }), t.changed
	}
	return t.collect(func(e *entry) bool { return e.localRevision > cursor.Number }), t.changed
}

// List returns all records, those with the most crashes first.
func (t *Table) List() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	records := t.collect(func(*entry) bool { return true }).Records
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(len(b.Engines), len(a.Engines)) })
	return records
}

// Count returns the numbers of held and of suspect requests.
func (t *Table) Count() (held, suspect int) {
	for _, record := range t.List() {
		switch {
		case record.held():
			held++
		case len(record.Engines) > 0:
			suspect++
		}
	}
	return held, suspect
}

// collect returns the matching records. The mutex must be held.
func (t *Table) collect(match func(*entry) bool) Changes {
	t.sweep()
	changes := Changes{Cursor: Cursor{Table: t.name, Number: t.revision}}
	for _, e := range t.entries {
		if match(e) {
			changes.Records = append(changes.Records, t.recordOf(e))
		}
	}
	return changes
}

// recordOf returns an entry's record with its idle time set. The mutex must be held.
func (t *Table) recordOf(e *entry) Record {
	t.exits.update(&e.record)
	record := e.record
	record.Idle = t.now().Sub(e.updated)
	return record
}

// lookup returns an entry that has not expired, or nil. The mutex must be held.
func (t *Table) lookup(fingerprint Fingerprint) *entry { return t.lookupAt(fingerprint, t.now()) }

func (t *Table) lookupAt(fingerprint Fingerprint, now time.Time) *entry {
	e, ok := t.entries[fingerprint]
	if !ok || now.Sub(e.updated) > e.record.ttl() {
		return nil
	}
	return e
}

// getOrCreate returns a request's entry. The mutex must be held.
func (t *Table) getOrCreate(fingerprint Fingerprint) *entry {
	if e := t.lookup(fingerprint); e != nil {
		return e
	}
	t.sweep()
	if len(t.entries) >= maxRecords {
		t.evictOldest()
	}
	e := &entry{record: Record{Fingerprint: fingerprint}}
	t.entries[fingerprint] = e
	return e
}

// markLocalChange marks an entry as changed by this process. The mutex must be held.
func (t *Table) markLocalChange(e *entry) {
	e.updated = t.now()
	t.markChange(e)
	e.localRevision = e.revision
}

// markChange marks an entry as changed. The mutex must be held.
func (t *Table) markChange(e *entry) {
	t.revision++
	e.revision = t.revision
	close(t.changed)
	t.changed = make(chan struct{})
}

// sweep drops expired entries. The mutex must be held.
func (t *Table) sweep() {
	now := t.now()
	if now.Sub(t.lastSweep) < sweepInterval {
		return
	}
	t.lastSweep = now
	t.exits.dropBefore(now.Add(-suspectTTL))
	for fingerprint, e := range t.entries {
		if now.Sub(e.updated) > e.record.ttl() {
			delete(t.entries, fingerprint)
		}
	}
}

// evictOldest evicts the least recently updated entry, preferring those that are not held. The mutex must be held.
func (t *Table) evictOldest() {
	var oldest *entry
	for _, e := range t.entries {
		if oldest == nil || e.evictedBefore(oldest) {
			oldest = e
		}
	}
	delete(t.entries, oldest.record.Fingerprint)
}

// evictedBefore reports whether an entry is evicted before another.
func (e *entry) evictedBefore(other *entry) bool {
	if e.record.held() != other.record.held() {
		return !e.record.held()
	}
	return e.updated.Before(other.updated)
}
