package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/covelink/covelink/internal/commandline"
	"github.com/covelink/covelink/internal/zonestatus"
)

func zonesCommand(streams commandline.Streams) *cli.Command {
	metrics := func() cli.Flag {
		return &cli.StringFlag{Name: flagMetrics, Usage: "`HOST:PORT` of listen.metrics of any process of the deployment", Required: true}
	}
	return &cli.Command{
		Name:  "zones",
		Usage: "list the zones with their engines, have nothing sent to a zone, or have it served again",
		Commands: []*cli.Command{
			{
				Name:  "list",
				Usage: "list the zones as the asked process knows them; the coordinating process also tells who does not go by the newest evacuations yet",
				Flags: []cli.Flag{metrics()},
				Action: func(ctx context.Context, command *cli.Command) error {
					if _, err := commandline.Arguments(command, 0, 0); err != nil {
						return err
					}
					return listZones(ctx, command.String(flagMetrics), streams.Out)
				},
			},
			{
				Name:      "evacuate",
				Usage:     "have no request sent to the engines of a zone",
				ArgsUsage: "ZONE",
				Flags: []cli.Flag{
					metrics(),
					&cli.BoolFlag{Name: flagWait, Usage: "wait until all processes that poll the coordinating one go by it; ask that one"},
					&cli.DurationFlag{Name: flagTimeout, Usage: "how long to wait at most", Value: defaultWait},
				},
				Action: func(ctx context.Context, command *cli.Command) error {
					arguments, err := commandline.Arguments(command, 1, 1)
					if err != nil {
						return err
					}
					address := command.String(flagMetrics)
					revision, err := evacuateZone(ctx, address, arguments[0], streams.Out)
					if err != nil || !command.Bool(flagWait) {
						return err
					}
					return awaitEvacuation(ctx, address, revision, command.Duration(flagTimeout), streams.Out)
				},
			},
			{
				Name:      "restore",
				Usage:     "let requests be sent to the engines of a zone again",
				ArgsUsage: "ZONE",
				Flags:     []cli.Flag{metrics()},
				Action: func(ctx context.Context, command *cli.Command) error {
					arguments, err := commandline.Arguments(command, 1, 1)
					if err != nil {
						return err
					}
					return restoreZone(ctx, command.String(flagMetrics), arguments[0], streams.Out)
				},
			},
		},
	}
}

func listZones(ctx context.Context, address string, out io.Writer) error {
	var list zonestatus.List
	if err := callDebug(ctx, http.MethodGet, address, zonestatus.ListPath, &list); err != nil {
		return err
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "ZONE\tREGION\tREADY\tCOLD\tLEAVING\tEVACUATED SINCE\n")
	for _, zone := range list.Zones {
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%s\n", zone.Name, orDash(zone.Region), zone.Ready, zone.Cold, zone.Leaving, revisionOrDash(zone.EvacuatedSince))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := io.WriteString(out, standingOf(list)+progressLines(list))
	return err
}

// standingOf returns a line on the evacuations that the asked process applies and on the coordinating process.
func standingOf(list zonestatus.List) string {
	line := fmt.Sprintf("%s goes by the evacuations of revision %d", list.Node, list.Revision)
	switch {
	case !list.Follows:
		line = list.Node + " follows the deployment only while it coordinates: the zones above are those of its last term"
	case !list.Known:
		line = list.Node + " does not know which zones are evacuated and sends requests to none"
	}
	if list.Progress != nil {
		return line + " and coordinates\n"
	}
	if list.Coordinator.Name == "" {
		return line + "; who coordinates is not known\n"
	}
	return fmt.Sprintf("%s; %s (%s) coordinates\n", line, list.Coordinator.Name, list.Coordinator.Address)
}

// progressLines lists the processes that do not apply the newest evacuations; empty unless the asked process coordinates.
func progressLines(list zonestatus.List) string {
	if list.Progress == nil {
		return ""
	}
	lines := fmt.Sprintf("revision %d is in force at %d of %d processes that poll\n", list.Progress.Revision, list.Progress.Holding, list.Progress.Polling)
	for _, behind := range list.Progress.Behind {
		lines += fmt.Sprintf("not yet at %s in %s: revision %d, polled %s ago\n", behind.Name, orDash(behind.Zone), behind.Revision,
			time.Duration(behind.PolledMillis)*time.Millisecond)
	}
	if unnamed := list.Progress.Polling - list.Progress.Holding - len(list.Progress.Behind); unnamed > 0 {
		lines += fmt.Sprintf("not yet at %d more\n", unnamed)
	}
	for _, relay := range list.Progress.Relays {
		lines += fmt.Sprintf("relay %s answers %d processes, %d with the newest configuration, polled %s ago\n", relay.Name, relay.Processes, relay.Holding,
			time.Duration(relay.PolledMillis)*time.Millisecond)
	}
	return lines
}

func evacuateZone(ctx context.Context, address, zone string, out io.Writer) (revision int64, err error) {
	var written zonestatus.Written
	if err := callDebug(ctx, http.MethodPost, address, zonestatus.EvacuatePath+url.PathEscape(zone), &written); err != nil {
		return 0, err
	}
	_, err = fmt.Fprintf(out, "zone %s evacuated at revision %d\n", zone, written.Revision)
	return written.Revision, err
}

func restoreZone(ctx context.Context, address, zone string, out io.Writer) error {
	if err := callDebug(ctx, http.MethodPost, address, zonestatus.RestorePath+url.PathEscape(zone), nil); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "zone %s restored\n", zone)
	return err
}

// awaitEvacuation waits until the asked process, which must coordinate, and all that poll it apply the evacuations of a revision.
func awaitEvacuation(ctx context.Context, address string, revision int64, within time.Duration, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	for {
		var list zonestatus.List
		if err := callDebug(ctx, http.MethodGet, address, zonestatus.ListPath, &list); err != nil {
			return fmt.Errorf("evacuated, but not known to be in force: %w", err)
		}
		switch {
		case list.Progress == nil:
			return errors.New("evacuated, but not waited for: " + standingOf(list))
		case list.InForce(revision):
			_, err := fmt.Fprintf(out, "in force at all %d processes that poll\n", list.Progress.Polling)
			return err
		}
		select {
		case <-time.After(waitPollInterval):
		case <-ctx.Done():
			return fmt.Errorf("evacuated, but not in force everywhere after %s: %s", within, progressLines(list))
		}
	}
}

func revisionOrDash(revision int64) string {
	if revision == 0 {
		return "-"
	}
	return fmt.Sprintf("revision %d", revision)
}
