package cli

import (
	"context"
	"errors"
	"fmt"
	"io/fs"

	"github.com/urfave/cli/v3"

	"github.com/covelink/covelink/internal/commandline"
	"github.com/covelink/covelink/internal/lab/replay"
	"github.com/covelink/covelink/internal/lab/trace"
)

const flagAll = "all"

// traceCommands replay, generate and record traces.
func traceCommands(streams commandline.Streams) []*cli.Command {
	return []*cli.Command{replayCommand(streams), generateCommand(streams), recordCommand(streams)}
}

func replayCommand(streams commandline.Streams) *cli.Command {
	return &cli.Command{
		Name:      "replay",
		Usage:     "replay traces in virtual time and compare what happens with the outcomes that they state",
		ArgsUsage: "FILE...",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: flagAll, Usage: "print every outcome that is not met, not only the first of a trace"},
		},
		Action: func(_ context.Context, command *cli.Command) error {
			traces, err := readTraces(command.Args().Slice())
			if err != nil {
				return err
			}
			return replayTraces(traces, command.Bool(flagAll), streams)
		},
	}
}

// readTraces reads every trace before any is replayed.
func readTraces(files []string) ([]*trace.Trace, error) {
	if len(files) == 0 {
		return nil, commandline.UsageErrorf("no trace file given")
	}
	traces := make([]*trace.Trace, 0, len(files))
	for _, file := range files {
		read, err := readTrace(file)
		if err != nil {
			return nil, err
		}
		traces = append(traces, read)
	}
	return traces, nil
}

func readTrace(file string) (*trace.Trace, error) {
	read, err := trace.ReadFile(file)
	return read, badTrace(err)
}

// badTrace turns a fault of a trace file into bad input.
func badTrace(err error) error {
	var unfit *trace.Error
	var path *fs.PathError
	if errors.As(err, &unfit) || errors.As(err, &path) {
		return commandline.UsageErrorf("%s", err)
	}
	return err
}

// replayTraces prints one line for each trace.
func replayTraces(traces []*trace.Trace, all bool, streams commandline.Streams) error {
	unmet := 0
	for _, read := range traces {
		result, err := replay.Run(read)
		if err != nil {
			return badTrace(err)
		}
		_, _ = fmt.Fprintln(streams.Out, result)
		if result.Met() {
			continue
		}
		unmet++
		if all {
			for _, outcome := range result.Unmet {
				_, _ = fmt.Fprintln(streams.Out, "     ", outcome)
			}
		}
	}
	if unmet > 0 {
		return fmt.Errorf("%d of %d traces did not show the outcomes that they state", unmet, len(traces))
	}
	return nil
}
