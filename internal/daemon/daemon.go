// Package daemon is the command line of covelinkd: run, check-config and version.
package daemon

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/urfave/cli/v3"

	"github.com/covelink/covelink/internal/commandline"
	"github.com/covelink/covelink/internal/fleetnode"
	"github.com/covelink/covelink/internal/node"
	"github.com/covelink/covelink/internal/settings"
	"github.com/covelink/covelink/internal/telemetry"
)

const (
	flagConfig = "config"
	flagSet    = "set"
)

// settingFlags maps the flags that set one setting to its key path.
var settingFlags = map[string]string{
	"node-name":       "node.name",
	"zone":            "node.zone",
	"data-dir":        "node.dataDir",
	"listen-http":     "listen.http",
	"listen-internal": "listen.internal",
	"log-level":       "log.level",
	"log-format":      "log.format",
}

// command holds what the subcommands share.
type command struct {
	environment []string
	out         io.Writer
	errOut      io.Writer
}

// Main runs the command line and returns the exit code.
func Main(arguments, environment []string, streams commandline.Streams) int {
	c := &command{environment: environment, out: streams.Out, errOut: streams.Err}
	return commandline.Run(context.Background(), c.root(), arguments, streams)
}

func (c *command) root() *cli.Command {
	return &cli.Command{
		Name:  "covelinkd",
		Usage: "the covelink daemon",
		Commands: []*cli.Command{
			{Name: "run", Usage: "run a node until SIGTERM, which drains it", Flags: flags(), Action: c.run},
			{Name: "check-config", Usage: "check the settings and exit", Flags: flags(), Action: c.checkConfig},
			{Name: "version", Usage: "print the version", Action: c.version},
		},
	}
}

func flags() []cli.Flag {
	list := []cli.Flag{
		&cli.StringFlag{Name: flagConfig, Usage: "settings `FILE` (YAML)"},
		&cli.StringSliceFlag{Name: flagSet, Usage: "`KEY=VALUE` sets any setting, as in timing.leaseLength=2s; may be repeated"},
	}
	for name, key := range settingFlags {
		list = append(list, &cli.StringFlag{Name: name, Usage: "sets " + key})
	}
	return list
}

// overrides returns the settings that flags set, by key path.
func (c *command) overrides(cmd *cli.Command) (map[string]any, error) {
	overrides := make(map[string]any)
	for _, assignment := range cmd.StringSlice(flagSet) {
		key, value, found := strings.Cut(assignment, "=")
		if !found || key == "" {
			return nil, &settings.Error{Field: "--" + flagSet, Message: fmt.Sprintf("must be KEY=VALUE, is %q", assignment)}
		}
		overrides[key] = value
	}
	for name, key := range settingFlags {
		if cmd.IsSet(name) {
			overrides[key] = cmd.String(name)
		}
	}
	return overrides, nil
}

// process is a node of either kind.
type process interface {
	Start(ctx context.Context) error
	Stop(ctx context.Context) error
}

// loaded are the checked settings of a process, and how to build it.
type loaded struct {
	name, zone string
	// heapBytes is what the heap may take; zero if that is not known.
	heapBytes int64
	log       settings.Log
	build     func(logger log.Logger, lines *telemetry.AsyncWriter) (process, error)
	// reload hands changed settings to a process that was built; nil if it takes none.
	reload func(p process) error
}

// load reads the settings: those of a fleet if the file names a metadata store.
func (c *command) load(cmd *cli.Command) (loaded, error) {
	overrides, err := c.overrides(cmd)
	if err != nil {
		return loaded{}, err
	}
	file := cmd.String(flagConfig)
	if content, err := os.ReadFile(file); err == nil && settings.NamesStore(content) {
		return c.loadFleet(file, overrides)
	}
	config, err := settings.Load(file, c.environment, overrides)
	if err != nil {
		return loaded{}, err
	}
	build := func(logger log.Logger, _ *telemetry.AsyncWriter) (process, error) {
		return node.New(config, logger, node.Options{})
	}
	return loaded{name: config.Node.Name, zone: config.Node.Zone, log: config.Log, build: build}, nil
}

func (c *command) loadFleet(file string, overrides map[string]any) (loaded, error) {
	config, err := settings.LoadFleet(file, c.environment, overrides)
	if err != nil {
		return loaded{}, err
	}
	build := func(logger log.Logger, lines *telemetry.AsyncWriter) (process, error) {
		return fleetnode.New(config, logger, lines)
	}
	reload := func(p process) error {
		changed, err := settings.LoadFleet(file, c.environment, overrides)
		if err != nil {
			return err
		}
		return p.(*fleetnode.Node).Reload(changed)
	}
	return loaded{
		name:      config.Node.Name,
		zone:      config.Node.Zone,
		heapBytes: config.Node.HeapBytes(),
		log:       config.Log,
		build:     build,
		reload:    reload,
	}, nil
}

func (c *command) checkConfig(_ context.Context, cmd *cli.Command) error {
	config, err := c.load(cmd)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.out, "settings of node %s in zone %s are good\n", config.name, config.zone)
	return nil
}

func (c *command) version(context.Context, *cli.Command) error {
	fmt.Fprintln(c.out, "covelinkd", telemetry.Version())
	return nil
}

// run serves until the first SIGTERM or SIGINT, then drains. A second signal cuts the drain short.
func (c *command) run(ctx context.Context, cmd *cli.Command) error {
	hangups := catchHangups()
	config, err := c.load(cmd)
	if err != nil {
		return err
	}
	limitHeap(config.heapBytes)
	lines := telemetry.NewAsyncWriter(c.out)
	logger := telemetry.NewLogger(lines, config.log.Level, config.log.Format)
	process, err := config.build(log.With(logger, "node", config.name), lines)
	if err != nil {
		return err
	}
	stopped, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	if err := process.Start(ctx); err != nil {
		return err
	}
	file := cmd.String(flagConfig)
	awaitStop(stopped, logger, hangups, func() []byte { return contentOf(file) }, func() error {
		if config.reload == nil {
			return nil
		}
		return config.reload(process)
	})
	cancel()
	forced, cancelForced := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer cancelForced()
	if err := process.Stop(forced); err != nil {
		return fmt.Errorf("stop: %w", err)
	}
	return nil
}

// limitHeap makes the runtime collect garbage more often when the heap comes near what it may take.
func limitHeap(bytes int64) {
	if bytes > 0 {
		debug.SetMemoryLimit(bytes)
	}
}

// fileInterval is the pause between two looks whether the settings file has changed.
const fileInterval = 2 * time.Second

// contentOf returns the content of a file, or nothing if it cannot be read.
func contentOf(file string) []byte {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil
	}
	return content
}

// catchHangups returns the SIGHUPs of this process, from before its start to its end: without a handler the first one ends it, also while it
// finishes what it has taken.
func catchHangups() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// awaitStop takes in changed settings, on every SIGHUP and when their file has changed, until ctx ends. Settings that cannot be
// used leave the last ones in force.
func awaitStop(ctx context.Context, logger log.Logger, hangups <-chan os.Signal, content func() []byte, reload func() error) {
	logger = telemetry.For(logger, telemetry.PartNode)
	looks := time.NewTicker(fileInterval)
	defer looks.Stop()
	known := content()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-looks.C:
			if bytes.Equal(content(), known) {
				continue
			}
		}
		known = content()
		if err := reload(); err != nil {
			level.Error(logger).Log("msg", "settings not reloaded, the last ones stay in force", "err", err)
			continue
		}
		level.Info(logger).Log("msg", "settings reloaded")
	}
}
