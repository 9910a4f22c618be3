// Package scorer emulates a scoring service, as api/scorerv1 describes it. The score is a pure function of
// the text, and calls are counted by request, so that a checker can tell whether a sample was scored once.
package scorer

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gin-gonic/gin"
	"github.com/go-kit/log"
	"github.com/go-playground/validator/v10"

	"github.com/covelink/covelink/api/scorerv1"
	"github.com/covelink/covelink/internal/lab/httpserver"
	"github.com/covelink/covelink/internal/telemetry"
)

// PathCalls answers GET with the calls by request ID.
const PathCalls = "/lab/calls"

// PathFaults takes POST with Faults.
const PathFaults = "/lab/faults"

// Config holds the settings of a scoring service.
type Config struct {
	// Listen is the host:port; port 0 takes a free one. Default 127.0.0.1:0.
	Listen string `yaml:"listen" validate:"required,hostname_port|tcp_addr"`
	// Delay is the time one score takes. Default 2ms; the users stated none.
	Delay time.Duration `yaml:"delay" validate:"gte=0"`
	// MaxBodyBytes bounds a request. Default 4 MiB.
	MaxBodyBytes int64 `yaml:"maxBodyBytes" validate:"gte=1"`
	// MaxCounted bounds the requests whose calls are counted; further ones are refused. Default 1048576.
	MaxCounted int `yaml:"maxCounted" validate:"gte=1"`
}

// DefaultConfig returns the settings that hold where nothing else is said.
func DefaultConfig() Config {
	return Config{Listen: "127.0.0.1:0", Delay: 2 * time.Millisecond, MaxBodyBytes: 4 << 20, MaxCounted: 1 << 20}
}

// Faults are the failures in force.
type Faults struct {
	// Errors is the number of coming calls that are answered with 500; they are not counted as scored.
	Errors int `json:"errors"`
	// DelayMillis is added to the time of each call, in milliseconds.
	DelayMillis int64 `json:"delay_ms"`
}

// Calls counts the calls of one request.
type Calls struct {
	// Received counts all calls, and Scored those that were answered with a score.
	Received int `json:"received"`
	Scored   int `json:"scored"`
}

// Score returns the score of a text: at least 0 and below 1, from the hash of the text alone.
func Score(text string) float64 {
	const steps = 1 << 53
	return float64(xxhash.Sum64String(text)>>11) / steps
}

// Scorer is a scoring service. Make it with New; it is safe for concurrent use.
type Scorer struct {
	config Config
	logger log.Logger
	server *httpserver.Server

	mutex  sync.Mutex
	faults Faults
	calls  map[string]Calls
}

// New returns a scorer that is not started, or an error that names the unfit field.
func New(config Config, logger log.Logger) (*Scorer, error) {
	if err := validator.New().Struct(config); err != nil {
		return nil, fmt.Errorf("scorer: %w", err)
	}
	scorer := &Scorer{
		config: config,
		logger: telemetry.For(logger, telemetry.PartLab),
		calls:  map[string]Calls{},
	}
	scorer.server = httpserver.New("scorer", config.Listen, scorer.handler(), scorer.logger)
	return scorer, nil
}

// Start listens and serves until Stop.
func (s *Scorer) Start() error { return s.server.Start() }

// URL returns the base URL without a trailing slash, or "" before Start.
func (s *Scorer) URL() string { return s.server.URL() }

// Stop ends the scorer once requests in progress are done, or at the end of ctx.
func (s *Scorer) Stop(ctx context.Context) error { return s.server.Stop(ctx) }

// Inject replaces the failures in force; the zero value ends them all.
func (s *Scorer) Inject(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
}

// Calls returns the calls by request ID.
func (s *Scorer) Calls() map[string]Calls {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return maps.Clone(s.calls)
}

func (s *Scorer) handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	router := gin.New()
	router.POST(scorerv1.PathScore, s.handleScore)
	router.GET(PathCalls, func(c *gin.Context) { c.JSON(http.StatusOK, s.Calls()) })
	router.POST(PathFaults, s.handleFaults)
	return router
}

func (s *Scorer) handleFaults(c *gin.Context) {
	var faults Faults
	if err := c.ShouldBindJSON(&faults); err != nil {
		c.Status(http.StatusBadRequest)
		return
	}
	s.Inject(faults)
	c.Status(http.StatusNoContent)
}

func (s *Scorer) handleScore(c *gin.Context) {
	c.Request.Body = http.MaxBytesReader(c.Writer, c.Request.Body, s.config.MaxBodyBytes)
	var request scorerv1.ScoreRequest
	if err := c.ShouldBindJSON(&request); err != nil || request.RequestID == "" {
		c.Status(http.StatusBadRequest)
		return
	}
	delay, status := s.receive(request.RequestID)
	select {
	case <-time.After(delay):
	case <-c.Request.Context().Done():
		return
	}
	if status != http.StatusOK {
		c.Status(status)
		return
	}
	s.countScored(request.RequestID)
	c.JSON(http.StatusOK, scorerv1.ScoreResponse{Score: Score(request.Text)})
}

// receive counts a call and returns its time and its status.
func (s *Scorer) receive(requestID string) (time.Duration, int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delay := s.config.Delay + time.Duration(s.faults.DelayMillis)*time.Millisecond
	calls, known := s.calls[requestID]
	if !known && len(s.calls) >= s.config.MaxCounted {
		return delay, http.StatusServiceUnavailable
	}
	calls.Received++
	s.calls[requestID] = calls
	if s.faults.Errors > 0 {
		s.faults.Errors--
		return delay, http.StatusInternalServerError
	}
	return delay, http.StatusOK
}

func (s *Scorer) countScored(requestID string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	calls := s.calls[requestID]
	calls.Scored++
	s.calls[requestID] = calls
}
