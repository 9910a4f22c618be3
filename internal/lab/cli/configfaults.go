package cli

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/covelink/covelink/internal/commandline"
	"github.com/covelink/covelink/internal/lab/configfaults"
)

const defaultFaultSeeds = 10

func configFaultsCommand(streams commandline.Streams) *cli.Command {
	return &cli.Command{
		Name:  "config-faults",
		Usage: "run the acceptance of configuration under faults, alone and in pairs, in virtual time",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: flagSeeds, Usage: "runs of each scenario, with the seeds 1 to N", Value: defaultFaultSeeds},
			&cli.StringSliceFlag{Name: flagScenario, Usage: "only this scenario, as in the report; may be repeated"},
			&cli.BoolFlag{Name: flagJSON, Usage: "print JSON, with durations in nanoseconds"},
		},
		Action: func(_ context.Context, command *cli.Command) error {
			if err := noArguments(command); err != nil {
				return err
			}
			return runConfigFaults(command, streams)
		},
	}
}

func runConfigFaults(command *cli.Command, streams commandline.Streams) error {
	seeds := command.Int(flagSeeds)
	if seeds < 1 {
		return commandline.UsageErrorf("--%s: must be above 0", flagSeeds)
	}
	scenarios := configfaults.Scenarios()
	if names := command.StringSlice(flagScenario); len(names) > 0 {
		scenarios = nil
		for _, name := range names {
			scenario, err := configfaults.ParseScenario(name)
			if err != nil {
				return commandline.UsageErrorf("--%s: %s", flagScenario, err)
			}
			scenarios = append(scenarios, scenario)
		}
	}
	summaries := configfaults.RunAll(scenarios, seeds, configfaults.FullSize())
	var report bytes.Buffer
	if err := printSummaries(&report, summaries, command.Bool(flagJSON)); err != nil {
		return err
	}
	_, _ = report.WriteTo(streams.Out)
	for _, summary := range summaries {
		if summary.Violations() > 0 {
			return errBroken
		}
	}
	return nil
}

func printSummaries(out io.Writer, summaries []configfaults.Summary, asJSON bool) error {
	if asJSON {
		return writeJSON(out, summaries)
	}
	table := tabwriter.NewWriter(out, 0, 0, 1, ' ', tabwriter.AlignRight)
	row := func(cells ...any) {
		for _, cell := range cells {
			_, _ = fmt.Fprint(table, cell, "\t")
		}
		_, _ = fmt.Fprintln(table)
	}
	row("scenario", "seeds", "lost", "reverted", "outside", "refused*", "false", "open", "late",
		"writes", "done", "not run", "unknown", "requests", "p50 s", "p99 s", "after p50 s", "after p99 s",
		"all p50 s", "all p99 s", "quorum p50 s", "quorum p99 s")
	for _, s := range summaries {
		row(s.Scenario, s.Seeds, s.Lost, s.Reverted, s.OutsideZones, s.WronglyRefused, s.FalseOutcomes, s.NotInForce, s.Late,
			s.Writes, s.Completed, s.NotRun, s.Unknown, s.Requests,
			seconds(s.InForceP50), seconds(s.InForceP99), seconds(s.AfterFaultP50), seconds(s.AfterFaultP99),
			seconds(s.ByAllP50), seconds(s.ByAllP99), seconds(s.ByQuorumP50), seconds(s.ByQuorumP99))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, s := range summaries {
		if s.First != "" {
			_, _ = fmt.Fprintf(out, "%s, seed %d: %s\n", s.Scenario, s.FirstSeed, s.First)
		}
	}
	return nil
}

func seconds(duration time.Duration) string { return fmt.Sprintf("%.3f", duration.Seconds()) }
