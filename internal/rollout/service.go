// Package rollout owns the batches of trainers: it runs their samples, keeps the ledger that makes each sample
// reach its trainer exactly once, and hands finished samples over.
package rollout

import (
	"context"

	v1 "github.com/covelink/covelink/api/v1"
)

// Service is what a trainer may ask for. Every error is a *v1.Error.
type Service interface {
	// PutBatch submits a batch. The same spec again returns the batch's status; another spec under the same name is a conflict.
	PutBatch(ctx context.Context, trainer, batch string, spec v1.BatchSpec) (v1.BatchStatus, error)
	// Batch returns the progress of a batch.
	Batch(ctx context.Context, trainer, batch string) (v1.BatchStatus, error)
	// CancelBatch ends a batch; its samples are handed over no more.
	CancelBatch(ctx context.Context, trainer, batch string) (v1.BatchStatus, error)
	// Fetch hands over samples after a cursor, waiting for a first one as long as the request says.
	Fetch(ctx context.Context, trainer, batch string, request v1.FetchRequest) (v1.FetchResponse, error)
	// Ack takes note that the trainer has taken over every sample up to a position.
	Ack(ctx context.Context, trainer, batch string, request v1.AckRequest) (v1.BatchStatus, error)
	// PutVersion publishes new weights: the trainer is at this version from now on.
	PutVersion(ctx context.Context, trainer string, version v1.WeightVersion) error
}
