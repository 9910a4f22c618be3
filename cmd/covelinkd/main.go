// Command covelinkd is the daemon of covelink, the same on every node.
package main

import (
	"os"

	"github.com/covelink/covelink/internal/commandline"
	"github.com/covelink/covelink/internal/daemon"
)

func main() {
	os.Exit(daemon.Main(os.Args, os.Environ(), commandline.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}))
}
