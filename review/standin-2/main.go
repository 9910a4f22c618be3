// Command standin-2 plays the cases of the second review that are scripts: it starts covelinkd as separate processes beside stand-ins of the store, the
// samplers and the clients, disturbs them once, and judges what clients and samplers have seen.
//
//	standin-2 -case NAME -program FILE -record FILE [-calm]
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
)

// exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases maps the name of a case to what plays it. It returns whether the rule held.
var cases = map[string]func(p *play) (held bool, err error){
	"surplus-refusal": playSurplusRefusal,
	"checkpoint":      playCheckpoint,
	"stop-limits":     playStopAfterLimits,
	"removal":         playRemoval,
	"unframed":        playUnframed,
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "the case to play")
	program := flag.String("program", "target/covelinkd", "the daemon")
	recordFile := flag.String("record", "record.txt", "where to write what was sent, answered and run")
	calm := flag.Bool("calm", false, "leave the disruption out")
	samplerAddress := flag.String("sampler", "", "be a sampler that listens at an address, and play no case")
	samplerID := flag.String("id", "", "the sampler's id")
	flag.Parse()
	if *samplerAddress != "" {
		return runSampler(*samplerAddress, *samplerID)
	}
	body, known := cases[*name]
	if !known {
		fmt.Fprintln(os.Stderr, "no such case:", *name)
		return exitFailed
	}
	p, err := newPlay(*program, *recordFile, *calm)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer p.close()
	held, err := body(p)
	if err != nil {
		p.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if !held {
		p.note("verdict: the rule was broken")
		return exitBroken
	}
	p.note("verdict: the rule held")
	return exitHeld
}
