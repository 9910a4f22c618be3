package cli

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/covelink/covelink/internal/commandline"
	"github.com/covelink/covelink/internal/lab/drains"
)

const (
	flagRequests = "requests"

	defaultDrainRequests = 10000
	defaultDrainWorkers  = 64
)

func plannedStopsCommand(streams commandline.Streams) *cli.Command {
	return &cli.Command{
		Name:  "planned-stops",
		Usage: "stop nodes and engines as planned under load, and count the requests that are cut off",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: flagRequests, Usage: "number of requests", Value: defaultDrainRequests},
			&cli.IntFlag{Name: flagWorkers, Usage: "number of requests in flight", Value: defaultDrainWorkers},
			logLevelFlag("error"),
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			if err := noArguments(command); err != nil {
				return err
			}
			return runPlannedStops(ctx, command, streams)
		},
	}
}

func runPlannedStops(ctx context.Context, command *cli.Command, streams commandline.Streams) error {
	if command.Int(flagRequests) < 1 || command.Int(flagWorkers) < 1 {
		return commandline.UsageErrorf("--%s and --%s: must be above 0", flagRequests, flagWorkers)
	}
	logger, err := newLogger(command, streams)
	if err != nil {
		return err
	}
	dataRoot, err := os.MkdirTemp("", "covelink-drains-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dataRoot) }()
	report, err := drains.PlannedStops(ctx, drains.Config{
		Requests: command.Int(flagRequests),
		Workers:  command.Int(flagWorkers),
		NewNode:  newNode,
		DataRoot: dataRoot,
		Logger:   logger,
	})
	if err != nil {
		return err
	}
	if err := writeJSON(streams.Out, report); err != nil {
		return err
	}
	if report.CutOff > 0 {
		return errBroken
	}
	return nil
}
