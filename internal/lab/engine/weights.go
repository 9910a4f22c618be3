package engine

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/api/enginev1"
	"github.com/covelink/covelink/internal/lab/weightstore"
)

// The errors of loading weights, as the load report shows them.
var (
	ErrNoWeightStore  = errors.New("no weight store is configured")
	ErrDigest         = errors.New("the weights have another digest")
	ErrWeightsTooLong = errors.New("the weights are too long")
)

// handleWeights lets another engine copy weights that this one holds.
func (e *Engine) handleWeights(c *gin.Context) {
	version, err := strconv.ParseInt(c.Param("version"), 10, 64)
	e.mutex.Lock()
	weights, ok := e.life.weights[version]
	e.mutex.Unlock()
	if err != nil || !ok {
		c.Status(http.StatusNotFound)
		return
	}
	c.Data(http.StatusOK, "application/octet-stream", weights)
}

// startFetch begins to load the weights of a prepare order; the mutex is held.
func (e *Engine) startFetch(order enginev1.Order) {
	current := e.life
	ctx, cancel := context.WithTimeout(current.ended, e.config.PrepareTimeout)
	current.cancelFetch = cancel
	e.tasks.Go(func() {
		defer cancel()
		weights, err := e.fetch(ctx, order)
		e.endFetch(ctx, current, order.Version, weights, err)
	})
}

// endFetch ends the preparation, unless it was given up meanwhile.
func (e *Engine) endFetch(ctx context.Context, of *life, version int64, weights []byte, err error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	if err != nil {
		level.Warn(e.logger).Log("msg", "weights not loaded", "version", version, "err", err)
	}
	if of.simulation.FinishPrepare(version, err) {
		of.weights[version] = weights
	}
	e.wakeDriver()
}

// fetch reads the weights of an order from its source and checks their digest.
func (e *Engine) fetch(ctx context.Context, order enginev1.Order) ([]byte, error) {
	source, err := e.sourceOf(order)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, source, nil)
	if err != nil {
		return nil, fmt.Errorf("read weights: %w", err)
	}
	response, err := e.client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("read weights: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("read weights: status %d", response.StatusCode)
	}
	return e.readWeights(response.Body, order.Digest)
}

func (e *Engine) readWeights(body io.Reader, digest string) ([]byte, error) {
	weights, err := io.ReadAll(io.LimitReader(body, e.config.MaxWeightBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read weights: %w", err)
	}
	if int64(len(weights)) > e.config.MaxWeightBytes {
		return nil, ErrWeightsTooLong
	}
	sum := sha256.Sum256(weights)
	if !strings.EqualFold(hex.EncodeToString(sum[:]), digest) {
		return nil, ErrDigest
	}
	return weights, nil
}

// sourceOf returns the URL of the weights of an order.
func (e *Engine) sourceOf(order enginev1.Order) (string, error) {
	if order.Source != "" {
		return url.JoinPath(order.Source, enginev1.PathWeights, strconv.FormatInt(order.Version, 10))
	}
	if e.config.WeightStore == "" {
		return "", ErrNoWeightStore
	}
	return url.JoinPath(e.config.WeightStore, weightstore.PathPrefix, order.Location)
}

// dropWeights forgets the weights of versions that are held no more.
func (l *life) dropWeights(now time.Time) {
	load := l.simulation.Load(now)
	held := map[int64]bool{load.ActiveVersion: true}
	for _, version := range load.PreparedVersions {
		held[version] = true
	}
	for version := range l.weights {
		if !held[version] {
			delete(l.weights, version)
		}
	}
}
