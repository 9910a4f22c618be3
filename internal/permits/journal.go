// Package permits ensures that one process at a time acts on external systems that may not check a fencing token.
//
// A Journal is a metastore object in which the leader of a term records each act on a subject (an order to an engine, or a duty towards the
// platform) before it is performed. Each write is conditional on the object's revision and bears the term's token.
//
// Guarantees: once a journal of a later term is open, no earlier one permits an act. An act on a subject is permitted only after the last act of
// another process on it has arrived or never will, and, if this process acted before that one, a lease length after its own last act; other
// subjects do not wait. So no external system receives a lower token after a higher one, or acts of alternating processes within a lease length,
// even if it checks nothing.
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
	// KindJournals is the metastore kind of the journals.
	KindJournals = "order-journals"
	// Validity is the validity of a permit, from the start of the write that grants it.
	Validity = 700 * time.Millisecond
	// clockMargin allows for timers that fire early or late.
	clockMargin = 100 * time.Millisecond
	// retryPause is the pause between two attempts to open a journal.
	retryPause = 500 * time.Millisecond
)

// ErrSuperseded reports that a process with a later term has taken over the journal.
var ErrSuperseded = errors.New("permits: journal taken over by a later term")

// Params are the parameters of a Journal.
type Params struct {
	Store metastore.Client
	// Name is the journal's name; there is one journal for each set of subjects.
	Name string
	// Holder and Token identify the acting process and its term.
	Holder string
	Token  int64
	// LeaseLength is the minimum time between two acts of one process on a subject on which another process acts in between.
	LeaseLength time.Duration
	// Transit is how long after it was sent an act may arrive: the time for which a connection keeps unacknowledged bytes.
	Transit time.Duration
}

// Journal records acts before they are performed. It is safe for concurrent use.
type Journal struct {
	Params

	// storeLock is a semaphore with one slot, held during store calls. Unlike a mutex it can be awaited with a context.
	storeLock chan struct{}
	// cell is the journal's object. It is guarded by storeLock.
	cell *metastore.Cell

	mu sync.Mutex
	// acts maps each subject to its newest permitted act. It is guarded by mu.
	acts map[string]act
}

// act is the newest act on a subject that may have been performed.
type act struct {
	holder string
	at     time.Time
	// earlier holds the times of the last acts of other holders.
	earlier map[string]time.Time
}

// journalSpec is the content of the stored object.
type journalSpec struct {
	Token int64                `json:"token"`
	Acts  map[string]actRecord `json:"orders"`
}

type actRecord struct {
	Holder string `json:"holder"`
	// AgeMillis is the age of the act at the time of the write, in milliseconds. Clocks of different machines need not agree: a reader counts the
	// age from the time of the read.
	AgeMillis int64 `json:"ageMillis"`
	// Earlier holds the ages of the last acts of other holders, in milliseconds, by holder.
	Earlier map[string]int64 `json:"earlier,omitempty"`
}

// New returns the journal of a term. Its first permit takes the object over.
func New(params Params) *Journal {
	cell := metastore.NewCell(params.Store, KindJournals, params.Name, Validity)
	return &Journal{Params: params, storeLock: make(chan struct{}, 1), cell: cell, acts: make(map[string]act)}
}

// handoverDelay is how long after another process's last act this one may act.
func (j *Journal) handoverDelay() time.Duration { return Validity + j.Transit + clockMargin }

// retention is how long an act is kept in the journal.
func (j *Journal) retention() time.Duration { return j.LeaseLength + j.handoverDelay() }

// Permit records acts on subjects. It returns the subjects that may be acted on until the deadline, in boottime; the others must wait. It returns
// ErrSuperseded if a later term has taken over. After any error no act may be performed.
func (j *Journal) Permit(ctx context.Context, subjects []string) (allowed []string, deadline time.Time, err error) {
	ctx, cancel := context.WithTimeout(ctx, Validity)
	defer cancel()
	select {
	case j.storeLock <- struct{}{}:
	case <-ctx.Done():
		return nil, time.Time{}, ctx.Err()
	}
	defer func() { <-j.storeLock }()
	if !j.cell.Known() {
		if err := j.open(ctx); err != nil {
			return nil, time.Time{}, err
		}
	}
	started := boottime.Now()
	allowed = j.recordActs(subjects, started)
	if len(allowed) == 0 {
		return nil, time.Time{}, nil
	}
	if err := j.write(ctx, started); err != nil {
		return nil, time.Time{}, err
	}
	return allowed, started.Add(Validity), nil
}

// recordActs records acts on the subjects that need not wait, and returns these subjects.
func (j *Journal) recordActs(subjects []string, now time.Time) (allowed []string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, subject := range subjects {
		if j.mustWait(subject, now) {
			continue
		}
		allowed = append(allowed, subject)
		j.acts[subject] = j.acts[subject].followedBy(j.Holder, now)
	}
	return allowed
}

// followedBy returns the act of a holder that follows this one.
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

// MayAct reports whether a subject may be acted on without waiting for earlier acts to expire.
func (j *Journal) MayAct(subject string, now time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return !j.mustWait(subject, now)
}

// mustWait is the negation of MayAct. The mutex must be held.
func (j *Journal) mustWait(subject string, now time.Time) bool {
	last, ok := j.acts[subject]
	if !ok || last.holder == j.Holder {
		return false
	}
	if now.Sub(last.at) < j.handoverDelay() {
		return true
	}
	own, acted := last.earlier[j.Holder]
	return acted && now.Sub(own) < j.retention()
}

// TakeOver opens the journal. It retries until it succeeds, a later term has taken over, or ctx ends.
func (j *Journal) TakeOver(ctx context.Context) {
	for ctx.Err() == nil {
		if _, _, err := j.Permit(ctx, nil); err == nil || errors.Is(err, ErrSuperseded) {
			return
		}
		pause.For(ctx, retryPause)
	}
}

// open reads the object and writes it with the term's token.
func (j *Journal) open(ctx context.Context) error {
	content, err := j.cell.Read(ctx)
	if err == nil && content != nil {
		err = j.merge(content)
	}
	if err == nil {
		err = j.write(ctx, boottime.Now())
	}
	if err != nil {
		// Content of a later term, or unknown content, must not be overwritten.
		j.cell.Forget()
	}
	return err
}

// merge adds the recorded acts of other processes.
func (j *Journal) merge(content json.RawMessage) error {
	var spec journalSpec
	if err := json.Unmarshal(content, &spec); err != nil {
		return fmt.Errorf("permits: decoding journal %s: %w", j.Name, err)
	}
	if spec.Token > j.Token {
		return ErrSuperseded
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

// encode returns the object's content. It drops expired acts.
func (j *Journal) encode(now time.Time) (json.RawMessage, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	spec := journalSpec{Token: j.Token, Acts: make(map[string]actRecord, len(j.acts))}
	for subject, last := range j.acts {
		age := now.Sub(last.at)
		if age > j.retention() {
			delete(j.acts, subject)
			continue
		}
		record := actRecord{Holder: last.holder, AgeMillis: age.Milliseconds()}
		for holder, at := range last.earlier {
			if now.Sub(at) > j.retention() {
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
