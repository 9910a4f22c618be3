package cli

import (
	"context"
	"fmt"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/urfave/cli/v3"

	"github.com/covelink/covelink/client"
	"github.com/covelink/covelink/internal/commandline"
	"github.com/covelink/covelink/internal/lab/configfile"
	"github.com/covelink/covelink/internal/lab/deployment"
	"github.com/covelink/covelink/internal/lab/engine"
	"github.com/covelink/covelink/internal/lab/load"
	"github.com/covelink/covelink/internal/lab/scorer"
	"github.com/covelink/covelink/internal/lab/trainer"
	"github.com/covelink/covelink/internal/lab/weightstore"
	"github.com/covelink/covelink/internal/telemetry"
)

const (
	flagConfig   = "config"
	flagLogLevel = "log-level"

	// stopTimeout bounds the end of a stand-in after SIGTERM.
	stopTimeout = 30 * time.Second
)

// server is a stand-in that serves until it is stopped.
type server interface {
	Start() error
	URL() string
	Stop(ctx context.Context) error
}

func processCommands(streams commandline.Streams) []*cli.Command {
	return []*cli.Command{
		processCommand(streams, "engine", "run a stand-in of an engine", runEngine),
		processCommand(streams, "objectapi", "run a stand-in of the platform's store", runObjectAPI),
		processCommand(streams, "weightstore", "run a stand-in of the weight store", runWeightStore),
		processCommand(streams, "machines", "run a stand-in of the machine list", runMachines),
		processCommand(streams, "scorer", "run a stand-in of a scoring service", runScorer),
		processCommand(streams, "trainer", "run a stand-in of a trainer until its batches are done", runTrainer),
		processCommand(streams, "load", "run a stand-in of an application until its requests are done", runLoad),
	}
}

// process is one command that reads its settings from a file.
type process struct {
	file    string
	logger  log.Logger
	streams commandline.Streams
}

// read reads the settings into config, which holds the defaults.
func (p process) read(config any) error { return configfile.Load(p.file, config) }

func processCommand(streams commandline.Streams, name, usage string, run func(context.Context, process) error) *cli.Command {
	return &cli.Command{
		Name:  name,
		Usage: usage,
		Flags: []cli.Flag{&cli.StringFlag{Name: flagConfig, Usage: "settings `FILE`"}, logLevelFlag("info")},
		Action: func(ctx context.Context, command *cli.Command) error {
			if err := noArguments(command); err != nil {
				return err
			}
			if command.String(flagConfig) == "" {
				return commandline.UsageErrorf("--%s: must name the settings file", flagConfig)
			}
			logger, err := newLogger(command, streams)
			if err != nil {
				return err
			}
			return run(ctx, process{file: command.String(flagConfig), logger: logger, streams: streams})
		},
	}
}

func logLevelFlag(value string) cli.Flag {
	return &cli.StringFlag{Name: flagLogLevel, Usage: "debug, info, warn or error", Value: value}
}

func newLogger(command *cli.Command, streams commandline.Streams) (log.Logger, error) {
	name := command.String(flagLogLevel)
	if _, err := level.Parse(name); err != nil {
		return nil, commandline.UsageErrorf("--%s %q: must be debug, info, warn or error", flagLogLevel, name)
	}
	return telemetry.NewLogger(streams.Err, name, "logfmt"), nil
}

// serve runs a stand-in until ctx ends.
func (p process) serve(ctx context.Context, name string, server server) error {
	if err := server.Start(); err != nil {
		return err
	}
	logger := telemetry.For(p.logger, telemetry.PartLab)
	_ = level.Info(logger).Log("msg", "serving", "standin", name, "url", server.URL())
	<-ctx.Done()
	stopContext, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := server.Stop(stopContext); err != nil {
		return fmt.Errorf("stop %s: %w", name, err)
	}
	_ = level.Info(logger).Log("msg", "stopped", "standin", name)
	return nil
}

func runEngine(ctx context.Context, p process) error {
	config := engine.DefaultConfig()
	if err := p.read(&config); err != nil {
		return err
	}
	server, err := engine.New(config, p.logger)
	if err != nil {
		return err
	}
	return p.serve(ctx, "engine", server)
}

func runWeightStore(ctx context.Context, p process) error {
	config := weightstore.DefaultConfig()
	if err := p.read(&config); err != nil {
		return err
	}
	server, err := weightstore.New(config, p.logger)
	if err != nil {
		return err
	}
	return p.serve(ctx, "weightstore", server)
}

func runScorer(ctx context.Context, p process) error {
	config := scorer.DefaultConfig()
	if err := p.read(&config); err != nil {
		return err
	}
	server, err := scorer.New(config, p.logger)
	if err != nil {
		return err
	}
	return p.serve(ctx, "scorer", server)
}

func runMachines(ctx context.Context, p process) error {
	var config deployment.Machines
	if err := p.read(&config); err != nil {
		return err
	}
	return p.serve(ctx, "machines", deployment.NewMachines(config, p.logger))
}

func runObjectAPI(ctx context.Context, p process) error {
	var config deployment.ObjectAPI
	if err := p.read(&config); err != nil {
		return err
	}
	return p.serve(ctx, "objectapi", objectAPIServer{deployment.NewObjectAPI(config, p.logger)})
}

func runTrainer(ctx context.Context, p process) error {
	config := trainer.DefaultConfig()
	if err := p.read(&config); err != nil {
		return err
	}
	service, err := client.New(client.Options{BaseURLs: config.URLs, Token: config.Token})
	if err != nil {
		return err
	}
	trainer, err := trainer.New(config, service, nil, p.logger)
	if err != nil {
		return err
	}
	report, err := trainer.Run(ctx)
	printTrainer(p.streams.Out, report)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func runLoad(ctx context.Context, p process) error {
	config := load.DefaultConfig()
	if err := p.read(&config); err != nil {
		return err
	}
	load, err := load.New(config, nil, p.logger)
	if err != nil {
		return err
	}
	printLoad(p.streams.Out, config.Name, load.Run(ctx))
	return nil
}
