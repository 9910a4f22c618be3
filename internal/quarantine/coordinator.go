package quarantine

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
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
	// trialRound is the length of a round of trials. A request that crashes engines mostly does so soon after its start, and the next round then
	// begins with its crash known.
	trialRound = 500 * time.Millisecond
	// trialRoundsMemory is the time without a trial after which rounds begin with one trial again.
	trialRoundsMemory = 5 * time.Second
	// maxTrialsPerRound bounds the trials of a round.
	maxTrialsPerRound = 64
	// grantMemory is how long a grant is remembered by the ID of its request.
	grantMemory = time.Minute
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
	// Observe receives each answer to a request for a trial, for metrics; may be nil.
	Observe func(answer TrialAnswer)
	Logger  log.Logger
}

// TrialAnswer is the coordinator's answer to a request for a trial, used as a metric label.
type TrialAnswer string

// TrialAnswer values.
const (
	// TrialGranted means that the request may run once.
	TrialGranted TrialAnswer = "granted"
	// TrialNotNeeded means that the request is not held any more.
	TrialNotNeeded TrialAnswer = "not held"
	// TrialBackoff means that the time since the request's last crash or trial is too short.
	TrialBackoff TrialAnswer = "backoff"
	// TrialBusy means that as many trials are running as the current round allows.
	TrialBusy TrialAnswer = "other trials running"
	// TrialStoreFailed means that the trial could not be recorded in the store.
	TrialStoreFailed TrialAnswer = "store failed"
)

// Coordinator merges the records reported by other processes, grants trials, and persists held requests in the store. A trial is written
// there before it is granted, with a conditional write: of two processes that both act as the leader, only one can grant it.
type Coordinator struct {
	CoordinatorParams
	// writer serializes writers; it also guards cell, written and trial.
	writer chan struct{}
	// cell is the stored object, and written its content while that is known.
	cell    *metastore.Cell
	written []storedRecord
	// round is the current round of trials, and grants are the recent trials by the ID of their request. Guarded by writer.
	round  trialRounds
	grants map[string]grantedTrial

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
	Returned    int      `json:"returned,omitempty"`
	Exits       int      `json:"exits,omitempty"`
	Deferred    bool     `json:"deferred,omitempty"`
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
	return &Coordinator{CoordinatorParams: params, writer: make(chan struct{}, 1), cell: cell, grants: make(map[string]grantedTrial)}
}

// Receive merges the records reported by a process.
func (c *Coordinator) Receive(request TellRequest) TellReply {
	c.Table.Merge(request.Records)
	return TellReply{Leading: c.Leading()}
}

// Lead loads and persists held requests until ctx ends, which is the end of the term.
func (c *Coordinator) Lead(ctx context.Context) {
	defer c.endTerm()
	c.loadStored(ctx)
	for ctx.Err() == nil {
		changed := c.Table.Changed()
		if err := c.persist(ctx); err != nil && ctx.Err() == nil {
			level.Info(c.Logger).Log("msg", "failed to persist held requests", "err", err)
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
func (c *Coordinator) loadStored(ctx context.Context) {
	for ctx.Err() == nil {
		err := c.asWriter(ctx, c.ensureLoaded)
		if err == nil {
			c.setReady(true)
			return
		}
		level.Info(c.Logger).Log("msg", "failed to load held requests", "err", err)
		pause.For(ctx, storeRetryDelay)
	}
}

// endTerm stops granting trials and discards the cached store content, so that the next term reads it again.
func (c *Coordinator) endTerm() {
	c.setReady(false)
	c.writer <- struct{}{}
	c.cell.Forget()
	<-c.writer
}

func (c *Coordinator) setReady(ready bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ready = ready
}

func (c *Coordinator) canGrant() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ready && c.Leading()
}

// asWriter calls do while no other writer is active.
func (c *Coordinator) asWriter(ctx context.Context, do func(ctx context.Context) error) error {
	select {
	case c.writer <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-c.writer }()
	return do(ctx)
}

// trialWait returns how long the next trial has to wait for those of the current round. The caller must be the writer.
func (c *Coordinator) trialWait() time.Duration {
	return c.round.wait(c.Table.now(), func(granted grantedTrial) trialOutcome {
		current := c.Table.Record(granted.trial.Fingerprint)
		switch {
		case current.Epoch == granted.trial.Epoch && len(current.Engines) > granted.crashes:
			return outcomeCrashed
		case current.Epoch == granted.trial.Epoch && current.Returned > granted.trial.Returned:
			return outcomeReturned
		case current.lastTrial() != granted.trial:
			return outcomeSound
		}
		return outcomeNone
	})
}

// HandleTrial merges the caller's record, which may be newer, and then calls GrantTrial.
func (c *Coordinator) HandleTrial(ctx context.Context, request TrialRequest) TrialReply {
	c.Table.Merge([]Record{request.Known})
	return c.GrantTrial(ctx, request.Known.Fingerprint, request.ID)
}

// HandleReturn records that a trial ended without an outcome. It identifies the trial by its request if it granted that, else by the trial's
// number, since the grant may be an earlier coordinator's.
func (c *Coordinator) HandleReturn(request ReturnRequest) ReturnReply {
	if !c.canGrant() {
		return ReturnReply{}
	}
	c.writer <- struct{}{}
	granted, known := c.grants[request.ID]
	delete(c.grants, request.ID)
	<-c.writer
	trial := request.Trial
	if known {
		trial = granted.trial
	}
	returned := c.Table.ReturnTrial(trial)
	if trial.Granted() {
		level.Info(c.Logger).Log("msg", "trial returned", "fingerprint", trial.Fingerprint.Short(), "trial", trial.Number, "accepted", returned)
	}
	return ReturnReply{Known: known || returned}
}

// remember records a grant. The caller must be the writer.
func (c *Coordinator) remember(id string, granted grantedTrial) {
	maps.DeleteFunc(c.grants, func(_ string, earlier grantedTrial) bool {
		return granted.grantedAt.Sub(earlier.grantedAt) > grantMemory
	})
	c.round.add(granted)
	c.grants[id] = granted
}

// GrantTrial decides whether a held request may run once. id identifies the request for the trial.
func (c *Coordinator) GrantTrial(ctx context.Context, fingerprint Fingerprint, id string) TrialReply {
	if !c.canGrant() {
		return TrialReply{}
	}
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	reply := TrialReply{Leading: true}
	answer := TrialStoreFailed
	err := c.asWriter(ctx, func(ctx context.Context) error {
		if err := c.ensureLoaded(ctx); err != nil {
			return err
		}
		status := c.Table.Status(fingerprint)
		if status.State != Held {
			answer, reply.Granted = TrialNotNeeded, true
			return nil
		}
		if reply.Wait = status.Wait; reply.Wait > 0 {
			answer = TrialBackoff
			return nil
		}
		if reply.Wait = c.trialWait(); reply.Wait > 0 {
			answer = TrialBusy
			return nil
		}
		if err := c.write(ctx, c.withTrial(fingerprint)); err != nil {
			return err
		}
		reply.Trial = c.Table.RecordTrial(fingerprint)
		c.remember(id, grantedTrial{trial: reply.Trial, crashes: status.Crashes, grantedAt: c.Table.now()})
		answer, reply.Granted = TrialGranted, true
		return nil
	})
	if err != nil {
		reply.Wait = unavailableRetryAfter
	}
	c.logAnswer(fingerprint, answer, reply, err)
	return reply
}

// logAnswer logs the answer to a request for a trial: at debug level if the request only has to wait.
func (c *Coordinator) logAnswer(fingerprint Fingerprint, answer TrialAnswer, reply TrialReply, err error) {
	if c.Observe != nil {
		c.Observe(answer)
	}
	line := level.Info(c.Logger)
	if answer == TrialBackoff || answer == TrialBusy {
		line = level.Debug(c.Logger)
	}
	record := c.Table.Record(fingerprint)
	line.Log("msg", "trial requested", "fingerprint", fingerprint.Short(), "answer", answer, "engines_ended", len(record.Engines), "exits", record.Exits, "trials", record.Trials,
		"returned", record.Returned, "wait", reply.Wait.Round(time.Millisecond), "err", err)
}

// withTrial returns the held records with one more trial of a request.
func (c *Coordinator) withTrial(fingerprint Fingerprint) []storedRecord {
	records := c.heldRecords()
	for i := range records {
		if records[i].Fingerprint == fingerprint.String() {
			records[i].Trials++
			records[i].IdleMillis = 0
		}
	}
	return records
}

// heldRecords returns the held records in stored form, ordered by fingerprint; beyond maxStored the least recently updated are left out.
func (c *Coordinator) heldRecords() []storedRecord {
	records := slices.DeleteFunc(c.Table.List(), func(record Record) bool { return !record.held() })
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
			Returned:    record.Returned,
			Exits:       record.Exits,
			Deferred:    record.Deferred,
			IdleMillis:  record.Idle.Milliseconds(),
		})
	}
	return stored
}

// persist writes the held records if they differ from the store's.
func (c *Coordinator) persist(ctx context.Context) error {
	return c.asWriter(ctx, func(ctx context.Context) error {
		if err := c.ensureLoaded(ctx); err != nil {
			return err
		}
		records := c.heldRecords()
		if slices.EqualFunc(records, c.written, storedRecord.sameExceptIdle) {
			return nil
		}
		return c.write(ctx, records)
	})
}

// sameExceptIdle reports whether two records are equal except for their idle time and their returned trials, which alone are not worth a write.
func (r storedRecord) sameExceptIdle(other storedRecord) bool {
	return r.Fingerprint == other.Fingerprint && r.Epoch == other.Epoch && r.Trials == other.Trials && r.Deferred == other.Deferred && slices.Equal(r.Engines, other.Engines)
}

// ensureLoaded merges the stored records unless the store's content is known. The caller must be the writer.
func (c *Coordinator) ensureLoaded(ctx context.Context) error {
	if c.cell.Known() {
		return nil
	}
	content, err := c.cell.Read(ctx)
	if err != nil {
		return err
	}
	var spec storedSpec
	if content != nil {
		err = json.Unmarshal(content, &spec)
	}
	if err != nil {
		c.cell.Forget()
		return fmt.Errorf("quarantine: decode stored records: %w", err)
	}
	c.written = spec.Records
	c.Table.Merge(toRecords(spec.Records))
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
			Returned:    r.Returned,
			Exits:       r.Exits,
			Deferred:    r.Deferred,
			Idle:        time.Duration(r.IdleMillis) * time.Millisecond,
		})
	}
	return records
}

// write stores records on the condition that the store is unchanged since the last read; after an error it must be read again. The caller
// must be the writer.
func (c *Coordinator) write(ctx context.Context, records []storedRecord) error {
	content, err := json.Marshal(storedSpec{Records: records})
	if err != nil {
		return err
	}
	if err := c.cell.Write(ctx, content); err != nil {
		return err
	}
	c.written = records
	return nil
}
