package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/log/level"

	v1 "github.com/covelink/covelink/api/v1"
)

const (
	finishClaimTimeout   = 5 * time.Second
	claimFailedRetry     = time.Second
	existingNotRunRetry  = time.Second
	claimedBeforeMessage = "a request with this key was taken in before and its outcome is not known"
)

// finishClaim states the outcome of a claimed call, also when the call's own time is over.
func (g *Gateway) finishClaim(ctx context.Context, call *completionCall, stored StoredOutcome) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishClaimTimeout)
	defer cancel()
	if err := g.params.Claims.Finish(ctx, *call.claim, stored); err != nil {
		level.Warn(g.logger).Log("msg", "claim not finished", "request", call.requestID, "outcome", stored.Outcome)
	}
}

// claimFailure returns the refusal of a call that could not be claimed: this gateway has not run it.
func claimFailure(err error) *v1.Error {
	failure := v1.NotRun(v1.CodeUnavailable, claimFailedRetry, "the request could not be claimed")
	var typed *v1.Error
	if errors.As(err, &typed) {
		failure.Code = typed.Code
		failure.Message = typed.Message
		failure.RetryAfter = max(typed.RetryAfter, claimFailedRetry)
	}
	return failure
}

// existing answers a call whose key was claimed before.
func existing(call *completionCall, result ClaimResult) (*StoredAnswer, *v1.Error) {
	if result.Fingerprint != call.claim.Fingerprint {
		return nil, invalid(headerIdempotencyKey, "was used for another request")
	}
	switch result.Stored.Outcome {
	case v1.OutcomeCompleted:
		if result.Stored.Answer != nil {
			return result.Stored.Answer, nil
		}
	case v1.OutcomeNotRun:
		return nil, v1.NotRun(v1.CodeUnavailable, existingNotRunRetry, "a request with this key was not run")
	}
	return nil, unknown(v1.CodeConflict, claimedBeforeMessage)
}
