package scale

import (
	"context"

	"github.com/go-kit/log"
	"golang.org/x/sync/errgroup"

	"github.com/covelink/covelink/internal/lab/engine"
	"github.com/covelink/covelink/internal/lab/load"
)

const (
	maxInFlight   = 10000
	millionNeeded = 1_000_000
	percentile99  = 99
)

// LoadCost is what interactive requests cost. Callers, gateways and engines share the process.
type LoadCost struct {
	Seconds           float64 `json:"seconds"`
	RequestsPerSecond float64 `json:"requestsPerSecond"`
	// CompletedPerSecond and TokensPerSecond are what was carried.
	CompletedPerSecond float64 `json:"completedPerSecond"`
	TokensPerSecond    float64 `json:"tokensPerSecond"`
	NotRun             int     `json:"notRun"`
	Unknown            int     `json:"unknown"`
	Shed               int     `json:"shed"`
	Cores              float64 `json:"cores"`
	FirstToken99       float64 `json:"firstToken99Seconds"`
}

// load sends requests through every node, a part of the rate to each pool.
func (w *world) load(ctx context.Context) (*LoadCost, error) {
	result := &LoadCost{RequestsPerSecond: w.config.RequestsPerSecond}
	var callers []*load.Load
	for pool := range w.config.pools() {
		config := load.DefaultConfig()
		config.Name = poolName(pool)
		config.URLs = w.poolURLs(pool)
		config.Token = callerToken
		config.Pool = poolName(pool)
		config.RequestsPerSecond = w.config.RequestsPerSecond / float64(w.config.pools())
		config.Requests = millionNeeded
		config.Duration = w.config.Window
		config.MaxInFlight = maxInFlight
		config.MaxTokens = w.config.MaxTokens
		config.NotRepeatableShare = 0
		config.Seed = int64(pool) + 1
		caller, err := load.New(config, nil, log.NewNopLogger())
		if err != nil {
			return nil, err
		}
		callers = append(callers, caller)
	}
	tokensBefore := w.tokens()
	before := readUsage()
	reports := make([]load.Report, len(callers))
	var running errgroup.Group
	for i, caller := range callers {
		running.Go(func() error {
			reports[i] = caller.Run(ctx)
			return nil
		})
	}
	_ = running.Wait()
	after := readUsage()
	result.Cores = after.since(before)
	result.Seconds = after.at.Sub(before.at).Seconds()
	result.TokensPerSecond = float64(w.tokens()-tokensBefore) / result.Seconds
	w.sum(result, reports)
	return result, ctx.Err()
}

func (w *world) sum(result *LoadCost, reports []load.Report) {
	completed := 0
	for _, report := range reports {
		completed += report.Completed
		result.NotRun += report.NotRun
		result.Unknown += report.Unknown
		result.Shed += report.Shed
		result.FirstToken99 = max(result.FirstToken99, float64(report.FirstToken.ValueAtQuantile(percentile99))/1e6)
	}
	result.CompletedPerSecond = float64(completed) / result.Seconds
}

// tokens counts the tokens that the engines remember having generated.
func (w *world) tokens() int {
	total := 0
	for _, current := range w.engines {
		total += tokensOf(current)
	}
	return total
}

func tokensOf(current *engine.Engine) int {
	total := 0
	for _, execution := range current.Executions() {
		total += execution.Tokens
	}
	return total
}
