// Package enginesim models one model engine as a single-threaded discrete-event system: continuous
// batching, a bounded prefix cache, weight versions, fenced orders and KV transfer. It has no goroutine
// and reads no clock; every call is told the time, so the same calls give the same events in real and in
// virtual time. An Engine is not safe for concurrent use.
package enginesim

import (
	"fmt"
	"time"

	"github.com/go-playground/validator/v10"
)

// Config holds the settings of the model. The defaults are the project's own choice: the users stated no
// step times, so these are picked to let a sample of 60 tokens take about a third of a second.
type Config struct {
	// StepBase is the time of a step whatever its size. Default 4ms.
	StepBase time.Duration `yaml:"stepBase" validate:"gt=0"`
	// StepPerSequence is added for each running sequence. Default 50µs.
	StepPerSequence time.Duration `yaml:"stepPerSequence" validate:"gte=0"`
	// StepPerPrefillToken is added for each prompt or resumed token that must be computed anew. Default 10µs.
	StepPerPrefillToken time.Duration `yaml:"stepPerPrefillToken" validate:"gte=0"`
	// MaxRunning bounds the sequences of a step. Default 32.
	MaxRunning int `yaml:"maxRunning" validate:"gte=1"`
	// MaxWaiting bounds the waiting requests; one more is refused as full. Default 256.
	MaxWaiting int `yaml:"maxWaiting" validate:"gte=1"`
	// MaxTokens bounds every answer, also of requests that state no bound. Default 4096.
	MaxTokens int `yaml:"maxTokens" validate:"gte=1"`
	// CacheTokens is the size of the prefix cache in prompt tokens; 0 means no cache. Default 65536.
	CacheTokens int `yaml:"cacheTokens" validate:"gte=0"`
	// CacheEventLog bounds the cache events that can still be read. Default 4096.
	CacheEventLog int `yaml:"cacheEventLog" validate:"gte=1"`
	// MaxPrepared bounds the versions held beside the active one. Default 1.
	MaxPrepared int `yaml:"maxPrepared" validate:"gte=1"`
	// MaxImports bounds the imported KV states that wait for their request. Default 64.
	MaxImports int `yaml:"maxImports" validate:"gte=1"`
	// InitialVersion is the version active at start; 0 means that none is.
	InitialVersion int64 `yaml:"initialVersion" validate:"gte=0"`
	// Lengths is the distribution of answer lengths.
	Lengths Lengths `yaml:"lengths"`
}

// Lengths is a log-normal distribution of answer lengths in tokens.
type Lengths struct {
	// Median is the median length. Default 48, which gives a mean of 66.
	Median float64 `yaml:"median" validate:"gte=1"`
	// Sigma is the standard deviation of the logarithm; 0 gives every answer the median. Default 0.8.
	Sigma float64 `yaml:"sigma" validate:"gte=0,lte=4"`
	// PromptShare is the share of the variance that depends on the prompt alone, so that answers to one
	// prompt with several seeds have similar lengths. Default 0.5.
	PromptShare float64 `yaml:"promptShare" validate:"gte=0,lte=1"`
}

// DefaultConfig returns the settings that hold where nothing else is said.
func DefaultConfig() Config {
	return Config{
		StepBase:            4 * time.Millisecond,
		StepPerSequence:     50 * time.Microsecond,
		StepPerPrefillToken: 10 * time.Microsecond,
		MaxRunning:          32,
		MaxWaiting:          256,
		MaxTokens:           4096,
		CacheTokens:         65536,
		CacheEventLog:       4096,
		MaxPrepared:         1,
		MaxImports:          64,
		InitialVersion:      1,
		Lengths:             Lengths{Median: 48, Sigma: 0.8, PromptShare: 0.5},
	}
}

// Validate returns an error that names the first unfit field, or nil.
func (c Config) Validate() error {
	if err := validator.New().Struct(c); err != nil {
		return fmt.Errorf("engine model: %w", err)
	}
	return nil
}

// Identity names one life of one engine.
type Identity struct {
	Name string
	Zone string
	// Model is the pool that the engine serves.
	Model string
	// Incarnation changes whenever the engine restarts.
	Incarnation string
}
