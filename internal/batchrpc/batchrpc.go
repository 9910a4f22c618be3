// Package batchrpc carries calls about batch jobs from the process that took them to the one that coordinates.
package batchrpc

import (
	"context"
	"errors"
	"time"

	"github.com/covelink/covelink/internal/batch"
	"github.com/covelink/covelink/internal/pause"
	"github.com/covelink/covelink/internal/rpc"
)

// code is how a call ended.
type code int

const (
	codeOK code = iota
	codeNotFound
	codeRefused
	codeUnavailable
	// codeNotLeading: the process does not coordinate; nothing was done.
	codeNotLeading
)

// errNotLeading reports a process that does not coordinate.
var errNotLeading = errors.New("batchrpc: not leading")

var codeErrors = map[code]error{
	codeNotFound:    batch.ErrNotFound,
	codeRefused:     batch.ErrRefused,
	codeUnavailable: batch.ErrUnavailable,
	codeNotLeading:  errNotLeading,
}

func toCode(err error) code {
	switch {
	case err == nil:
		return codeOK
	case errors.Is(err, batch.ErrNotFound):
		return codeNotFound
	case errors.Is(err, batch.ErrRefused):
		return codeRefused
	}
	return codeUnavailable
}

// SubmitRequest asks to take a job.
type SubmitRequest struct{ Job batch.Job }

// ReadRequest asks for results.
type ReadRequest struct {
	Job      batch.Ref
	Position int
	Wait     time.Duration
}

// ReadReply answers a ReadRequest.
type ReadReply struct {
	Code    code
	Reading batch.Reading
}

// BodyRequest asks for the body of an item.
type BodyRequest struct {
	Job  batch.Ref
	Item string
}

// BodyReply answers a BodyRequest.
type BodyReply struct {
	Code code
	Body []byte
}

// EndRequest asks to end a job.
type EndRequest struct{ Job batch.Ref }

// Reply answers the other requests.
type Reply struct{ Code code }

// PingRequest asks whether an instance lives and coordinates.
type PingRequest struct {
	Instance string
	// Candidate is the internal address of the caller, which may coordinate too.
	Candidate string
	// Now is what the caller's clock shows.
	Now time.Time
}

// PingReply answers a PingRequest.
type PingReply struct {
	Leading bool
	// Unserved is for how long the store has served no call of the process.
	Unserved time.Duration
}

// YieldRequest asks an instance that the store does not serve to stop the term of a token.
type YieldRequest struct {
	Instance string
	Token    int64
}

// YieldReply answers a YieldRequest. Yielded is true once nothing of the term goes on.
type YieldReply struct{ Yielded bool }

// Lease is what a process tells and does about the coordinator's lease.
type Lease interface {
	// Leading reports whether the process coordinates.
	Leading() bool
	// Standing answers a ping.
	Standing(request PingRequest) PingReply
	// YieldTo stops the term of a token.
	YieldTo(ctx context.Context, instance string, token int64) error
}

// Register makes the server answer for the service and the lease.
func Register(server *rpc.Server, service batch.Service, lease Lease) {
	rpc.Handle(server, func(ctx context.Context, _ rpc.Peer, request SubmitRequest) (Reply, error) {
		if !lease.Leading() {
			return Reply{Code: codeNotLeading}, nil
		}
		return Reply{Code: toCode(service.Submit(ctx, request.Job))}, nil
	})
	rpc.Handle(server, func(ctx context.Context, _ rpc.Peer, request ReadRequest) (ReadReply, error) {
		reading, err := service.Read(ctx, request.Job, request.Position, request.Wait)
		return ReadReply{Code: toCode(err), Reading: reading}, nil
	})
	rpc.Handle(server, func(ctx context.Context, _ rpc.Peer, request BodyRequest) (BodyReply, error) {
		body, err := service.Body(ctx, request.Job, request.Item)
		return BodyReply{Code: toCode(err), Body: body}, nil
	})
	rpc.Handle(server, func(ctx context.Context, _ rpc.Peer, request EndRequest) (Reply, error) {
		return Reply{Code: toCode(service.End(ctx, request.Job))}, nil
	})
	rpc.Handle(server, func(_ context.Context, _ rpc.Peer, request PingRequest) (PingReply, error) {
		return lease.Standing(request), nil
	})
	rpc.Handle(server, func(ctx context.Context, _ rpc.Peer, request YieldRequest) (YieldReply, error) {
		return YieldReply{Yielded: lease.YieldTo(ctx, request.Instance, request.Token) == nil}, nil
	})
}

const (
	// callTimeout bounds a call beyond what it waits for results.
	callTimeout = 1500 * time.Millisecond
	// submitTimeout bounds one attempt at a submission.
	submitTimeout = 4 * time.Second
	// submitWait is how long a submission waits for a process that takes it: a lost coordinator is replaced within 3 s, and a trainer
	// that is refused waits for its next step.
	submitWait = 6 * time.Second
	// submitPause is the pause between two attempts.
	submitPause = 100 * time.Millisecond
)

// Client calls the coordinating process. It implements batch.Service.
type Client struct {
	calls *rpc.Client
	// leader returns the internal address of the coordinating process, or "".
	leader func() string
	ender  *ender
}

var _ batch.Service = (*Client)(nil)

// NewClient returns a Client.
func NewClient(calls *rpc.Client, leader func() string) *Client {
	c := &Client{calls: calls, leader: leader}
	c.ender = newEnder(c.endOnce)
	return c
}

// Close ends what the client does in the background.
func (c *Client) Close() { c.ender.close() }

// Submit implements batch.Service. While no process coordinates it waits for one: taking a job twice has no effect. It returns
// ErrRefused only if no attempt may have been taken.
func (c *Client) Submit(ctx context.Context, job batch.Job) error {
	return submitUntilTaken(ctx, func(ctx context.Context) error { return c.submitOnce(ctx, job) })
}

// submitUntilTaken repeats attempts that fail. once returns ErrUnavailable if the job may have been taken.
func submitUntilTaken(ctx context.Context, once func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, submitWait)
	defer cancel()
	refusal := batch.ErrRefused
	for {
		err := once(ctx)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, batch.ErrUnavailable):
			// The attempt may have been taken.
			refusal = batch.ErrUnavailable
		}
		pause.For(ctx, submitPause)
		if ctx.Err() != nil {
			return refusal
		}
	}
}

// submitOnce returns ErrUnavailable if the job may have been taken, and another error if it was not.
func (c *Client) submitOnce(ctx context.Context, job batch.Job) error {
	address := c.leader()
	if address == "" {
		return errNotLeading
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	reply, err := rpc.Call[SubmitRequest, Reply](ctx, c.calls, address, SubmitRequest{Job: job})
	if errors.Is(err, rpc.ErrNotSent) {
		return batch.ErrRefused
	}
	if err != nil {
		return batch.ErrUnavailable
	}
	return codeErrors[reply.Code]
}

// Read implements batch.Service.
func (c *Client) Read(ctx context.Context, ref batch.Ref, position int, wait time.Duration) (batch.Reading, error) {
	request := ReadRequest{Job: ref, Position: position, Wait: wait}
	reply, err := call[ReadRequest, ReadReply](ctx, c, request, wait)
	if err != nil {
		return batch.Reading{}, err
	}
	return reply.Reading, codeErrors[reply.Code]
}

// Body implements batch.Service.
func (c *Client) Body(ctx context.Context, ref batch.Ref, item string) ([]byte, error) {
	reply, err := call[BodyRequest, BodyReply](ctx, c, BodyRequest{Job: ref, Item: item}, 0)
	if err != nil {
		return nil, err
	}
	return reply.Body, codeErrors[reply.Code]
}

// End implements batch.Service. A job whose end is not confirmed is ended in the background as soon as that can be.
func (c *Client) End(ctx context.Context, ref batch.Ref) error {
	err := c.endOnce(ctx, ref)
	if err != nil && !errors.Is(err, batch.ErrNotFound) {
		c.ender.insist(ref)
	}
	return err
}

func (c *Client) endOnce(ctx context.Context, ref batch.Ref) error {
	reply, err := call[EndRequest, Reply](ctx, c, EndRequest{Job: ref}, submitTimeout)
	if err != nil {
		return err
	}
	return codeErrors[reply.Code]
}

// call makes a call that may be repeated. wait is the time that the callee may wait by itself.
func call[Req, Resp any](ctx context.Context, c *Client, request Req, wait time.Duration) (Resp, error) {
	var none Resp
	address := c.leader()
	if address == "" {
		return none, batch.ErrUnavailable
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout+wait)
	defer cancel()
	reply, err := rpc.Call[Req, Resp](ctx, c.calls, address, request)
	if err != nil {
		return none, batch.ErrUnavailable
	}
	return reply, nil
}
