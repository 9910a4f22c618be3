// Package httperr maps the typed errors of covelink to HTTP answers. Every HTTP surface writes its errors
// through it, so that a caller sees one shape: OpenAI's error object with an outcome, and Retry-After.
package httperr

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	v1 "github.com/covelink/covelink/api/v1"
)

// The headers that accompany an error.
const (
	headerRetryAfter = "Retry-After"
	// headerShouldRetry tells OpenAI's own clients whether their built-in retry may run.
	headerShouldRetry = "X-Should-Retry"
)

const minRetryAfter = time.Second

var types = map[v1.ErrorCode]string{
	v1.CodeInvalid:         "invalid_request_error",
	v1.CodeUnauthenticated: "authentication_error",
	v1.CodeForbidden:       "permission_error",
	v1.CodeNotFound:        "not_found_error",
	v1.CodeConflict:        "conflict_error",
	v1.CodeGone:            "gone_error",
	v1.CodeTooLarge:        "invalid_request_error",
	v1.CodeRateLimited:     "rate_limit_error",
}

const defaultType = "server_error"

// Typed returns the *v1.Error within err. Any other error becomes an internal one whose message says nothing
// of its cause, since the cause may quote what a caller sent.
func Typed(err error) *v1.Error {
	var typed *v1.Error
	if errors.As(err, &typed) {
		return typed
	}
	return v1.Errorf(v1.CodeInternal, "internal error")
}

// Body returns the JSON body that describes the error.
func Body(err *v1.Error) v1.ErrorBody {
	detail := v1.ErrorDetail{Message: err.Message, Type: typeOf(err.Code), Code: err.Code, Outcome: err.Outcome}
	if err.Field != "" {
		detail.Param = &err.Field
	}
	return v1.ErrorBody{Error: detail}
}

func typeOf(code v1.ErrorCode) string {
	if name, ok := types[code]; ok {
		return name
	}
	return defaultType
}

// Write answers the request with the error and ends its handler chain.
func Write(c *gin.Context, err error) {
	typed := Typed(err)
	status := typed.HTTPStatus()
	if wait := retryAfter(typed, status); wait > 0 {
		c.Header(headerRetryAfter, strconv.FormatInt(wholeSeconds(wait), 10))
	}
	if typed.Outcome == v1.OutcomeUnknown {
		c.Header(headerShouldRetry, "false")
	}
	c.AbortWithStatusJSON(status, Body(typed))
}

// retryAfter returns the advice of the error. A refusal for want of capacity that was not run always carries one.
func retryAfter(err *v1.Error, status int) time.Duration {
	if err.RetryAfter > 0 {
		return max(err.RetryAfter, minRetryAfter)
	}
	capacity := status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
	if capacity && err.Outcome == v1.OutcomeNotRun {
		return minRetryAfter
	}
	return 0
}

func wholeSeconds(wait time.Duration) int64 {
	return int64((wait + time.Second - 1) / time.Second)
}
