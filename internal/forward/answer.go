package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/eventstream"
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/quarantine"
	"github.com/covelink/covelink/internal/routing"
)

// readAnswer reads an engine's response. The attempt's context stays open until the body of a streamed response is closed.
func (j *job) readAnswer(ctx context.Context, engine *fleet.Engine, answer *Answer, timer *answerTimer, cancel context.CancelFunc) (Result, error) {
	result := Result{Outcome: Completed, Status: answer.Status, Header: answer.Header, Signature: answer.Signature}
	// passOn makes the rest of the response a stream, which is passed on as it arrives.
	passOn := func(content io.ReadCloser) (Result, error) {
		if !timer.stop() {
			answer.Body.Close()
			return Result{}, fmt.Errorf("%w: %w", ErrLost, errAnswerTimeout)
		}
		result.Stream = &streamBody{ReadCloser: content, cancel: cancel, onEnd: func(err error) { j.streamEnded(ctx, engine, err) }}
		return result, nil
	}
	success := answer.Status >= 200 && answer.Status < 300
	if success && !answer.Valid {
		answer.Body.Close()
		return Result{}, ErrLost
	}
	if success && j.route.Kind == routing.KindStream && answer.UntilClose {
		return passOn(&eventstream.WholeBody{ReadCloser: answer.Body})
	}
	if success && j.route.Kind == routing.KindStream {
		return passOn(answer.Body)
	}
	timer.restart()
	limit := maxAnswerBytes
	if answer.Status >= http.StatusInternalServerError {
		limit = maxFailureBytes
	}
	content, whole, err := j.buffer(&timedReader{Reader: answer.Body, timer: timer}, limit)
	if err != nil {
		answer.Body.Close()
		return Result{}, errors.Join(ErrConnectionBroken, err)
	}
	if answer.NotRun {
		answer.Body.Close()
		return result, nil
	}
	if !whole && j.request.Memory != nil && answer.Status < http.StatusInternalServerError {
		return passOn(&resumedBody{Reader: io.MultiReader(bytes.NewReader(content), answer.Body), Closer: answer.Body})
	}
	answer.Body.Close()
	if !whole {
		return Result{}, fmt.Errorf("%w: no room for the response", ErrLost)
	}
	result.Body = content
	if answer.Status < http.StatusInternalServerError {
		j.Guard.Completed(j.request.ID, j.fingerprint)
	}
	return result, nil
}

// loss describes a connection that broke during an attempt at an engine.
func (j *job) loss(engine *fleet.Engine) quarantine.Loss {
	return quarantine.Loss{Request: j.request.ID, Fingerprint: j.fingerprint(), Engine: engine, Deferred: j.request.Deferred}
}

// buffer reads a response as far as there is room for it, up to a limit. whole is true if that is all of it.
func (j *job) buffer(body io.Reader, limit int) (content []byte, whole bool, err error) {
	if j.request.BodyUnused {
		_, err := io.CopyN(io.Discard, body, maxUnusedBytes)
		if errors.Is(err, io.EOF) {
			return nil, true, nil
		}
		return nil, false, err
	}
	content = make([]byte, 0, ownAnswerBytes)
	// Buffers that were replaced keep their room until the end, since they take memory until they are collected.
	replaced := 0
	defer func() { j.release(replaced) }()
	for {
		if len(content) == cap(content) {
			size := 2 * cap(content)
			if size > limit || !j.grow(size) {
				return content, false, nil
			}
			if cap(content) > ownAnswerBytes {
				replaced += cap(content)
			}
			content = slices.Grow(content, size-len(content))
		}
		n, err := body.Read(content[len(content):cap(content)])
		content = content[:len(content)+n]
		if errors.Is(err, io.EOF) {
			return content, true, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
}

// grow takes room for a buffer of a size, and release gives it back. grow returns false if there is none.
func (j *job) grow(size int) bool {
	if j.request.Memory == nil {
		return size <= maxAnswerBytes
	}
	return size <= maxBufferedBytes && j.request.Memory.Grow(int64(size))
}

func (j *job) release(size int) {
	if j.request.Memory != nil && size > ownAnswerBytes {
		j.request.Memory.Release(int64(size))
	}
}

// resumedBody is a response whose first part was buffered.
type resumedBody struct {
	io.Reader
	io.Closer
}

// streamEnded reports to the guard how a streamed response ended, and logs one that broke.
func (j *job) streamEnded(ctx context.Context, engine *fleet.Engine, err error) {
	if errors.Is(err, io.EOF) {
		j.Guard.Completed(j.request.ID, j.fingerprint)
		return
	}
	level.Info(j.logger).Log("msg", "stream broke", "request", j.request.ID, "route", j.route.Name, "engine", engine.ID,
		"took", boottime.Since(j.started).Round(time.Millisecond), "ended_here", context.Cause(ctx), "err", err)
	if ctx.Err() == nil {
		j.Guard.ConnectionLost(j.loss(engine))
	}
}

// streamBody cancels the attempt's context when the body is closed, and reports how the stream ended.
type streamBody struct {
	io.ReadCloser
	cancel context.CancelFunc
	// onEnd is called once, with the first error that Read returns, io.EOF included.
	onEnd func(err error)
}

// Read implements io.Reader.
func (b *streamBody) Read(into []byte) (int, error) {
	n, err := b.ReadCloser.Read(into)
	if err != nil && b.onEnd != nil {
		b.onEnd(err)
		b.onEnd = nil
	}
	return n, err
}

// Close implements io.Closer.
func (b *streamBody) Close() error {
	b.cancel()
	return b.ReadCloser.Close()
}

// recordExecution sets executedAt for the first attempt that ran or may have run.
func (j *job) recordExecution(sent time.Time) {
	if j.executedAt.IsZero() {
		j.executedAt = sent
	}
}

// reportExecution calls OnExecution if an engine ran or may have run the request; for a stream, at its first byte.
func (j *job) reportExecution(result *Result) {
	if j.OnExecution == nil || j.request.Tenant == "" || j.executedAt.IsZero() {
		return
	}
	if result.Stream == nil {
		j.OnExecution(j.request.Tenant, j.executedAt)
		return
	}
	tenant := j.request.Tenant
	result.Stream = &firstByteBody{ReadCloser: result.Stream, onFirstByte: func() { j.OnExecution(tenant, boottime.Now()) }}
}

// firstByteBody calls onFirstByte when the first byte is read.
type firstByteBody struct {
	io.ReadCloser
	onFirstByte func()
}

// Read implements io.Reader.
func (b *firstByteBody) Read(into []byte) (int, error) {
	n, err := b.ReadCloser.Read(into)
	if n > 0 && b.onFirstByte != nil {
		b.onFirstByte()
		b.onFirstByte = nil
	}
	return n, err
}
