// Package commandline is what the command lines of the project share: streams, exit codes, and errors in one line.
package commandline

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
	ExitFailed = 1 // the work was refused or failed
	ExitUsage  = 2 // bad usage, bad settings or a bad file; nothing was done
)

// Streams are where a command reads and writes.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// UsageError is a fault of the command line or of a file that it names: nothing was done.
type UsageError struct {
	message string
}

// UsageErrorf returns a UsageError with a formatted message.
func UsageErrorf(format string, args ...any) error {
	return &UsageError{message: fmt.Sprintf(format, args...)}
}

// Error implements error.
func (e *UsageError) Error() string { return e.message }

// BadInput marks the error as one of the input.
func (e *UsageError) BadInput() {}

// inputError is an error that says that the input is at fault; it ends the process with ExitUsage.
type inputError interface {
	error
	BadInput()
}

// Run runs the command that arguments (with the program's name first) state and returns the exit code. An error is one
// line on streams.Err that starts with the program's name.
func Run(ctx context.Context, root *cli.Command, arguments []string, streams Streams) int {
	prepare(root, streams)
	err := root.Run(ctx, arguments)
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintf(streams.Err, "%s: %s\n", root.Name, strings.Join(strings.Fields(err.Error()), " "))
	var input inputError
	if errors.As(err, &input) {
		return ExitUsage
	}
	return ExitFailed
}

// prepare makes the library report errors only through Run.
func prepare(root *cli.Command, streams Streams) {
	root.Reader = streams.In
	root.Writer = streams.Out
	root.ErrWriter = io.Discard
	root.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	root.OnUsageError = onUsageError
	if root.Action == nil {
		root.Action = help
	}
	for _, command := range root.Commands {
		command.OnUsageError = onUsageError
	}
}

// help is the action of a program called without a command.
func help(_ context.Context, command *cli.Command) error {
	if command.Args().Present() {
		return UsageErrorf("unknown command %q", command.Args().First())
	}
	return cli.ShowAppHelp(command)
}

func onUsageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return UsageErrorf("%s", err)
}

// Arguments returns the positional arguments of a command that takes between least and most of them.
func Arguments(command *cli.Command, least, most int) ([]string, error) {
	given := command.Args().Slice()
	if len(given) < least || len(given) > most {
		return nil, UsageErrorf("usage: %s %s", command.FullName(), command.ArgsUsage)
	}
	return given, nil
}
