package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	v1 "github.com/covelink/covelink/api/v1"

	"github.com/covelink/covelink/api/enginev1"
)

// The reasons for which a stream failed before its first event.
var (
	// ErrNotSent: no byte of the request was written to any connection.
	ErrNotSent = errors.New("request was not sent")
	// ErrStatus: the engine's answer is neither a stream nor a refusal.
	ErrStatus = errors.New("engine answered with an unexpected status")
	// ErrRefused: the engine itself refused the request; StreamResult.Refusal has its reason.
	ErrRefused = errors.New("engine refused the request")
	// ErrLost: the connection failed after the request, or part of it, was written.
	ErrLost = errors.New("connection to the engine was lost")
	// ErrSilent reports a stream that brought no line, not even a keep-alive, for Config.StreamSilence.
	ErrSilent = fmt.Errorf("%w: no line for too long", ErrLost)
	// ErrMalformed: the engine sent something that is not an event.
	ErrMalformed = errors.New("engine sent a malformed event")
	// ErrConsumer: the consumer of the chunks returned an error.
	ErrConsumer = errors.New("consumer ended the stream")
)

// Target identifies the engine that a request is sent to.
type Target struct {
	Name string
	// URL is the engine's base URL, without a trailing slash.
	URL string
	// ResumeSegments names the versions of the request's resumed tokens.
	ResumeSegments []v1.Segment
}

// StreamResult is the outcome of one attempt on one engine.
type StreamResult struct {
	// Outcome is NotRun only when no byte of the request was written, or the engine refused it.
	Outcome v1.Outcome
	// Tokens is the whole answer when Outcome is completed, else the verified tokens so far, resumed ones included.
	Tokens       []string
	Segments     []v1.Segment
	FinishReason string
	// Refusal is the engine's own refusal, if it sent one.
	Refusal *enginev1.Refusal
	// Load is the report that came with the answer or the refusal, if any.
	Load *enginev1.Load
	// Dropped counts late, repeated and foreign events.
	Dropped int
	// Err is nil when Outcome is completed.
	Err error
}

// Stream runs a completion on an engine and gives every run of verified tokens to onChunk, in order, from the calling
// goroutine. An error from onChunk, or the end of ctx, closes the connection, which cancels the attempt.
func (c *Client) Stream(
	ctx context.Context, target Target, request enginev1.CompletionRequest, onChunk func(Chunk) error,
) StreamResult {
	assembly := NewAssembly(c.expectation(target, &request))
	// The exchange outlives ctx by the reading of what follows a final event.
	exchange, cancelCause := context.WithCancelCause(context.WithoutCancel(ctx))
	cancel := func() { cancelCause(context.Canceled) }
	stop := context.AfterFunc(ctx, cancel)
	defer stop()
	silence := time.AfterFunc(c.config.StreamSilence, func() { cancelCause(ErrSilent) })
	defer silence.Stop()
	response, result := c.open(exchange, target, &request, assembly)
	if response == nil {
		result.Err = orSilent(exchange, result.Err)
		cancel()
		return result
	}
	heard := func() { silence.Reset(c.config.StreamSilence) }
	err := orSilent(exchange, c.read(response.Body, assembly, heard, onChunk))
	c.release(response, assembly.Done(), cancel)
	return conclude(assembly, err)
}

// orSilent returns ErrSilent in place of the error that the end of a silent exchange has caused.
func orSilent(exchange context.Context, err error) error {
	if err != nil && errors.Is(context.Cause(exchange), ErrSilent) {
		return ErrSilent
	}
	return err
}

// release closes the response. After a whole answer it reads the little that follows first, in the background, so that
// the connection can be used again; else closing the connection cancels the attempt.
func (c *Client) release(response *http.Response, done bool, cancel context.CancelFunc) {
	if !done {
		cancel()
		_ = response.Body.Close()
		return
	}
	timer := time.AfterFunc(drainTimeout, cancel)
	c.draining.Go(func() {
		defer cancel()
		defer timer.Stop()
		_, _ = io.CopyN(io.Discard, response.Body, drainBytes)
		_ = response.Body.Close()
	})
}

func (c *Client) expectation(target Target, request *enginev1.CompletionRequest) Expectation {
	return Expectation{
		RequestID:      request.RequestID,
		Attempt:        request.Attempt,
		Incarnation:    request.Incarnation,
		Engine:         target.Name,
		MinVersion:     request.MinVersion,
		Resume:         request.Resume,
		ResumeSegments: target.ResumeSegments,
		MaxTokens:      request.MaxTokens,
		MaxBytes:       c.config.MaxAnswerBytes,
	}
}

// open sends the request. It returns a response only when a stream follows; else the result is final.
func (c *Client) open(
	ctx context.Context, target Target, request *enginev1.CompletionRequest, assembly *Assembly,
) (*http.Response, StreamResult) {
	request.Stream = true
	body, err := json.Marshal(request)
	if err != nil {
		return nil, failed(assembly, v1.OutcomeNotRun, fmt.Errorf("%w: encode: %w", ErrNotSent, err))
	}
	witness := &writeWitness{}
	ctx = httptrace.WithClientTrace(ctx, witness.trace())
	httpRequest, err := newRequest(ctx, http.MethodPost, target.URL+enginev1.PathCompletions, body)
	if err != nil {
		return nil, failed(assembly, v1.OutcomeNotRun, fmt.Errorf("%w: %w", ErrNotSent, err))
	}
	response, err := c.http.Do(httpRequest)
	if err != nil {
		return nil, unanswered(assembly, witness, err)
	}
	if response.StatusCode == http.StatusOK {
		return response, StreamResult{}
	}
	defer func() { _ = response.Body.Close() }()
	return nil, refused(assembly, response)
}

// newRequest builds a request. One with a body cannot be replayed by net/http on another connection, because the body
// can be read only once.
func newRequest(ctx context.Context, method, url string, body []byte) (*http.Request, error) {
	if len(body) == 0 {
		return http.NewRequestWithContext(ctx, method, url, http.NoBody)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(body))
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

// unanswered is the result of a round trip that failed before the head of an answer.
func unanswered(assembly *Assembly, witness *writeWitness, err error) StreamResult {
	if witness.seal() {
		return failed(assembly, v1.OutcomeUnknown, fmt.Errorf("%w: %w", ErrLost, err))
	}
	return failed(assembly, v1.OutcomeNotRun, fmt.Errorf("%w: %w", ErrNotSent, err))
}

// refused is the result of an answer that is not a stream.
func refused(assembly *Assembly, response *http.Response) StreamResult {
	refusal, ok := decodeRefusal(response)
	if !ok {
		return failed(assembly, v1.OutcomeUnknown, fmt.Errorf("%w: %d", ErrStatus, response.StatusCode))
	}
	result := failed(assembly, v1.OutcomeNotRun, fmt.Errorf("%w: %s", ErrRefused, refusal.Reason))
	result.Refusal = refusal
	result.Load = refusal.Load
	return result
}

// read feeds the events of a stream to the assembly until the final one, and calls heard for every line.
func (c *Client) read(body io.Reader, assembly *Assembly, heard func(), onChunk func(Chunk) error) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, c.config.MaxLineBytes)
	for !assembly.Done() && scanner.Scan() {
		heard()
		data, ok := bytes.CutPrefix(scanner.Bytes(), []byte("data:"))
		if !ok {
			continue
		}
		var event enginev1.TokenEvent
		if err := json.Unmarshal(data, &event); err != nil {
			return ErrMalformed
		}
		if err := deliver(assembly, event, onChunk); err != nil {
			return err
		}
	}
	if err := scanner.Err(); err != nil {
		return readError(err)
	}
	return assembly.End()
}

func deliver(assembly *Assembly, event enginev1.TokenEvent, onChunk func(Chunk) error) error {
	chunks, err := assembly.Accept(event)
	for _, chunk := range chunks {
		if consumerErr := onChunk(chunk); consumerErr != nil {
			return fmt.Errorf("%w: %w", ErrConsumer, consumerErr)
		}
	}
	return err
}

func readError(err error) error {
	if errors.Is(err, bufio.ErrTooLong) {
		return ErrTooLarge
	}
	return fmt.Errorf("%w: %w", ErrLost, err)
}

func conclude(assembly *Assembly, err error) StreamResult {
	final := assembly.Final()
	if err != nil || final == nil {
		return failed(assembly, v1.OutcomeUnknown, err)
	}
	return StreamResult{
		Outcome:      v1.OutcomeCompleted,
		Tokens:       assembly.Tokens(),
		Segments:     assembly.Segments(),
		FinishReason: final.FinishReason,
		Load:         &final.Load,
		Dropped:      assembly.Dropped(),
	}
}

func failed(assembly *Assembly, outcome v1.Outcome, err error) StreamResult {
	return StreamResult{
		Outcome:  outcome,
		Tokens:   assembly.Tokens(),
		Segments: assembly.Segments(),
		Dropped:  assembly.Dropped(),
		Err:      err,
	}
}
