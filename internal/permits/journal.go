// Package permits lets one process at a time act on outside systems that may not check who acts.
//
// A Journal is an object of the metadata store in which the process that leads a term records, before each act, on which subject it is
// about to act: an engine that is given an order, or a duty towards the platform. The object is changed on the condition of its revision
// and bears the term's token.
//
// Guarantees: after a journal of a later term was opened, no earlier one permits an act. The last act of another process on a subject has
// left and arrived, or never will, before this one permits one on it; and a process that acted on a subject before another did waits a lease
// length from then. Only that subject waits. So no outside system sees a lower token after a higher one, nor two processes by turns within a
// lease length, even if it checks nothing.
package permits

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/covelink/covelink/internal/boottime"
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
	// LeaseLength is the least time between two acts of one process on a subject on which another acts in between.
	LeaseLength time.Duration
	// Transit is how long after it left an act may arrive: that is how long a connection keeps bytes that are not acknowledged.
	Transit time.Duration
}

// Journal records acts before they are done. It is safe for concurrent use.
type Journal struct {
	Params

	// turn holds one token, taken by whoever calls the store.
	turn chan struct{}
	// cell is the object. It belongs to whoever has the turn.
	cell *metastore.Cell

	mu sync.Mutex
	// acts are the newest permitted acts by subject.
	acts map[string]act
}

// act is the newest act on a subject that may have been done.
type act struct {
	holder string
	at     time.Time
	// earlier are the last acts of other holders.
	earlier map[string]time.Time
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
	// Earlier are the ages of the last acts of other holders, by holder.
	Earlier map[string]int64 `json:"earlier,omitempty"`
}

// New returns the journal of a term. Its first permit takes the object over.
func New(params Params) *Journal {
	cell := metastore.NewCell(params.Store, KindJournals, params.Name, Window)
	return &Journal{Params: params, turn: make(chan struct{}, 1), cell: cell, acts: make(map[string]act)}
}

// handover is how long after another process's last act this one acts.
func (j *Journal) handover() time.Duration { return Window + j.Transit + clockMargin }

// memory is how long an act matters.
func (j *Journal) memory() time.Duration { return j.LeaseLength + j.handover() }

// Permit records acts on subjects. It returns the subjects that may be acted on, until the deadline, a moment of boottime; the others have
// to wait. ErrLost if a later term acts. After any error nothing may be done.
func (j *Journal) Permit(ctx context.Context, subjects []string) (allowed []string, deadline time.Time, err error) {
	ctx, cancel := context.WithTimeout(ctx, Window)
	defer cancel()
	select {
	case j.turn <- struct{}{}:
	case <-ctx.Done():
		return nil, time.Time{}, ctx.Err()
	}
	defer func() { <-j.turn }()
	if !j.cell.Known() {
		if err := j.open(ctx); err != nil {
			return nil, time.Time{}, err
		}
	}
	started := boottime.Now()
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
		j.acts[subject] = j.acts[subject].followedBy(j.Holder, now)
	}
	return allowed
}

// followedBy returns an act of a holder after this one.
func (a act) followedBy(holder string, at time.Time) act {
	next := act{holder: holder, at: at, earlier: maps.Clone(a.earlier)}
	if a.holder != "" && a.holder != holder {
		if next.earlier == nil {
			next.earlier = make(map[string]time.Time)
		}
		next.earlier[a.holder] = a.at
	}
	delete(next.earlier, holder)
	return next
}

// MayAct reports whether a subject need not wait for earlier acts to grow old.
func (j *Journal) MayAct(subject string, now time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return !j.waits(subject, now)
}

// waits is the opposite of MayAct. The mutex must be held.
func (j *Journal) waits(subject string, now time.Time) bool {
	last, ok := j.acts[subject]
	if !ok || last.holder == j.Holder {
		return false
	}
	if now.Sub(last.at) < j.handover() {
		return true
	}
	own, acted := last.earlier[j.Holder]
	return acted && now.Sub(own) < j.memory()
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
	content, err := j.cell.Read(ctx)
	if err == nil && content != nil {
		err = j.take(content)
	}
	if err == nil {
		err = j.write(ctx, boottime.Now())
	}
	if err != nil {
		// Nothing may be written over what a later term has recorded, or over what is not known.
		j.cell.Forget()
	}
	return err
}

// take reads what others have recorded.
func (j *Journal) take(content json.RawMessage) error {
	var spec journalSpec
	if err := json.Unmarshal(content, &spec); err != nil {
		return fmt.Errorf("permits: journal %s: %w", j.Name, err)
	}
	if spec.Token > j.Token {
		return ErrLost
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	now := boottime.Now()
	for subject, record := range spec.Acts {
		at := ageBefore(now, record.AgeMillis)
		if known, ok := j.acts[subject]; ok && !known.at.Before(at) {
			continue
		}
		read := act{holder: record.Holder, at: at}
		for holder, age := range record.Earlier {
			if read.earlier == nil {
				read.earlier = make(map[string]time.Time)
			}
			read.earlier[holder] = ageBefore(now, age)
		}
		j.acts[subject] = read
	}
	return nil
}

func ageBefore(now time.Time, ageMillis int64) time.Time {
	return now.Add(-time.Duration(ageMillis) * time.Millisecond)
}

// write replaces the object. After an error the object is read again before the next write.
func (j *Journal) write(ctx context.Context, now time.Time) error {
	content, err := j.encode(now)
	if err != nil {
		return err
	}
	return j.cell.Write(ctx, content)
}

// encode returns the object's content, without the acts that matter no longer.
func (j *Journal) encode(now time.Time) (json.RawMessage, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	spec := journalSpec{Token: j.Token, Acts: make(map[string]actRecord, len(j.acts))}
	for subject, last := range j.acts {
		age := now.Sub(last.at)
		if age > j.memory() {
			delete(j.acts, subject)
			continue
		}
		record := actRecord{Holder: last.holder, AgeMillis: age.Milliseconds()}
		for holder, at := range last.earlier {
			if now.Sub(at) > j.memory() {
				continue
			}
			if record.Earlier == nil {
				record.Earlier = make(map[string]int64)
			}
			record.Earlier[holder] = now.Sub(at).Milliseconds()
		}
		spec.Acts[subject] = record
	}
	return json.Marshal(spec)
}
