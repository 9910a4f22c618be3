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

// Target is a started deployment, in this process or in processes of its own.
type Target interface {
	Plan() *deployment.Plan
	// CallerURLs are the base URLs by which callers reach the nodes.
	CallerURLs() []string
	// WaitReady waits until every node takes requests.
	WaitReady(ctx context.Context) error
	// Executions returns what the engines executed so far, with the prompts that the history knows.
	Executions(ctx context.Context, history *invariant.History) ([]invariant.Execution, error)
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

// Session is one run on a started deployment.
type Session struct {
	// Recorder takes down what is seen; a test may add to it.
	Recorder *invariant.Recorder

	config Config
	target Target
	result Result
}

// NewSession returns a session on a deployment that keeps running after it. Of the configuration it needs the description,
// the resources, the number of samples, the seed and the logger.
func NewSession(config Config, target Target) *Session {
	plan := target.Plan()
	return &Session{
		Recorder: invariant.NewRecorder(),
		config:   config,
		target:   target,
		result:   Result{Zones: len(plan.Description.Zones), Nodes: len(plan.Nodes), Engines: len(plan.Engines)},
	}
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
	result, err := NewSession(config, started).run(ctx)
	stopContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	return result, errors.Join(err, started.Stop(stopContext))
}

func (r *Session) run(ctx context.Context) (Result, error) {
	if err := r.Prepare(ctx); err != nil {
		return r.result, err
	}
	if err := r.Work(ctx); err != nil {
		return r.result, err
	}
	return r.Judge(ctx)
}

// Prepare applies the resources and waits until every node is ready and every engine is counted.
func (r *Session) Prepare(ctx context.Context) error {
	if err := r.recordPromises(); err != nil {
		return err
	}
	if err := r.apply(ctx); err != nil {
		return err
	}
	if err := r.target.WaitReady(ctx); err != nil {
		return err
	}
	return r.waitEngines(ctx)
}

// recordPromises takes down what the resources promise.
func (r *Session) recordPromises() error {
	documents, err := v1.DecodeDocuments(r.config.Resources)
	if err != nil {
		return fmt.Errorf("resources: %w", err)
	}
	for _, document := range documents {
		switch object := document.Object.(type) {
		case *v1.Pool:
			r.Recorder.Permit(object.Metadata.Name, object.Spec.PermittedZones)
		case *v1.Trainer:
			terms := invariant.Terms{Pool: object.Spec.Pool, StalenessBound: object.Spec.StalenessBound}
			r.Recorder.Promise(object.Metadata.Name, terms)
		}
	}
	return nil
}

// apply writes the resources as an operator does and waits until they are in force.
func (r *Session) apply(ctx context.Context) error {
	var output, failure bytes.Buffer
	arguments := []string{"covelinkctl", "--token", r.config.Description.Operator.Token}
	for _, url := range r.target.CallerURLs() {
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
func (r *Session) waitEngines(ctx context.Context) error {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	watcher := poolWatcher{
		client: &http.Client{Transport: transport},
		base:   r.target.CallerURLs()[0],
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

// Work runs the trainer to its end and the applications meanwhile.
func (r *Session) Work(ctx context.Context) error {
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
	for _, config := range r.target.Plan().Loads {
		r.result.Loads = append(r.result.Loads, byName[config.Name])
	}
	return err
}

func (r *Session) newLoads() (map[string]*load.Load, error) {
	loads := map[string]*load.Load{}
	for _, config := range r.target.Plan().Loads {
		config.URLs = r.target.CallerURLs()
		config.Seed += r.config.Seed
		created, err := load.New(config, r.Recorder, r.config.Logger)
		if err != nil {
			return nil, err
		}
		loads[config.Name] = created
	}
	return loads, nil
}

func (r *Session) train(ctx context.Context) error {
	config := r.target.Plan().Trainer
	config.URLs = r.target.CallerURLs()
	config.Samples = r.config.Samples
	config.Seed = r.config.Seed
	config.PublishEverySamples = max(1, config.Samples/versionsPerBatch)
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	service, err := client.New(client.Options{BaseURLs: config.URLs, Token: config.Token, HTTPClient: &http.Client{Transport: transport}})
	if err != nil {
		return err
	}
	trainer, err := trainer.New(config, service, r.Recorder, r.config.Logger)
	if err != nil {
		return err
	}
	r.result.Trainer, err = trainer.Run(ctx)
	return err
}

// Judge compares what was seen with what was promised.
func (r *Session) Judge(ctx context.Context) (Result, error) {
	executions, err := r.target.Executions(ctx, r.Recorder.History())
	if err != nil {
		return r.result, err
	}
	history := r.Recorder.History()
	history.Executions = append(history.Executions, executions...)
	history.Expect = deployment.ExpectedToken
	r.result.Promises = invariant.Check(history)
	return r.result, nil
}
