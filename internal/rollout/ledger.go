package rollout

import (
	"bytes"
	"encoding/gob"
	"errors"
	"fmt"
	"strings"

	v1 "github.com/covelink/covelink/api/v1"
)

const (
	snapshotFormat = 1
	// maxEndedBatches bounds the delivered and cancelled batches whose status is remembered.
	maxEndedBatches = 1024
)

// ErrRefused is wrapped by every error of Ledger.Apply; the ledger is then unchanged.
var ErrRefused = errors.New("rollout: entry refused")

// What Ledger.Apply refuses.
var (
	ErrUnknownBatch     = fmt.Errorf("%w: unknown batch or sample", ErrRefused)
	ErrBatchExists      = fmt.Errorf("%w: batch exists", ErrRefused)
	ErrBatchEnded       = fmt.Errorf("%w: batch cancelled or closed", ErrRefused)
	ErrAlreadyCommitted = fmt.Errorf("%w: sample already committed", ErrRefused)
	ErrNotCommitted     = fmt.Errorf("%w: sample not committed by this attempt", ErrRefused)
	ErrPartial          = fmt.Errorf("%w: partial does not start where the kept one ends", ErrRefused)
	ErrSegments         = fmt.Errorf("%w: segments do not cover the tokens", ErrRefused)
	ErrPosition         = fmt.Errorf("%w: position is not the next one or not the sample's", ErrRefused)
	ErrAlreadyAcked     = fmt.Errorf("%w: already acknowledged", ErrRefused)
	ErrNotHandedOver    = fmt.Errorf("%w: acknowledgement beyond hand-over", ErrRefused)
	ErrVersion          = fmt.Errorf("%w: version below the highest stated", ErrRefused)
	ErrToken            = fmt.Errorf("%w: token below the highest", ErrRefused)
	ErrNotDelivered     = fmt.Errorf("%w: batch not delivered", ErrRefused)
)

// ErrSnapshot reports a snapshot of another format.
var ErrSnapshot = errors.New("rollout: unknown snapshot format")

// Ledger is the state of one trainer's batches: a deterministic function of the entries applied. It has no clock and no
// I/O and is not safe for concurrent use.
//
// It holds at any time: an identity has at most one live answer; a position belongs to one answer for good; an
// acknowledged sample never changes; versions stated only grow.
type Ledger struct {
	state ledgerState
	index map[string]*batchState
}

// ledgerState is what a snapshot holds.
type ledgerState struct {
	Trainer string
	Token   uint64
	Epoch   uint32
	Version int64
	Weights v1.WeightVersion
	// Batches is in the order of opening.
	Batches []*batchState
}

type batchState struct {
	Name      string
	Digest    string
	Spec      v1.BatchSpec
	Replicas  []string
	Samples   []sampleState
	Offers    []offerState // index is position - 1
	Cursor    int64        // highest acknowledged position
	Cancelled bool
	Closed    bool
	Size      int
	Committed int
	Delivered int
	Acked     int
	Reruns    int
}

type sampleState struct {
	Answer   SampleCommitted // valid when Committed; its Text is dropped on acknowledgement
	Partial  partialState
	Score    float64
	Position int64 // 0: not handed over
	Commits  int   // commits ever, withdrawn ones included

	Committed bool
	Scored    bool
	Acked     bool
}

type offerState struct {
	Index      int
	Tombstoned bool
}

type snapshotFile struct {
	Format int
	State  ledgerState
}

// NewLedger returns the empty ledger of a trainer.
func NewLedger(trainer string) *Ledger {
	return &Ledger{state: ledgerState{Trainer: trainer}, index: make(map[string]*batchState)}
}

// RestoreLedger returns the ledger of a snapshot. The error wraps ErrSnapshot when its format is unknown.
func RestoreLedger(snapshot []byte) (*Ledger, error) {
	var file snapshotFile
	if err := gob.NewDecoder(bytes.NewReader(snapshot)).Decode(&file); err != nil {
		return nil, fmt.Errorf("rollout: decode snapshot: %w", err)
	}
	if file.Format != snapshotFormat {
		return nil, fmt.Errorf("%w: %d", ErrSnapshot, file.Format)
	}
	index := make(map[string]*batchState, len(file.State.Batches))
	for _, b := range file.State.Batches {
		index[b.Name] = b
	}
	return &Ledger{state: file.State, index: index}, nil
}

// Snapshot returns the whole state, for RestoreLedger.
func (l *Ledger) Snapshot() ([]byte, error) {
	var out bytes.Buffer
	if err := gob.NewEncoder(&out).Encode(snapshotFile{Format: snapshotFormat, State: l.state}); err != nil {
		return nil, fmt.Errorf("rollout: encode snapshot: %w", err)
	}
	return out.Bytes(), nil
}

// Trainer returns the trainer's name.
func (l *Ledger) Trainer() string { return l.state.Trainer }

// Epoch counts the terms started.
func (l *Ledger) Epoch() uint32 { return l.state.Epoch }

// Version returns the highest version the trainer has stated.
func (l *Ledger) Version() int64 { return l.state.Version }

// Weights returns the newest weights published; Version 0 means none.
func (l *Ledger) Weights() v1.WeightVersion { return l.state.Weights }

// Open returns the identities of open batches that have no live answer, in order of opening and index.
func (l *Ledger) Open() []Identity {
	var open []Identity
	l.eachActive(func(b *batchState, index int, s *sampleState) {
		if !s.Committed {
			open = append(open, l.identity(b, index))
		}
	})
	return open
}

// Undelivered returns the identities that are committed and not handed over.
func (l *Ledger) Undelivered() []Identity {
	var undelivered []Identity
	l.eachActive(func(b *batchState, index int, s *sampleState) {
		if s.Committed && s.Position == 0 {
			undelivered = append(undelivered, l.identity(b, index))
		}
	})
	return undelivered
}

// After returns the live, unacknowledged samples of a batch at positions above the cursor, in order.
func (l *Ledger) After(batch string, cursor int64) []v1.Sample {
	b := l.batch(batch)
	if b == nil || b.ended() {
		return nil
	}
	var samples []v1.Sample
	for position := max(cursor, 0) + 1; position <= b.last(); position++ {
		if s := b.offered(position); s != nil && !s.Acked {
			samples = append(samples, s.sample())
		}
	}
	return samples
}

// Status returns the progress of a batch, and false for an unknown one.
func (l *Ledger) Status(batch string) (v1.BatchStatus, bool) {
	b := l.batch(batch)
	if b == nil {
		return v1.BatchStatus{}, false
	}
	return v1.BatchStatus{
		Trainer: l.state.Trainer, Batch: b.Name, Phase: b.phase(),
		Samples: b.Size, Committed: b.Committed, Delivered: b.Delivered, Acked: b.Acked, Reruns: b.Reruns,
	}, true
}

func (l *Ledger) activeBatches() int {
	active := 0
	for _, b := range l.state.Batches {
		if !b.ended() {
			active++
		}
	}
	return active
}

func (l *Ledger) identity(b *batchState, index int) Identity {
	return Identity{Trainer: l.state.Trainer, Batch: b.Name, Index: index}
}

func (l *Ledger) eachActive(visit func(b *batchState, index int, s *sampleState)) {
	for _, b := range l.state.Batches {
		if b.ended() {
			continue
		}
		for index := range b.Samples {
			visit(b, index, &b.Samples[index])
		}
	}
}

// foremost returns the oldest batch of which not every sample has been handed over, or "".
func (l *Ledger) foremost() string {
	for _, b := range l.state.Batches {
		if !b.ended() && b.Delivered < b.Size {
			return b.Name
		}
	}
	return ""
}

func (l *Ledger) batch(name string) *batchState { return l.index[name] }

// active returns a batch that is neither cancelled nor closed.
func (l *Ledger) active(name string) (*batchState, error) {
	b := l.batch(name)
	if b == nil {
		return nil, ErrUnknownBatch
	}
	if b.ended() {
		return nil, ErrBatchEnded
	}
	return b, nil
}

func (l *Ledger) sample(id Identity) (*batchState, *sampleState, error) {
	b, err := l.active(id.Batch)
	if err != nil {
		return nil, nil, err
	}
	if id.Trainer != l.state.Trainer || id.Index < 0 || id.Index >= len(b.Samples) {
		return nil, nil, ErrUnknownBatch
	}
	return b, &b.Samples[id.Index], nil
}

func (b *batchState) ended() bool { return b.Cancelled || b.Closed }

// last returns the highest position handed over.
func (b *batchState) last() int64 { return int64(len(b.Offers)) }

// offered returns the sample at a position, or nil if the position is tombstoned.
func (b *batchState) offered(position int64) *sampleState {
	offer := b.Offers[position-1]
	if offer.Tombstoned {
		return nil
	}
	return &b.Samples[offer.Index]
}

func (b *batchState) phase() v1.BatchPhase {
	switch {
	case b.Cancelled:
		return v1.BatchCancelled
	case b.Acked == b.Size:
		return v1.BatchDelivered
	case b.Committed == b.Size:
		return v1.BatchComplete
	}
	return v1.BatchRunning
}

func (s *sampleState) sample() v1.Sample {
	sample := v1.Sample{
		Trainer: s.Answer.Identity.Trainer, Batch: s.Answer.Identity.Batch, Index: s.Answer.Identity.Index,
		Position: s.Position, Text: s.Answer.Text, Tokens: s.Answer.Tokens,
		FinishReason: s.Answer.FinishReason, Segments: s.Answer.Segments,
	}
	if s.Scored {
		score := s.Score
		sample.Score = &score
	}
	return sample
}

// covers reports whether the segments name a version for each of the tokens, without a gap or an overlap. An answer
// without tokens names its version in one segment of length zero.
func covers(segments []v1.Segment, tokens int) bool {
	if tokens == 0 {
		return len(segments) == 1 && segments[0].FirstToken == 0 && segments[0].Tokens == 0 && segments[0].Version > 0
	}
	return coversRange(segments, 0, tokens)
}

// coversRange reports whether the segments name a version for each token from first up to end, without a gap or an overlap.
func coversRange(segments []v1.Segment, first, end int) bool {
	next := first
	for _, segment := range segments {
		if segment.FirstToken != next || segment.Tokens <= 0 || segment.Version <= 0 {
			return false
		}
		next += segment.Tokens
	}
	return next == end
}

func joinTokens(tokens []string) string { return strings.Join(tokens, "") }
