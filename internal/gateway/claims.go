package gateway

import (
	"context"

	v1 "github.com/covelink/covelink/api/v1"
)

// Claims makes requests that are not repeatable run at most once over all gateways. The gateway claims a
// request before any byte of it is written to an engine, and finishes the claim with what became of it.
type Claims interface {
	// Claim takes the request for this gateway or returns what is known of it. After an error the request was
	// not claimed for use: the gateway does not run it and calls Finish with OutcomeNotRun, since the claim may
	// have reached some of the keepers. An error is best a *v1.Error.
	Claim(ctx context.Context, request ClaimRequest) (ClaimResult, error)
	// Finish states the outcome of a request that this gateway has claimed under request.ID. OutcomeNotRun releases the claim;
	// any other outcome is kept for a bounded time. Finish for a claim held under another ID changes nothing.
	Finish(ctx context.Context, request ClaimRequest, stored StoredOutcome) error
}

// ClaimRequest identifies a request that is not repeatable.
type ClaimRequest struct {
	// Key, Caller and Pool identify the request: the same three are the same request at every gateway.
	Key    string
	Caller string
	Pool   string
	// ID is the attempt of the gateway that claims; no two attempts share one.
	ID string
	// Fingerprint is a hash of what the request asks for, so that a key used again for another request is found out.
	Fingerprint uint64
}

// ClaimState says what came of a claim.
type ClaimState int

// The claim states.
const (
	// ClaimGranted: the request is this gateway's to run.
	ClaimGranted ClaimState = iota + 1
	// ClaimExisting: the request was claimed before; Stored tells what is known.
	ClaimExisting
)

// ClaimResult is the answer to a claim.
type ClaimResult struct {
	State ClaimState
	// Stored and Fingerprint describe the earlier claim; set with ClaimExisting.
	Stored      StoredOutcome
	Fingerprint uint64
}

// StoredOutcome is what is kept of a claimed request.
type StoredOutcome struct {
	// Outcome is unknown while the request is in progress.
	Outcome v1.Outcome
	// Answer is set when Outcome is completed.
	Answer *StoredAnswer
}

// StoredAnswer is a whole answer.
type StoredAnswer struct {
	RequestID    string
	Tokens       []string
	Segments     []v1.Segment
	FinishReason string
	// CreatedUnix is when the request was taken in, in seconds since 1970.
	CreatedUnix int64
}
