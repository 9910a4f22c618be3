package objectapi

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/lab/httpserver"
	"github.com/covelink/covelink/internal/objectapi"
	"github.com/covelink/covelink/internal/telemetry"
)

// The control paths of the stand-in, which no fault touches.
const (
	PathFaults = "/lab/faults"
	PathCounts = "/lab/counts"
)

const (
	defaultBookmarkInterval = time.Second
	maxRequestBytes         = 4 << 20
	headerTimeout           = 10 * time.Second
)

// Config configures a Server.
type Config struct {
	// Listen is the host:port to listen on; port 0 takes a free one.
	Listen string
	// History bounds the events kept; 0 means DefaultHistory.
	History int
	// BookmarkInterval is the time between two bookmarks of a watch; 0 means 1s.
	BookmarkInterval time.Duration
}

// Faults are the faults in force. The zero value is a healthy store.
type Faults struct {
	// DelayMillis delays every answer.
	DelayMillis int `json:"delayMillis,omitempty"`
	// Unavailable answers everything with 503 and executes nothing; watches end.
	Unavailable bool `json:"unavailable,omitempty"`
	// LoseReplies is the number of writes whose connection is cut after they took effect.
	LoseReplies int `json:"loseReplies,omitempty"`
	// StaleBy answers lists and watches as of so many revisions ago.
	StaleBy uint64 `json:"staleBy,omitempty"`
	// Compact drops the history once.
	Compact bool `json:"compact,omitempty"`
}

// Counts are the requests seen so far, and the watches open now.
type Counts struct {
	Gets        int64 `json:"gets"`
	Lists       int64 `json:"lists"`
	Watches     int64 `json:"watches"`
	OpenWatches int64 `json:"openWatches"`
	Writes      int64 `json:"writes"`
}

// Server is the stand-in over HTTP.
type Server struct {
	// Store is the state served; tests may read and write it directly.
	Store *Store

	config Config
	logger log.Logger

	mu      sync.Mutex
	faults  Faults
	faulted chan struct{} // closed when the faults change
	counts  Counts
	http    *httpserver.Server
}

// New returns a Server that does not listen yet.
func New(config Config, logger log.Logger) *Server {
	if config.BookmarkInterval <= 0 {
		config.BookmarkInterval = defaultBookmarkInterval
	}
	server := &Server{
		Store:   NewStore(config.History, nil),
		config:  config,
		logger:  telemetry.For(logger, telemetry.PartLab),
		faulted: make(chan struct{}),
	}
	server.http = httpserver.New("object API", config.Listen, server.routes(), server.logger)
	return server
}

// Start listens and serves. After a Stop it listens on the same address again, with the same state.
func (s *Server) Start() error { return s.http.Start() }

// URL returns the base URL, or "" before the first Start.
func (s *Server) URL() string { return s.http.URL() }

// Stop closes the listener and every connection: callers are refused until the next Start.
func (s *Server) Stop() { s.http.Close() }

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(faults Faults) {
	if faults.Compact {
		s.Store.Compact()
		faults.Compact = false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	close(s.faulted)
	s.faulted = make(chan struct{})
}

// Counts returns what has been counted.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

func (s *Server) routes() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.POST(PathFaults, s.handleFaults)
	engine.GET(PathCounts, func(c *gin.Context) { c.JSON(http.StatusOK, s.Counts()) })
	objects := engine.Group(objectapi.PathObjects, s.applyFaults)
	objects.GET("", s.handleList)
	objects.POST("", s.handleCreate)
	objects.GET("/:kind/:name", s.handleGet)
	objects.PUT("/:kind/:name", s.handleUpdate)
	objects.DELETE("/:kind/:name", s.handleDelete)
	return engine
}

func (s *Server) current() (Faults, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults, s.faulted
}

func (s *Server) count(change func(*Counts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.counts)
}

// applyFaults delays or refuses a request.
func (s *Server) applyFaults(c *gin.Context) {
	faults, _ := s.current()
	select {
	case <-time.After(time.Duration(faults.DelayMillis) * time.Millisecond):
	case <-c.Request.Context().Done():
	}
	if faults.Unavailable {
		c.AbortWithStatus(http.StatusServiceUnavailable)
		return
	}
	c.Request.Body = http.MaxBytesReader(c.Writer, c.Request.Body, maxRequestBytes)
}

func (s *Server) handleFaults(c *gin.Context) {
	var faults Faults
	decoder := json.NewDecoder(http.MaxBytesReader(c.Writer, c.Request.Body, maxRequestBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		c.String(http.StatusBadRequest, "faults: %s", err)
		return
	}
	s.SetFaults(faults)
	c.Status(http.StatusNoContent)
}

func (s *Server) handleGet(c *gin.Context) {
	s.count(func(counts *Counts) { counts.Gets++ })
	object, err := s.Store.Get(v1.Kind(c.Param("kind")), c.Param("name"))
	answer(c, object, err)
}

func (s *Server) handleList(c *gin.Context) {
	if c.Query(objectapi.QueryWatch) != "" {
		s.handleWatch(c)
		return
	}
	s.count(func(counts *Counts) { counts.Lists++ })
	faults, _ := s.current()
	c.JSON(http.StatusOK, s.Store.List(faults.StaleBy))
}

func (s *Server) handleCreate(c *gin.Context) {
	s.handleWrite(c, s.Store.Create)
}

func (s *Server) handleUpdate(c *gin.Context) {
	s.handleWrite(c, func(object v1.RawObject) (v1.RawObject, error) {
		object.Kind = v1.Kind(c.Param("kind"))
		object.Metadata.Name = c.Param("name")
		return s.Store.Update(object)
	})
}

func (s *Server) handleWrite(c *gin.Context, write func(v1.RawObject) (v1.RawObject, error)) {
	s.count(func(counts *Counts) { counts.Writes++ })
	var object v1.RawObject
	if err := json.NewDecoder(c.Request.Body).Decode(&object); err != nil {
		c.Status(http.StatusBadRequest)
		return
	}
	stored, err := write(object)
	if err == nil && s.loseReply(c) {
		return
	}
	answer(c, stored, err)
}

func (s *Server) handleDelete(c *gin.Context) {
	s.count(func(counts *Counts) { counts.Writes++ })
	err := s.Store.Delete(v1.Kind(c.Param("kind")), c.Param("name"), c.Query(objectapi.QueryResourceVersion))
	if err == nil && s.loseReply(c) {
		return
	}
	answer(c, struct{}{}, err)
}

// loseReply cuts the connection of a write if the faults ask for it, and reports whether it did.
func (s *Server) loseReply(c *gin.Context) bool {
	s.mu.Lock()
	lose := s.faults.LoseReplies > 0
	if lose {
		s.faults.LoseReplies--
	}
	s.mu.Unlock()
	if !lose {
		return false
	}
	conn, _, err := c.Writer.Hijack()
	if err != nil {
		level.Error(s.logger).Log("msg", "reply not lost", "err", err)
		return false
	}
	conn.Close()
	return true
}

func answer(c *gin.Context, body any, err error) {
	switch {
	case err == nil:
		c.JSON(http.StatusOK, body)
	case errors.Is(err, objectapi.ErrNotFound):
		c.Status(http.StatusNotFound)
	case errors.Is(err, objectapi.ErrConflict):
		c.Status(http.StatusConflict)
	case errors.Is(err, objectapi.ErrGone):
		c.Status(http.StatusGone)
	default:
		c.Status(http.StatusInternalServerError)
	}
}

// handleWatch streams events as JSON lines until the caller leaves, the store goes down or the position is compacted.
func (s *Server) handleWatch(c *gin.Context) {
	after, err := strconv.ParseUint(c.Query(objectapi.QueryAfter), 10, 64)
	if err != nil {
		c.Status(http.StatusBadRequest)
		return
	}
	s.count(func(counts *Counts) { counts.Watches++; counts.OpenWatches++ })
	defer s.count(func(counts *Counts) { counts.OpenWatches-- })
	after = s.stalePosition(after)
	if _, err := s.Store.Since(after); err != nil {
		answer(c, nil, err)
		return
	}
	s.stream(c, after)
}

// stalePosition returns where a watch starts: a lagging cache sends again what the caller has seen.
func (s *Server) stalePosition(after uint64) uint64 {
	faults, _ := s.current()
	if faults.StaleBy == 0 {
		return after
	}
	return min(after, s.Store.List(faults.StaleBy).Revision)
}

func (s *Server) stream(c *gin.Context, after uint64) {
	c.Header("Content-Type", "application/json")
	c.Status(http.StatusOK)
	c.Writer.Flush()
	encoder := json.NewEncoder(c.Writer)
	bookmarks := time.NewTicker(s.config.BookmarkInterval)
	defer bookmarks.Stop()
	for {
		changed := s.Store.Changed()
		faults, faulted := s.current()
		events, err := s.Store.Since(after)
		if err != nil || faults.Unavailable {
			return
		}
		for _, event := range events {
			if encoder.Encode(event) != nil {
				return
			}
			after = event.Revision
		}
		c.Writer.Flush()
		select {
		case <-changed:
		case <-faulted:
		case <-bookmarks.C:
			if encoder.Encode(objectapi.Event{Type: objectapi.EventBookmark, Revision: after}) != nil {
				return
			}
		case <-c.Request.Context().Done():
			return
		}
	}
}
