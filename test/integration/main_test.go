// Package integration proves covelink by real processes behind fault proxies: every run is judged from the outside by
// what the engines executed, what was handed over and what the callers were told.
package integration

import (
	"context"
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/covelink/covelink/internal/lab/processes"
)

// long makes the runs longer than CI has time for.
var long = flag.Bool("long", os.Getenv("COVELINK_INTEGRATION_LONG") != "", "run the long form of every test")

// programs are the programs that the tests start, built once.
var programs processes.Programs

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	folder, err := os.MkdirTemp("", "covelink-integration-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(folder)
	if programs, err = processes.Build(context.Background(), folder); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}
