package trainer

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/lab/invariant"
	"github.com/covelink/covelink/internal/telemetry"
)

const (
	// uploadTimeout bounds one upload of weights.
	uploadTimeout = 30 * time.Second
	// retryInterval and retryMaxInterval pace the calls that failed for a reason that may pass.
	retryInterval    = 20 * time.Millisecond
	retryMaxInterval = 500 * time.Millisecond
)

// Service is what the trainer asks of covelink.
type Service interface {
	PutBatch(ctx context.Context, trainer, batch string, spec v1.BatchSpec) (v1.BatchStatus, error)
	Fetch(ctx context.Context, trainer, batch string, request v1.FetchRequest) (v1.FetchResponse, error)
	Ack(ctx context.Context, trainer, batch string, request v1.AckRequest) (v1.BatchStatus, error)
	PutVersion(ctx context.Context, trainer string, version v1.WeightVersion) error
}

// Trainer is one trainer. Make it with New; Run may be called once.
type Trainer struct {
	config   Config
	service  Service
	recorder *invariant.Recorder
	logger   log.Logger
	http     *http.Client

	// version is the version that the trainer is at.
	version  int64
	received int
	idle     idleMeter
	report   Report
}

// New returns a trainer, or an error that names the unfit setting. recorder takes down what the trainer sees; nil means
// that nobody asks.
func New(config Config, service Service, recorder *invariant.Recorder, logger log.Logger) (*Trainer, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	if recorder == nil {
		recorder = invariant.NewRecorder()
	}
	return &Trainer{
		config:   config,
		service:  service,
		recorder: recorder,
		logger:   log.With(telemetry.For(logger, telemetry.PartLab), "trainer", config.Trainer),
		http:     &http.Client{Timeout: uploadTimeout},
		idle:     idleMeter{perSample: config.LearnPerSample},
		report:   newReport(),
	}, nil
}

// Run publishes the first version and consumes every batch. It returns what was measured, also with an error.
func (t *Trainer) Run(ctx context.Context) (Report, error) {
	defer t.http.CloseIdleConnections()
	if err := t.publish(ctx, t.config.FirstVersion); err != nil {
		return t.report, err
	}
	started := time.Now()
	t.idle.start(started)
	var err error
	for number := 0; number < t.config.Batches && err == nil; number++ {
		err = t.runBatch(ctx, number)
	}
	t.report.Wall = time.Since(started)
	t.report.Idle = t.idle.idle
	return t.report, err
}

// publish uploads new weights and states their version.
func (t *Trainer) publish(ctx context.Context, version int64) error {
	var stated v1.WeightVersion
	err := t.retry(ctx, func() (err error) {
		stated, err = t.upload(ctx, version)
		return err
	})
	if err != nil {
		return err
	}
	err = t.retry(ctx, func() error { return t.service.PutVersion(ctx, t.config.Trainer, stated) })
	if err != nil {
		return fmt.Errorf("publish version %d: %w", version, err)
	}
	t.recorder.Stated(invariant.Statement{Trainer: t.config.Trainer, Version: version, At: time.Now()})
	t.version = version
	t.report.Versions++
	_ = level.Info(t.logger).Log("msg", "published weights", "version", version)
	return nil
}

func (t *Trainer) runBatch(ctx context.Context, number int) error {
	name, spec := t.config.batchName(number), t.config.batchSpec(number)
	t.recorder.Submitted(invariant.Batch{Trainer: t.config.Trainer, Name: name, Spec: spec, Expected: true})
	err := t.retry(ctx, func() error {
		_, err := t.service.PutBatch(ctx, t.config.Trainer, name, spec)
		return err
	})
	if err != nil {
		return fmt.Errorf("submit batch %s: %w", name, err)
	}
	if err := t.consume(ctx, name); err != nil {
		return fmt.Errorf("consume batch %s: %w", name, err)
	}
	t.report.Batches++
	return nil
}

// consume takes over every sample of a batch.
func (t *Trainer) consume(ctx context.Context, batch string) error {
	for cursor := int64(0); ; {
		response, err := t.fetch(ctx, batch, cursor)
		if err != nil {
			return err
		}
		if response.Next > cursor {
			cursor = response.Next
			if err := t.acknowledge(ctx, batch, cursor); err != nil {
				return err
			}
		}
		if err := t.publishIfDue(ctx, len(response.Samples)); err != nil {
			return err
		}
		if response.Done {
			return nil
		}
	}
}

// fetch asks for the samples after the cursor and takes down what came.
func (t *Trainer) fetch(ctx context.Context, batch string, cursor int64) (response v1.FetchResponse, err error) {
	request := v1.FetchRequest{After: cursor, Version: t.version, Limit: t.config.FetchLimit, Wait: t.config.FetchWait}
	var began time.Time
	err = t.retry(ctx, func() (err error) {
		began = time.Now()
		response, err = t.service.Fetch(ctx, t.config.Trainer, batch, request)
		return err
	})
	if err != nil {
		return response, err
	}
	t.idle.received(time.Now(), len(response.Samples))
	for _, sample := range response.Samples {
		t.recorder.Delivered(invariant.Delivery{Sample: sample, After: cursor, StatedVersion: t.version, FetchedAt: began})
		t.report.Received++
		_ = t.report.Staleness.RecordValue(max(0, min(t.version-sample.OldestVersion(), maxStaleness)))
	}
	return response, nil
}

func (t *Trainer) acknowledge(ctx context.Context, batch string, position int64) error {
	return t.retry(ctx, func() error {
		_, err := t.service.Ack(ctx, t.config.Trainer, batch, v1.AckRequest{Position: position})
		return err
	})
}

// publishIfDue publishes the next version each time enough samples were received.
func (t *Trainer) publishIfDue(ctx context.Context, samples int) error {
	before := t.received
	t.received += samples
	every := t.config.PublishEverySamples
	if every == 0 || t.received/every == before/every {
		return nil
	}
	return t.publish(ctx, t.version+1)
}

// retry repeats a call that may be repeated until it succeeds, fails for good or ctx ends.
func (t *Trainer) retry(ctx context.Context, call func() error) error {
	pace := backoff.NewExponentialBackOff()
	pace.InitialInterval = retryInterval
	pace.MaxInterval = retryMaxInterval
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		err := call()
		if err != nil && !passing(err) {
			return struct{}{}, backoff.Permanent(err)
		}
		return struct{}{}, err
	}, backoff.WithBackOff(pace), backoff.WithMaxElapsedTime(0))
	return err
}

// passing reports whether a failure may pass: anything but a refusal of the call itself.
func passing(err error) bool {
	var refused *v1.Error
	if !errors.As(err, &refused) {
		return true
	}
	switch refused.Code {
	case v1.CodeInvalid, v1.CodeUnauthenticated, v1.CodeForbidden, v1.CodeConflict, v1.CodeGone, v1.CodeTooLarge:
		return false
	default:
		return true
	}
}
