package cli

import (
	"context"
	"errors"

	"github.com/urfave/cli/v3"

	"github.com/covelink/covelink/internal/commandline"
	"github.com/covelink/covelink/internal/lab/compare"
	"github.com/covelink/covelink/internal/lab/sim"
)

const (
	flagPlot      = "plot"
	flagAblations = "ablations"
	flagLoad      = "load"

	defaultSeeds   = 3
	defaultWorkers = 3
)

// errIncomparable reports that a run did not end, or broke a promise; the table names it.
var errIncomparable = errors.New("a run did not deliver every batch or broke a promise")

func compareCommand(streams commandline.Streams) *cli.Command {
	return &cli.Command{
		Name:  "compare",
		Usage: "compare covelink with baselines on the same seeded work, in virtual time",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagScenario, Usage: "the scenario's `FILE`", Required: true},
			&cli.IntFlag{Name: flagSeeds, Usage: "runs of each policy", Value: defaultSeeds},
			&cli.BoolFlag{Name: flagJSON, Usage: "write the report as JSON"},
			&cli.StringFlag{Name: flagPlot, Usage: "write pictures into the folder `DIR`"},
			&cli.BoolFlag{Name: flagAblations, Usage: "add covelink with one mechanism switched off at a time"},
			&cli.FloatFlag{Name: flagLoad, Usage: "multiply the rates of the applications", Value: 1},
			&cli.IntFlag{Name: flagWorkers, Usage: "simulations at once", Value: defaultWorkers},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			if err := noArguments(command); err != nil {
				return err
			}
			return runCompare(ctx, command, streams)
		},
	}
}

func runCompare(ctx context.Context, command *cli.Command, streams commandline.Streams) error {
	if command.Int(flagSeeds) < 1 || command.Int(flagWorkers) < 1 {
		return commandline.UsageErrorf("--%s and --%s must be above 0", flagSeeds, flagWorkers)
	}
	if command.Float(flagLoad) <= 0 {
		return commandline.UsageErrorf("--%s must be above 0", flagLoad)
	}
	scenario, err := sim.Load(command.String(flagScenario))
	if err != nil {
		return err
	}
	report, err := compare.Run(ctx, scenario, compare.Options{
		Seeds: command.Int(flagSeeds), Ablations: command.Bool(flagAblations), Workers: command.Int(flagWorkers),
		Load: command.Float(flagLoad),
	})
	if err != nil {
		return err
	}
	if folder := command.String(flagPlot); folder != "" {
		if err := report.Plot(folder); err != nil {
			return err
		}
	}
	if command.Bool(flagJSON) {
		err = report.WriteJSON(streams.Out)
	} else {
		err = report.WriteTable(streams.Out)
	}
	if err != nil {
		return err
	}
	for _, row := range report.Rows {
		if row.Unfinished > 0 || row.Broken > 0 {
			return errIncomparable
		}
	}
	return nil
}
