package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/resourceapi"
)

const (
	// poolPollInterval is the time between two reads of a pool's status.
	poolPollInterval = 50 * time.Millisecond
	// poolWait bounds the wait for the engines of one pool.
	poolWait = 30 * time.Second
)

// poolWatcher reads the status of pools from the resource API.
type poolWatcher struct {
	client *http.Client
	base   string
	token  string
}

// wait returns once the status of the pool counts so many live engines.
func (w poolWatcher) wait(ctx context.Context, name string, engines int) error {
	ctx, cancel := context.WithTimeout(ctx, poolWait)
	defer cancel()
	counted := 0
	for {
		pool, err := w.read(ctx, name)
		if err == nil {
			counted = pool.Status.Engines
		}
		if counted >= engines {
			return nil
		}
		select {
		case <-time.After(poolPollInterval):
		case <-ctx.Done():
			return fmt.Errorf("pool %s has %d of %d engines after %s (last read: %v)", name, counted, engines, poolWait, err)
		}
	}
}

func (w poolWatcher) read(ctx context.Context, name string) (v1.Pool, error) {
	var pool v1.Pool
	url := w.base + resourceapi.BasePath + "/" + v1.KindPool.Plural() + "/" + name
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return pool, err
	}
	request.Header.Set("Authorization", "Bearer "+w.token)
	response, err := w.client.Do(request)
	if err != nil {
		return pool, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return pool, fmt.Errorf("pool %s: status %d", name, response.StatusCode)
	}
	return pool, json.NewDecoder(response.Body).Decode(&pool)
}
