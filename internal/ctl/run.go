// Package ctl is the operators' command line. It holds no state: each command reads and writes the resource API of
// the first of the named servers that answers.
package ctl

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/covelink/covelink/internal/commandline"
)

// Run runs the command that args (with the program's name first) state and returns the exit code: failed when the server
// refused the request or could not be asked, usage when a file is not valid. An error is one line on streams.Err.
func Run(ctx context.Context, args []string, streams commandline.Streams) int {
	return commandline.Run(ctx, newCommand(streams), args, streams)
}

func newCommand(streams commandline.Streams) *cli.Command {
	return &cli.Command{
		Name:                  "covelinkctl",
		Usage:                 "write covelink resources and watch their status",
		Flags:                 clientFlags(),
		EnableShellCompletion: true,
		ConfigureShellCompletionCommand: func(command *cli.Command) {
			command.Hidden = false
		},
		Commands: []*cli.Command{
			applyCommand(streams),
			getCommand(streams),
			watchCommand(streams),
			deleteCommand(streams),
			statusCommand(streams),
			explainCommand(streams),
			stepsCommand(streams),
			dutiesCommand(streams),
			tenantsCommand(streams),
			quarantineCommand(streams),
			zonesCommand(streams),
		},
	}
}
