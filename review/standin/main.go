// Command standin plays one review case: it starts a small deployment of the project's own processes against stand-ins of the store, the engines
// and the callers, brings about one disruption, and checks one rule. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// longestPlay bounds a case.
const longestPlay = 100 * time.Second

// scenario plays a case and reports whether the rule was broken.
type scenario func(d *deployment, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{
	"stream": playStream,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 4 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE COVELINKD RECORD")
		return exitNotRun
	}
	program, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	record, err := newRecorder(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.close()
	folder, err := os.MkdirTemp("", "covelink-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer os.RemoveAll(folder)
	d := newDeployment(program, folder, record)
	defer d.close()
	giveUp := func(reason string) {
		record.note("the case could not run: %s", reason)
		d.close()
		os.RemoveAll(folder)
		os.Exit(exitNotRun)
	}
	overdue := time.AfterFunc(longestPlay, func() { giveUp("it did not end in time") })
	defer overdue.Stop()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stopped
		giveUp("stopped by a signal")
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	broken, err := scenarios[os.Args[1]](d, trouble)
	if err != nil {
		record.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if broken {
		record.note("RESULT: the rule was broken")
		return exitBroken
	}
	record.note("RESULT: the rule held")
	return exitHeld
}
