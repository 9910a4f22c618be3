package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"

	"github.com/covelink/covelink/api/enginev1"
)

// RefusalError is an engine's own refusal of an order or a report: nothing was executed.
type RefusalError struct {
	Refusal enginev1.Refusal
}

// Error implements error. The engine's message is left out: it may hold parts of a request.
func (e *RefusalError) Error() string {
	return fmt.Sprintf("engine refused: %s", e.Refusal.Reason)
}

// Unwrap makes errors.Is(err, ErrRefused) true.
func (e *RefusalError) Unwrap() error { return ErrRefused }

// Order sends a fenced order. Besides a *RefusalError, the error wraps ErrNotSent when the order was certainly not
// executed, and ErrLost or ErrStatus when its fate is unknown.
func (c *Client) Order(ctx context.Context, url string, order enginev1.Order) (enginev1.OrderResult, error) {
	var result enginev1.OrderResult
	err := c.call(ctx, http.MethodPost, url+enginev1.PathOrders, order, &result, maxReportBytes)
	return result, err
}

// Load reads the engine's report of itself.
func (c *Client) Load(ctx context.Context, url string) (enginev1.Load, error) {
	var load enginev1.Load
	err := c.call(ctx, http.MethodGet, url+enginev1.PathLoad, nil, &load, maxReportBytes)
	return load, err
}

// CacheEvents reads the cache events after a sequence number. They are late and some may be missing.
func (c *Client) CacheEvents(ctx context.Context, url string, after uint64) ([]enginev1.CacheEvent, error) {
	var events []enginev1.CacheEvent
	path := url + enginev1.PathCacheEvents + "?after=" + strconv.FormatUint(after, 10)
	err := c.call(ctx, http.MethodGet, path, nil, &events, maxReportBytes)
	return events, err
}

// Cancel cancels one attempt. Cancelling an unknown attempt is not an error.
func (c *Client) Cancel(ctx context.Context, url string, request enginev1.CancelRequest) error {
	return c.call(ctx, http.MethodPost, url+enginev1.PathCancel, request, nil, maxReportBytes)
}

// Export ends a running attempt and returns its KV state.
func (c *Client) Export(ctx context.Context, url string, request enginev1.ExportRequest) (enginev1.KVState, error) {
	var state enginev1.KVState
	err := c.call(ctx, http.MethodPost, url+enginev1.PathExport, request, &state, int64(c.config.MaxAnswerBytes))
	return state, err
}

// Import gives an engine the KV state of an attempt that is to be resumed there.
func (c *Client) Import(ctx context.Context, url string, state enginev1.KVState) error {
	return c.call(ctx, http.MethodPost, url+enginev1.PathImport, state, nil, maxReportBytes)
}

// call makes one exchange with JSON bodies. into may be nil; limit bounds the answer in bytes.
func (c *Client) call(ctx context.Context, method, url string, body, into any, limit int64) error {
	payload, err := encode(body)
	if err != nil {
		return fmt.Errorf("%w: encode: %w", ErrNotSent, err)
	}
	witness := &writeWitness{}
	request, err := newRequest(httptrace.WithClientTrace(ctx, witness.trace()), method, url, payload)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return callError(witness, err)
	}
	defer func() { _ = response.Body.Close() }()
	return decode(response, into, limit)
}

func encode(body any) ([]byte, error) {
	if body == nil {
		return nil, nil
	}
	return json.Marshal(body)
}

func callError(witness *writeWitness, err error) error {
	if witness.seal() {
		return fmt.Errorf("%w: %w", ErrLost, err)
	}
	return fmt.Errorf("%w: %w", ErrNotSent, err)
}

func decode(response *http.Response, into any, limit int64) error {
	if response.StatusCode/100 != 2 {
		if refusal, ok := decodeRefusal(response); ok {
			return &RefusalError{Refusal: *refusal}
		}
		return fmt.Errorf("%w: %d", ErrStatus, response.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrLost, err)
	}
	if int64(len(data)) > limit {
		return ErrTooLarge
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(data, into); err != nil {
		return ErrMalformed
	}
	return nil
}

// refusalReasons lists the reasons that make a refusal valid.
var refusalReasons = []enginev1.RefusalReason{
	enginev1.RefusedDraining, enginev1.RefusedIncarnation, enginev1.RefusedVersion, enginev1.RefusedZone,
	enginev1.RefusedFull, enginev1.RefusedFence, enginev1.RefusedLoading, enginev1.RefusedInvalid,
}

// decodeRefusal returns the engine's own refusal. An answer without a whole and known refusal proves nothing: it may
// come from something between this process and the engine.
func decodeRefusal(response *http.Response) (*enginev1.Refusal, bool) {
	if response.StatusCode/100 != 4 && response.StatusCode != http.StatusServiceUnavailable {
		return nil, false
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxRefusalBytes+1))
	if err != nil || len(data) > maxRefusalBytes {
		return nil, false
	}
	var refusal enginev1.Refusal
	if err := json.NewDecoder(bytes.NewReader(data)).Decode(&refusal); err != nil {
		return nil, false
	}
	return &refusal, slices.Contains(refusalReasons, refusal.Reason)
}
