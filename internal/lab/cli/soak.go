package cli

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/go-kit/log"
	"github.com/urfave/cli/v3"

	"github.com/covelink/covelink/internal/commandline"
	"github.com/covelink/covelink/internal/lab/processes"
	"github.com/covelink/covelink/internal/lab/soak"
)

const (
	flagMinutes  = "minutes"
	flagReport   = "report"
	flagKeep     = "keep"
	flagPrograms = "programs"

	defaultMinutes     = 10
	defaultSoakSamples = 2048
)

// errSoak reports a soak that has not passed; the report says why.
var errSoak = errors.New("the soak has not passed")

func soakCommand(streams commandline.Streams) *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run a deployment of processes under load and random faults, check every promise and look for leaks",
		Flags: []cli.Flag{
			exampleFlag(),
			&cli.IntFlag{Name: flagMinutes, Usage: "length of the run; the last round ends after it", Value: defaultMinutes},
			&cli.Int64Flag{Name: flagSeed, Usage: "seed of the faults", Value: defaultSeed},
			&cli.IntFlag{Name: flagSamples, Usage: "samples of the batch of each round", Value: defaultSoakSamples},
			&cli.StringFlag{Name: flagReport, Usage: "write the report to a `FILE` instead of the standard output"},
			&cli.StringFlag{Name: flagPrograms, Usage: "`FOLDER` of covelinkd and covelink-lab; without it they are built"},
			&cli.StringFlag{Name: flagKeep, Usage: "keep settings and logs of the processes in a `FOLDER`"},
			logLevelFlag("info"),
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			if err := noArguments(command); err != nil {
				return err
			}
			for _, flag := range []string{flagMinutes, flagSamples} {
				if command.Int(flag) < 1 {
					return commandline.UsageErrorf("--%s: must be above 0", flag)
				}
			}
			logger, err := newLogger(command, streams)
			if err != nil {
				return err
			}
			return runSoak(ctx, command, streams, logger)
		},
	}
}

func runSoak(ctx context.Context, command *cli.Command, streams commandline.Streams, logger log.Logger) error {
	chosen, err := readExample(command.String(flagExample))
	if err != nil {
		return err
	}
	temporary, err := os.MkdirTemp("", "covelink-soak-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(temporary) }()
	folder := temporary
	if command.String(flagKeep) != "" {
		folder = command.String(flagKeep)
	}
	programs := processes.Programs(command.String(flagPrograms))
	if programs == "" {
		if programs, err = processes.Build(ctx, temporary); err != nil {
			return err
		}
	}
	report, failure := soak.Run(ctx, soak.Config{
		Description: chosen.description,
		Resources:   chosen.resources,
		Programs:    programs,
		Folder:      folder,
		Duration:    time.Duration(command.Int(flagMinutes)) * time.Minute,
		Seed:        command.Int64(flagSeed),
		Samples:     command.Int(flagSamples),
		Logger:      logger,
	})
	if err := writeSoak(report, failure, command.String(flagReport), streams); err != nil {
		return err
	}
	if failure != nil {
		return fmt.Errorf("soak: %w", failure)
	}
	if !report.Passed() {
		return errSoak
	}
	return nil
}

// writeSoak writes the report to a file, or to the output without one.
func writeSoak(report *soak.Report, failure error, file string, streams commandline.Streams) error {
	if file == "" {
		return report.WriteMarkdown(streams.Out, failure)
	}
	out, err := os.Create(file)
	if err != nil {
		return err
	}
	return errors.Join(report.WriteMarkdown(out, failure), out.Close())
}
