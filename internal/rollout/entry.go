package rollout

import (
	"bytes"
	"encoding/gob"
	"fmt"

	v1 "github.com/covelink/covelink/api/v1"
)

// Identity names one sample for good: any number of attempts may run it.
type Identity struct {
	Trainer string
	Batch   string
	Index   int
}

// String returns the identity as trainer/batch/index, which is also the request ID of its attempts.
func (i Identity) String() string { return fmt.Sprintf("%s/%s/%d", i.Trainer, i.Batch, i.Index) }

// Reason says why a sample is run again.
type Reason string

// The reasons.
const (
	// ReasonStale: the sample, or the work so far, is older than the staleness bound allows.
	ReasonStale Reason = "stale"
	// ReasonFailed: the attempt ended without a whole answer.
	ReasonFailed Reason = "failed"
	// ReasonUnstamped: the answer's segments do not name a version for every token.
	ReasonUnstamped Reason = "unstamped"
)

// Entry is one logged change of a ledger: one of the entry types of this file.
type Entry interface{ entry() }

// TermStarted opens an owner's term. It raises the ledger's epoch, by which attempts of earlier terms are told apart.
type TermStarted struct{ Token uint64 }

// BatchOpened admits a batch. Replicas name the nodes that keep it.
type BatchOpened struct {
	Batch    string
	Digest   string
	Spec     v1.BatchSpec
	Replicas []string
}

// VersionStated notes the version the trainer is at. Weights is the zero value when a fetch stated the version.
type VersionStated struct {
	Version int64
	Weights v1.WeightVersion
}

// PartialSaved keeps verified tokens of an unfinished sample, from which a later attempt may resume. Its tokens and segments
// continue the prefix kept so far, of From tokens; From 0 puts them in its place. FirstToken of a segment counts from the
// sample's start in any case, and a segment that goes on in the next entry is cut in two.
type PartialSaved struct {
	Identity Identity
	From     int
	Tokens   []string
	Segments []v1.Segment
}

// SampleCommitted makes one attempt's answer the sample.
type SampleCommitted struct {
	Identity     Identity
	Attempt      uint32
	Text         string
	Tokens       int
	Segments     []v1.Segment
	FinishReason string
}

// ScoreAttached notes the score of the answer that Attempt gave.
type ScoreAttached struct {
	Identity Identity
	Attempt  uint32
	Score    float64
}

// HandedOver gives a committed sample a position. It is logged before the sample's bytes are sent.
type HandedOver struct {
	Identity Identity
	Position int64
}

// Tombstoned withdraws a committed sample that is not acknowledged, so that it is run again.
// Position is the one it was handed over at, or 0 if it never was.
type Tombstoned struct {
	Identity Identity
	Position int64
	Reason   Reason
}

// Acked notes that the trainer has taken over every live position up to Position.
type Acked struct {
	Batch    string
	Position int64
}

// BatchCancelled ends a batch; nothing of it is handed over any more.
type BatchCancelled struct{ Batch string }

// BatchClosed drops what a delivered batch no longer needs; its status stays.
type BatchClosed struct{ Batch string }

func (TermStarted) entry()     {}
func (BatchOpened) entry()     {}
func (VersionStated) entry()   {}
func (PartialSaved) entry()    {}
func (SampleCommitted) entry() {}
func (ScoreAttached) entry()   {}
func (HandedOver) entry()      {}
func (Tombstoned) entry()      {}
func (Acked) entry()           {}
func (BatchCancelled) entry()  {}
func (BatchClosed) entry()     {}

func init() {
	for _, entry := range []Entry{
		TermStarted{}, BatchOpened{}, VersionStated{}, PartialSaved{}, SampleCommitted{}, ScoreAttached{},
		HandedOver{}, Tombstoned{}, Acked{}, BatchCancelled{}, BatchClosed{},
	} {
		gob.Register(entry)
	}
}

// EncodeEntries returns the entries as one self-contained gob stream.
func EncodeEntries(entries []Entry) ([]byte, error) {
	var out bytes.Buffer
	if err := gob.NewEncoder(&out).Encode(entries); err != nil {
		return nil, fmt.Errorf("rollout: encode entries: %w", err)
	}
	return out.Bytes(), nil
}

// DecodeEntries reverses EncodeEntries.
func DecodeEntries(data []byte) ([]Entry, error) {
	var entries []Entry
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&entries); err != nil {
		return nil, fmt.Errorf("rollout: decode entries: %w", err)
	}
	return entries, nil
}
