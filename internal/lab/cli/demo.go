package cli

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/go-kit/log"
	"github.com/urfave/cli/v3"

	"github.com/covelink/covelink/internal/commandline"
	"github.com/covelink/covelink/internal/lab/demo"
	"github.com/covelink/covelink/internal/lab/deployment"
	"github.com/covelink/covelink/internal/node"
	"github.com/covelink/covelink/internal/rpc"
	"github.com/covelink/covelink/internal/settings"
)

const (
	flagSamples = "samples"

	defaultSamples = 1024
	defaultSeed    = 1
	// demoTimeout bounds the whole demo.
	demoTimeout = 2 * time.Minute
)

// errBroken reports that a promise was broken; the report names it.
var errBroken = errors.New("a promise was broken")

func demoCommand(streams commandline.Streams) *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a whole deployment in this process, with a trainer and applications, and check every promise",
		Flags: []cli.Flag{
			exampleFlag(),
			&cli.IntFlag{Name: flagSamples, Usage: "samples of the trainer's batch", Value: defaultSamples},
			&cli.Int64Flag{Name: flagSeed, Usage: "seed of prompts and arrivals", Value: defaultSeed},
			logLevelFlag("error"),
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			if err := noArguments(command); err != nil {
				return err
			}
			logger, err := newLogger(command, streams)
			if err != nil {
				return err
			}
			return runDemo(ctx, command, streams, logger)
		},
	}
}

func runDemo(ctx context.Context, command *cli.Command, streams commandline.Streams, logger log.Logger) error {
	chosen, err := readExample(command.String(flagExample))
	if err != nil {
		return err
	}
	if command.Int(flagSamples) < 1 {
		return commandline.UsageErrorf("--%s: must be above 0", flagSamples)
	}
	dataRoot, err := os.MkdirTemp("", "covelink-demo-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dataRoot) }()
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	started := time.Now()
	result, err := demo.Run(ctx, demo.Config{
		Description: chosen.description,
		Resources:   chosen.resources,
		Samples:     command.Int(flagSamples),
		Seed:        command.Int64(flagSeed),
		DataRoot:    dataRoot,
		NewNode:     newNode,
		Logger:      logger,
	})
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	var report bytes.Buffer
	printDemo(&report, command.String(flagExample), result)
	line(&report, "wall time", "%.2f s", time.Since(started).Seconds())
	_, _ = report.WriteTo(streams.Out)
	if !result.Promises.Kept() {
		return errBroken
	}
	return nil
}

func printDemo(report *bytes.Buffer, name string, result demo.Result) {
	line(report, "deployment", "%s: %d zones, %d nodes, %d engines", name, result.Zones, result.Nodes, result.Engines)
	printPromises(report, result.Promises)
	printTrainer(report, result.Trainer)
	for _, load := range result.Loads {
		printLoad(report, load.Name, load.Report)
	}
}

// newNode builds a real node.
func newNode(config settings.Settings, logger log.Logger, dial rpc.DialFunc) (deployment.Node, error) {
	return node.New(config, logger, node.Options{Dial: dial})
}
