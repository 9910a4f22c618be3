// Command covelinkctl is the operators' command line: it writes resources and shows their status.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/covelink/covelink/internal/commandline"
	"github.com/covelink/covelink/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := ctl.Run(ctx, os.Args, commandline.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr})
	stop()
	os.Exit(code)
}
