package resourceapi

import (
	"errors"
	"math"
	"net/http"
	"strconv"

	"github.com/gin-gonic/gin"
	"github.com/go-kit/log/level"

	v1 "github.com/covelink/covelink/api/v1"
)

// Reason classifies a failure for programs.
type Reason string

// The reasons.
const (
	ReasonBadRequest    Reason = "BadRequest"
	ReasonInvalid       Reason = "Invalid"
	ReasonUnauthorized  Reason = "Unauthorized"
	ReasonForbidden     Reason = "Forbidden"
	ReasonNotFound      Reason = "NotFound"
	ReasonConflict      Reason = "Conflict"
	ReasonExpired       Reason = "Expired"
	ReasonTooLarge      Reason = "RequestEntityTooLarge"
	ReasonTooMany       Reason = "TooManyRequests"
	ReasonUnavailable   Reason = "ServiceUnavailable"
	ReasonTimeout       Reason = "Timeout"
	ReasonInternalError Reason = "InternalError"
	// ReasonConfirmationRequired refuses a change that takes a pool's zone or a user's pool away.
	ReasonConfirmationRequired Reason = "ConfirmationRequired"
)

// The values of Status.Status.
const (
	StatusSuccess = "Success"
	StatusFailure = "Failure"
)

// Status is the answer to a request that returns no resource.
type Status struct {
	APIVersion string   `json:"apiVersion"`
	Kind       string   `json:"kind"`
	Status     string   `json:"status"`
	Reason     Reason   `json:"reason,omitempty"`
	Message    string   `json:"message,omitempty"`
	Details    *Details `json:"details,omitempty"`
	Code       int      `json:"code"`
}

// Details tells more of a failure.
type Details struct {
	// Field is the path of the first field at fault; Causes holds all of them.
	Field  string  `json:"field,omitempty"`
	Causes []Cause `json:"causes,omitempty"`
	// Outcome is not_run or unknown for a write that the store did not answer.
	Outcome v1.Outcome `json:"outcome,omitempty"`
	// RetryAfterSeconds tells when to come back.
	RetryAfterSeconds int `json:"retryAfterSeconds,omitempty"`
}

// Cause is one field at fault.
type Cause struct {
	Field   string `json:"field"`
	Message string `json:"message"`
}

// confirmationError refuses a change that needs confirmation.
type confirmationError struct {
	message string
}

func (e *confirmationError) Error() string { return e.message }

// fail answers with a Status and ends the request.
func (a *API) fail(c *gin.Context, err error) {
	status := statusOf(err)
	if status.Reason == ReasonInternalError {
		level.Error(a.logger).Log("msg", "request failed", "method", c.Request.Method, "route", c.FullPath(), "err", err)
	}
	if status.Details != nil && status.Details.RetryAfterSeconds > 0 {
		c.Header("Retry-After", strconv.Itoa(status.Details.RetryAfterSeconds))
	}
	c.AbortWithStatusJSON(status.Code, status)
}

// statusOf returns the Status that answers an error.
func statusOf(err error) Status {
	var faults v1.FieldErrors
	var malformed *v1.DecodeError
	var confirmation *confirmationError
	var typed *v1.Error
	switch {
	case errors.As(err, &faults):
		return invalidStatus(faults)
	case errors.As(err, &malformed):
		return failure(http.StatusBadRequest, ReasonBadRequest, malformed.Error(), fieldDetails(malformed.Path))
	case errors.As(err, &confirmation):
		return failure(http.StatusConflict, ReasonConfirmationRequired, confirmation.message, nil)
	case errors.As(err, &typed):
		return typedStatus(typed)
	default:
		return failure(http.StatusInternalServerError, ReasonInternalError, "internal error", nil)
	}
}

func invalidStatus(faults v1.FieldErrors) Status {
	details := fieldDetails(faults[0].Path)
	for _, fault := range faults {
		details.Causes = append(details.Causes, Cause{Field: fault.Path, Message: fault.Message})
	}
	return failure(http.StatusUnprocessableEntity, ReasonInvalid, faults.Error(), details)
}

func typedStatus(err *v1.Error) Status {
	details := fieldDetails(err.Field)
	if err.Outcome != "" || err.RetryAfter > 0 {
		if details == nil {
			details = &Details{}
		}
		details.Outcome = err.Outcome
		details.RetryAfterSeconds = int(math.Ceil(err.RetryAfter.Seconds()))
	}
	return failure(err.HTTPStatus(), reasonOf(err.Code), err.Error(), details)
}

func fieldDetails(path string) *Details {
	if path == "" {
		return nil
	}
	return &Details{Field: path}
}

func failure(code int, reason Reason, message string, details *Details) Status {
	return Status{
		APIVersion: v1.APIVersion,
		Kind:       "Status",
		Status:     StatusFailure,
		Reason:     reason,
		Message:    message,
		Details:    details,
		Code:       code,
	}
}

func success() Status {
	return Status{APIVersion: v1.APIVersion, Kind: "Status", Status: StatusSuccess, Code: http.StatusOK}
}

func reasonOf(code v1.ErrorCode) Reason {
	switch code {
	case v1.CodeInvalid:
		return ReasonBadRequest
	case v1.CodeUnauthenticated:
		return ReasonUnauthorized
	case v1.CodeForbidden:
		return ReasonForbidden
	case v1.CodeNotFound:
		return ReasonNotFound
	case v1.CodeConflict:
		return ReasonConflict
	case v1.CodeGone:
		return ReasonExpired
	case v1.CodeTooLarge:
		return ReasonTooLarge
	case v1.CodeRateLimited:
		return ReasonTooMany
	case v1.CodeOverloaded, v1.CodeUnavailable:
		return ReasonUnavailable
	case v1.CodeDeadlineExceeded:
		return ReasonTimeout
	default:
		return ReasonInternalError
	}
}
