package v1

import "time"

// SampleRequest is one sample that a batch asks for.
type SampleRequest struct {
	Prompt string `json:"prompt"`
	// Group is the prompt group: samples of one group share a prompt prefix and have similar lengths.
	Group     string `json:"group,omitempty"`
	MaxTokens int    `json:"maxTokens,omitempty"`
	Seed      int64  `json:"seed,omitempty"`
}

// BatchSpec is the body of PUT /v1/trainers/{trainer}/batches/{batch}.
type BatchSpec struct {
	Samples []SampleRequest `json:"samples"`
}

// BatchPhase is the state of a batch.
type BatchPhase string

// The batch phases.
const (
	BatchRunning   BatchPhase = "Running"
	BatchComplete  BatchPhase = "Complete"  // every sample is committed
	BatchDelivered BatchPhase = "Delivered" // every sample is acknowledged
	BatchCancelled BatchPhase = "Cancelled"
)

// BatchStatus is the progress of a batch.
type BatchStatus struct {
	Trainer   string     `json:"trainer"`
	Batch     string     `json:"batch"`
	Phase     BatchPhase `json:"phase"`
	Samples   int        `json:"samples"`
	Committed int        `json:"committed"`
	Delivered int        `json:"delivered"`
	Acked     int        `json:"acked"`
	Reruns    int        `json:"reruns"`
	// Owner is the node that owns the batch.
	Owner string `json:"owner,omitempty"`
	// MemoryOnly is true while the ledger has fewer than a majority of its replicas on disk.
	MemoryOnly bool `json:"memoryOnly,omitempty"`
}

// Segment names the weight version that produced a run of tokens.
type Segment struct {
	Version int64  `json:"version"`
	Engine  string `json:"engine"`
	// FirstToken is the index of the first token of the segment within the answer.
	FirstToken int `json:"firstToken"`
	Tokens     int `json:"tokens"`
}

// Sample is one finished sample as its trainer receives it.
type Sample struct {
	Trainer string `json:"trainer"`
	Batch   string `json:"batch"`
	Index   int    `json:"index"`
	// Position orders the hand-over of a batch's samples; it starts at 1 and is never used twice.
	Position     int64     `json:"position"`
	Text         string    `json:"text"`
	Tokens       int       `json:"tokens"`
	FinishReason string    `json:"finishReason"`
	Segments     []Segment `json:"segments"`
	Score        *float64  `json:"score,omitempty"`
}

// OldestVersion returns the lowest version that produced a token of the sample.
func (s *Sample) OldestVersion() int64 { return OldestVersion(s.Segments) }

// OldestVersion returns the lowest version among the segments, or 0 for none.
func OldestVersion(segments []Segment) int64 {
	if len(segments) == 0 {
		return 0
	}
	oldest := segments[0].Version
	for _, segment := range segments[1:] {
		oldest = min(oldest, segment.Version)
	}
	return oldest
}

// FetchRequest holds the query of GET …/samples.
type FetchRequest struct {
	// After is the cursor: only samples at higher positions are returned.
	After int64
	// Version is the version the trainer is at now; samples are judged against the highest ever stated.
	Version int64
	Limit   int
	// Wait bounds how long the answer may wait for a first sample.
	Wait time.Duration
}

// FetchResponse is the answer of GET …/samples.
type FetchResponse struct {
	Samples []Sample `json:"samples"`
	// Next is the cursor to state in the next fetch.
	Next int64 `json:"next"`
	// Done is true when every sample of the batch has been handed over up to Next.
	Done bool `json:"done"`
}

// AckRequest is the body of POST …/ack: every position up to Position has been taken over by the trainer.
type AckRequest struct {
	Position int64 `json:"position"`
}

// WeightVersion is the body of PUT /v1/trainers/{trainer}/version.
type WeightVersion struct {
	Version int64 `json:"version"`
	// Digest is the SHA-256 (hex) of the weights at Location.
	Digest string `json:"digest"`
	// Location is the path of the weights in the weight store.
	Location string `json:"location"`
}
