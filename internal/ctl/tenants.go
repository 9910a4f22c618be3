package ctl

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"github.com/covelink/covelink/internal/commandline"
	"github.com/covelink/covelink/internal/tenants"
)

func tenantsCommand(streams commandline.Streams) *cli.Command {
	return &cli.Command{
		Name:  "tenants",
		Usage: "list the tenants of the configuration in force at a gateway, with the beginnings of their keys' hashes",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagMetrics, Usage: "the gateway's `HOST:PORT` of listen.metrics", Required: true},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			if _, err := commandline.Arguments(command, 0, 0); err != nil {
				return err
			}
			return listTenants(ctx, command.String(flagMetrics), streams.Out)
		},
	}
}

func listTenants(ctx context.Context, address string, out io.Writer) error {
	var list tenants.List
	if err := callDebug(ctx, http.MethodGet, address, tenants.ListPath, &list); err != nil {
		return err
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "CONFIG\tTENANT\tPRIORITY\tKEYS\n")
	for _, tenant := range list.Tenants {
		fmt.Fprintf(table, "%d\t%s\t%d\t%s\n", list.Config, tenant.Name, tenant.Priority, strings.Join(tenant.KeyHashes, ","))
	}
	return table.Flush()
}
