package rpc

import (
	"context"
	"errors"

	v1 "github.com/covelink/covelink/api/v1"
)

var (
	// ErrNotSent reports that no byte of the request was written: the peer has not acted on it.
	ErrNotSent = errors.New("rpc: request not sent")
	// ErrLost reports that the request may have been received but no reply came.
	ErrLost = errors.New("rpc: reply lost")
	// ErrFrameTooLarge reports a frame above the limit.
	ErrFrameTooLarge = errors.New("rpc: frame too large")
	// ErrBadFrame reports a frame that does not hold what it should.
	ErrBadFrame = errors.New("rpc: bad frame")
	// ErrBadPreamble reports a caller that does not speak this protocol.
	ErrBadPreamble = errors.New("rpc: bad preamble")
	// ErrUnknownMethod is wrapped in the v1.Error that answers a request no handler takes.
	ErrUnknownMethod = errors.New("rpc: unknown method")
)

// toError returns the typed error that crosses the wire for err.
func toError(err error) *v1.Error {
	if err == nil {
		return nil
	}
	var typed *v1.Error
	if errors.As(err, &typed) {
		return typed
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return v1.Errorf(v1.CodeDeadlineExceeded, "%s", err)
	}
	return v1.Errorf(v1.CodeInternal, "%s", err)
}
