package cli

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/covelink/covelink/internal/commandline"
	"github.com/covelink/covelink/internal/lab/scale"
)

// controlSeed makes the measurement choose alike every time.
const controlSeed = 1

func controlCommand(streams commandline.Streams) *cli.Command {
	return &cli.Command{
		Name:  "control",
		Usage: "measure the cost of membership per node, in virtual time",
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "members", Usage: "numbers of nodes, split over 8 zones", Value: []int{10, 50, 150, 350}},
			&cli.BoolFlag{Name: "json", Usage: "print one JSON object a line"},
		},
		Action: func(_ context.Context, command *cli.Command) error {
			if err := noArguments(command); err != nil {
				return err
			}
			return measureControl(streams, command.IntSlice("members"), command.Bool("json"))
		},
	}
}

func measureControl(streams commandline.Streams, sizes []int, asJSON bool) error {
	if !asJSON {
		fmt.Fprintln(streams.Out, "members  sent B/s  received B/s  busiest B/s  frames/s  % of a core  settled")
	}
	for _, size := range sizes {
		result, err := scale.MeasureControl(size, controlSeed)
		if err != nil {
			return commandline.UsageErrorf("members: %v", err)
		}
		if asJSON {
			if err := json.NewEncoder(streams.Out).Encode(result); err != nil {
				return err
			}
			continue
		}
		fmt.Fprintf(streams.Out, "%7d  %8.0f  %12.0f  %11.0f  %8.1f  %11.3f  %7t\n", result.Members, result.SentBytes,
			result.ReceivedBytes, result.BusiestBytes, result.Frames, 100*result.CoreShare, result.Settled)
	}
	return nil
}
