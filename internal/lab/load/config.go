// Package load is a stand-in for an application: it sends interactive completions at a steady rate, whether or not
// earlier ones have been answered, and measures the latency of the answers.
package load

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/go-playground/validator/v10"
)

// Config are the settings of one application's load.
type Config struct {
	// URLs are the base URLs of the nodes, used in turn.
	URLs  []string `yaml:"urls" validate:"required,min=1,dive,http_url"`
	Token string   `yaml:"token" validate:"required"`
	// Pool is the model pool that the requests name.
	Pool string `yaml:"pool" validate:"required"`
	// Name starts every prompt, so that the prompts of two loads differ. Default "load".
	Name string `yaml:"name" validate:"required"`
	// RequestsPerSecond is the mean rate of arrivals, which are a Poisson process. Default 20.
	RequestsPerSecond float64 `yaml:"requestsPerSecond" validate:"gt=0,lte=100000"`
	// Requests bounds the number of requests. Default 1000.
	Requests int `yaml:"requests" validate:"gte=1,lte=10000000"`
	// Duration bounds the time in which requests arrive. Default 1m.
	Duration time.Duration `yaml:"duration" validate:"gt=0,lte=24h"`
	// MaxInFlight bounds the requests in flight; arrivals beyond it are counted and not sent. Default 256.
	MaxInFlight int `yaml:"maxInFlight" validate:"gte=1,lte=10000"`
	// Timeout bounds one request. Default 30s.
	Timeout time.Duration `yaml:"timeout" validate:"gt=0"`
	// PromptWords is the length of a prompt. Default 16.
	PromptWords int `yaml:"promptWords" validate:"gte=1,lte=100000"`
	// MaxTokens bounds an answer. Default 32.
	MaxTokens int `yaml:"maxTokens" validate:"gte=1"`
	// NotRepeatableShare is the share of requests that are marked as not repeatable. Default 0.1.
	NotRepeatableShare float64 `yaml:"notRepeatableShare" validate:"gte=0,lte=1"`
	// Dial opens the connections; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error) `yaml:"-" validate:"-"`
	// Seed makes the arrivals and the prompts.
	Seed int64 `yaml:"seed"`
}

// DefaultConfig returns the settings that hold where nothing else is said.
func DefaultConfig() Config {
	return Config{
		Name:               "load",
		RequestsPerSecond:  20,
		Requests:           1000,
		Duration:           time.Minute,
		MaxInFlight:        256,
		Timeout:            30 * time.Second,
		PromptWords:        16,
		MaxTokens:          32,
		NotRepeatableShare: 0.1,
		Seed:               1,
	}
}

// Validate returns an error that names the first unfit field, or nil.
func (c Config) Validate() error {
	if err := validator.New().Struct(c); err != nil {
		return fmt.Errorf("load: %w", err)
	}
	return nil
}
