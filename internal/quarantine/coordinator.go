package quarantine

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/metastore"
	"github.com/covelink/covelink/internal/pause"
)

const (
	// KindHeld is the kind of the stored object with the held requests, and heldName its name.
	KindHeld = "quarantine"
	heldName = "held"
	// maxStored bounds the records in the stored object.
	maxStored = 256
	// storeTimeout bounds one call to the store.
	storeTimeout = time.Second
	// storeRetryDelay is the delay after a failed call to the store.
	storeRetryDelay = time.Second
	// persistDelay batches changes before a write: one engine's exit is reported by every gateway that had sent it requests.
	persistDelay = 50 * time.Millisecond
	// trialTimeout is the time after which a trial without an outcome no longer blocks the next one.
	trialTimeout = 10 * time.Second
	// trialRetryAfter bounds the wait returned while another trial is running.
	trialRetryAfter = 300 * time.Millisecond
	// grantTimeout bounds a grant including the store write. It is below trialRequestTimeout, so that no trial is granted to a caller that
	// has given up.
	grantTimeout = 200 * time.Millisecond
)

// CoordinatorParams configures a Coordinator.
type CoordinatorParams struct {
	Table *Table
	Store metastore.Client
	// Leading reports whether the process is the coordinator.
	Leading func() bool
	Logger  log.Logger
}

// Coordinator merges the records reported by other processes, grants trials, and persists held requests in the store. A trial is written
// there before it is granted, with a conditional write: of two processes that both believe that they lead, only one can grant it.
type Coordinator struct {
	CoordinatorParams
	// writer serializes writers; it also guards cell, written and trial.
	writer chan struct{}
	// cell is the stored object, and written its content while that is known.
	cell    *metastore.Cell
	written []storedRecord
	// trial is the trial granted last.
	trial grantedTrial

	mu sync.Mutex
	// ready is true while the process leads and has loaded the records of earlier terms. Guarded by mu.
	ready bool
}

// storedRecord is the stored form of a Record.
type storedRecord struct {
	Fingerprint string   `json:"fingerprint"`
	Epoch       int      `json:"epoch"`
	Engines     []string `json:"engines"`
	Trials      int      `json:"trials"`
	// IdleMillis is the time from the record's last update to the write, in milliseconds. Readers count it from the time of reading.
	IdleMillis int64 `json:"idleMillis"`
}

// storedSpec is the content of the stored object.
type storedSpec struct {
	Records []storedRecord `json:"records"`
}

// NewCoordinator returns a Coordinator that grants no trials until Lead.
func NewCoordinator(params CoordinatorParams) *Coordinator {
	cell := metastore.NewCell(params.Store, KindHeld, heldName, storeTimeout)
	return &Coordinator{CoordinatorParams: params, writer: make(chan struct{}, 1), cell: cell}
}

// Receive merges the records reported by a process.
func (k *Coordinator) Receive(request TellRequest) TellReply {
	k.Table.Merge(request.Records)
	return TellReply{Leading: k.Leading()}
}

// Lead loads and persists held requests until ctx ends, which is the end of the term.
func (k *Coordinator) Lead(ctx context.Context) {
	defer k.endTerm()
	k.loadStored(ctx)
	for ctx.Err() == nil {
		changed := k.Table.Changed()
		if err := k.persist(ctx); err != nil && ctx.Err() == nil {
			level.Info(k.Logger).Log("msg", "failed to persist held requests", "err", err)
			pause.For(ctx, storeRetryDelay)
			continue
		}
		select {
		case <-changed:
			pause.For(ctx, persistDelay)
		case <-ctx.Done():
		}
	}
}

// loadStored merges the records of earlier terms, retrying until the store answers.
func (k *Coordinator) loadStored(ctx context.Context) {
	for ctx.Err() == nil {
		err := k.asWriter(ctx, k.ensureLoaded)
		if err == nil {
			k.setReady(true)
			return
		}
		level.Info(k.Logger).Log("msg", "failed to load held requests", "err", err)
		pause.For(ctx, storeRetryDelay)
	}
}

// endTerm stops granting trials and discards the cached store content, so that the next term reads it again.
func (k *Coordinator) endTerm() {
	k.setReady(false)
	k.writer <- struct{}{}
	k.cell.Forget()
	<-k.writer
}

func (k *Coordinator) setReady(ready bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ready = ready
}

func (k *Coordinator) canGrant() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ready && k.Leading()
}

// asWriter calls do while no other writer is active.
func (k *Coordinator) asWriter(ctx context.Context, do func(ctx context.Context) error) error {
	select {
	case k.writer <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-k.writer }()
	return do(ctx)
}

// grantedTrial is a trial with the record at the time of the grant.
type grantedTrial struct {
	record    Record
	grantedAt time.Time
}

// runningTrialWait returns how long the next trial has to wait for the outcome of the last one; zero if that is known. Trials run one at a
// time, since of two concurrent ones each would be charged with a crash that the other caused. The caller must be the writer.
func (k *Coordinator) runningTrialWait() time.Duration {
	left := trialTimeout - k.Table.now().Sub(k.trial.grantedAt)
	current := k.Table.Record(k.trial.record.Fingerprint)
	if left <= 0 || current.Epoch != k.trial.record.Epoch || len(current.Engines) != len(k.trial.record.Engines) {
		return 0
	}
	return min(left, trialRetryAfter)
}

// HandleTrial merges the caller's record, which may be newer, and then calls GrantTrial.
func (k *Coordinator) HandleTrial(ctx context.Context, known Record) TrialReply {
	k.Table.Merge([]Record{known})
	return k.GrantTrial(ctx, known.Fingerprint)
}

// GrantTrial decides whether a held request may run once.
func (k *Coordinator) GrantTrial(ctx context.Context, fingerprint Fingerprint) TrialReply {
	if !k.canGrant() {
		return TrialReply{}
	}
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	reply := TrialReply{Leading: true}
	err := k.asWriter(ctx, func(ctx context.Context) error {
		if err := k.ensureLoaded(ctx); err != nil {
			return err
		}
		status := k.Table.Status(fingerprint)
		if status.State != Held {
			reply.Granted = true
			return nil
		}
		if reply.Wait = max(status.Wait, k.runningTrialWait()); reply.Wait > 0 {
			return nil
		}
		if err := k.write(ctx, k.withTrial(fingerprint)); err != nil {
			return err
		}
		k.Table.RecordTrial(fingerprint)
		k.trial = grantedTrial{record: k.Table.Record(fingerprint), grantedAt: k.Table.now()}
		reply.Granted = true
		return nil
	})
	if err != nil {
		level.Info(k.Logger).Log("msg", "trial not granted", "fingerprint", fingerprint.Short(), "err", err)
		reply.Wait = unavailableRetryAfter
	}
	return reply
}

// withTrial returns the held records with one more trial of a request.
func (k *Coordinator) withTrial(fingerprint Fingerprint) []storedRecord {
	records := k.heldRecords()
	for i := range records {
		if records[i].Fingerprint == fingerprint.String() {
			records[i].Trials++
			records[i].IdleMillis = 0
		}
	}
	return records
}

// heldRecords returns the held records in stored form, ordered by fingerprint; beyond maxStored the least recently updated are left out.
func (k *Coordinator) heldRecords() []storedRecord {
	records := slices.DeleteFunc(k.Table.List(), func(record Record) bool { return !record.held() })
	slices.SortFunc(records, func(a, b Record) int { return int(a.Idle - b.Idle) })
	records = records[:min(len(records), maxStored)]
	slices.SortFunc(records, func(a, b Record) int { return slices.Compare(a.Fingerprint[:], b.Fingerprint[:]) })
	stored := make([]storedRecord, 0, len(records))
	for _, record := range records {
		stored = append(stored, storedRecord{
			Fingerprint: record.Fingerprint.String(),
			Epoch:       record.Epoch,
			Engines:     record.Engines,
			Trials:      record.Trials,
			IdleMillis:  record.Idle.Milliseconds(),
		})
	}
	return stored
}

// persist writes the held records if they differ from the store's.
func (k *Coordinator) persist(ctx context.Context) error {
	return k.asWriter(ctx, func(ctx context.Context) error {
		if err := k.ensureLoaded(ctx); err != nil {
			return err
		}
		records := k.heldRecords()
		if slices.EqualFunc(records, k.written, storedRecord.sameExceptIdle) {
			return nil
		}
		return k.write(ctx, records)
	})
}

// sameExceptIdle reports whether two records are equal except for their idle time.
func (r storedRecord) sameExceptIdle(other storedRecord) bool {
	return r.Fingerprint == other.Fingerprint && r.Epoch == other.Epoch && r.Trials == other.Trials && slices.Equal(r.Engines, other.Engines)
}

// ensureLoaded merges the stored records unless the store's content is known. The caller must be the writer.
func (k *Coordinator) ensureLoaded(ctx context.Context) error {
	if k.cell.Known() {
		return nil
	}
	content, err := k.cell.Read(ctx)
	if err != nil {
		return err
	}
	var spec storedSpec
	if content != nil {
		err = json.Unmarshal(content, &spec)
	}
	if err != nil {
		k.cell.Forget()
		return fmt.Errorf("quarantine: decode stored records: %w", err)
	}
	k.written = spec.Records
	k.Table.Merge(toRecords(spec.Records))
	return nil
}

// toRecords decodes stored records and skips those with an invalid fingerprint.
func toRecords(stored []storedRecord) []Record {
	records := make([]Record, 0, len(stored))
	for _, r := range stored {
		fingerprint, err := ParseFingerprint(r.Fingerprint)
		if err != nil {
			continue
		}
		slices.Sort(r.Engines)
		records = append(records, Record{
			Fingerprint: fingerprint,
			Epoch:       r.Epoch,
			Engines:     r.Engines,
			Trials:      r.Trials,
			Idle:        time.Duration(r.IdleMillis) * time.Millisecond,
		})
	}
	return records
}

// write stores records on the condition that the store is unchanged since the last read; after an error it must be read again. The caller
// must be the writer.
func (k *Coordinator) write(ctx context.Context, records []storedRecord) error {
	content, err := json.Marshal(storedSpec{Records: records})
	if err != nil {
		return err
	}
	if err := k.cell.Write(ctx, content); err != nil {
		return err
	}
	k.written = records
	return nil
}
