package cli

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"github.com/covelink/covelink/internal/commandline"
	"github.com/covelink/covelink/internal/lab/survival"
)

const (
	flagPairs              = "pairs"
	flagFault              = "fault"
	defaultSurvivalSeeds   = 20
	defaultSurvivalWorkers = 3
)

func surviveCommand(streams commandline.Streams) *cli.Command {
	return &cli.Command{
		Name:  "survive",
		Usage: "run a small deployment under each fault, and under two at once, in virtual time",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: flagSeeds, Usage: "runs of each fault, with the seeds 1 to N", Value: defaultSurvivalSeeds},
			&cli.StringSliceFlag{Name: flagFault, Usage: "only this fault, as in the report, or two joined by +; may be repeated"},
			&cli.BoolFlag{Name: flagPairs, Usage: "every two faults at once, a row each"},
			&cli.Uint64Flag{Name: flagSeed, Usage: "only this seed of the one fault given; tells every breach"},
			&cli.IntFlag{Name: flagWorkers, Usage: "runs at a time", Value: defaultSurvivalWorkers},
			&cli.BoolFlag{Name: flagJSON, Usage: "print JSON, with durations in nanoseconds"},
		},
		Action: func(_ context.Context, command *cli.Command) error {
			if err := noArguments(command); err != nil {
				return err
			}
			return runSurvival(command, streams)
		},
	}
}

func runSurvival(command *cli.Command, streams commandline.Streams) error {
	seeds, workers := command.Int(flagSeeds), command.Int(flagWorkers)
	if seeds < 1 || workers < 1 {
		return commandline.UsageErrorf("--%s and --%s: must be above 0", flagSeeds, flagWorkers)
	}
	faults := survival.Faults()
	if command.Bool(flagPairs) {
		faults = survival.Pairs()
	}
	if names := command.StringSlice(flagFault); len(names) > 0 {
		faults = nil
		for _, name := range names {
			fault, err := survival.ParseFault(name)
			if err != nil {
				return commandline.UsageErrorf("--%s: %s", flagFault, err)
			}
			faults = append(faults, fault)
		}
	}
	if command.IsSet(flagSeed) {
		return replaySurvival(command, streams, faults)
	}
	rows := survival.Table(faults, seeds, workers)
	var report bytes.Buffer
	if err := printSurvival(&report, rows, command.Bool(flagJSON)); err != nil {
		return err
	}
	_, _ = report.WriteTo(streams.Out)
	for _, row := range rows {
		if row.Failed() {
			return errBroken
		}
	}
	return nil
}

// replaySurvival prints one run.
func replaySurvival(command *cli.Command, streams commandline.Streams, faults []survival.Fault) error {
	if len(faults) != 1 {
		return commandline.UsageErrorf("--%s: needs one --%s", flagSeed, flagFault)
	}
	result := survival.Run(faults[0], command.Uint64(flagSeed))
	if err := writeJSON(streams.Out, result); err != nil {
		return err
	}
	if !result.Kept() {
		return errBroken
	}
	return nil
}

func printSurvival(out io.Writer, rows []survival.Row, asJSON bool) error {
	if asJSON {
		return writeJSON(out, rows)
	}
	table := tabwriter.NewWriter(out, 0, 0, 1, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "fault\tseeds\tdelivered\tasked\tduplicates\tmissing\tstale\twrong versions\tnot whole\t"+
		"double executions\tfalse not run\tother\tanswers\tnot run\tunknown\thedges\trecovery p50\tmax\t")
	for _, r := range rows {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t\n",
			r.Fault, r.Seeds, r.Delivered, r.Asked, r.Duplicates, r.Missing, r.Stale, r.WrongVersions, r.NotWhole,
			r.DoubleExecutions, r.FalseNotRun, r.Other, r.Answers, r.NotRun, r.Unknown, r.Hedges, r.P50, r.Max)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, r := range rows {
		if r.Failed() {
			_, _ = fmt.Fprintf(out, "--fault %s --seed %d: %s\n", r.Fault, r.FirstSeed, r.First)
		}
	}
	return nil
}
