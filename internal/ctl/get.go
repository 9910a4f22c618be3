package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/goccy/go-yaml"
	"github.com/urfave/cli/v3"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/commandline"
)

// The output formats.
const (
	outputTable = "table"
	outputYAML  = "yaml"
	outputJSON  = "json"
)

func getCommand(streams commandline.Streams) *cli.Command {
	return &cli.Command{
		Name:      "get",
		Usage:     "show resources",
		ArgsUsage: "KIND [NAME]",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagOutput, Aliases: []string{"o"}, Usage: "table, yaml or json", Value: outputTable},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			return get(ctx, command, streams.Out)
		},
	}
}

func get(ctx context.Context, command *cli.Command, out io.Writer) error {
	given, err := commandline.Arguments(command, 1, 2)
	if err != nil {
		return err
	}
	kind, err := parseKind(given[0])
	if err != nil {
		return err
	}
	write, err := writerFor(command.String(flagOutput))
	if err != nil {
		return err
	}
	client, err := newClient(command)
	if err != nil {
		return err
	}
	objects, err := fetch(ctx, client, kind, given[1:])
	if err != nil {
		return err
	}
	return write(out, kind, objects)
}

func fetch(ctx context.Context, client *client, kind v1.Kind, names []string) ([]v1.Object, error) {
	if len(names) == 0 {
		return client.list(ctx, kind)
	}
	object, err := client.get(ctx, kind, names[0])
	if err != nil {
		return nil, err
	}
	if object == nil {
		return nil, fmt.Errorf("%s not found", referenceID(kind, names[0]))
	}
	return []v1.Object{object}, nil
}

// objectWriter prints resources of a kind.
type objectWriter func(out io.Writer, kind v1.Kind, objects []v1.Object) error

func writerFor(format string) (objectWriter, error) {
	switch format {
	case outputTable:
		return writeTable, nil
	case outputYAML:
		return writeYAML, nil
	case outputJSON:
		return writeJSON, nil
	default:
		return nil, commandline.UsageErrorf("--output %q: must be table, yaml or json", format)
	}
}

// writeYAML prints one document a resource; apply takes them back.
func writeYAML(out io.Writer, _ v1.Kind, objects []v1.Object) error {
	for index, object := range objects {
		if index > 0 {
			if _, err := fmt.Fprintln(out, "---"); err != nil {
				return err
			}
		}
		text, err := json.Marshal(object)
		if err != nil {
			return err
		}
		converted, err := yaml.JSONToYAML(text)
		if err != nil {
			return err
		}
		if _, err := out.Write(converted); err != nil {
			return err
		}
	}
	return nil
}

// writeJSON prints one line a resource.
func writeJSON(out io.Writer, _ v1.Kind, objects []v1.Object) error {
	encoder := json.NewEncoder(out)
	for _, object := range objects {
		if err := encoder.Encode(object); err != nil {
			return err
		}
	}
	return nil
}

func deleteCommand(streams commandline.Streams) *cli.Command {
	return &cli.Command{
		Name:      "delete",
		Usage:     "delete a resource",
		ArgsUsage: "KIND NAME",
		Flags:     writeFlags(),
		Action: func(ctx context.Context, command *cli.Command) error {
			return remove(ctx, command, streams.Out)
		},
	}
}

func remove(ctx context.Context, command *cli.Command, out io.Writer) error {
	given, err := commandline.Arguments(command, 2, 2)
	if err != nil {
		return err
	}
	kind, err := parseKind(given[0])
	if err != nil {
		return err
	}
	client, err := newClient(command)
	if err != nil {
		return err
	}
	options := readWriteOptions(command)
	id := referenceID(kind, given[1])
	if err := client.remove(ctx, kind, given[1], options); err != nil {
		return fmt.Errorf("%s: %w", id, err)
	}
	result := "deleted"
	if options.dryRun {
		result += " (dry run)"
	}
	_, err = fmt.Fprintf(out, "%s %s\n", id, result)
	return err
}
