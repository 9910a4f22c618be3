package cli

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/covelink/covelink/internal/commandline"
	"github.com/covelink/covelink/internal/lab/replay"
)

const (
	flagShrink = "shrink"
	flagCount  = "count"
)

func generateCommand(streams commandline.Streams) *cli.Command {
	return &cli.Command{
		Name: "generate",
		Usage: "print the trace that a seed composes; with --count replay the traces of so many seeds; with --shrink reduce a " +
			"trace whose stated outcomes are not met to a smaller one",
		Flags: []cli.Flag{
			&cli.Int64Flag{Name: flagSeed, Usage: "seed of the trace, or of the first of them", Value: 1},
			&cli.IntFlag{Name: flagCount, Usage: "replay the traces of so many seeds and print those that fail"},
			&cli.StringFlag{Name: flagShrink, Usage: "trace `FILE` to reduce"},
		},
		Action: func(_ context.Context, command *cli.Command) error {
			if err := noArguments(command); err != nil {
				return err
			}
			switch {
			case command.String(flagShrink) != "":
				return shrink(command.String(flagShrink), streams)
			case command.Int(flagCount) > 0:
				return replaySeeds(command.Int64(flagSeed), command.Int(flagCount), streams)
			case command.Int(flagCount) < 0:
				return commandline.UsageErrorf("--%s: must be above 0", flagCount)
			}
			_, err := replay.Generate(command.Int64(flagSeed)).WriteTo(streams.Out)
			return err
		},
	}
}

// replaySeeds replays the traces of several seeds.
func replaySeeds(first int64, count int, streams commandline.Streams) error {
	unmet := 0
	for seed := first; seed < first+int64(count); seed++ {
		result, err := replay.Run(replay.Generate(seed))
		if err != nil {
			return err
		}
		if !result.Met() {
			unmet++
			_, _ = fmt.Fprintln(streams.Out, result)
		}
	}
	_, _ = fmt.Fprintf(streams.Out, "%d seeds from %d, %d with outcomes that are not met\n", count, first, unmet)
	if unmet > 0 {
		return fmt.Errorf("%d of %d generated traces did not show the outcomes that they state", unmet, count)
	}
	return nil
}

func shrink(file string, streams commandline.Streams) error {
	read, err := readTrace(file)
	if err != nil {
		return err
	}
	smaller, err := replay.Shrink(read)
	if err != nil {
		return badTrace(err)
	}
	_, err = smaller.WriteTo(streams.Out)
	return err
}
