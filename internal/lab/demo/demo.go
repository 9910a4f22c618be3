// Package demo runs a whole deployment through an ordinary hour made short: an operator applies resources, a trainer takes
// a batch over and publishes new weights in the middle of it, and applications ask meanwhile.
package demo

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/go-kit/log"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/client"
	"github.com/covelink/covelink/internal/commandline"
	"github.com/covelink/covelink/internal/ctl"
	"github.com/covelink/covelink/internal/lab/deployment"
	"github.com/covelink/covelink/internal/lab/invariant"
	"github.com/covelink/covelink/internal/lab/load"
	"github.com/covelink/covelink/internal/lab/trainer"
)

const (
	// versionsPerBatch is the number of times that a trainer publishes new weights in a batch.
	versionsPerBatch = 2
	// stopTimeout bounds the planned stop at the end.
	stopTimeout = 30 * time.Second
	applyWait   = 30 * time.Second
)

// Config describes a run.
type Config struct {
	Description deployment.Description
	// Resources is the YAML text that the operator applies.
	Resources []byte
	Samples   int
	Seed      int64
	// DataRoot is the folder of the nodes' data folders.
	DataRoot string
	NewNode  deployment.NodeFactory
	Logger   log.Logger
}

// Result is what a run measured.
type Result struct {
	Zones, Nodes, Engines int
	Promises              invariant.Report
	Trainer               trainer.Report
	Loads                 []LoadResult
}

// LoadResult is the report of one application.
type LoadResult struct {
	Name   string
	Report load.Report
}

// run is one run in progress.
type run struct {
	config     Config
	deployment *deployment.Deployment
	recorder   *invariant.Recorder
	result     Result
}

// Run runs the demo. An error means that it could not be run to its end; broken promises are in the result.
func Run(ctx context.Context, config Config) (Result, error) {
	plan, err := deployment.NewPlan(config.Description, deployment.FreePorts(), config.DataRoot)
	if err != nil {
		return Result{}, err
	}
	started, err := deployment.Start(ctx, plan, config.NewNode, config.Logger)
	if err != nil {
		return Result{}, err
	}
	r := &run{config: config, deployment: started, recorder: invariant.NewRecorder()}
	r.result = Result{Zones: len(config.Description.Zones), Nodes: len(plan.Nodes), Engines: len(plan.Engines)}
	err = r.run(ctx)
	if err == nil {
		r.judge()
	}
	stopContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	return r.result, errors.Join(err, started.Stop(stopContext))
}

func (r *run) run(ctx context.Context) error {
	if err := r.recordPromises(); err != nil {
		return err
	}
	if err := r.apply(ctx); err != nil {
		return err
	}
	if err := r.deployment.WaitReady(ctx); err != nil {
		return err
	}
	if err := r.waitEngines(ctx); err != nil {
		return err
	}
	return r.work(ctx)
}

// recordPromises takes down what the resources promise.
func (r *run) recordPromises() error {
	documents, err := v1.DecodeDocuments(r.config.Resources)
	if err != nil {
		return fmt.Errorf("resources: %w", err)
	}
	for _, document := range documents {
		switch object := document.Object.(type) {
		case *v1.Pool:
			r.recorder.Permit(object.Metadata.Name, object.Spec.PermittedZones)
		case *v1.Trainer:
			terms := invariant.Terms{Pool: object.Spec.Pool, StalenessBound: object.Spec.StalenessBound}
			r.recorder.Promise(object.Metadata.Name, terms)
		}
	}
	return nil
}

// apply writes the resources as an operator does and waits until they are in force.
func (r *run) apply(ctx context.Context) error {
	var output, failure bytes.Buffer
	arguments := []string{"covelinkctl", "--token", r.config.Description.Operator.Token}
	for _, url := range r.deployment.CallerURLs() {
		arguments = append(arguments, "--server", url)
	}
	arguments = append(arguments, "apply", "-f", "-", "--wait", "--timeout", applyWait.String())
	streams := commandline.Streams{In: bytes.NewReader(r.config.Resources), Out: &output, Err: &failure}
	if code := ctl.Run(ctx, arguments, streams); code != commandline.ExitOK {
		return fmt.Errorf("apply: %s", strings.TrimSpace(failure.String()))
	}
	return nil
}

// waitEngines waits until the status of each pool counts every engine, as an operator does who watches it.
func (r *run) waitEngines(ctx context.Context) error {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	watcher := poolWatcher{
		client: &http.Client{Transport: transport},
		base:   r.deployment.CallerURLs()[0],
		token:  r.config.Description.Operator.Token,
	}
	for _, pool := range r.config.Description.Pools {
		wanted := 0
		for _, engines := range pool.Engines {
			wanted += engines
		}
		if err := watcher.wait(ctx, pool.Name, wanted); err != nil {
			return err
		}
	}
	return nil
}

// work runs the trainer to its end and the applications meanwhile.
func (r *run) work(ctx context.Context) error {
	loads, err := r.newLoads()
	if err != nil {
		return err
	}
	loadContext, endLoads := context.WithCancel(ctx)
	defer endLoads()
	reports := make(chan LoadResult, len(loads))
	for name, load := range loads {
		go func() { reports <- LoadResult{Name: name, Report: load.Run(loadContext)} }()
	}
	err = r.train(ctx)
	endLoads()
	byName := map[string]LoadResult{}
	for range loads {
		report := <-reports
		byName[report.Name] = report
	}
	for _, config := range r.deployment.Plan().Loads {
		r.result.Loads = append(r.result.Loads, byName[config.Name])
	}
	return err
}

func (r *run) newLoads() (map[string]*load.Load, error) {
	loads := map[string]*load.Load{}
	for _, config := range r.deployment.Plan().Loads {
		config.URLs = r.deployment.CallerURLs()
		config.Seed += r.config.Seed
		created, err := load.New(config, r.recorder, r.config.Logger)
		if err != nil {
			return nil, err
		}
		loads[config.Name] = created
	}
	return loads, nil
}

func (r *run) train(ctx context.Context) error {
	config := r.deployment.Plan().Trainer
	config.URLs = r.deployment.CallerURLs()
	config.Samples = r.config.Samples
	config.Seed = r.config.Seed
	config.PublishEverySamples = max(1, config.Samples/versionsPerBatch)
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	service, err := client.New(client.Options{BaseURLs: config.URLs, Token: config.Token, HTTPClient: &http.Client{Transport: transport}})
	if err != nil {
		return err
	}
	trainer, err := trainer.New(config, service, r.recorder, r.config.Logger)
	if err != nil {
		return err
	}
	r.result.Trainer, err = trainer.Run(ctx)
	return err
}

// judge compares what was seen with what was promised.
func (r *run) judge() {
	r.recorder.Executed(r.deployment.Executions(r.recorder.History())...)
	history := r.recorder.History()
	history.Expect = deployment.ExpectedToken
	r.result.Promises = invariant.Check(history)
}
