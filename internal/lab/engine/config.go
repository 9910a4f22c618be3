// Package engine runs the model of enginesim in real time behind the HTTP contract of api/enginev1, with
// reports that lag, cache events that are late and missing, and failures that tests switch on.
package engine

import (
	"fmt"
	"time"

	"github.com/go-playground/validator/v10"

	"github.com/covelink/covelink/internal/lab/enginesim"
)

// Config holds the settings of one engine. The users stated no step times; the defaults of
// enginesim.DefaultConfig hold.
type Config struct {
	Name string `yaml:"name" validate:"required,hostname_rfc1123"`
	Zone string `yaml:"zone" validate:"required,hostname_rfc1123"`
	// Pool is the model that the engine serves.
	Pool string `yaml:"pool" validate:"required"`
	// Listen is the host:port; port 0 takes a free one. Default 127.0.0.1:0.
	Listen string `yaml:"listen" validate:"required,hostname_port|tcp_addr"`
	// WeightStore is the base URL of the weight store; without one, weights come from other engines only.
	WeightStore string `yaml:"weightStore" validate:"omitempty,http_url"`
	// Simulation holds step times, cache size, answer lengths and the initial version.
	Simulation enginesim.Config `yaml:"simulation"`
	// LoadLag is the age that a load report may have; 0 gives fresh ones. Default 100ms.
	LoadLag time.Duration `yaml:"loadLag" validate:"gte=0"`
	// CacheEventLag is how late cache events are. Default 200ms.
	CacheEventLag time.Duration `yaml:"cacheEventLag" validate:"gte=0"`
	// CacheEventLoss is the share of cache events that are never told. Default 0.05.
	CacheEventLoss float64 `yaml:"cacheEventLoss" validate:"gte=0,lte=1"`
	// Seed decides which cache events are lost.
	Seed int64 `yaml:"seed"`
	// MaxBodyBytes bounds a request body. Default 32 MiB.
	MaxBodyBytes int64 `yaml:"maxBodyBytes" validate:"gte=1024"`
	// MaxWeightBytes bounds the weights of one version. Default 16 MiB.
	MaxWeightBytes int64 `yaml:"maxWeightBytes" validate:"gte=1"`
	// PrepareTimeout bounds the loading of one version. Default 5m.
	PrepareTimeout time.Duration `yaml:"prepareTimeout" validate:"gt=0"`
	// ExecutionLog bounds the executions remembered. Default 65536.
	ExecutionLog int `yaml:"executionLog" validate:"gte=1"`
}

// DefaultConfig returns the settings that hold where nothing else is said. Name, Zone and Pool have no default.
func DefaultConfig() Config {
	return Config{
		Listen:         "127.0.0.1:0",
		Simulation:     enginesim.DefaultConfig(),
		LoadLag:        100 * time.Millisecond,
		CacheEventLag:  200 * time.Millisecond,
		CacheEventLoss: 0.05,
		MaxBodyBytes:   32 << 20,
		MaxWeightBytes: 16 << 20,
		PrepareTimeout: 5 * time.Minute,
		ExecutionLog:   65536,
	}
}

// Validate returns an error that names the first unfit field, or nil.
func (c Config) Validate() error {
	if err := validator.New().Struct(c); err != nil {
		return fmt.Errorf("engine %s: %w", c.Name, err)
	}
	return nil
}
