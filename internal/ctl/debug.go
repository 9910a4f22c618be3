package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	flagMetrics = "metrics"
	// debugTimeout bounds a call to a process's listen.metrics: the answer is in its memory.
	debugTimeout = 5 * time.Second
	// maxDebugError bounds what is shown of an answer that is an error.
	maxDebugError = 1 << 10
)

// callDebug calls a process at its listen.metrics, and decodes the answer into a value unless that is nil.
func callDebug(ctx context.Context, method, address, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, debugTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		content, _ := io.ReadAll(io.LimitReader(response.Body, maxDebugError))
		return fmt.Errorf("%s answered with status %d: %s", address, response.StatusCode, strings.TrimSpace(string(content)))
	}
	if into == nil {
		return nil
	}
	if err := json.NewDecoder(response.Body).Decode(into); err != nil {
		return fmt.Errorf("answer of %s: %w", address, err)
	}
	return nil
}
