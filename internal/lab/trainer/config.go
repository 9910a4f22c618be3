// Package trainer is a stand-in for a trainer: it submits batches, learns from the samples it is handed, publishes new
// weights on a schedule, and measures how long it was idle and how stale its samples were.
package trainer

import (
	"fmt"
	"time"

	"github.com/go-playground/validator/v10"

	v1 "github.com/covelink/covelink/api/v1"
)

// Config are the settings of one trainer.
type Config struct {
	Trainer string `yaml:"name" validate:"required"`
	// URLs are the base URLs of the nodes that the trainer may ask.
	URLs  []string `yaml:"urls" validate:"required,min=1,dive,http_url"`
	Token string   `yaml:"token" validate:"required"`
	// WeightStore is the base URL of the weight store.
	WeightStore string `yaml:"weightStore" validate:"required,http_url"`
	// BatchPrefix starts the name of every batch. Default "step".
	BatchPrefix string `yaml:"batchPrefix"`
	// Batches is the number of batches, one after the other. Default 1.
	Batches int `yaml:"batches" validate:"gte=1,lte=1000000"`
	// Samples is the number of samples of a batch. Default 1024.
	Samples int `yaml:"samples" validate:"gte=1,lte=65536"`
	// GroupSize is the number of samples that share a prompt. Default 8.
	GroupSize int `yaml:"groupSize" validate:"gte=1"`
	// PromptWords is the length of a prompt. Default 24.
	PromptWords int `yaml:"promptWords" validate:"gte=1,lte=100000"`
	// MaxTokens bounds an answer. Default 256.
	MaxTokens int `yaml:"maxTokens" validate:"gte=1"`
	// Seed makes the prompts and the seeds of the samples.
	Seed int64 `yaml:"seed"`
	// LearnPerSample is the time that learning from one sample takes. Default 1ms.
	LearnPerSample time.Duration `yaml:"learnPerSample" validate:"gte=0"`
	// PublishEverySamples publishes new weights each time so many more samples were received; 0 means never.
	PublishEverySamples int `yaml:"publishEverySamples" validate:"gte=0"`
	// FirstVersion is the version that the trainer publishes before its first batch. Default 2, for the stand-in
	// engines start with version 1.
	FirstVersion int64 `yaml:"firstVersion" validate:"gte=1"`
	// WeightBytes is the size of the weights. Default 1 MiB.
	WeightBytes int `yaml:"weightBytes" validate:"gte=1,lte=1073741824"`
	// FetchLimit bounds the samples of one fetch. Default 128.
	FetchLimit int `yaml:"fetchLimit" validate:"gte=1"`
	// FetchWait bounds how long a fetch waits for a first sample. Default 5s.
	FetchWait time.Duration `yaml:"fetchWait" validate:"gt=0"`
	// StalenessBound is the bound of the trainer's resource, for the report of staleness only.
	StalenessBound int64 `yaml:"stalenessBound" validate:"gte=0"`
}

// DefaultConfig returns the settings that hold where nothing else is said.
func DefaultConfig() Config {
	return Config{
		BatchPrefix:    "step",
		Batches:        1,
		Samples:        1024,
		GroupSize:      8,
		PromptWords:    24,
		MaxTokens:      256,
		Seed:           1,
		LearnPerSample: time.Millisecond,
		FirstVersion:   2,
		WeightBytes:    1 << 20,
		FetchLimit:     128,
		FetchWait:      5 * time.Second,
	}
}

// Validate returns an error that names the first unfit field, or nil.
func (c Config) Validate() error {
	if err := validator.New().Struct(c); err != nil {
		return fmt.Errorf("trainer: %w", err)
	}
	return nil
}

// batchName returns the name of a batch by its number, which starts at 0.
func (c Config) batchName(number int) string { return fmt.Sprintf("%s-%04d", c.BatchPrefix, number) }

// batchSpec returns the samples of a batch. The same settings give the same samples.
func (c Config) batchSpec(number int) v1.BatchSpec {
	spec := v1.BatchSpec{Samples: make([]v1.SampleRequest, 0, c.Samples)}
	for i := range c.Samples {
		group := fmt.Sprintf("%s-group-%04d", c.batchName(number), i/c.GroupSize)
		spec.Samples = append(spec.Samples, v1.SampleRequest{
			Prompt:    promptText(fmt.Sprintf("%s-%d-%s", c.Trainer, c.Seed, group), c.PromptWords),
			Group:     group,
			MaxTokens: c.MaxTokens,
			Seed:      c.Seed*int64(c.Samples) + int64(i),
		})
	}
	return spec
}
