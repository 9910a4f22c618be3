// Package permits lets one process at a time act on outside systems that may not check who acts.
//
// A Journal is an object of the metadata store in which the process that leads a term records, before each act, on which subject it is
// about to act: an engine that is given an order, or a duty towards the platform. The object is changed on the condition of its revision
// and bears the term's token.
//
// Guarantees: after a journal of a later term was opened, no earlier one permits an act; and an act of another process on a subject is a
// lease length old before this one permits one on the same subject. Only that subject waits. So no outside system sees a lower token after
// a higher one, nor two processes by turns within a lease length, even if it checks nothing.
package permits

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/covelink/covelink/internal/metastore"
	"github.com/covelink/covelink/internal/pause"
)

const (
	// KindJournals is the kind of the journals' objects.
	KindJournals = "order-journals"
	// Window is how long after the start of the write that permits an act it may leave: a store that serves answers within some hundred
	// milliseconds.
	Window = 700 * time.Millisecond
	// clockMargin is for timers that fire early or late.
	clockMargin = 100 * time.Millisecond
	// retryPause is the pause between two attempts to open a journal.
	retryPause = 500 * time.Millisecond
)

// ErrLost reports that a process with a later term acts.
var ErrLost = errors.New("permits: a later term acts")

// Params are what a Journal works with.
type Params struct {
	Store metastore.Client
	// Name is the journal's: there is one for each set of subjects.
	Name string
	// Holder and Token name the process that acts and its term.
	Holder string
	Token  int64
	// LeaseLength is the least time between the acts of two processes on one subject.
	LeaseLength time.Duration
}

// Journal records acts before they are done. It is safe for concurrent use.
type Journal struct {
	Params

	// turn holds one token, taken by whoever calls the store.
	turn chan struct{}
	// revision is the object's as this process last knew it; zero if it must be read. It belongs to whoever has the turn.
	revision metastore.Revision

	mu sync.Mutex
	// acts are the newest permitted acts by subject.
	acts map[string]act
}

// act is an act that may have been done.
type act struct {
	holder string
	at     time.Time
}

// journalSpec is the object's content.
type journalSpec struct {
	Token int64                `json:"token"`
	Acts  map[string]actRecord `json:"orders"`
}

// actRecord is a permitted act in the store.
type actRecord struct {
	Holder string `json:"holder"`
	// AgeMillis is how long before the write the act was permitted, in milliseconds. Clocks of different machines need not agree: a reader
	// counts it from when it reads.
	AgeMillis int64 `json:"ageMillis"`
}

// New returns the journal of a term. Its first permit takes the object over.
func New(params Params) *Journal {
	return &Journal{Params: params, turn: make(chan struct{}, 1), acts: make(map[string]act)}
}

// memory is how long an act of another process matters.
func (j *Journal) memory() time.Duration { return j.LeaseLength + Window + clockMargin }

// Permit records acts on subjects. It returns the subjects that may be acted on, until the deadline; the others have to wait. ErrLost if a
// later term acts. After any error nothing may be done.
func (j *Journal) Permit(ctx context.Context, subjects []string) (allowed []string, deadline time.Time, err error) {
	ctx, cancel := context.WithTimeout(ctx, Window)
	defer cancel()
	select {
	case j.turn <- struct{}{}:
	case <-ctx.Done():
		return nil, time.Time{}, ctx.Err()
	}
	defer func() { <-j.turn }()
	if j.revision == 0 {
		if err := j.open(ctx); err != nil {
			return nil, time.Time{}, err
		}
	}
	started := time.Now()
	allowed = j.note(subjects, started)
	if len(allowed) == 0 {
		return nil, time.Time{}, nil
	}
	if err := j.write(ctx, started); err != nil {
		return nil, time.Time{}, err
	}
	return allowed, started.Add(Window), nil
}

// note takes in acts on those subjects that need not wait, and returns them.
func (j *Journal) note(subjects []string, now time.Time) (allowed []string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, subject := range subjects {
		if j.waits(subject, now) {
			continue
		}
		allowed = append(allowed, subject)
		j.acts[subject] = act{holder: j.Holder, at: now}
	}
	return allowed
}

// MayAct reports whether a subject need not wait for the act of another process to grow old.
func (j *Journal) MayAct(subject string, now time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return !j.waits(subject, now)
}

// waits is the opposite of MayAct. The mutex must be held.
func (j *Journal) waits(subject string, now time.Time) bool {
	last, ok := j.acts[subject]
	return ok && last.holder != j.Holder && now.Sub(last.at) < j.memory()
}

// TakeOver opens the journal, as often as it takes, until ctx ends.
func (j *Journal) TakeOver(ctx context.Context) {
	for ctx.Err() == nil {
		if _, _, err := j.Permit(ctx, nil); err == nil || errors.Is(err, ErrLost) {
			return
		}
		pause.For(ctx, retryPause)
	}
}

// open reads the object and writes it under the term's token.
func (j *Journal) open(ctx context.Context) error {
	object, err := j.Store.Get(ctx, KindJournals, j.Name)
	if errors.Is(err, metastore.ErrNotFound) {
		return j.create(ctx)
	}
	if err != nil {
		return err
	}
	if err := j.take(object); err != nil {
		return err
	}
	return j.write(ctx, time.Now())
}

func (j *Journal) create(ctx context.Context) error {
	object, err := j.encode(time.Now())
	if err != nil {
		return err
	}
	object, err = j.Store.Create(ctx, KindJournals, object)
	if err != nil {
		return err
	}
	j.revision = object.Revision
	return nil
}

// take reads what others have recorded.
func (j *Journal) take(object metastore.Object) error {
	var spec journalSpec
	if err := json.Unmarshal(object.Spec, &spec); err != nil {
		return fmt.Errorf("permits: journal %s: %w", j.Name, err)
	}
	if spec.Token > j.Token {
		return ErrLost
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now()
	for subject, record := range spec.Acts {
		at := now.Add(-time.Duration(record.AgeMillis) * time.Millisecond)
		if known, ok := j.acts[subject]; !ok || known.at.Before(at) {
			j.acts[subject] = act{holder: record.Holder, at: at}
		}
	}
	j.revision = object.Revision
	return nil
}

// write replaces the object. After an error the object is read again before the next write.
func (j *Journal) write(ctx context.Context, now time.Time) error {
	object, err := j.encode(now)
	if err != nil {
		return err
	}
	object.Revision = j.revision
	j.revision = 0
	stored, err := j.Store.Replace(ctx, KindJournals, object)
	if err != nil {
		return err
	}
	j.revision = stored.Revision
	return nil
}

// encode returns the object without the acts that matter no longer.
func (j *Journal) encode(now time.Time) (metastore.Object, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	spec := journalSpec{Token: j.Token, Acts: make(map[string]actRecord, len(j.acts))}
	for subject, last := range j.acts {
		age := now.Sub(last.at)
		if age > j.memory() {
			delete(j.acts, subject)
			continue
		}
		spec.Acts[subject] = actRecord{Holder: last.holder, AgeMillis: age.Milliseconds()}
	}
	content, err := json.Marshal(spec)
	if err != nil {
		return metastore.Object{}, err
	}
	return metastore.Object{Name: j.Name, Spec: content}, nil
}
