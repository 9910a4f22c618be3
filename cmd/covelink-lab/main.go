// Command covelink-lab runs stand-ins for covelink's surroundings, and a demo of a whole deployment.
package main

import (
	"os"

	"github.com/covelink/covelink/internal/commandline"
	"github.com/covelink/covelink/internal/lab/cli"
)

func main() {
	os.Exit(cli.Main(os.Args, commandline.Streams{Out: os.Stdout, Err: os.Stderr}))
}
