// Package weightstore emulates the platform's weight store: files under /weights/, read at a bounded rate
// over all readers together.
package weightstore

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"

	"github.com/gin-gonic/gin"
	"github.com/go-kit/log"
	"github.com/go-playground/validator/v10"
	"golang.org/x/time/rate"

	"github.com/covelink/covelink/internal/lab/httpserver"
	"github.com/covelink/covelink/internal/telemetry"
)

// PathPrefix, followed by the location of the weights, answers GET and PUT.
const PathPrefix = "/weights"

// PathStats answers GET with the Stats.
const PathStats = "/lab/stats"

// PathFaults takes POST with Faults.
const PathFaults = "/lab/faults"

// chunkBytes is the size of one write to a reader, and the burst of the rate limit.
const chunkBytes = 64 << 10

// Config holds the settings of a weight store.
type Config struct {
	// Listen is the host:port; port 0 takes a free one. Default 127.0.0.1:0.
	Listen string `yaml:"listen" validate:"required,hostname_port|tcp_addr"`
	// BytesPerSecond bounds what all readers get together. Default 64 MiB; the users stated none.
	BytesPerSecond int64 `yaml:"bytesPerSecond" validate:"gte=1"`
	// MaxFileBytes bounds one file. Default 16 MiB.
	MaxFileBytes int64 `yaml:"maxFileBytes" validate:"gte=1"`
	// MaxFiles bounds the files held. Default 256.
	MaxFiles int `yaml:"maxFiles" validate:"gte=1"`
}

// DefaultConfig returns the settings that hold where nothing else is said.
func DefaultConfig() Config {
	return Config{Listen: "127.0.0.1:0", BytesPerSecond: 64 << 20, MaxFileBytes: 16 << 20, MaxFiles: 256}
}

// Faults are the failures in force.
type Faults struct {
	// Outage answers every request with 503.
	Outage bool `json:"outage"`
	// BytesPerSecond replaces the configured rate unless it is 0.
	BytesPerSecond int64 `json:"bytes_per_second"`
}

// Stats counts the readers since the start.
type Stats struct {
	// Reads counts GET requests that found a file, and Reading those in progress.
	Reads   int `json:"reads"`
	Reading int `json:"reading"`
	// MaxReading is the highest Reading so far.
	MaxReading int `json:"max_reading"`
	// BytesRead counts the bytes handed to the connections of readers.
	BytesRead int64 `json:"bytes_read"`
	Writes    int   `json:"writes"`
}

// Store is a weight store. Make it with New; it is safe for concurrent use.
type Store struct {
	config  Config
	logger  log.Logger
	limiter *rate.Limiter
	server  *httpserver.Server

	mutex  sync.Mutex
	files  map[string][]byte
	faults Faults
	stats  Stats
}

// New returns a store that is not started, or an error that names the unfit field.
func New(config Config, logger log.Logger) (*Store, error) {
	if err := validator.New().Struct(config); err != nil {
		return nil, fmt.Errorf("weight store: %w", err)
	}
	store := &Store{
		config:  config,
		logger:  telemetry.For(logger, telemetry.PartLab),
		limiter: rate.NewLimiter(rate.Limit(config.BytesPerSecond), chunkBytes),
		files:   map[string][]byte{},
	}
	store.server = httpserver.New("weight store", config.Listen, store.handler(), store.logger)
	return store, nil
}

// Start listens and serves until Stop.
func (s *Store) Start() error { return s.server.Start() }

// URL returns the base URL without a trailing slash, or "" before Start.
func (s *Store) URL() string { return s.server.URL() }

// Stop ends the weight store once requests in progress are done, or at the end of ctx.
func (s *Store) Stop(ctx context.Context) error { return s.server.Stop(ctx) }

// Inject replaces the failures in force; the zero value ends them all.
func (s *Store) Inject(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
	bytesPerSecond := s.config.BytesPerSecond
	if faults.BytesPerSecond > 0 {
		bytesPerSecond = faults.BytesPerSecond
	}
	s.limiter.SetLimit(rate.Limit(bytesPerSecond))
}

// Stats returns the counts so far.
func (s *Store) Stats() Stats {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.stats
}

// Put stores weights at a location, in place of earlier ones there.
func (s *Store) Put(location string, weights []byte) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	_, known := s.files[location]
	if !known && len(s.files) >= s.config.MaxFiles {
		return fmt.Errorf("weight store: %d files are held", len(s.files))
	}
	s.files[location] = weights
	s.stats.Writes++
	return nil
}

func (s *Store) handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	router := gin.New()
	router.GET(PathStats, func(c *gin.Context) { c.JSON(http.StatusOK, s.Stats()) })
	router.POST(PathFaults, s.handleFaults)
	files := router.Group(PathPrefix, s.refuseInOutage)
	files.GET("/*location", s.handleGet)
	files.PUT("/*location", s.handlePut)
	return router
}

func (s *Store) handleFaults(c *gin.Context) {
	var faults Faults
	if err := c.ShouldBindJSON(&faults); err != nil {
		c.Status(http.StatusBadRequest)
		return
	}
	s.Inject(faults)
	c.Status(http.StatusNoContent)
}

func (s *Store) refuseInOutage(c *gin.Context) {
	s.mutex.Lock()
	outage := s.faults.Outage
	s.mutex.Unlock()
	if outage {
		c.AbortWithStatus(http.StatusServiceUnavailable)
	}
}

// location returns the location in a request's path, without the leading slash.
func location(c *gin.Context) string { return c.Param("location")[1:] }

func (s *Store) handlePut(c *gin.Context) {
	weights, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, s.config.MaxFileBytes))
	if err != nil {
		c.Status(http.StatusRequestEntityTooLarge)
		return
	}
	if err := s.Put(location(c), weights); err != nil {
		c.Status(http.StatusInsufficientStorage)
		return
	}
	c.Status(http.StatusNoContent)
}

func (s *Store) handleGet(c *gin.Context) {
	weights, ok := s.beginRead(location(c))
	if !ok {
		c.Status(http.StatusNotFound)
		return
	}
	defer s.endRead()
	c.Header("Content-Type", "application/octet-stream")
	c.Header("Content-Length", fmt.Sprint(len(weights)))
	for len(weights) > 0 {
		chunk := weights[:min(len(weights), chunkBytes)]
		if err := s.limiter.WaitN(c.Request.Context(), len(chunk)); err != nil {
			return
		}
		// Counted first, so that a reader never holds bytes that the statistics lack.
		s.countBytes(len(chunk))
		if _, err := c.Writer.Write(chunk); err != nil {
			return
		}
		weights = weights[len(chunk):]
	}
}

func (s *Store) beginRead(location string) ([]byte, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	weights, ok := s.files[location]
	if !ok {
		return nil, false
	}
	s.stats.Reads++
	s.stats.Reading++
	s.stats.MaxReading = max(s.stats.MaxReading, s.stats.Reading)
	return weights, true
}

func (s *Store) endRead() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stats.Reading--
}

func (s *Store) countBytes(count int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stats.BytesRead += int64(count)
}
