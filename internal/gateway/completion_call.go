package gateway

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/google/uuid"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/auth"
	"github.com/covelink/covelink/internal/cluster"
	"github.com/covelink/covelink/internal/dispatch"
)

// The headers of a completion.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerRepeatable     = "Covelink-Repeatable"
	repeatableTrue       = "true"
	headerTimeout        = "Covelink-Timeout"
)

const (
	maxIdempotencyKeyBytes = 256
	maxTimeout             = time.Hour
	wrongZoneRetryAfter    = time.Second
	noClaimsRetryAfter     = 10 * time.Second
)

// completionCall is one checked call of a completion route.
type completionCall struct {
	request     *completionRequest
	application *v1.Application
	requestID   string
	// idempotencyKey may be empty.
	idempotencyKey string
	// claim is nil for a call that may be run again after an unknown outcome.
	claim *ClaimRequest
	// mayRunUnclaimed is true for a call with a key whose caller states that it may run more than once.
	mayRunUnclaimed bool
	deadline        time.Time
	shape           answerShape
}

// prepare checks everything of a call that can be checked before it takes up a place.
func (g *Gateway) prepare(c *gin.Context, application *v1.Application, view *cluster.View, chat bool) (*completionCall, error) {
	request, err := g.readCompletion(c, chat)
	if err != nil {
		return nil, err
	}
	if err := g.checkPool(request, application, view); err != nil {
		return nil, err
	}
	now := g.params.Now()
	call := &completionCall{request: request, application: application, requestID: uuid.NewString()}
	call.shape = answerShape{requestID: call.requestID, pool: request.pool, created: now.Unix(), chat: chat}
	timeout, err := g.timeoutOf(c.Request.Header, application)
	if err != nil {
		return nil, err
	}
	call.deadline = now.Add(timeout)
	return call, g.setClaim(call, c.Request.Header)
}

// readCompletion reads and checks the body of a completion route.
func (g *Gateway) readCompletion(c *gin.Context, chat bool) (*completionRequest, error) {
	body, err := g.readBody(c)
	if err != nil {
		return nil, err
	}
	return decodeCompletion(body, chat)
}

// applicationOf returns the application of the caller. A token that several applications share stands for the first by name.
func applicationOf(c *gin.Context, view *cluster.View) (*v1.Application, error) {
	names := auth.CallersOf(c).Names(auth.KindApplication)
	slices.Sort(names)
	application, ok := view.Applications[names[0]]
	if !ok {
		return nil, v1.NotRun(v1.CodeForbidden, 0, "the application exists no more")
	}
	return application, nil
}

// checkZone refuses a caller none of whose pools may be served here, before its body is read.
func (g *Gateway) checkZone(application *v1.Application, view *cluster.View) error {
	for _, pool := range application.Spec.Pools {
		if view.Permitted(pool, g.params.Self.Zone) {
			return nil
		}
	}
	return g.wrongZone()
}

func (g *Gateway) wrongZone() error {
	return v1.NotRun(v1.CodeUnavailable, wrongZoneRetryAfter, "the pool's data may not be in zone %s; use a node of a permitted zone", g.params.Self.Zone)
}

func (g *Gateway) checkPool(request *completionRequest, application *v1.Application, view *cluster.View) error {
	if !slices.Contains(application.Spec.Pools, request.pool) {
		err := v1.NotRun(v1.CodeForbidden, 0, "the application may not use this pool")
		err.Field = "model"
		return err
	}
	pool, ok := view.Pools[request.pool]
	if !ok {
		err := v1.NotRun(v1.CodeNotFound, 0, "no such pool")
		err.Field = "model"
		return err
	}
	if !view.Permitted(request.pool, g.params.Self.Zone) {
		return g.wrongZone()
	}
	return request.boundMaxTokens(pool)
}

// timeoutOf returns how long the call may take.
func (g *Gateway) timeoutOf(header http.Header, application *v1.Application) (time.Duration, error) {
	if stated := header.Get(headerTimeout); stated != "" {
		timeout, err := parseDuration(stated)
		if err != nil || timeout <= 0 || timeout > maxTimeout {
			return 0, invalid(headerTimeout, "must be seconds or a duration above 0 and up to %s", maxTimeout)
		}
		return timeout, nil
	}
	if millis := application.Spec.TimeoutMillis; millis > 0 {
		return time.Duration(millis) * time.Millisecond, nil
	}
	return g.params.Timing.RequestTimeout, nil
}

// parseDuration reads a Go duration or a number of seconds.
func parseDuration(text string) (time.Duration, error) {
	if seconds, err := strconv.ParseFloat(text, 64); err == nil {
		if !(seconds >= 0 && seconds <= maxTimeout.Seconds()) {
			return 0, strconv.ErrRange
		}
		return time.Duration(seconds * float64(time.Second)), nil
	}
	return time.ParseDuration(text)
}

// setClaim decides whether the call must be claimed.
func (g *Gateway) setClaim(call *completionCall, header http.Header) error {
	call.idempotencyKey = header.Get(headerIdempotencyKey)
	if len(call.idempotencyKey) > maxIdempotencyKeyBytes {
		return invalid(headerIdempotencyKey, "must be at most %d bytes", maxIdempotencyKeyBytes)
	}
	repeatable, err := repeatableOf(header)
	if err != nil {
		return err
	}
	call.mayRunUnclaimed = header.Get(headerRepeatable) == repeatableTrue
	if g.params.Claims == nil {
		if !repeatable {
			return v1.NotRun(v1.CodeUnavailable, noClaimsRetryAfter, "claims are not configured")
		}
		return nil
	}
	if repeatable && call.idempotencyKey == "" {
		return nil
	}
	call.claim = &ClaimRequest{
		Key:         orDefault(call.idempotencyKey, call.requestID),
		Caller:      call.application.Metadata.Name,
		Pool:        call.request.pool,
		ID:          call.requestID,
		Fingerprint: call.request.fingerprint(),
	}
	return nil
}

func repeatableOf(header http.Header) (bool, error) {
	switch header.Get(headerRepeatable) {
	case "", repeatableTrue:
		return true, nil
	case "false":
		return false, nil
	}
	return false, invalid(headerRepeatable, "must be true or false")
}

// keyed reports whether the caller can come back to the call, which therefore outlives its connection.
func (call *completionCall) keyed() bool { return call.idempotencyKey != "" }

func (call *completionCall) replayKey() replayKey {
	return replayKey{caller: call.application.Metadata.Name, key: call.idempotencyKey}
}

func (call *completionCall) task() dispatch.Task {
	return dispatch.Task{
		RequestID:  call.requestID,
		Class:      dispatch.ClassInteractive,
		Pool:       call.request.pool,
		Caller:     call.application.Metadata.Name,
		Prompt:     call.request.prompt,
		MaxTokens:  call.request.maxTokens,
		Seed:       call.request.seed,
		PrefixKey:  call.request.prefixKey(),
		Repeatable: call.claim == nil,
		Deadline:   call.deadline,
	}
}
