package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"runtime/pprof"
	"time"

	"github.com/go-kit/log"
	"github.com/urfave/cli/v3"

	"github.com/covelink/covelink/internal/commandline"
	"github.com/covelink/covelink/internal/lab/scale"
	"github.com/covelink/covelink/internal/node"
	"github.com/covelink/covelink/internal/rpc"
	"github.com/covelink/covelink/internal/settings"
)

const (
	flagNodes   = "nodes"
	flagEngines = "engines"
	flagZones   = "zones"
	flagWindow  = "seconds"
	flagRate    = "requests"
	flagTokens  = "tokens"
	// heapSuffix ends the name of the profile of memory.
	heapSuffix = ".heap"
	// startSuffix ends the name of the profile of the start.
	startSuffix = ".start"
	flagFit     = "fit"
	flagProfile = "profile"
	flagSettle  = "settle"
)

func scaleCommand(streams commandline.Streams) *cli.Command {
	return &cli.Command{
		Name:  "scale",
		Usage: "measure what a deployment of real nodes and stand-in engines in this process costs",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: flagNodes, Usage: "nodes", Value: 350},
			&cli.IntFlag{Name: flagEngines, Usage: "engines", Value: 610},
			&cli.IntFlag{Name: flagZones, Usage: "zones, half of them in each of two regions", Value: 8},
			&cli.IntFlag{Name: flagWindow, Usage: "length of each window that is measured, in seconds", Value: 30},
			&cli.IntFlag{Name: flagSettle, Usage: "time before the first window, in seconds", Value: 30},
			&cli.FloatFlag{Name: flagRate, Usage: "interactive requests a second of the part under load; 0 leaves it out"},
			&cli.IntFlag{Name: flagTokens, Usage: "bound of the tokens of an answer", Value: 32},
			&cli.StringFlag{Name: flagProfile, Usage: "write a profile of the processor time of the quiet window into `FILE`, and of memory beside it"},
			&cli.StringFlag{Name: flagFit, Usage: "measure nothing; print the slopes over the number of nodes of the JSON reports in `FILE`"},
			&cli.BoolFlag{Name: flagJSON, Usage: "print the report as one line of JSON"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			if err := noArguments(command); err != nil {
				return err
			}
			if path := command.String(flagFit); path != "" {
				return fitScale(path, command.Int(flagNodes), command.Bool(flagJSON), streams)
			}
			return runScale(ctx, command, streams)
		},
	}
}

func runScale(ctx context.Context, command *cli.Command, streams commandline.Streams) error {
	dataRoot, err := os.MkdirTemp("", "covelink-scale-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dataRoot) }()
	config := scale.Config{
		Nodes:             command.Int(flagNodes),
		Engines:           command.Int(flagEngines),
		Zones:             command.Int(flagZones),
		Window:            time.Duration(command.Int(flagWindow)) * time.Second,
		Settle:            time.Duration(command.Int(flagSettle)) * time.Second,
		RequestsPerSecond: command.Float(flagRate),
		MaxTokens:         command.Int(flagTokens),
		DataRoot:          dataRoot,
	}
	if err := config.Check(); err != nil {
		return commandline.UsageErrorf("%v", err)
	}
	progress := newScaleProgress(command, streams)
	report, err := scale.Run(ctx, config, newScaleNode, progress.told)
	progress.close()
	if encoded := progress.print(report); err == nil {
		err = encoded
	}
	return err
}

// newScaleNode builds a real node that takes its connections from a listener in memory.
func newScaleNode(config settings.Settings, logger log.Logger, dial rpc.DialFunc, internal net.Listener) (scale.Node, error) {
	return node.New(config, logger, node.Options{Dial: dial, Internal: internal})
}

// scaleProgress prints each part of a run as it ends and takes the profile of the quiet window.
type scaleProgress struct {
	streams commandline.Streams
	asJSON  bool
	profile string
	file    *os.File
}

func newScaleProgress(command *cli.Command, streams commandline.Streams) *scaleProgress {
	return &scaleProgress{streams: streams, asJSON: command.Bool(flagJSON), profile: command.String(flagProfile)}
}

func (p *scaleProgress) told(part string, report scale.Report) {
	fmt.Fprintf(p.streams.Err, "%s: %s\n", time.Now().Format(time.TimeOnly), part)
	if part == "start" || part == "platform" {
		p.close()
		p.begin(part)
	}
	if part == "quiet" {
		p.close()
		p.writeHeap()
	}
	if !p.asJSON {
		printScalePart(p.streams, part, report)
	}
}

// begin starts a profile of the processor time that follows a part.
func (p *scaleProgress) begin(part string) {
	if p.profile == "" {
		return
	}
	name := p.profile
	if part == "platform" {
		name += startSuffix
	}
	file, err := os.Create(name)
	if err == nil {
		err = pprof.StartCPUProfile(file)
	}
	if err != nil {
		fmt.Fprintf(p.streams.Err, "profile: %v\n", err)
		return
	}
	p.file = file
}

// writeHeap writes what holds memory beside the profile.
func (p *scaleProgress) writeHeap() {
	if p.profile == "" {
		return
	}
	file, err := os.Create(p.profile + heapSuffix)
	if err == nil {
		err = errors.Join(pprof.WriteHeapProfile(file), file.Close())
	}
	if err != nil {
		fmt.Fprintf(p.streams.Err, "profile: %v\n", err)
	}
}

func (p *scaleProgress) close() {
	if p.file == nil {
		return
	}
	pprof.StopCPUProfile()
	_ = p.file.Close()
	p.file = nil
}

func (p *scaleProgress) print(report scale.Report) error {
	if !p.asJSON {
		return nil
	}
	return json.NewEncoder(p.streams.Out).Encode(report)
}

// printScalePart prints what a part has added to the report.
func printScalePart(streams commandline.Streams, part string, report scale.Report) {
	parts := map[string]any{
		"quiet": report.Quiet, "configuration": report.ConfigSeconds, "weights": report.Weights,
		"failing weights": report.FailingWeights, "faults": report.Faults, "load": report.Load, "start": report.StartSeconds, "platform": report.Quiet.IdleCores,
	}
	text, err := json.MarshalIndent(parts[part], "", "  ")
	if err != nil {
		fmt.Fprintf(streams.Err, "%s: %v\n", part, err)
		return
	}
	fmt.Fprintf(streams.Out, "%s %s\n", part, text)
}
