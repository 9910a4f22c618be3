package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/routing"
)

// readAnswer reads an engine's response. The attempt's context stays open until the body of a streamed response is closed.
func (j *job) readAnswer(ctx context.Context, engine *fleet.Engine, answer *Answer, timer *answerTimer, cancel context.CancelFunc) (Result, error) {
	result := Result{Outcome: Completed, Status: answer.Status, Header: answer.Header, Signature: answer.Signature}
	success := answer.Status >= 200 && answer.Status < 300
	if success && !answer.Valid {
		answer.Body.Close()
		return Result{}, ErrLost
	}
	if success && j.route.Kind == routing.KindStream {
		if !timer.stop() {
			answer.Body.Close()
			return Result{}, fmt.Errorf("%w: %w", ErrLost, errAnswerTimeout)
		}
		result.Stream = &streamBody{ReadCloser: answer.Body, cancel: cancel, onEnd: func(err error) { j.streamEnded(ctx, engine, err) }}
		return result, nil
	}
	defer answer.Body.Close()
	timer.restart()
	content, err := io.ReadAll(io.LimitReader(&timedReader{Reader: answer.Body, timer: timer}, maxAnswerBytes))
	if err != nil {
		return Result{}, errors.Join(ErrConnectionBroken, err)
	}
	result.Body = content
	if !answer.NotRun && answer.Status < http.StatusInternalServerError {
		j.Guard.Completed(j.request.ID, j.fingerprint)
	}
	return result, nil
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
		j.Guard.ConnectionLost(j.request.ID, j.fingerprint(), engine)
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
