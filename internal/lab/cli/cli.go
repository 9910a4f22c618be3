// Package cli is the command line of covelink-lab: the demo, the settings of whole deployments, and each stand-in as a
// process of its own.
package cli

import (
	"context"
	"encoding/json"
	"io"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/covelink/covelink/internal/commandline"
)

const programName = "covelink-lab"

// The flags that several commands have.
const (
	flagJSON     = "json"
	flagScenario = "scenario"
	flagSeed     = "seed"
	flagSeeds    = "seeds"
	flagWorkers  = "workers"
)

// Main runs the command line until it is done or the process gets SIGTERM or SIGINT, and returns the exit code.
func Main(arguments []string, streams commandline.Streams) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return Run(ctx, arguments, streams)
}

// Run runs the command line until it is done or ctx ends, and returns the exit code: failed when a promise was broken or
// something could not be started. An error is one line on streams.Err.
func Run(ctx context.Context, arguments []string, streams commandline.Streams) int {
	return commandline.Run(ctx, newCommand(streams), arguments, streams)
}

func newCommand(streams commandline.Streams) *cli.Command {
	root := &cli.Command{
		Name:  programName,
		Usage: "stand-ins for covelink's surroundings, and the tools that prove it",
		Commands: []*cli.Command{
			demoCommand(streams),
			upCommand(streams),
			configFaultsCommand(streams),
			plannedStopsCommand(streams),
			soakCommand(streams),
		},
	}
	root.Commands = append(root.Commands, traceCommands(streams)...)
	root.Commands = append(root.Commands, processCommands(streams)...)
	return root
}

// noArguments refuses positional arguments.
func noArguments(command *cli.Command) error {
	if command.Args().Present() {
		return commandline.UsageErrorf("unexpected argument %q", command.Args().First())
	}
	return nil
}

// writeJSON writes a report as indented JSON.
func writeJSON(out io.Writer, report any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(report)
}
