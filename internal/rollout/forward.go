package rollout

import (
	"context"
	"errors"
	"sync"
	"time"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/cluster"
	"github.com/covelink/covelink/internal/leadership"
	"github.com/covelink/covelink/internal/rpc"
)

const (
	// tryTimeout bounds one call to a believed owner, beyond what a fetch may wait: a paused owner must not hold a call.
	tryTimeout = 5 * time.Second
	retryAfter = time.Second
	// ownerCheckInterval is how often a call looks whether its trainer has another owner by now.
	ownerCheckInterval = 200 * time.Millisecond
	// sampleOverhead and frameReserve are the bytes of a frame that a sample request and the rest need beside its text.
	sampleOverhead = 32
	frameReserve   = 4096
)

// The requests between nodes.
type (
	putBatchRequest struct {
		Trainer, Batch string
		Spec           v1.BatchSpec
	}
	batchRequest  struct{ Trainer, Batch string }
	cancelRequest struct{ Trainer, Batch string }
	fetchRequest  struct {
		Trainer, Batch string
		Request        v1.FetchRequest
	}
	ackRequest struct {
		Trainer, Batch string
		Request        v1.AckRequest
	}
	putVersionRequest struct {
		Trainer string
		Weights v1.WeightVersion
	}
)

// reply is the answer between nodes.
type reply[T any] struct {
	// NotOwner: the node asked does not own the trainer's batches, and Value is void.
	NotOwner bool
	// MaybeDone: the node ceased to own them during the call, which may have taken effect.
	MaybeDone bool
	Value     T
}

// fetched is a fetch's response between nodes. gob drops pointers to zero, so that Scored tells which samples have a score.
type fetched struct {
	Response v1.FetchResponse
	Scored   []bool
}

func packFetched(response v1.FetchResponse) fetched {
	packed := fetched{Response: response, Scored: make([]bool, len(response.Samples))}
	for index, sample := range response.Samples {
		packed.Scored[index] = sample.Score != nil
	}
	return packed
}

func (f fetched) unpack() v1.FetchResponse {
	for index := range f.Response.Samples {
		sample := &f.Response.Samples[index]
		if sample.Score == nil && index < len(f.Scored) && f.Scored[index] {
			sample.Score = new(float64)
		}
	}
	return f.Response
}

// Register makes the server answer the calls that other nodes forward to this one.
func (m *Manager) Register(server *rpc.Server) {
	handle(server, m.putBatch)
	handle(server, m.batch)
	handle(server, m.cancelBatch)
	handle(server, m.fetch)
	handle(server, m.ack)
	handle(server, m.putVersion)
}

func handle[Req, T any](server *rpc.Server, serve func(context.Context, Req) (reply[T], error)) {
	rpc.Handle(server, func(ctx context.Context, _ rpc.Peer, request Req) (reply[T], error) { return serve(ctx, request) })
}

func (m *Manager) putBatch(ctx context.Context, r putBatchRequest) (reply[v1.BatchStatus], error) {
	if err := m.checkServing(); err != nil {
		return reply[v1.BatchStatus]{}, err
	}
	return m.askStatus(ctx, r.Trainer, func(o *Owner, now time.Time) (v1.BatchStatus, error) { return o.PutBatch(now, r.Batch, r.Spec) })
}

func (m *Manager) batch(ctx context.Context, r batchRequest) (reply[v1.BatchStatus], error) {
	return m.askStatus(ctx, r.Trainer, func(o *Owner, _ time.Time) (v1.BatchStatus, error) { return o.Status(r.Batch) })
}

func (m *Manager) cancelBatch(ctx context.Context, r cancelRequest) (reply[v1.BatchStatus], error) {
	return m.askStatus(ctx, r.Trainer, func(o *Owner, _ time.Time) (v1.BatchStatus, error) { return o.CancelBatch(r.Batch) })
}

func (m *Manager) ack(ctx context.Context, r ackRequest) (reply[v1.BatchStatus], error) {
	return m.askStatus(ctx, r.Trainer, func(o *Owner, _ time.Time) (v1.BatchStatus, error) { return o.Ack(r.Batch, r.Request) })
}

func (m *Manager) putVersion(ctx context.Context, r putVersionRequest) (reply[bool], error) {
	return onTerm(m, r.Trainer, func(t *term) (bool, error) {
		return ask(ctx, t, func(now time.Time) (bool, error) { return true, t.owner.PutVersion(now, r.Weights) })
	})
}

func (m *Manager) fetch(ctx context.Context, r fetchRequest) (reply[fetched], error) {
	return onTerm(m, r.Trainer, func(t *term) (fetched, error) {
		response, err := t.fetch(ctx, r.Batch, r.Request)
		return packFetched(response), err
	})
}

func (m *Manager) askStatus(
	ctx context.Context, trainer string, call func(*Owner, time.Time) (v1.BatchStatus, error),
) (reply[v1.BatchStatus], error) {
	return onTerm(m, trainer, func(t *term) (v1.BatchStatus, error) {
		status, err := ask(ctx, t, func(now time.Time) (v1.BatchStatus, error) { return call(t.owner, now) })
		status.Owner = m.params.Self.Name
		status.MemoryOnly = t.store.Info().MemoryOnly
		return status, err
	})
}

// onTerm calls the running term of the trainer, if this node has it and may.
func onTerm[T any](m *Manager, trainer string, call func(*term) (T, error)) (reply[T], error) {
	if err := m.checkZone(trainer, m.params.Self.Zone); err != nil {
		return reply[T]{}, err
	}
	t := m.term(trainer)
	if t == nil {
		return reply[T]{NotOwner: true}, nil
	}
	value, err := call(t)
	switch {
	case errors.Is(err, errNotOwner):
		return reply[T]{NotOwner: true}, nil
	case errors.Is(err, errTermEnded):
		return reply[T]{NotOwner: true, MaybeDone: true}, nil
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return reply[T]{}, &v1.Error{Code: v1.CodeDeadlineExceeded, Message: "the owner did not answer in time", Outcome: v1.OutcomeUnknown}
	}
	return reply[T]{Value: value}, err
}

// Service returns the service for this node's gateway. It forwards each call to the trainer's owner and asks again while the
// owner is unknown, has changed or did not answer, until ctx ends; every call on an owner is idempotent, so that this is
// safe after a lost reply. When ctx ends, the error's outcome is not_run only if no call may have reached an owner.
func (m *Manager) Service() Service { return forwarder{m} }

type forwarder struct{ manager *Manager }

// PutBatch implements Service.
func (f forwarder) PutBatch(ctx context.Context, trainer, batch string, spec v1.BatchSpec) (v1.BatchStatus, error) {
	if err := f.checkSize(spec); err != nil {
		return v1.BatchStatus{}, err
	}
	return forward(ctx, f.manager, trainer, always(putBatchRequest{trainer, batch, spec}), f.manager.putBatch, tryTimeout)
}

// checkSize refuses a batch that does not fit a frame.
func (f forwarder) checkSize(spec v1.BatchSpec) error {
	size := frameReserve
	for _, sample := range spec.Samples {
		size += len(sample.Prompt) + len(sample.Group) + sampleOverhead
	}
	if limit := f.manager.params.Limits.MaxFrameBytes; size > limit {
		return v1.NotRun(v1.CodeTooLarge, 0, "the batch takes %d bytes, the limit is %d", size, limit)
	}
	return nil
}

// Batch implements Service.
func (f forwarder) Batch(ctx context.Context, trainer, batch string) (v1.BatchStatus, error) {
	return forward(ctx, f.manager, trainer, always(batchRequest{trainer, batch}), f.manager.batch, tryTimeout)
}

// CancelBatch implements Service.
func (f forwarder) CancelBatch(ctx context.Context, trainer, batch string) (v1.BatchStatus, error) {
	return forward(ctx, f.manager, trainer, always(cancelRequest{trainer, batch}), f.manager.cancelBatch, tryTimeout)
}

// Ack implements Service.
func (f forwarder) Ack(ctx context.Context, trainer, batch string, request v1.AckRequest) (v1.BatchStatus, error) {
	return forward(ctx, f.manager, trainer, always(ackRequest{trainer, batch, request}), f.manager.ack, tryTimeout)
}

// PutVersion implements Service.
func (f forwarder) PutVersion(ctx context.Context, trainer string, version v1.WeightVersion) error {
	_, err := forward(ctx, f.manager, trainer, always(putVersionRequest{trainer, version}), f.manager.putVersion, tryTimeout)
	return err
}

// Fetch implements Service.
func (f forwarder) Fetch(ctx context.Context, trainer, batch string, request v1.FetchRequest) (v1.FetchResponse, error) {
	deadline := f.manager.params.Now().Add(request.Wait)
	remaining := func() fetchRequest {
		next := fetchRequest{trainer, batch, request}
		next.Request.Wait = max(0, deadline.Sub(f.manager.params.Now()))
		return next
	}
	packed, err := forward(ctx, f.manager, trainer, remaining, f.manager.fetch, request.Wait+tryTimeout)
	return packed.unpack(), err
}

func always[Req any](request Req) func() Req { return func() Req { return request } }

// forward calls the owner of the trainer's batches until it answers or ctx ends. request makes the request of each try.
func forward[Req, T any](
	ctx context.Context, m *Manager, trainer string, request func() Req,
	serve func(context.Context, Req) (reply[T], error), timeout time.Duration,
) (T, error) {
	var none T
	outcome := v1.OutcomeNotRun
	wait := newBackOff()
	for {
		if err := m.checkZone(trainer, m.params.Self.Zone); err != nil {
			return none, err
		}
		if holder, ok := m.params.Elector.Holder(leadership.TrainerLease(trainer)); ok {
			answer, err := try(ctx, m, trainer, holder, request(), serve, timeout)
			if err == nil && !answer.NotOwner {
				return answer.Value, nil
			}
			if final := finalError(err); final != nil {
				return none, final
			}
			if answer.MaybeDone || (err != nil && !errors.Is(err, rpc.ErrNotSent)) {
				outcome = v1.OutcomeUnknown
			}
		}
		sleep(ctx, wait.NextBackOff())
		if ctx.Err() != nil {
			return none, &v1.Error{
				Code: v1.CodeUnavailable, Message: "the owner of the trainer's batches did not answer",
				Outcome: outcome, RetryAfter: retryAfter,
			}
		}
	}
}

// try calls the node believed to own the trainer's batches once.
func try[Req, T any](
	ctx context.Context, m *Manager, trainer string, holder cluster.Node, request Req,
	serve func(context.Context, Req) (reply[T], error), timeout time.Duration,
) (reply[T], error) {
	if err := m.checkZone(trainer, holder.Zone); err != nil {
		return reply[T]{}, rpc.ErrNotSent // an outdated hint
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if holder.Name == m.params.Self.Name {
		return serve(ctx, request)
	}
	endWatch := m.endWhenOwnerChanges(ctx, cancel, trainer, holder)
	defer endWatch()
	return rpc.Call[Req, reply[T]](ctx, m.params.Client, holder.Address, request)
}

// endWhenOwnerChanges calls cancel once another node than the holder is believed to own the trainer's batches: a holder that
// is paused or cut off would keep the call to its end. The function returned ends the watch.
func (m *Manager) endWhenOwnerChanges(ctx context.Context, cancel context.CancelFunc, trainer string, holder cluster.Node) func() {
	ctx, end := context.WithCancel(ctx)
	var watching sync.WaitGroup
	watching.Go(func() {
		checks := time.NewTicker(ownerCheckInterval)
		defer checks.Stop()
		for {
			select {
			case <-checks.C:
			case <-ctx.Done():
				return
			}
			if owner, ok := m.params.Elector.Holder(leadership.TrainerLease(trainer)); ok && owner.Name != holder.Name {
				cancel()
				return
			}
		}
	})
	return func() {
		end()
		watching.Wait()
	}
}

// finalError returns the owner's own answer, or nil if the call is to be tried again.
func finalError(err error) error {
	var typed *v1.Error
	if errors.As(err, &typed) && typed.Code != v1.CodeDeadlineExceeded {
		return typed
	}
	return nil
}
