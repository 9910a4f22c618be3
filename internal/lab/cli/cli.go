// Package cli is the command line of covelink-lab: the demo, the settings of whole deployments, and each stand-in as a
// process of its own.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"strings"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/covelink/covelink/internal/settings"
)

// The exit codes.
const (
	exitOK       = 0
	exitFailed   = 1 // a promise was broken, or something could not be started
	exitBadInput = 2 // bad usage or bad settings; nothing was started or written
)

const programName = "covelink-lab"

// Streams are where the commands write.
type Streams struct {
	Out io.Writer
	Err io.Writer
}

// usageError is a fault of the command line.
type usageError struct {
	message string
}

// Error implements error.
func (e *usageError) Error() string { return e.message }

func usageErrorf(format string, args ...any) error {
	return &usageError{message: fmt.Sprintf(format, args...)}
}

// Main runs the command line until it is done or the process gets SIGTERM or SIGINT, and returns the exit code.
func Main(arguments []string, streams Streams) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return Run(ctx, arguments, streams)
}

// Run runs the command line until it is done or ctx ends, and returns the exit code. An error is one line on streams.Err.
func Run(ctx context.Context, arguments []string, streams Streams) int {
	err := newCommand(streams).Run(ctx, arguments)
	if err == nil {
		return exitOK
	}
	_, _ = fmt.Fprintf(streams.Err, "%s: %s\n", programName, strings.Join(strings.Fields(err.Error()), " "))
	return exitCode(err)
}

func exitCode(err error) int {
	var usage *usageError
	var unfit *settings.Error
	if errors.As(err, &usage) || errors.As(err, &unfit) {
		return exitBadInput
	}
	return exitFailed
}

func newCommand(streams Streams) *cli.Command {
	root := &cli.Command{
		Name:           programName,
		Usage:          "stand-ins for covelink's surroundings, and a demo",
		Writer:         streams.Out,
		ErrWriter:      io.Discard,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError:   onUsageError,
		Action:         rootAction,
		Commands:       []*cli.Command{demoCommand(streams), upCommand(streams), replayCommand(streams)},
	}
	root.Commands = append(root.Commands, processCommands(streams)...)
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

// noArguments refuses positional arguments.
func noArguments(command *cli.Command) error {
	if command.Args().Present() {
		return usageErrorf("unexpected argument %q", command.Args().First())
	}
	return nil
}
