package batchrpc

import (
	"context"
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/google/uuid"

	"github.com/covelink/covelink/internal/batch"
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/jobresidency"
	"github.com/covelink/covelink/internal/pause"
	"github.com/covelink/covelink/internal/placement"
	"github.com/covelink/covelink/internal/rpc"
)

const (
	// callTimeout bounds a call, beyond the time that it may wait for results.
	callTimeout   = 1500 * time.Millisecond
	submitTimeout = 4 * time.Second
	// submitWait bounds all attempts of a submission. It exceeds the 3 s in which a lost coordinator is replaced: a trainer whose job is refused
	// loses the step.
	submitWait  = 6 * time.Second
	submitPause = 100 * time.Millisecond
)

// Coordinator is the location of the coordinator.
type Coordinator struct {
	// Address is its internal address; empty if there is no coordinator or it is unknown.
	Address string
	// Zone is its zone; empty if unknown.
	Zone string
}

// ClientParams are the dependencies of a Client.
type ClientParams struct {
	Calls *rpc.Client
	// Coordinator returns the location of the current coordinator.
	Coordinator func() Coordinator
	// WhileCoordinator returns a context that ends with ctx, and once the coordinator is at another address; nil if submissions to a replaced
	// coordinator are not ended.
	WhileCoordinator func(ctx context.Context, address string) (context.Context, context.CancelFunc)
	// State provides the route table, which bounds jobs, and the topology.
	State  *fleet.State
	Logger log.Logger
}

// Client calls the coordinator. It implements batch.Service.
//
// Guarantee: the body of a bound job is sent only to a process in a region that both the job's own bounds and this process's route table allow, and
// never to one whose zone is unknown.
type Client struct {
	ClientParams
	endRetrier *endRetrier
}

var _ batch.Service = (*Client)(nil)

// NewClient returns a Client. It must be closed.
func NewClient(params ClientParams) *Client {
	c := &Client{ClientParams: params}
	c.endRetrier = newEndRetrier(c.endOnce)
	return c
}

// Close stops the client's background calls.
func (c *Client) Close() { c.endRetrier.close() }

// Submit implements batch.Service. It retries while there is no coordinator; repeated submissions are idempotent. It returns ErrRefused only if no
// attempt can have been accepted, and ErrExcluded or ErrFull, without further attempts, if in addition the coordinator is in an excluded region or has
// no room for the job.
func (c *Client) Submit(ctx context.Context, job batch.Job) error {
	jobresidency.Bind(c.State.View().Routes, &job)
	err := submitUntilAccepted(ctx, func(ctx context.Context) error { return c.submitOnce(ctx, job) })
	switch {
	case errors.Is(err, batch.ErrExcluded):
		err = c.resolveRefused(ctx, &job, batch.ErrExcluded)
		level.Warn(c.Logger).Log("msg", "job excluded from the coordinator's region", "request", job.ID, "tenant", job.Tenant,
			"zone", c.Coordinator().Zone, "allowed", fmt.Sprint(c.residency(&job).RegionSets()), "taken_earlier", err)
	case errors.Is(err, batch.ErrFull):
		err = c.resolveRefused(ctx, &job, batch.ErrFull)
		level.Warn(c.Logger).Log("msg", "no room for the job at the coordinator", "request", job.ID, "tenant", job.Tenant, "taken_earlier", err)
	}
	return err
}

// resolveRefused asks the coordinator, without sending the body, whether a refused job was accepted earlier; only for one that was not it returns the
// refusal. The request for an excluded job also carries the routes of its reward calls for the choice of home regions.
func (c *Client) resolveRefused(ctx context.Context, job *batch.Job, refusal error) error {
	request := ReadRequest{
		Job: batch.Ref{ID: job.ID, Tenant: job.Tenant},
		// A position past all results: the reply only tells whether the job exists.
		Position: math.MaxInt32,
	}
	if errors.Is(refusal, batch.ErrExcluded) {
		request.RewardRoutes = jobresidency.RewardRoutes(c.State.View().Routes, job)
	}
	reply, err := call[ReadRequest, ReadReply](ctx, c, request, 0)
	if err == nil {
		err = codeErrors[reply.Code]
	}
	if errors.Is(err, batch.ErrNotFound) {
		return refusal
	}
	return err
}

func (c *Client) residency(job *batch.Job) placement.Residency {
	return jobresidency.OfJob(c.State.View().Routes, job)
}

// submitUntilAccepted repeats failed attempts for submitWait. once returns ErrUnavailable if the job may have been accepted, and ErrExcluded if
// further attempts are pointless.
func submitUntilAccepted(ctx context.Context, once func(ctx context.Context) error) error {
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
		case errors.Is(err, batch.ErrFull) && refusal != batch.ErrUnavailable:
			return err
		case errors.Is(err, batch.ErrUnavailable):
			// The attempt may have been accepted.
			refusal = batch.ErrUnavailable
		}
		pause.For(ctx, submitPause)
		if ctx.Err() != nil {
			return refusal
		}
	}
}

// submitOnce returns ErrUnavailable if the job may have been accepted, and another error if it was not.
func (c *Client) submitOnce(ctx context.Context, job batch.Job) error {
	leader := c.Coordinator()
	if leader.Address == "" {
		return errNotLeading
	}
	if !c.residency(&job).Allows(c.State.View().Topology.Region(leader.Zone)) {
		return batch.ErrExcluded
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	if c.WhileCoordinator != nil {
		// The submission is repeated at the next coordinator, which knows the job if this one has accepted it.
		var stop context.CancelFunc
		ctx, stop = c.WhileCoordinator(ctx, leader.Address)
		defer stop()
	}
	request := SubmitRequest{Job: job, RewardRoutes: jobresidency.RewardRoutes(c.State.View().Routes, &job)}
	if err := c.stage(ctx, leader.Address, &request); err != nil {
		return err
	}
	reply, err := rpc.Call[SubmitRequest, Reply](ctx, c.Calls, leader.Address, request)
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

// stage sends the items that are too large for one message ahead of their job. Nothing of the job has been accepted if it fails.
func (c *Client) stage(ctx context.Context, address string, request *SubmitRequest) error {
	parts, rest := split(request.Job.Items)
	if len(parts) == 0 {
		return nil
	}
	request.Upload, request.Parts, request.Job.Items = uuid.NewString(), len(parts), rest
	for number, items := range parts {
		reply, err := rpc.Call[StageRequest, Reply](ctx, c.Calls, address, StageRequest{Upload: request.Upload, Part: number, Items: items})
		if err != nil {
			return fmt.Errorf("%w: %w", batch.ErrRefused, err)
		}
		if err := codeErrors[reply.Code]; err != nil {
			return err
		}
	}
	return nil
}

// Read implements batch.Service.
func (c *Client) Read(ctx context.Context, ref batch.Ref, position int, wait time.Duration) (batch.ResultPage, error) {
	request := ReadRequest{Job: ref, Position: position, Wait: wait}
	reply, err := call[ReadRequest, ReadReply](ctx, c, request, wait)
	if err != nil {
		return batch.ResultPage{}, err
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

// End implements batch.Service. If the end is not confirmed, it is retried in the background.
func (c *Client) End(ctx context.Context, ref batch.Ref) error {
	err := c.endOnce(ctx, ref)
	if err != nil && !errors.Is(err, batch.ErrNotFound) {
		c.endRetrier.retry(ref)
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

// call makes an idempotent call. wait is the time that the callee may hold it.
func call[Req, Resp any](ctx context.Context, c *Client, request Req, wait time.Duration) (Resp, error) {
	var zero Resp
	address := c.Coordinator().Address
	if address == "" {
		return zero, batch.ErrUnavailable
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout+wait)
	defer cancel()
	reply, err := rpc.Call[Req, Resp](ctx, c.Calls, address, request)
	if err != nil {
		return zero, batch.ErrUnavailable
	}
	return reply, nil
}
