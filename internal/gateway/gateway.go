package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/auth"
	"github.com/covelink/covelink/internal/cluster"
	"github.com/covelink/covelink/internal/dispatch"
	"github.com/covelink/covelink/internal/httperr"
	"github.com/covelink/covelink/internal/rollout"
	"github.com/covelink/covelink/internal/settings"
	"github.com/covelink/covelink/internal/telemetry"
)

const (
	drainRetryAfter      = time.Second
	notServingRetryAfter = time.Second
	readHeaderTimeout    = 10 * time.Second
	idleTimeout          = 2 * time.Minute
	bodyTimeout          = 30 * time.Second
)

// Params are what a Gateway is built from. Claims may be nil; Now defaults to time.Now.
type Params struct {
	Self       cluster.Node
	Source     cluster.Source
	Dispatcher dispatch.Dispatcher
	Rollouts   rollout.Service
	Claims     Claims
	Auth       *auth.Authenticator
	Limits     settings.Limits
	Timing     settings.Timing
	Logger     log.Logger
	Registerer prometheus.Registerer
	Now        func() time.Time
}

// Gateway answers callers. It is safe for concurrent use.
type Gateway struct {
	params    Params
	logger    log.Logger
	metrics   *metrics
	work      *workTracker
	admission *admission
	replays   *replayStore
	readiness atomic.Pointer[readiness]
}

type readiness struct {
	ready  bool
	reason string
}

// New returns a Gateway that is not ready yet.
func New(params Params) *Gateway {
	if params.Now == nil {
		params.Now = time.Now
	}
	g := &Gateway{
		params:    params,
		logger:    telemetry.For(params.Logger, telemetry.PartGateway),
		work:      newWorkTracker(),
		admission: newAdmission(params.Now),
		replays:   newReplayStore(params.Now),
	}
	g.metrics = newMetrics(params.Registerer, g.work.counts)
	g.SetReady(false, "starting")
	return g
}

// NewHTTPServer returns a server with the limits of the settings on headers.
func NewHTTPServer(handler http.Handler, limits settings.Limits) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    limits.MaxHeaderBytes,
	}
}

// Routes adds every route of the gateway.
func (g *Gateway) Routes(router gin.IRouter) {
	router.GET("/healthz", g.health)
	router.GET("/readyz", g.ready)
	router.GET("/debug/status", g.status)

	callers := router.Group("/v1", g.observe, g.params.Auth.Authenticate())
	callers.GET("/models", auth.RequireApplication(), g.models)
	applications := callers.Group("", auth.RequireApplication(), g.admit)
	applications.POST("/completions", g.completions)
	applications.POST("/chat/completions", g.chatCompletions)

	trainer := callers.Group("/trainers/:trainer", auth.RequireTrainer("trainer"), g.admit, g.requirePermittedZone)
	trainer.PUT("/version", g.requireServing, g.putVersion)
	trainer.PUT("/batches/:batch", g.requireServing, g.putBatch)
	trainer.GET("/batches/:batch", g.getBatch)
	trainer.DELETE("/batches/:batch", g.cancelBatch)
	trainer.GET("/batches/:batch/samples", g.fetchSamples)
	trainer.POST("/batches/:batch/ack", g.ackSamples)
}

// SetReady sets what /readyz answers while the gateway is neither draining nor without a configuration.
func (g *Gateway) SetReady(ready bool, reason string) {
	g.readiness.Store(&readiness{ready: ready, reason: reason})
}

// Drain refuses new work as not run and waits until every request in flight has been answered, or ctx ends.
func (g *Gateway) Drain(ctx context.Context) error {
	return g.work.drain(ctx)
}

// admit counts the request as in flight, or refuses it while the gateway drains.
func (g *Gateway) admit(c *gin.Context) {
	if !g.work.begin() {
		httperr.Write(c, v1.NotRun(v1.CodeUnavailable, drainRetryAfter, "the node is stopping"))
		return
	}
	defer g.work.end()
	c.Next()
}

// requireServing refuses new work while the node may not take any.
func (g *Gateway) requireServing(c *gin.Context) {
	if err := g.serving(g.params.Source.Current()); err != nil {
		httperr.Write(c, err)
	}
}

func (g *Gateway) serving(view *cluster.View) error {
	if view.ServingAt(g.params.Now()) {
		return nil
	}
	return v1.NotRun(v1.CodeUnavailable, notServingRetryAfter, "the node takes no new work: %s", view.WhyNotServing())
}

// readBody returns the body, which is bounded in size and in the time that it may take to arrive.
func (g *Gateway) readBody(c *gin.Context) (io.Reader, error) {
	control := http.NewResponseController(c.Writer)
	// A writer without deadlines, as in a test of a handler alone, has no connection to guard.
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, g.params.Limits.MaxBodyBytes))
	// The deadline must not outlast the body: the server reads on to see whether the caller is still there.
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, v1.NotRun(v1.CodeTooLarge, 0, "the body is larger than %d bytes", tooLarge.Limit)
	}
	if err != nil {
		return nil, invalid("", "the body was not received whole")
	}
	return bytes.NewReader(body), nil
}

// decodeBody reads the JSON body into target and refuses unknown fields.
func (g *Gateway) decodeBody(c *gin.Context, target any) error {
	body, err := g.readBody(c)
	if err != nil {
		return err
	}
	return decodeJSON(body, target, true)
}
