package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gin-gonic/gin"

	"github.com/covelink/covelink/api/enginev1"
)

// The paths beside the contract.
const (
	// PathFaults takes POST with a Fault.
	PathFaults = "/lab/faults"
	// PathExecutions answers GET with a list of Execution.
	PathExecutions = "/lab/executions"
)

func (e *Engine) handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	router := gin.New()
	router.POST(enginev1.PathCompletions, e.handleCompletion)
	router.POST(PathFaults, e.handleFault)
	router.GET(PathExecutions, func(c *gin.Context) { c.JSON(http.StatusOK, e.Executions()) })
	alive := router.Group("", e.blockWhileFrozen)
	alive.POST(enginev1.PathOrders, e.handleOrder)
	alive.GET(enginev1.PathLoad, e.handleLoad)
	alive.GET(enginev1.PathCacheEvents, e.handleCacheEvents)
	alive.POST(enginev1.PathCancel, e.handleCancel)
	alive.POST(enginev1.PathExport, e.handleExport)
	alive.POST(enginev1.PathImport, e.handleImport)
	alive.GET(enginev1.PathWeights+"/:version", e.handleWeights)
	return router
}

func (e *Engine) blockWhileFrozen(c *gin.Context) {
	if !e.awaitThaw(c.Request.Context()) {
		c.Abort()
	}
}

// read reads a JSON body to its end, so that the server notices when the client goes; it answers an unfit one.
func (e *Engine) read(c *gin.Context, into any) bool {
	body, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, e.config.MaxBodyBytes))
	if err == nil {
		err = json.Unmarshal(body, into)
	}
	if err != nil {
		writeRefusal(c, &enginev1.Refusal{Reason: enginev1.RefusedInvalid, Message: "the body can't be read"})
	}
	return err == nil
}

// statusOf returns the HTTP status of a refusal.
func statusOf(reason enginev1.RefusalReason) int {
	switch reason {
	case enginev1.RefusedIncarnation, enginev1.RefusedFence, enginev1.RefusedVersion:
		return http.StatusConflict
	case enginev1.RefusedZone:
		return http.StatusForbidden
	case enginev1.RefusedDraining, enginev1.RefusedFull, enginev1.RefusedLoading:
		return http.StatusServiceUnavailable
	default:
		return http.StatusBadRequest
	}
}

func writeRefusal(c *gin.Context, refusal *enginev1.Refusal) {
	c.JSON(statusOf(refusal.Reason), refusal)
}

func (e *Engine) handleFault(c *gin.Context) {
	var fault Fault
	if !e.read(c, &fault) {
		return
	}
	if err := e.Inject(fault); err != nil {
		writeRefusal(c, &enginev1.Refusal{Reason: enginev1.RefusedInvalid, Message: err.Error()})
		return
	}
	c.Status(http.StatusNoContent)
}

// handleOrder answers PathOrders; an order that failed partway answers 500 without a body.
func (e *Engine) handleOrder(c *gin.Context) {
	var order enginev1.Order
	if !e.read(c, &order) {
		return
	}
	result, refusal, err := e.order(order)
	switch {
	case err != nil:
		c.Status(http.StatusInternalServerError)
	case refusal != nil:
		writeRefusal(c, refusal)
	default:
		c.JSON(http.StatusOK, result)
	}
}

// order carries out an order; a new preparation begins to load its weights.
func (e *Engine) order(order enginev1.Order) (enginev1.OrderResult, *enginev1.Refusal, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := time.Now()
	before := e.life.simulation.Load(now).Preparing
	result, refusal, err := e.life.simulation.Order(now, order)
	after := e.life.simulation.Load(now).Preparing
	if after != before {
		e.life.cancelFetch()
	}
	if after != 0 && after != before {
		e.startFetch(order)
	}
	e.life.dropWeights(now)
	e.wakeDriver()
	return result, refusal, err
}

func (e *Engine) handleLoad(c *gin.Context) {
	e.mutex.Lock()
	if e.config.LoadLag == 0 {
		e.life.refreshReport(time.Now())
	}
	report := e.life.report
	e.mutex.Unlock()
	c.JSON(http.StatusOK, report)
}

func (e *Engine) handleCacheEvents(c *gin.Context) {
	after, err := strconv.ParseUint(c.DefaultQuery("after", "0"), 10, 64)
	if err != nil {
		writeRefusal(c, &enginev1.Refusal{Reason: enginev1.RefusedInvalid, Message: "after is not a number"})
		return
	}
	e.mutex.Lock()
	happened := e.life.simulation.CacheEvents(after, time.Now().Add(-e.config.CacheEventLag))
	e.mutex.Unlock()
	told := make([]enginev1.CacheEvent, 0, len(happened))
	for _, event := range happened {
		if !e.losesCacheEvent(event.Sequence) {
			told = append(told, event)
		}
	}
	c.JSON(http.StatusOK, told)
}

// losesCacheEvent tells whether an event is never told; the same seed always loses the same ones.
func (e *Engine) losesCacheEvent(sequence uint64) bool {
	digest := xxhash.NewWithSeed(uint64(e.config.Seed))
	_, _ = digest.WriteString(strconv.FormatUint(sequence, 10))
	const steps = 1 << 53
	return float64(digest.Sum64()>>11)/steps < e.config.CacheEventLoss
}

func (e *Engine) handleCancel(c *gin.Context) {
	var request enginev1.CancelRequest
	if !e.read(c, &request) {
		return
	}
	e.mutex.Lock()
	e.cancel(request)
	e.mutex.Unlock()
	c.Status(http.StatusNoContent)
}

// cancel ends an attempt, if it is in progress; the mutex is held.
func (e *Engine) cancel(request enginev1.CancelRequest) {
	now := time.Now()
	if event, ok := e.life.simulation.Cancel(now, request); ok {
		e.deliver(now, event)
	}
}

func (e *Engine) handleExport(c *gin.Context) {
	var request enginev1.ExportRequest
	if !e.read(c, &request) {
		return
	}
	state, ok := e.export(request)
	if !ok {
		c.Status(http.StatusNotFound)
		return
	}
	c.JSON(http.StatusOK, state)
}

func (e *Engine) export(request enginev1.ExportRequest) (enginev1.KVState, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := time.Now()
	state, event, ok := e.life.simulation.Export(now, request)
	if ok {
		e.deliver(now, event)
	}
	return state, ok
}

func (e *Engine) handleImport(c *gin.Context) {
	var state enginev1.KVState
	if !e.read(c, &state) {
		return
	}
	e.mutex.Lock()
	refusal := e.life.simulation.Import(time.Now(), state)
	e.mutex.Unlock()
	if refusal != nil {
		writeRefusal(c, refusal)
		return
	}
	c.Status(http.StatusNoContent)
}
