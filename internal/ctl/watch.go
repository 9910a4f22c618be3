package ctl

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/urfave/cli/v3"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/commandline"
	"github.com/covelink/covelink/internal/resourceapi"
)

// rewatchDelay is the time between the end of a watch and the next.
const rewatchDelay = 500 * time.Millisecond

func watchCommand(streams commandline.Streams) *cli.Command {
	return &cli.Command{
		Name:      "watch",
		Usage:     "show each change of the resources of a kind until interrupted",
		ArgsUsage: "KIND",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagOutput, Aliases: []string{"o"}, Usage: "table or json", Value: outputTable},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			return watch(ctx, command, streams.Out)
		},
	}
}

func watch(ctx context.Context, command *cli.Command, out io.Writer) error {
	given, err := commandline.Arguments(command, 1, 1)
	if err != nil {
		return err
	}
	kind, err := parseKind(given[0])
	if err != nil {
		return err
	}
	format := command.String(flagOutput)
	if format != outputTable && format != outputJSON {
		return commandline.UsageErrorf("--output %q: must be table or json", format)
	}
	client, err := newClient(command)
	if err != nil {
		return err
	}
	watcher := &watcher{client: client, kind: kind, format: format, out: out}
	return watcher.run(ctx)
}

// watcher follows the resources of a kind over any number of watches.
type watcher struct {
	client *client
	kind   v1.Kind
	format string
	out    io.Writer
	// seen is the last resourceVersion received; empty before the first and after the server forgot it.
	seen string
	// began is set once a server has taken a watch; from then on lost servers are waited for.
	began bool
}

// run ends without an error when ctx does.
func (w *watcher) run(ctx context.Context) error {
	for {
		err := w.watchOnce(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil && !w.recover(err) {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(rewatchDelay):
		}
	}
}

// recover reports whether the watch can go on after the error.
func (w *watcher) recover(err error) bool {
	if hasReason(err, resourceapi.ReasonExpired) {
		w.seen = ""
		return true
	}
	return w.began && mayTryNext(http.MethodGet, err)
}

// watchOnce prints the changes of one watch, at the first server that takes it.
func (w *watcher) watchOnce(ctx context.Context) error {
	query := url.Values{"watch": {"true"}}
	if w.seen != "" {
		query.Set("resourceVersion", w.seen)
	}
	path := resourcePath(w.kind, "") + encodeQuery(query)
	var failed error
	for _, server := range w.client.servers {
		var response *http.Response
		if response, failed = w.client.open(ctx, server, http.MethodGet, path, nil); failed == nil {
			w.began = true
			return w.read(response.Body)
		}
		if !mayTryNext(http.MethodGet, failed) {
			return failed
		}
	}
	return failed
}

// watchLine is one line of a watch.
type watchLine struct {
	Type   resourceapi.WatchEventType `json:"type"`
	Object json.RawMessage            `json:"object"`
}

// read prints the lines of a watch until it ends. A broken line ends it like a lost connection.
func (w *watcher) read(body io.ReadCloser) error {
	defer func() { _ = body.Close() }()
	decoder := json.NewDecoder(bufio.NewReader(body))
	for {
		var line watchLine
		if err := decoder.Decode(&line); err != nil {
			return nil
		}
		object := v1.NewObject(w.kind)
		if err := json.Unmarshal(line.Object, object); err != nil {
			return fmt.Errorf("the server's watch line is not a %s: %w", w.kind, err)
		}
		if err := w.print(line, object); err != nil {
			return err
		}
		w.seen = object.Meta().ResourceVersion
	}
}

func (w *watcher) print(line watchLine, object v1.Object) error {
	if w.format == outputJSON {
		return json.NewEncoder(w.out).Encode(line)
	}
	_, err := fmt.Fprintf(w.out, "%-8s %s resourceVersion=%s Accepted=%s InForce=%s Degraded=%s\n", line.Type, objectID(object),
		object.Meta().ResourceVersion, conditionCell(object, v1.ConditionAccepted),
		conditionCell(object, v1.ConditionInForce), conditionCell(object, v1.ConditionDegraded))
	return err
}
