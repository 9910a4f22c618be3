package client

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	v1 "github.com/covelink/covelink/api/v1"
)

// DefaultConsumeWait is how long Consume lets one fetch wait for a first sample.
const DefaultConsumeWait = 30 * time.Second

const consumeLimit = 64

func batchPath(trainer, batch, rest string) string {
	return "/v1/trainers/" + url.PathEscape(trainer) + "/batches/" + url.PathEscape(batch) + rest
}

// PutBatch submits a batch; the same spec again returns its status.
func (c *Client) PutBatch(ctx context.Context, trainer, batch string, spec v1.BatchSpec) (v1.BatchStatus, error) {
	return c.batchCall(ctx, http.MethodPut, batchPath(trainer, batch, ""), spec)
}

// Batch returns the progress of a batch.
func (c *Client) Batch(ctx context.Context, trainer, batch string) (v1.BatchStatus, error) {
	return c.batchCall(ctx, http.MethodGet, batchPath(trainer, batch, ""), nil)
}

// CancelBatch ends a batch.
func (c *Client) CancelBatch(ctx context.Context, trainer, batch string) (v1.BatchStatus, error) {
	return c.batchCall(ctx, http.MethodDelete, batchPath(trainer, batch, ""), nil)
}

// Ack takes note that every sample up to the position has been taken over.
func (c *Client) Ack(ctx context.Context, trainer, batch string, request v1.AckRequest) (v1.BatchStatus, error) {
	return c.batchCall(ctx, http.MethodPost, batchPath(trainer, batch, "/ack"), request)
}

// batchCall makes a call whose answer is a batch's status; all of them are idempotent.
func (c *Client) batchCall(ctx context.Context, method, path string, body any) (status v1.BatchStatus, err error) {
	request, err := newCall(method, path, true, body)
	if err != nil {
		return status, err
	}
	return status, c.exchange(ctx, request, &status)
}

// Fetch returns samples after a cursor. The same cursor again re-reads the same samples, unless they have become stale.
func (c *Client) Fetch(ctx context.Context, trainer, batch string, fetch v1.FetchRequest) (response v1.FetchResponse, err error) {
	query := url.Values{}
	query.Set("after", strconv.FormatInt(fetch.After, 10))
	query.Set("version", strconv.FormatInt(fetch.Version, 10))
	if fetch.Limit > 0 {
		query.Set("limit", strconv.Itoa(fetch.Limit))
	}
	if fetch.Wait > 0 {
		query.Set("wait", fetch.Wait.String())
	}
	request, err := newCall(http.MethodGet, batchPath(trainer, batch, "/samples?"+query.Encode()), true, nil)
	if err != nil {
		return response, err
	}
	return response, c.exchange(ctx, request, &response)
}

// PutVersion publishes new weights: the trainer is at this version from now on.
func (c *Client) PutVersion(ctx context.Context, trainer string, version v1.WeightVersion) error {
	request, err := newCall(http.MethodPut, "/v1/trainers/"+url.PathEscape(trainer)+"/version", true, version)
	if err != nil {
		return err
	}
	var stored v1.WeightVersion
	return c.exchange(ctx, request, &stored)
}

// Consume hands every sample of a batch to handle, each position once and in order, and acknowledges what handle has
// taken over. version tells the version the trainer is at. It returns nil once the batch is done, else the first error: handle's own, after
// acknowledging the samples before it, or a *v1.Error. A sample that a trainer has handled but not acknowledged, because it stopped in between, comes
// again in its next Consume: such a trainer starts with ConsumeFrom at the position it has itself recorded.
func (c *Client) Consume(ctx context.Context, trainer, batch string, version func() int64, handle func(v1.Sample) error) error {
	return c.ConsumeFrom(ctx, trainer, batch, 0, version, handle)
}

// ConsumeFrom is Consume for a trainer that has already taken over every sample up to the position.
func (c *Client) ConsumeFrom(ctx context.Context, trainer, batch string, position int64, version func() int64, handle func(v1.Sample) error) error {
	for {
		fetch := v1.FetchRequest{After: position, Version: version(), Limit: consumeLimit, Wait: DefaultConsumeWait}
		response, err := c.Fetch(ctx, trainer, batch, fetch)
		if err != nil {
			return err
		}
		taken, handleErr := takeOver(response.Samples, position, handle)
		if handleErr == nil {
			taken = max(taken, response.Next)
		}
		advanced := taken > position
		if advanced {
			if _, err := c.Ack(ctx, trainer, batch, v1.AckRequest{Position: taken}); err != nil {
				return firstError(handleErr, err)
			}
			position = taken
		}
		if handleErr != nil || response.Done {
			return handleErr
		}
		if !advanced && !pause(ctx, c.options.MinBackoff) {
			return transportError(ctx, "the caller's time is over")
		}
	}
}

// takeOver handles the samples above the position in order and returns the last position handled.
func takeOver(samples []v1.Sample, position int64, handle func(v1.Sample) error) (int64, error) {
	for _, sample := range samples {
		if sample.Position <= position {
			continue
		}
		if err := handle(sample); err != nil {
			return position, err
		}
		position = sample.Position
	}
	return position, nil
}

func firstError(first, second error) error {
	if first != nil {
		return first
	}
	return second
}
