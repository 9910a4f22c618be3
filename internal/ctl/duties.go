package ctl

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/covelink/covelink/internal/commandline"
	"github.com/covelink/covelink/internal/logtrace"
)

func dutiesCommand(streams commandline.Streams) *cli.Command {
	return &cli.Command{
		Name:  "duties",
		Usage: "tell who reported use and ordered engines, how each window was reported, and which callers were refused, from the logs of all processes",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagLogs, Usage: "read the logs in `FOLDER`, one file a process", Required: true},
		},
		Action: func(_ context.Context, command *cli.Command) error {
			if _, err := commandline.Arguments(command, 0, 0); err != nil {
				return err
			}
			duties, err := logtrace.ReadDuties(command.String(flagLogs))
			if err != nil {
				return err
			}
			return logtrace.WriteDuties(streams.Out, duties)
		},
	}
}
