package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"

	"github.com/urfave/cli/v3"

	"github.com/covelink/covelink/internal/commandline"
	"github.com/covelink/covelink/internal/lab/replay"
	"github.com/covelink/covelink/internal/lab/trace"
)

const (
	flagAll     = "all"
	flagOutcome = "outcome"
)

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
			&cli.BoolFlag{Name: flagOutcome, Usage: "print everything that each trace showed as JSON too, to state outcomes by"},
		},
		Action: func(_ context.Context, command *cli.Command) error {
			traces, err := readTraces(command.Args().Slice())
			if err != nil {
				return err
			}
			return replayTraces(traces, replayOutput{all: command.Bool(flagAll), outcome: command.Bool(flagOutcome), streams: streams})
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

// replayOutput is what is printed beside the line of a trace.
type replayOutput struct {
	all, outcome bool
	streams      commandline.Streams
}

// print prints the result of one trace.
func (o replayOutput) print(result *replay.Result) error {
	_, _ = fmt.Fprintln(o.streams.Out, result)
	if o.all && !result.Met() {
		for _, unmet := range result.Unmet {
			_, _ = fmt.Fprintln(o.streams.Out, "     ", unmet)
		}
	}
	if !o.outcome {
		return nil
	}
	return json.NewEncoder(o.streams.Out).Encode(result.Outcome)
}

// replayTraces prints one line for each trace.
func replayTraces(traces []*trace.Trace, output replayOutput) error {
	unmet := 0
	for _, read := range traces {
		result, err := replay.Run(read)
		if err != nil {
			return badTrace(err)
		}
		if err := output.print(result); err != nil {
			return err
		}
		if !result.Met() {
			unmet++
		}
	}
	if unmet > 0 {
		return fmt.Errorf("%d of %d traces did not show the outcomes that they state", unmet, len(traces))
	}
	return nil
}
