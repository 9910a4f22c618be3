package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/urfave/cli/v3"
)

const explainPath = "/debug/explain/"

func explainCommand(streams Streams) *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "tell why a request or sample was placed, waited or was refused",
		ArgsUsage: "REQUEST|SAMPLE",
		Action: func(ctx context.Context, command *cli.Command) error {
			return explain(ctx, command, streams.Out)
		},
	}
}

func explain(ctx context.Context, command *cli.Command, out io.Writer) error {
	given, err := arguments(command, 1, 1)
	if err != nil {
		return err
	}
	client, err := newClient(command)
	if err != nil {
		return err
	}
	var answer json.RawMessage
	// Each node remembers its own decisions: one that does not know the request is no reason to stop.
	var failed error
	for _, server := range client.servers {
		failed = client.callServer(ctx, server, http.MethodGet, explainPath+url.PathEscape(given[0]), nil, &answer)
		if failed == nil {
			return writeLines(out, answer)
		}
	}
	return fmt.Errorf("%s: %w", given[0], failed)
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
