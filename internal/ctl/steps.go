package ctl

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/covelink/covelink/internal/commandline"
	"github.com/covelink/covelink/internal/logtrace"
)

func stepsCommand(streams commandline.Streams) *cli.Command {
	return &cli.Command{
		Name:  "steps",
		Usage: "tell for each step of each trainer what it waited for, from the coordinators' logs",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagLogs, Usage: "read the logs in `FOLDER`, one file a process", Required: true},
		},
		Action: func(_ context.Context, command *cli.Command) error {
			if _, err := commandline.Arguments(command, 0, 0); err != nil {
				return err
			}
			steps, err := logtrace.ReadSteps(command.String(flagLogs))
			if err != nil {
				return err
			}
			return logtrace.WriteSteps(streams.Out, steps)
		},
	}
}
