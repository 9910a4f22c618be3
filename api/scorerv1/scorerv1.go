// Package scorerv1 is the contract between covelink and a scoring service: POST PathScore with a
// ScoreRequest as JSON answers 200 with a ScoreResponse. Any other status means that no score was given.
package scorerv1

// PathScore is the path of the scoring endpoint.
const PathScore = "/score"

// ScoreRequest asks for the score of one finished sample.
type ScoreRequest struct {
	// RequestID identifies the sample; the same sample must carry the same ID in every call.
	RequestID string `json:"request_id"`
	// PromptHash is the 64-bit xxHash of the prompt in hex; empty when the caller states none.
	PromptHash string `json:"prompt_hash,omitempty"`
	// Text is the whole answer.
	Text string `json:"text"`
}

// ScoreResponse holds the judgement.
type ScoreResponse struct {
	// Score is at least 0 and below 1.
	Score float64 `json:"score"`
}
