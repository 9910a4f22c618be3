// Package soak runs a deployment of real processes under load for a long time while faults strike at random, checks every
// promise all along, and watches each process for leaks.
package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/lab/demo"
	"github.com/covelink/covelink/internal/lab/deployment"
	"github.com/covelink/covelink/internal/lab/invariant"
	"github.com/covelink/covelink/internal/lab/processes"
	"github.com/covelink/covelink/internal/telemetry"
)

const (
	prepareTimeout = 2 * time.Minute
	// faultTime is how long faults strike in a round; then all end and the round must end, too, within settleTimeout.
	faultTime     = 20 * time.Second
	settleTimeout = 2 * time.Minute
	// restTime lets timers and idle connections end before a process is measured.
	restTime    = 2 * time.Second
	stopTimeout = time.Minute
	// A node loses its disk in one round of so many: a second one before the first has all its replicas back would lose
	// what no majority keeps any more.
	roundsPerLostDisk = 4
	roundOfLostDisk   = 2
)

// Config describes a soak.
type Config struct {
	Description deployment.Description
	Resources   []byte
	Programs    processes.Programs
	Folder      string
	Duration    time.Duration
	// Seed decides the faults. The same seed gives the same sequence; their moments depend on the machine.
	Seed int64
	// Samples is the size of the batch of each round.
	Samples int
	Logger  log.Logger
}

// soak is one run in progress.
type soak struct {
	config     Config
	logger     log.Logger
	random     *rand.Rand
	deployment *processes.Deployment
	recorder   *invariant.Recorder
	report     *Report
	version    int64
}

// Run soaks for the time configured and returns what was seen. An error means that the soak could not go on; the report
// holds what was seen before, too.
func Run(ctx context.Context, config Config) (*Report, error) {
	s := &soak{
		config:   config,
		logger:   telemetry.For(config.Logger, telemetry.PartLab),
		random:   rand.New(rand.NewPCG(uint64(config.Seed), 0)),
		recorder: invariant.NewRecorder(),
		report:   newReport(config),
		version:  config.Description.Trainer.FirstVersion,
	}
	started, err := processes.Start(ctx, processes.Config{
		Description: config.Description, Programs: config.Programs, Folder: config.Folder, Logger: log.NewNopLogger(),
	})
	if err != nil {
		return s.report, err
	}
	defer started.Stop()
	s.deployment = started
	err = s.run(ctx)
	s.report.Ended = time.Now()
	return s.report, err
}

func (s *soak) run(ctx context.Context) error {
	prepareContext, cancel := context.WithTimeout(ctx, prepareTimeout)
	defer cancel()
	if err := s.session(0).Prepare(prepareContext); err != nil {
		return err
	}
	s.measure(ctx)
	deadline := time.Now().Add(s.config.Duration)
	for number := 1; time.Now().Before(deadline); number++ {
		if err := s.round(ctx, number); err != nil {
			return fmt.Errorf("round %d: %w", number, err)
		}
	}
	s.stopNodes(ctx)
	return nil
}

// session returns the session of a round. All sessions share a history.
func (s *soak) session(number int) *demo.Session {
	plan := s.deployment.Plan()
	plan.Trainer.BatchPrefix = fmt.Sprintf("round-%d", number)
	plan.Trainer.FirstVersion = s.version
	session := demo.NewSession(demo.Config{
		Description: s.config.Description,
		Resources:   s.config.Resources,
		Samples:     s.config.Samples,
		Seed:        s.config.Seed*1000 + int64(number),
		Logger:      log.NewNopLogger(),
	}, s.deployment)
	session.Recorder = s.recorder
	return session
}

// round runs one batch under load and faults and judges everything seen so far.
func (s *soak) round(ctx context.Context, number int) error {
	session := s.session(number)
	started := time.Now()
	workContext, endWork := context.WithCancel(ctx)
	defer endWork()
	working := make(chan error, 1)
	go func() { working <- session.Work(workContext) }()
	faults := newInjector(s.deployment, s.random, s.logger)
	if number%roundsPerLostDisk == roundOfLostDisk {
		faults.strike(ctx, faults.loseDisk())
	}
	struck := faults.run(ctx, faultTime)
	s.deployment.Heal()
	settleContext, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	err := errors.Join(s.deployment.WaitReady(settleContext), await(settleContext, working))
	endWork()
	result, judged := session.Judge(ctx)
	s.version = s.nextVersion()
	s.report.addRound(number, time.Since(started), struck, result)
	_ = level.Info(s.logger).Log("msg", "round ended", "round", number, "faults", len(struck),
		"whole", result.Promises.Whole, "violations", len(result.Promises.Violations), "err", errors.Join(err, judged))
	if err := errors.Join(err, judged); err != nil {
		return err
	}
	s.measure(ctx)
	return nil
}

// nextVersion returns a version above every one that the trainer has stated.
func (s *soak) nextVersion() int64 {
	next := s.version
	for _, statement := range s.recorder.History().Statements {
		next = max(next, statement.Version+1)
	}
	return next
}

// await waits for the end of the work.
func await(ctx context.Context, working <-chan error) error {
	select {
	case err := <-working:
		return err
	case <-ctx.Done():
		return fmt.Errorf("the batch was not done in time after the last fault: %w", ctx.Err())
	}
}

// stopNodes ends every node by a planned stop and notes its exit code.
func (s *soak) stopNodes(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	for _, name := range s.deployment.NodeNames() {
		code, err := s.deployment.Node(name).Terminate(ctx)
		s.report.Stops = append(s.report.Stops, Stop{Node: name, ExitCode: code, Err: err})
	}
}
