package batchrpc

import (
	"context"
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/batch"
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/jobresidency"
	"github.com/covelink/covelink/internal/pause"
	"github.com/covelink/covelink/internal/placement"
	"github.com/covelink/covelink/internal/rpc"
)

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

// Leader is the process that coordinates.
type Leader struct {
	// Address is its internal address; empty if there is none or it is not known.
	Address string
	// Zone is where it stands; empty if that is not known.
	Zone string
}

// ClientParams are what a Client works with.
type ClientParams struct {
	Calls *rpc.Client
	// Leader returns the process that coordinates.
	Leader func() Leader
	// State holds the route table, which bounds jobs, and the regions of zones.
	State  *fleet.State
	Logger log.Logger
}

// Client calls the coordinating process. It implements batch.Service.
//
// Guarantee: a bound job's body is sent only to a process in a region that the job's own bounds and this process's route table allow, and to none whose
// zone is unknown.
type Client struct {
	ClientParams
	ender *ender
}

var _ batch.Service = (*Client)(nil)

// NewClient returns a Client.
func NewClient(params ClientParams) *Client {
	c := &Client{ClientParams: params}
	c.ender = newEnder(c.endOnce)
	return c
}

// Close ends what the client does in the background.
func (c *Client) Close() { c.ender.close() }

// Submit implements batch.Service. While no process coordinates it waits for one: taking a job twice has no effect. It returns
// ErrRefused only if no attempt can have been taken, and ErrExcluded, at once, if in addition the coordinating process is in an excluded region.
func (c *Client) Submit(ctx context.Context, job batch.Job) error {
	jobresidency.Bind(c.State.View().Routes, &job)
	err := submitUntilTaken(ctx, func(ctx context.Context) error { return c.submitOnce(ctx, job) })
	if errors.Is(err, batch.ErrExcluded) {
		return c.settleExcluded(ctx, &job)
	}
	return err
}

// settleExcluded asks, without sending the body, whether an excluded job was taken earlier: only one that was not may be refused. The question also
// names the routes of the job's reward calls, so that the home regions take them into account.
func (c *Client) settleExcluded(ctx context.Context, job *batch.Job) error {
	request := ReadRequest{
		Job: batch.Ref{ID: job.ID, Tenant: job.Tenant},
		// Behind every result: the answer tells only whether the job is known.
		Position:     math.MaxInt32,
		RewardRoutes: jobresidency.RewardRoutes(c.State.View().Routes, job),
	}
	reply, err := call[ReadRequest, ReadReply](ctx, c, request, 0)
	if err == nil {
		err = codeErrors[reply.Code]
	}
	level.Warn(c.Logger).Log("msg", "job excluded from the coordinator's region", "request", job.ID, "tenant", job.Tenant,
		"zone", c.Leader().Zone, "allowed", fmt.Sprint(c.residency(job).Sets()), "taken_earlier", err)
	if errors.Is(err, batch.ErrNotFound) {
		return batch.ErrExcluded
	}
	return err
}

// residency returns where a job may be, by its own bounds and this process's route table.
func (c *Client) residency(job *batch.Job) placement.Residency {
	return jobresidency.Whole(c.State.View().Routes, job)
}

// submitUntilTaken repeats failed attempts for submitWait. once returns ErrUnavailable if the job may have been taken, and ErrExcluded if further
// attempts are of no use.
func submitUntilTaken(ctx context.Context, once func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, submitWait)
	defer cancel()
	refusal := batch.ErrRefused
	for {
		err := once(ctx)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, batch.ErrExcluded):
			if refusal == batch.ErrUnavailable {
				return refusal
			}
			return batch.ErrExcluded
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
	leader := c.Leader()
	if leader.Address == "" {
		return errNotLeading
	}
	if !c.residency(&job).Allows(c.State.View().Topology.Region(leader.Zone)) {
		return batch.ErrExcluded
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	reply, err := rpc.Call[SubmitRequest, Reply](ctx, c.Calls, leader.Address, SubmitRequest{
		Job:          job,
		RewardRoutes: jobresidency.RewardRoutes(c.State.View().Routes, &job),
	})
	if errors.Is(err, rpc.ErrNotSent) {
		return batch.ErrRefused
	}
	if err != nil {
		return batch.ErrUnavailable
	}
	if reply.Excluded {
		return batch.ErrExcluded
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
	address := c.Leader().Address
	if address == "" {
		return none, batch.ErrUnavailable
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout+wait)
	defer cancel()
	reply, err := rpc.Call[Req, Resp](ctx, c.Calls, address, request)
	if err != nil {
		return none, batch.ErrUnavailable
	}
	return reply, nil
}
