package v1

import (
	"fmt"
	"time"
)

// Outcome says what is known of a request's execution.
type Outcome string

// The outcomes.
const (
	// OutcomeCompleted: the whole answer was delivered.
	OutcomeCompleted Outcome = "completed"
	// OutcomeNotRun: nothing was executed. It is stated only when no byte of the request
	// was written to an engine, or the engine itself refused the request.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown: the request may have been executed, wholly or in part.
	OutcomeUnknown Outcome = "unknown"
)

// ErrorCode classifies a refusal or a failure; it decides the HTTP status.
type ErrorCode string

// The error codes.
const (
	CodeInvalid          ErrorCode = "invalid"           // 400
	CodeUnauthenticated  ErrorCode = "unauthenticated"   // 401
	CodeForbidden        ErrorCode = "forbidden"         // 403
	CodeNotFound         ErrorCode = "not_found"         // 404
	CodeConflict         ErrorCode = "conflict"          // 409
	CodeGone             ErrorCode = "gone"              // 410
	CodeTooLarge         ErrorCode = "too_large"         // 413
	CodeRateLimited      ErrorCode = "rate_limited"      // 429
	CodeOverloaded       ErrorCode = "overloaded"        // 503
	CodeUnavailable      ErrorCode = "unavailable"       // 503
	CodeDeadlineExceeded ErrorCode = "deadline_exceeded" // 504
	CodeInternal         ErrorCode = "internal"          // 500
)

// Error is the typed error that crosses every surface of covelink.
// It never holds any part of a request or answer body.
type Error struct {
	Code    ErrorCode
	Message string
	// Field is the path of the offending field, if there is one, as in spec.permittedZones[1].
	Field string
	// Outcome is set for requests that could have been executed.
	Outcome Outcome
	// RetryAfter tells the caller when to come back; zero means no advice.
	RetryAfter time.Duration
}

// Error implements error.
func (e *Error) Error() string {
	if e.Field != "" {
		return fmt.Sprintf("%s: %s", e.Field, e.Message)
	}
	return e.Message
}

// Errorf returns an Error with the code and a formatted message.
func Errorf(code ErrorCode, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...)}
}

// NotRun returns an Error that states that nothing was executed.
func NotRun(code ErrorCode, retryAfter time.Duration, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...), Outcome: OutcomeNotRun, RetryAfter: retryAfter}
}
