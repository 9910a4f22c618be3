package cli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/covelink/covelink/internal/commandline"
	"github.com/covelink/covelink/internal/lab/replay"
	"github.com/covelink/covelink/internal/recorder"
)

const (
	flagURL   = "url"
	flagOut   = "out"
	flagToken = "token"

	recordTimeout = 30 * time.Second
	// maxRecordedBytes bounds what is taken from a node.
	maxRecordedBytes = 256 << 20
)

func recordCommand(streams commandline.Streams) *cli.Command {
	return &cli.Command{
		Name:  "record",
		Usage: "take a trace from a running node: its last requests, batches and publications, without their text",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagURL, Usage: "base URL of a node", Required: true},
			&cli.StringFlag{Name: flagOut, Usage: "`FILE` to write; it must not exist", Required: true},
			&cli.StringFlag{Name: flagToken, Usage: "operator token", Sources: cli.EnvVars("COVELINK_TOKEN"), HideDefault: true},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			if err := noArguments(command); err != nil {
				return err
			}
			return record(ctx, command, streams)
		},
	}
}

func record(ctx context.Context, command *cli.Command, streams commandline.Streams) error {
	base, err := url.Parse(command.String(flagURL))
	if err != nil || base.Host == "" || (base.Scheme != "http" && base.Scheme != "https") {
		return commandline.UsageErrorf("--%s %q: must be an http or https URL", flagURL, command.String(flagURL))
	}
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	body, err := fetchRecorded(ctx, strings.TrimRight(base.String(), "/")+recorder.PathTrace, command.String(flagToken))
	if err != nil {
		return err
	}
	defer body.Close()
	recorded, left, err := replay.FromRecorded(io.LimitReader(body, maxRecordedBytes))
	if err != nil {
		return fmt.Errorf("the node's records: %w", err)
	}
	out, err := os.OpenFile(command.String(flagOut), os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return commandline.UsageErrorf("--%s: %s", flagOut, err)
	}
	if _, err := recorded.WriteTo(out); err != nil {
		_ = out.Close()
		return err
	}
	_, _ = fmt.Fprintf(streams.Out, "%d events written to %s, %d records left out\n", len(recorded.Events), out.Name(), left)
	return out.Close()
}

func fetchRecorded(ctx context.Context, address, token string) (io.ReadCloser, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+token)
	client := &http.Client{CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	answer, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	if answer.StatusCode != http.StatusOK {
		_ = answer.Body.Close()
		return nil, fmt.Errorf("%s answered %s", address, answer.Status)
	}
	return answer.Body, nil
}
