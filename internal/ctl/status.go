package ctl

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/commandline"
)

const readyPath = "/readyz"

func statusCommand(streams commandline.Streams) *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show nodes, zones and conditions at a glance",
		Action: func(ctx context.Context, command *cli.Command) error {
			return status(ctx, command, streams.Out)
		},
	}
}

func status(ctx context.Context, command *cli.Command, out io.Writer) error {
	if _, err := commandline.Arguments(command, 0, 0); err != nil {
		return err
	}
	client, err := newClient(command)
	if err != nil {
		return err
	}
	if err := writeServers(ctx, client, out); err != nil {
		return err
	}
	var every []v1.Object
	for _, kind := range v1.Kinds {
		objects, err := client.list(ctx, kind)
		if err != nil {
			return err
		}
		every = append(every, objects...)
		if kind != v1.KindZone && kind != v1.KindPool {
			continue
		}
		_, _ = fmt.Fprintf(out, "\n%sS\n", upper(kind))
		if err := writeTable(out, kind, objects); err != nil {
			return err
		}
	}
	return writeConditions(out, every)
}

// writeServers shows whether each named server takes work.
func writeServers(ctx context.Context, client *client, out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, columnPadding, ' ', 0)
	writeRow(table, []string{"SERVER", "READY"})
	for _, server := range client.servers {
		ready := "True"
		if err := client.callServer(ctx, server, http.MethodGet, readyPath, nil, nil); err != nil {
			ready = fmt.Sprintf("False: %s", err)
		}
		writeRow(table, []string{server, ready})
	}
	return table.Flush()
}

// writeConditions shows every condition that is not as it should be.
func writeConditions(out io.Writer, objects []v1.Object) error {
	table := tabwriter.NewWriter(out, 0, 0, columnPadding, ' ', 0)
	writeRow(table, []string{"RESOURCE", "CONDITION", "STATUS", "REASON", "MESSAGE"})
	found := 0
	for _, object := range objects {
		for _, wanted := range conditionColumns {
			condition, known := findCondition(object, wanted)
			cell := conditionCell(object, wanted)
			if isHealthy(wanted, cell) {
				continue
			}
			if !known {
				condition.Message = "not yet reported"
			}
			writeRow(table, []string{objectID(object), string(wanted), cell, orDash(condition.Reason), orDash(condition.Message)})
			found++
		}
	}
	if found == 0 {
		_, err := fmt.Fprintf(out, "\nAll %d resources are accepted and in force.\n", len(objects))
		return err
	}
	_, _ = fmt.Fprintln(out)
	return table.Flush()
}

// isHealthy reports whether a condition is as it should be. Degraded need not be reported.
func isHealthy(condition v1.ConditionType, cell string) bool {
	if condition == v1.ConditionDegraded {
		return cell != string(v1.ConditionTrue)
	}
	return cell == string(v1.ConditionTrue)
}
