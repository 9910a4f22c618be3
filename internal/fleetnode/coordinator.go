package fleetnode

import (
	"context"
	"time"

	"go.uber.org/fx"

	"github.com/covelink/covelink/internal/batch"
)

// coordinatorParts are those of a process that may coordinate.
var coordinatorParts = fx.Options()

type noBatches struct{}

func (noBatches) Submit(context.Context, batch.Job) error { return batch.ErrRefused }
func (noBatches) Read(context.Context, string, int, time.Duration) (batch.Reading, error) {
	return batch.Reading{}, batch.ErrUnavailable
}
func (noBatches) Body(context.Context, string, string) ([]byte, error) {
	return nil, batch.ErrUnavailable
}
func (noBatches) End(context.Context, string) error { return batch.ErrUnavailable }

func newBatchClient() batch.Service { return noBatches{} }
