// Package ctl is the operators' command line. It holds no state: each command reads and writes the resource API of
// the first of the named servers that answers.
package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/urfave/cli/v3"
)

// The exit codes.
const (
	ExitOK     = 0
	ExitFailed = 1 // the server refused the request, or could not be asked
	ExitUsage  = 2 // bad usage, or a file that is not valid; nothing was written
)

// Streams are where a command reads and writes.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// usageError is a fault of the command line or of a file: nothing was sent to a server that changes anything.
type usageError struct {
	message string
}

func (e *usageError) Error() string { return e.message }

func usageErrorf(format string, args ...any) error {
	return &usageError{message: fmt.Sprintf(format, args...)}
}

// Run runs the command that args (with the program's name first) state and returns the exit code.
// An error is one line on streams.Err.
func Run(ctx context.Context, args []string, streams Streams) int {
	err := newCommand(streams).Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	line := strings.Join(strings.Fields(err.Error()), " ")
	_, _ = fmt.Fprintf(streams.Err, "covelinkctl: %s\n", line)
	var usage *usageError
	if errors.As(err, &usage) {
		return ExitUsage
	}
	return ExitFailed
}

func newCommand(streams Streams) *cli.Command {
	root := &cli.Command{
		Name:                  "covelinkctl",
		Usage:                 "write covelink resources and watch their status",
		Reader:                streams.In,
		Writer:                streams.Out,
		ErrWriter:             streams.Err,
		Flags:                 clientFlags(),
		EnableShellCompletion: true,
		ConfigureShellCompletionCommand: func(command *cli.Command) {
			command.Hidden = false
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Action:         rootAction,
		Commands: []*cli.Command{
			applyCommand(streams),
			getCommand(streams),
			watchCommand(streams),
			deleteCommand(streams),
			statusCommand(streams),
			explainCommand(streams),
		},
	}
	root.OnUsageError = onUsageError
	for _, command := range root.Commands {
		command.OnUsageError = onUsageError
	}
	return root
}

func rootAction(_ context.Context, command *cli.Command) error {
	if command.Args().Present() {
		return usageErrorf("unknown command %q", command.Args().First())
	}
	return cli.ShowAppHelp(command)
}

func onUsageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return usageErrorf("%s", err)
}

// arguments returns the positional arguments of a command that takes between least and most of them.
func arguments(command *cli.Command, least, most int) ([]string, error) {
	given := command.Args().Slice()
	if len(given) < least || len(given) > most {
		return nil, usageErrorf("usage: covelinkctl %s %s", command.Name, command.ArgsUsage)
	}
	return given, nil
}
