// Package client is the Go client of covelink for trainers and applications.
//
// Every error of a call is a *v1.Error, whose Outcome states what is known of the execution. The client tries again
// by itself only what is safe: calls that are idempotent, and calls of which it is stated that nothing was executed.
// It then turns to the next base URL, after a pause with full jitter that is never shorter than the node's Retry-After.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	v1 "github.com/covelink/covelink/api/v1"
)

// The defaults of Options.
const (
	DefaultMaxAttempts = 5
	DefaultMinBackoff  = 100 * time.Millisecond
	DefaultMaxBackoff  = 5 * time.Second
)

const (
	maxErrorBodyBytes  = 64 << 10
	maxAnswerBodyBytes = 64 << 20
)

// ErrNoBaseURL reports options without a base URL.
var ErrNoBaseURL = errors.New("client: no base URL")

// Options configure a Client.
type Options struct {
	// BaseURLs name nodes, without a trailing slash, as in http://10.0.0.1:8080. At least one.
	BaseURLs []string
	// Token is the bearer token.
	Token string
	// HTTPClient defaults to http.DefaultClient. It should have no timeout of its own; calls end with their context.
	HTTPClient *http.Client
	// MaxAttempts bounds the attempts of one call. Default 5.
	MaxAttempts int
	// MinBackoff and MaxBackoff bound the range that a pause is drawn from. Defaults 100ms and 5s.
	MinBackoff time.Duration
	MaxBackoff time.Duration
}

// Client calls covelink. It is safe for concurrent use.
type Client struct {
	options Options
	// preferred is the index of the base URL that answered last.
	preferred atomic.Int64
}

// New returns a Client.
func New(options Options) (*Client, error) {
	if len(options.BaseURLs) == 0 {
		return nil, ErrNoBaseURL
	}
	trimmed := make([]string, 0, len(options.BaseURLs))
	for _, base := range options.BaseURLs {
		trimmed = append(trimmed, strings.TrimRight(base, "/"))
	}
	options.BaseURLs = trimmed
	if options.HTTPClient == nil {
		options.HTTPClient = http.DefaultClient
	}
	if options.MaxAttempts <= 0 {
		options.MaxAttempts = DefaultMaxAttempts
	}
	if options.MinBackoff <= 0 {
		options.MinBackoff = DefaultMinBackoff
	}
	if options.MaxBackoff <= 0 {
		options.MaxBackoff = DefaultMaxBackoff
	}
	return &Client{options: options}, nil
}

// call is one request as it is sent, perhaps several times.
type call struct {
	method string
	path   string
	header http.Header
	body   []byte
	// idempotent calls may be sent again whatever became of them.
	idempotent bool
}

func newCall(method, path string, idempotent bool, body any) (*call, error) {
	made := &call{method: method, path: path, idempotent: idempotent, header: make(http.Header)}
	if body == nil {
		return made, nil
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, v1.NotRun(v1.CodeInvalid, 0, "the request cannot be encoded")
	}
	made.body = encoded
	made.header.Set("Content-Type", "application/json")
	return made, nil
}

// exchange sends a call and decodes its answer into target.
func (c *Client) exchange(ctx context.Context, request *call, target any) error {
	response, err := c.send(ctx, request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBodyBytes)).Decode(target); err != nil {
		return transportError(ctx, "the answer was not received whole")
	}
	return nil
}

// send sends a call until it is answered with success, may not be sent again, or ctx ends.
func (c *Client) send(ctx context.Context, request *call) (*http.Response, error) {
	place := c.preferred.Load()
	for attempt := 1; ; attempt++ {
		response, failure := c.sendOnce(ctx, request, place)
		if failure == nil {
			c.preferred.Store(place)
			return response, nil
		}
		if attempt >= c.options.MaxAttempts || !repeatable(request, failure) {
			return nil, failure
		}
		if !pause(ctx, c.backoff(attempt, failure.RetryAfter)) {
			return nil, failure
		}
		place = (place + 1) % int64(len(c.options.BaseURLs))
	}
}

func (c *Client) sendOnce(ctx context.Context, request *call, place int64) (*http.Response, *v1.Error) {
	url := c.options.BaseURLs[place] + request.path
	made, err := http.NewRequestWithContext(ctx, request.method, url, bytes.NewReader(request.body))
	if err != nil {
		return nil, v1.NotRun(v1.CodeInvalid, 0, "the request cannot be made")
	}
	made.Header = request.header.Clone()
	made.Header.Set("Authorization", "Bearer "+c.options.Token)
	if !request.idempotent {
		// The transport must not repeat it by itself either.
		made.GetBody = nil
	}
	response, err := c.options.HTTPClient.Do(made)
	if err != nil {
		return nil, sendError(ctx, err)
	}
	if response.StatusCode >= http.StatusOK && response.StatusCode < http.StatusMultipleChoices {
		return response, nil
	}
	defer response.Body.Close()
	return nil, decodeError(response)
}

// sendError classifies a failure of the transport. A connection that was never made carried nothing.
func sendError(ctx context.Context, err error) *v1.Error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return v1.NotRun(v1.CodeUnavailable, 0, "the node cannot be reached")
	}
	return transportError(ctx, "the connection failed before the answer")
}

// transportError returns an error of unknown outcome.
func transportError(ctx context.Context, message string) *v1.Error {
	failure := v1.Errorf(v1.CodeUnavailable, "%s", message)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		failure.Code = v1.CodeDeadlineExceeded
	}
	failure.Outcome = v1.OutcomeUnknown
	return failure
}

// decodeError reads the typed error of an answer. An answer that is not covelink's own has an unknown outcome.
func decodeError(response *http.Response) *v1.Error {
	var body v1.ErrorBody
	err := json.NewDecoder(io.LimitReader(response.Body, maxErrorBodyBytes)).Decode(&body)
	if err != nil || body.Error.Code == "" {
		failure := v1.Errorf(v1.CodeInternal, "HTTP status %d without an error body", response.StatusCode)
		failure.Outcome = v1.OutcomeUnknown
		return failure
	}
	failure := errorOf(body.Error)
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil && seconds > 0 {
		failure.RetryAfter = time.Duration(seconds) * time.Second
	}
	return failure
}

func errorOf(detail v1.ErrorDetail) *v1.Error {
	failure := &v1.Error{Code: detail.Code, Message: detail.Message, Outcome: detail.Outcome}
	if detail.Param != nil {
		failure.Field = *detail.Param
	}
	return failure
}

// repeatable reports whether the call may be sent again after the failure, and whether that may help.
func repeatable(request *call, failure *v1.Error) bool {
	switch failure.Code {
	case v1.CodeUnavailable, v1.CodeOverloaded, v1.CodeRateLimited, v1.CodeInternal, v1.CodeDeadlineExceeded:
		return request.idempotent || failure.Outcome == v1.OutcomeNotRun
	}
	return false
}

// backoff draws the pause before the attempt after the given one: full jitter over a range that doubles, and on top of
// what the node asked for.
func (c *Client) backoff(attempt int, retryAfter time.Duration) time.Duration {
	ceiling := c.options.MinBackoff
	for doubling := 1; doubling < attempt && ceiling < c.options.MaxBackoff; doubling++ {
		ceiling *= 2
	}
	ceiling = min(ceiling, c.options.MaxBackoff)
	return retryAfter + rand.N(ceiling)
}

// pause waits, and reports false if ctx ends first or is known to.
func pause(ctx context.Context, wait time.Duration) bool {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= wait {
		return false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
