package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/urfave/cli/v3"

	"github.com/covelink/covelink/internal/commandline"
	"github.com/covelink/covelink/internal/logtrace"
)

const (
	explainPath = "/debug/explain/"
	flagLogs    = "logs"
)

func explainCommand(streams commandline.Streams) *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "tell why a request or sample was placed, waited or was refused",
		ArgsUsage: "REQUEST|SAMPLE|JOB",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagLogs, Usage: "search the logs in `FOLDER`, one file a process, instead of asking the nodes"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			return explain(ctx, command, streams.Out)
		},
	}
}

func explain(ctx context.Context, command *cli.Command, out io.Writer) error {
	given, err := commandline.Arguments(command, 1, 1)
	if err != nil {
		return err
	}
	if folder := command.String(flagLogs); folder != "" {
		return explainFromLogs(folder, given[0], out)
	}
	client, err := newClient(command)
	if err != nil {
		return err
	}
	answer, err := askEach(ctx, client, explainPath+url.PathEscape(given[0]))
	if err != nil {
		return fmt.Errorf("%s: %w", given[0], err)
	}
	return writeLines(out, answer)
}

// explainFromLogs tells what the logs of a folder hold of a request, a batch job or an item.
func explainFromLogs(folder, id string, out io.Writer) error {
	lines, err := logtrace.ReadFolder(folder)
	if err != nil {
		return err
	}
	trace, err := logtrace.Find(lines, id)
	if err != nil {
		return err
	}
	return trace.Write(out)
}

// askEach returns the first answer of a server that has one. Each node remembers its own decisions: one that does not
// know the request is no reason to stop. If none has an answer, what a server said goes before what could not be reached.
func askEach(ctx context.Context, client *client, path string) (json.RawMessage, error) {
	var answer json.RawMessage
	var failed error
	for _, server := range client.servers {
		err := client.callServer(ctx, server, http.MethodGet, path, nil, &answer)
		if err == nil {
			return answer, nil
		}
		var refused *serverError
		if failed == nil || errors.As(err, &refused) {
			failed = err
		}
	}
	return nil, failed
}

// writeLines prints a JSON text as one "path: value" line for each scalar, in the order of the text.
func writeLines(out io.Writer, text json.RawMessage) error {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	printer := &linePrinter{decoder: decoder, out: out}
	return printer.value("")
}

// linePrinter prints JSON as it reads it.
type linePrinter struct {
	decoder *json.Decoder
	out     io.Writer
}

func (p *linePrinter) value(path string) error {
	token, err := p.decoder.Token()
	if err != nil {
		return err
	}
	switch token {
	case json.Delim('{'):
		return p.object(path)
	case json.Delim('['):
		return p.list(path)
	case nil:
		token = emptyCell
	}
	if path != "" {
		path += ": "
	}
	_, err = fmt.Fprintf(p.out, "%s%v\n", path, token)
	return err
}

func (p *linePrinter) object(path string) error {
	for p.decoder.More() {
		name, err := p.decoder.Token()
		if err != nil {
			return err
		}
		member := fmt.Sprint(name)
		if path != "" {
			member = path + "." + member
		}
		if err := p.value(member); err != nil {
			return err
		}
	}
	_, err := p.decoder.Token()
	return err
}

func (p *linePrinter) list(path string) error {
	for index := 0; p.decoder.More(); index++ {
		if err := p.value(fmt.Sprintf("%s[%d]", path, index)); err != nil {
			return err
		}
	}
	_, err := p.decoder.Token()
	return err
}
