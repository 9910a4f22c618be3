// Command covelinkd is the daemon of covelink, the same on every node.
package main

import (
	"os"

	"github.com/covelink/covelink/internal/daemon"
)

func main() {
	os.Exit(daemon.Main(os.Args, os.Environ(), os.Stdout, os.Stderr))
}
