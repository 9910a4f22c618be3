package ctl

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/covelink/covelink/internal/commandline"
	"github.com/covelink/covelink/internal/quarantine"
)

func quarantineCommand(streams commandline.Streams) *cli.Command {
	metrics := func() cli.Flag {
		return &cli.StringFlag{Name: flagMetrics, Usage: "`HOST:PORT` of listen.metrics of any process of the deployment", Required: true}
	}
	return &cli.Command{
		Name:  "quarantine",
		Usage: "list the requests under which engines have ended, or release one",
		Commands: []*cli.Command{
			{
				Name:  "list",
				Usage: "list the requests under which engines have ended, by fingerprint, those with the most ends first",
				Flags: []cli.Flag{metrics()},
				Action: func(ctx context.Context, command *cli.Command) error {
					if _, err := commandline.Arguments(command, 0, 0); err != nil {
						return err
					}
					return listQuarantine(ctx, command.String(flagMetrics), streams.Out)
				},
			},
			{
				Name:      "release",
				Usage:     "let a request run again, at every gateway",
				ArgsUsage: "FINGERPRINT",
				Flags:     []cli.Flag{metrics()},
				Action: func(ctx context.Context, command *cli.Command) error {
					arguments, err := commandline.Arguments(command, 1, 1)
					if err != nil {
						return err
					}
					return callDebug(ctx, http.MethodPost, command.String(flagMetrics), quarantine.ReleasePath+arguments[0], nil)
				},
			},
		},
	}
}

func listQuarantine(ctx context.Context, address string, out io.Writer) error {
	var list quarantine.List
	if err := callDebug(ctx, http.MethodGet, address, quarantine.ListPath, &list); err != nil {
		return err
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "FINGERPRINT\tSTANDING\tTRIALS\tIDLE\tNEXT TRIAL\tENGINES ENDED\n")
	for _, request := range list.Requests {
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%s\t%s\n", request.Fingerprint, request.State, request.Trials,
			time.Duration(request.IdleMillis)*time.Millisecond, time.Duration(request.WaitMillis)*time.Millisecond, strings.Join(request.Engines, ","))
	}
	return table.Flush()
}
