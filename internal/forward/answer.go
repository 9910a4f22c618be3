package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/routing"
)

// read takes in an answer. An answer that is passed on as it arrives keeps the attempt's context until it is closed.
func (j *job) read(ctx context.Context, engine *fleet.Engine, answer *Answer, cancel context.CancelFunc) (Result, error) {
	result := Result{Outcome: Completed, Status: answer.Status, Header: answer.Header, Signature: answer.Signature}
	success := answer.Status >= 200 && answer.Status < 300
	if success && !answer.Valid {
		answer.Body.Close()
		return Result{}, ErrLost
	}
	if success && j.route.Kind == routing.KindStream {
		result.Stream = &streamBody{ReadCloser: answer.Body, cancel: cancel, ended: func(err error) { j.streamEnded(ctx, engine, err) }}
		return result, nil
	}
	defer answer.Body.Close()
	content, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswer))
	if err != nil {
		return Result{}, errors.Join(ErrBroken, err)
	}
	result.Body = content
	if !answer.NotRun && answer.Status < http.StatusInternalServerError {
		j.Guard.Completed(j.request.ID, j.fingerprint)
	}
	return result, nil
}

// streamEnded takes in how an answer ended that was passed on as it arrived.
func (j *job) streamEnded(ctx context.Context, engine *fleet.Engine, err error) {
	switch {
	case errors.Is(err, io.EOF):
		j.Guard.Completed(j.request.ID, j.fingerprint)
	case ctx.Err() == nil:
		j.Guard.Broke(j.request.ID, j.fingerprint(), engine)
	}
}

// streamBody ends an attempt's context with its body, and tells how that ended.
type streamBody struct {
	io.ReadCloser
	cancel context.CancelFunc
	// ended is called with the first error that a read returns, io.EOF among them; nil after that.
	ended func(err error)
}

// Read implements io.Reader.
func (b *streamBody) Read(into []byte) (int, error) {
	n, err := b.ReadCloser.Read(into)
	if err != nil && b.ended != nil {
		b.ended(err)
		b.ended = nil
	}
	return n, err
}

// Close implements io.Closer.
func (b *streamBody) Close() error {
	b.cancel()
	return b.ReadCloser.Close()
}

// noteBegan notes an attempt that ran or may have run.
func (j *job) noteBegan(sent time.Time) {
	if j.beganAt.IsZero() {
		j.beganAt = sent
	}
}

// tellBegan tells of the request if an engine began to run it, of a stream once it has its first byte.
func (j *job) tellBegan(result *Result) {
	if j.Began == nil || j.request.Tenant == "" || j.beganAt.IsZero() {
		return
	}
	if result.Stream == nil {
		j.Began(j.request.Tenant, j.beganAt)
		return
	}
	tenant := j.request.Tenant
	result.Stream = &firstByteBody{ReadCloser: result.Stream, first: func() { j.Began(tenant, boottime.Now()) }}
}

// firstByteBody tells of the first byte that is read.
type firstByteBody struct {
	io.ReadCloser
	first func()
}

// Read implements io.Reader.
func (b *firstByteBody) Read(into []byte) (int, error) {
	n, err := b.ReadCloser.Read(into)
	if n > 0 && b.first != nil {
		b.first()
		b.first = nil
	}
	return n, err
}
