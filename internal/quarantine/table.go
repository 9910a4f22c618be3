package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
)

const (
	// maxRecords bounds a table: an engine that ends takes at most its places and its queue along, some 30 requests.
	maxRecords = 2048
	// sweepInterval is the pause between two looks for records that are of no use any more.
	sweepInterval = 10 * time.Second
)

// Standing is how a request stands.
type Standing int

// The standings.
const (
	// Clear: no engine is known to have ended under the request since it last ended well.
	Clear Standing = iota
	// Suspect: an engine has ended under it.
	Suspect
	// Isolated: so many have that it runs apart from others like it, at one engine for each try of its caller. If the next end is its
	// doing, the others do not count it.
	Isolated
	// Held: it may run in a trial only.
	Held
)

var standingNames = [...]string{"clear", "suspect", "isolated", "held"}

// String returns the standing's name in logs.
func (s Standing) String() string { return standingNames[s] }

// Cursor names a state of a table.
type Cursor struct {
	// Table names the table, and Number the last change that is known of it.
	Table  string
	Number uint64
}

// News is what changed in a table up to a state.
type News struct {
	Cursor  Cursor
	Records []Record
}

// entry is a record in a table.
type entry struct {
	record Record
	// added is when the record was last added to, anywhere.
	added time.Time
	// changed is the number of its last change here, and found that of the last one that was found out by this process.
	changed, found uint64
}

// Table holds what a process knows of requests under which engines have ended. It is safe for concurrent use.
type Table struct {
	now  func() time.Time
	name string

	mu      sync.Mutex
	entries map[Fingerprint]*entry
	number  uint64
	news    chan struct{}
	swept   time.Time
}

// NewTable returns an empty Table that reads the time from now.
func NewTable(now func() time.Time) *Table {
	return &Table{now: now, name: uuid.NewString(), entries: make(map[Fingerprint]*entry), news: make(chan struct{})}
}

// Empty reports whether nothing is known of any request.
func (t *Table) Empty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries) == 0
}

// Status is what a table knows of a request. The zero value is that of a request of which nothing is known.
type Status struct {
	Standing Standing
	// Ends is how many engines have ended under the request.
	Ends int
	// Wait is after which time the request may be tried, if it is held.
	Wait time.Duration
}

// Status returns what is known of a request.
func (t *Table) Status(fingerprint Fingerprint) Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	known := t.liveAt(fingerprint, now)
	if known == nil {
		return Status{}
	}
	status := Status{Standing: known.standing(), Ends: len(known.record.Engines)}
	if status.Standing == Held {
		status.Wait = known.wait(now)
	}
	return status
}

func (e *entry) standing() Standing {
	switch {
	case e.record.held():
		return Held
	case len(e.record.Engines) >= isolateAfter:
		return Isolated
	case len(e.record.Engines) > 0:
		return Suspect
	}
	return Clear
}

// NoteEnd notes that an engine has ended under a request. It returns how the request stands then.
func (t *Table) NoteEnd(fingerprint Fingerprint, engine string) (standing Standing, ends int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.ensure(fingerprint)
	if known.record.add(engine) {
		t.noteFound(known)
	}
	return known.standing(), len(known.record.Engines)
}

// Release notes that a run of a request ended well. It reports whether the request was suspect or held.
func (t *Table) Release(fingerprint Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.live(fingerprint)
	if known == nil || known.standing() == Clear {
		return false
	}
	known.record.clear()
	t.noteFound(known)
	return true
}

// NoteTrial notes that a held request is granted one run.
func (t *Table) NoteTrial(fingerprint Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.live(fingerprint)
	if known == nil || !known.record.held() {
		return
	}
	known.record.Trials++
	t.noteFound(known)
}

// wait returns after which time a held request may be tried.
func (e *entry) wait(now time.Time) time.Duration {
	pause, more := e.record.trialPause()
	if !more {
		pause = heldLife
	}
	return max(pause-now.Sub(e.added), 0)
}

// Merge takes in what another process knows.
func (t *Table) Merge(records []Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range records {
		told := &records[i]
		if told.Idle > told.life() {
			continue
		}
		known := t.ensure(told.Fingerprint)
		if !known.record.merge(told) {
			continue
		}
		if at := t.now().Add(-told.Idle); at.After(known.added) {
			known.added = at
		}
		t.noteChange(known)
	}
}

// Record returns what is known of a request.
func (t *Table) Record(fingerprint Fingerprint) Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.live(fingerprint)
	if known == nil {
		return Record{Fingerprint: fingerprint}
	}
	return t.told(known)
}

// Since returns what has changed since a state, and a channel that is closed at the next change. All is told of a table that the cursor does
// not name.
func (t *Table) Since(cursor Cursor) (News, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if cursor.Table != t.name {
		cursor.Number = 0
	}
	if cursor.Number == t.number {
		return News{Cursor: Cursor{Table: t.name, Number: t.number}}, t.news
	}
	return t.choose(func(e *entry) bool { return e.changed > cursor.Number }), t.news
}

// Changed returns a channel that is closed at the next change.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.news
}

// Found returns what this process has found out itself since a state; all that is known if the cursor names another table.
func (t *Table) Found(cursor Cursor) (News, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if cursor.Table != t.name {
		return t.choose(func(*entry) bool { return true }), t.news
	}
	return t.choose(func(e *entry) bool { return e.found > cursor.Number }), t.news
}

// List returns all records, those with the most ended engines first.
func (t *Table) List() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	records := t.choose(func(*entry) bool { return true }).Records
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(len(b.Engines), len(a.Engines)) })
	return records
}

// Count returns how many requests are held, and how many are suspect.
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

// choose returns the records that are chosen. The mutex must be held.
func (t *Table) choose(chosen func(*entry) bool) News {
	t.sweep()
	news := News{Cursor: Cursor{Table: t.name, Number: t.number}}
	for _, known := range t.entries {
		if chosen(known) {
			news.Records = append(news.Records, t.told(known))
		}
	}
	return news
}

// told returns an entry's record as others are told it. The mutex must be held.
func (t *Table) told(known *entry) Record {
	record := known.record
	record.Idle = t.now().Sub(known.added)
	return record
}

// live returns an entry that is of use; nil if there is none. The mutex must be held.
func (t *Table) live(fingerprint Fingerprint) *entry { return t.liveAt(fingerprint, t.now()) }

func (t *Table) liveAt(fingerprint Fingerprint, now time.Time) *entry {
	known, ok := t.entries[fingerprint]
	if !ok || now.Sub(known.added) > known.record.life() {
		return nil
	}
	return known
}

// ensure returns a request's entry. The mutex must be held.
func (t *Table) ensure(fingerprint Fingerprint) *entry {
	if known := t.live(fingerprint); known != nil {
		return known
	}
	t.sweep()
	if len(t.entries) >= maxRecords {
		t.dropOldest()
	}
	known := &entry{record: Record{Fingerprint: fingerprint}}
	t.entries[fingerprint] = known
	return known
}

// noteFound notes a change that this process found out. The mutex must be held.
func (t *Table) noteFound(known *entry) {
	known.added = t.now()
	t.noteChange(known)
	known.found = known.changed
}

// noteChange notes a change. The mutex must be held.
func (t *Table) noteChange(known *entry) {
	t.number++
	known.changed = t.number
	close(t.news)
	t.news = make(chan struct{})
}

// sweep drops entries that are of no use any more. The mutex must be held.
func (t *Table) sweep() {
	now := t.now()
	if now.Sub(t.swept) < sweepInterval {
		return
	}
	t.swept = now
	for fingerprint, known := range t.entries {
		if now.Sub(known.added) > known.record.life() {
			delete(t.entries, fingerprint)
		}
	}
}

// dropOldest makes room for an entry: the one that was added to first goes, of those that are not held if there are such. The mutex must be
// held.
func (t *Table) dropOldest() {
	var oldest *entry
	for _, known := range t.entries {
		if oldest == nil || known.before(oldest) {
			oldest = known
		}
	}
	delete(t.entries, oldest.record.Fingerprint)
}

// before reports whether an entry gives way before another.
func (e *entry) before(other *entry) bool {
	if e.record.held() != other.record.held() {
		return !e.record.held()
	}
	return e.added.Before(other.added)
}
