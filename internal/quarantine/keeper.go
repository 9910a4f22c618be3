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
	// KindHeld is the kind of the object that keeps what is held, and heldName its name.
	KindHeld = "quarantine"
	heldName = "held"
	// maxKept bounds the records in the object: some 50 KB.
	maxKept = 256
	// storeTimeout bounds one call to the store.
	storeTimeout = time.Second
	// storeRetry is the pause after a call to the store that failed.
	storeRetry = time.Second
	// keepPause gathers changes before they are written: one engine's end is told by all gateways that had sent it requests.
	keepPause = 50 * time.Millisecond
	// trialLife is how long a trial may take to show its end: a lookup takes less than its deadline, a long text some 7 s.
	trialLife = 10 * time.Second
	// trialPoll is after which time whoever waits for the end of another trial asks again.
	trialPoll = 300 * time.Millisecond
	// grantTimeout bounds what a trial waits for, for its turn and for the store: below askTimeout, so that no trial is granted to nobody.
	grantTimeout = 200 * time.Millisecond
)

// KeeperParams are what a Keeper works with.
type KeeperParams struct {
	Table *Table
	Store metastore.Client
	// Leading reports whether the process coordinates.
	Leading func() bool
	Logger  log.Logger
}

// Keeper answers for the table of the coordinating process: it takes in what others find out, grants trials, and keeps what is held in the
// store, so that it outlives the loss of every process. A trial is written there before it is granted, on the condition that nobody else has
// written: two processes that both believe that they coordinate do not grant the same trial.
type Keeper struct {
	KeeperParams
	// turn admits one writer at a time, to the fields below too.
	turn chan struct{}
	// cell is the object in the store, and written what it holds while that is known.
	cell    *metastore.Cell
	written []keptRecord
	// trial is the last that was granted.
	trial grantedTrial

	mu sync.Mutex
	// ready is true while the process coordinates and has read what earlier terms have kept.
	ready bool
}

// keptRecord is a record in the store.
type keptRecord struct {
	Fingerprint string   `json:"fingerprint"`
	Epoch       int      `json:"epoch"`
	Engines     []string `json:"engines"`
	Trials      int      `json:"trials"`
	// IdleMillis is how long before the write the record was last added to, in milliseconds. A reader counts it from when it reads.
	IdleMillis int64 `json:"idleMillis"`
}

// keptSpec is the content of the object.
type keptSpec struct {
	Records []keptRecord `json:"records"`
}

// NewKeeper returns a Keeper. Lead makes it grant trials.
func NewKeeper(params KeeperParams) *Keeper {
	cell := metastore.NewCell(params.Store, KindHeld, heldName, storeTimeout)
	return &Keeper{KeeperParams: params, turn: make(chan struct{}, 1), cell: cell}
}

// Receive takes in what a process has found out.
func (k *Keeper) Receive(request TellRequest) TellReply {
	k.Table.Merge(request.Records)
	return TellReply{Leading: k.Leading()}
}

// Lead keeps what is held until ctx ends, which is the end of the term.
func (k *Keeper) Lead(ctx context.Context) {
	defer k.end()
	k.read(ctx)
	for ctx.Err() == nil {
		changed := k.Table.Changed()
		if err := k.keep(ctx); err != nil && ctx.Err() == nil {
			level.Info(k.Logger).Log("msg", "held requests not kept", "err", err)
			pause.For(ctx, storeRetry)
			continue
		}
		select {
		case <-changed:
			pause.For(ctx, keepPause)
		case <-ctx.Done():
		}
	}
}

// read takes in what earlier terms have kept, as soon as the store shows it.
func (k *Keeper) read(ctx context.Context) {
	for ctx.Err() == nil {
		err := k.inTurn(ctx, k.open)
		if err == nil {
			k.setReady(true)
			return
		}
		level.Info(k.Logger).Log("msg", "held requests not read", "err", err)
		pause.For(ctx, storeRetry)
	}
}

// end ends the term: what the store holds is read again in the next one.
func (k *Keeper) end() {
	k.setReady(false)
	k.turn <- struct{}{}
	k.cell.Forget()
	<-k.turn
}

func (k *Keeper) setReady(ready bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ready = ready
}

func (k *Keeper) grants() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ready && k.Leading()
}

// inTurn does something while no other writer is at work.
func (k *Keeper) inTurn(ctx context.Context, do func(ctx context.Context) error) error {
	select {
	case k.turn <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-k.turn }()
	return do(ctx)
}

// grantedTrial is a trial as it was granted.
type grantedTrial struct {
	record Record
	at     time.Time
}

// trialUnderWay returns how long the next trial may have to wait for the end of the last one; zero if that is known. Held requests are tried
// one after the other: two that ran side by side would both count the end that one caused, as they were when they came to be held. It must be
// this process's turn.
func (k *Keeper) trialUnderWay() time.Duration {
	left := trialLife - k.Table.now().Sub(k.trial.at)
	now := k.Table.Record(k.trial.record.Fingerprint)
	if left <= 0 || now.Epoch != k.trial.record.Epoch || len(now.Engines) != len(k.trial.record.Engines) {
		return 0
	}
	return min(left, trialPoll)
}

// TryKnown is Try for a process that may know more of the request.
func (k *Keeper) TryKnown(ctx context.Context, known Record) TrialReply {
	k.Table.Merge([]Record{known})
	return k.Try(ctx, known.Fingerprint)
}

// Try decides whether a held request may run once.
func (k *Keeper) Try(ctx context.Context, fingerprint Fingerprint) TrialReply {
	if !k.grants() {
		return TrialReply{}
	}
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	reply := TrialReply{Leading: true}
	err := k.inTurn(ctx, func(ctx context.Context) error {
		if err := k.open(ctx); err != nil {
			return err
		}
		status := k.Table.Status(fingerprint)
		if status.Standing != Held {
			reply.Granted = true
			return nil
		}
		if reply.Wait = max(status.Wait, k.trialUnderWay()); reply.Wait > 0 {
			return nil
		}
		if err := k.write(ctx, k.withTrial(fingerprint)); err != nil {
			return err
		}
		k.Table.NoteTrial(fingerprint)
		k.trial = grantedTrial{record: k.Table.Record(fingerprint), at: k.Table.now()}
		reply.Granted = true
		return nil
	})
	if err != nil {
		level.Info(k.Logger).Log("msg", "trial not granted", "fingerprint", fingerprint.Short(), "err", err)
		reply.Wait = unreachedRetryAfter
	}
	return reply
}

// withTrial returns what is held, with one more trial of a request.
func (k *Keeper) withTrial(fingerprint Fingerprint) []keptRecord {
	records := k.held()
	for i := range records {
		if records[i].Fingerprint == fingerprint.String() {
			records[i].Trials++
			records[i].IdleMillis = 0
		}
	}
	return records
}

// held returns what is held, as it is kept: in the order of fingerprints, the records that were added to last if there are too many.
func (k *Keeper) held() []keptRecord {
	known := slices.DeleteFunc(k.Table.List(), func(record Record) bool { return !record.held() })
	slices.SortFunc(known, func(a, b Record) int { return int(a.Idle - b.Idle) })
	known = known[:min(len(known), maxKept)]
	slices.SortFunc(known, func(a, b Record) int { return slices.Compare(a.Fingerprint[:], b.Fingerprint[:]) })
	kept := make([]keptRecord, 0, len(known))
	for _, record := range known {
		kept = append(kept, keptRecord{
			Fingerprint: record.Fingerprint.String(),
			Epoch:       record.Epoch,
			Engines:     record.Engines,
			Trials:      record.Trials,
			IdleMillis:  record.Idle.Milliseconds(),
		})
	}
	return kept
}

// keep writes what is held, if the store does not hold that yet.
func (k *Keeper) keep(ctx context.Context) error {
	return k.inTurn(ctx, func(ctx context.Context) error {
		if err := k.open(ctx); err != nil {
			return err
		}
		kept := k.held()
		if slices.EqualFunc(kept, k.written, keptRecord.same) {
			return nil
		}
		return k.write(ctx, kept)
	})
}

// same reports whether two records differ in their age at most.
func (r keptRecord) same(other keptRecord) bool {
	return r.Fingerprint == other.Fingerprint && r.Epoch == other.Epoch && r.Trials == other.Trials && slices.Equal(r.Engines, other.Engines)
}

// open merges what the store holds, unless that is known. It must be this process's turn.
func (k *Keeper) open(ctx context.Context) error {
	if k.cell.Known() {
		return nil
	}
	content, err := k.cell.Read(ctx)
	if err != nil {
		return err
	}
	var spec keptSpec
	if content != nil {
		err = json.Unmarshal(content, &spec)
	}
	if err != nil {
		k.cell.Forget()
		return fmt.Errorf("quarantine: kept records: %w", err)
	}
	k.written = spec.Records
	k.Table.Merge(toRecords(spec.Records))
	return nil
}

// toRecords decodes records, without those that are none.
func toRecords(kept []keptRecord) []Record {
	records := make([]Record, 0, len(kept))
	for _, r := range kept {
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

// write stores records on the condition that the store holds what is known of it. After an error that is read again first. It must be this
// process's turn.
func (k *Keeper) write(ctx context.Context, records []keptRecord) error {
	content, err := json.Marshal(keptSpec{Records: records})
	if err != nil {
		return err
	}
	if err := k.cell.Write(ctx, content); err != nil {
		return err
	}
	k.written = records
	return nil
}
