package gateway

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/httperr"
)

// The bounds and defaults of a fetch.
const (
	defaultFetchLimit = 64
	maxFetchLimit     = 1024
	maxFetchWait      = time.Minute
)

const digestBytes = 32

var batchNamePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

// requirePermittedZone refuses a trainer whose pool's data may not be in this zone, before its body is read.
func (g *Gateway) requirePermittedZone(c *gin.Context) {
	view := g.params.Source.Current()
	trainer, ok := view.Trainers[c.Param("trainer")]
	if !ok {
		httperr.Write(c, v1.NotRun(v1.CodeForbidden, 0, "the trainer exists no more"))
		return
	}
	if !view.Permitted(trainer.Spec.Pool, g.params.Self.Zone) {
		httperr.Write(c, g.wrongZone())
		return
	}
	if name := c.Param("batch"); name != "" && !batchNamePattern.MatchString(name) {
		httperr.Write(c, invalid("batch", "must match %s", batchNamePattern))
	}
}

func (g *Gateway) putBatch(c *gin.Context) {
	var spec v1.BatchSpec
	if err := g.decodeBody(c, &spec); err != nil {
		httperr.Write(c, err)
		return
	}
	if err := g.checkBatch(c.Param("trainer"), &spec); err != nil {
		httperr.Write(c, err)
		return
	}
	ctx, cancel := g.requestContext(c, 0)
	defer cancel()
	status, err := g.params.Rollouts.PutBatch(ctx, c.Param("trainer"), c.Param("batch"), spec)
	answer(c, status, err)
}

func (g *Gateway) checkBatch(trainer string, spec *v1.BatchSpec) error {
	if len(spec.Samples) == 0 {
		return invalid("samples", "must not be empty")
	}
	if limit := g.params.Limits.MaxBatchSamples; len(spec.Samples) > limit {
		return invalid("samples", "must be at most %d", limit)
	}
	bound := g.maxTokensOf(trainer)
	for index, sample := range spec.Samples {
		if sample.MaxTokens < 0 || sample.MaxTokens > bound {
			return invalid(fmt.Sprintf("samples[%d].maxTokens", index), "must be from 0 to %d", bound)
		}
	}
	return nil
}

// maxTokensOf returns the bound of the trainer's pool.
func (g *Gateway) maxTokensOf(trainer string) int {
	view := g.params.Source.Current()
	if known, ok := view.Trainers[trainer]; ok {
		if pool, ok := view.Pools[known.Spec.Pool]; ok {
			return positive(pool.Spec.MaxTokens, defaultMaxTokens)
		}
	}
	return defaultMaxTokens
}

func (g *Gateway) getBatch(c *gin.Context) {
	ctx, cancel := g.requestContext(c, 0)
	defer cancel()
	status, err := g.params.Rollouts.Batch(ctx, c.Param("trainer"), c.Param("batch"))
	answer(c, status, err)
}

func (g *Gateway) cancelBatch(c *gin.Context) {
	ctx, cancel := g.requestContext(c, 0)
	defer cancel()
	status, err := g.params.Rollouts.CancelBatch(ctx, c.Param("trainer"), c.Param("batch"))
	answer(c, status, err)
}

func (g *Gateway) fetchSamples(c *gin.Context) {
	request, err := fetchRequestOf(c)
	if err != nil {
		httperr.Write(c, err)
		return
	}
	ctx, cancel := g.requestContext(c, request.Wait)
	defer cancel()
	ctx, endWait := g.work.untilDraining(ctx)
	defer endWait()
	response, err := g.params.Rollouts.Fetch(ctx, c.Param("trainer"), c.Param("batch"), request)
	if err != nil && errors.Is(context.Cause(ctx), errDraining) {
		// The trainer asks another node with the same cursor, which reads the same samples again.
		response, err = v1.FetchResponse{Next: request.After}, nil
	}
	if response.Samples == nil {
		response.Samples = []v1.Sample{}
	}
	answer(c, response, err)
}

func fetchRequestOf(c *gin.Context) (request v1.FetchRequest, err error) {
	if request.After, err = queryInt(c, "after", 0); err != nil {
		return request, err
	}
	if _, stated := c.GetQuery("version"); !stated {
		return request, invalid("version", "must be stated")
	}
	if request.Version, err = queryInt(c, "version", 0); err != nil {
		return request, err
	}
	limit, err := queryInt(c, "limit", defaultFetchLimit)
	if err != nil {
		return request, err
	}
	if limit < 1 || limit > maxFetchLimit {
		return request, invalid("limit", "must be from 1 to %d", maxFetchLimit)
	}
	request.Limit = int(limit)
	request.Wait, err = queryWait(c)
	return request, err
}

func queryInt(c *gin.Context, name string, otherwise int64) (int64, error) {
	text, stated := c.GetQuery(name)
	if !stated {
		return otherwise, nil
	}
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil || value < 0 {
		return 0, invalid(name, "must be a whole number that is not negative")
	}
	return value, nil
}

func queryWait(c *gin.Context) (time.Duration, error) {
	text, stated := c.GetQuery("wait")
	if !stated {
		return 0, nil
	}
	wait, err := parseDuration(text)
	if err != nil || wait < 0 || wait > maxFetchWait {
		return 0, invalid("wait", "must be seconds or a duration up to %s", maxFetchWait)
	}
	return wait, nil
}

func (g *Gateway) ackSamples(c *gin.Context) {
	var request v1.AckRequest
	if err := g.decodeBody(c, &request); err != nil {
		httperr.Write(c, err)
		return
	}
	if request.Position < 0 {
		httperr.Write(c, invalid("position", "must not be negative"))
		return
	}
	ctx, cancel := g.requestContext(c, 0)
	defer cancel()
	status, err := g.params.Rollouts.Ack(ctx, c.Param("trainer"), c.Param("batch"), request)
	answer(c, status, err)
}

func (g *Gateway) putVersion(c *gin.Context) {
	var version v1.WeightVersion
	if err := g.decodeBody(c, &version); err != nil {
		httperr.Write(c, err)
		return
	}
	if err := checkVersion(&version); err != nil {
		httperr.Write(c, err)
		return
	}
	ctx, cancel := g.requestContext(c, 0)
	defer cancel()
	err := g.params.Rollouts.PutVersion(ctx, c.Param("trainer"), version)
	answer(c, version, err)
}

func checkVersion(version *v1.WeightVersion) error {
	if version.Version < 1 {
		return invalid("version", "must be at least 1")
	}
	if digest, err := hex.DecodeString(version.Digest); err != nil || len(digest) != digestBytes {
		return invalid("digest", "must be a SHA-256 hash in hex")
	}
	if version.Location == "" {
		return invalid("location", "must not be empty")
	}
	return nil
}

// requestContext bounds a request by the node's timeout, and by what the caller said it waits on top of it.
func (g *Gateway) requestContext(c *gin.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(c.Request.Context(), g.params.Timing.RequestTimeout+wait)
}

// answer writes the value, or the error if there is one.
func answer(c *gin.Context, value any, err error) {
	if err != nil {
		httperr.Write(c, err)
		return
	}
	c.JSON(http.StatusOK, value)
}
