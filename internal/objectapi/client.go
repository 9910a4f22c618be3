package objectapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"time"

	"github.com/google/uuid"

	v1 "github.com/covelink/covelink/api/v1"
)

const (
	defaultRequestTimeout = 5 * time.Second
	defaultWatchIdle      = 30 * time.Second
	defaultBackoffBase    = 20 * time.Millisecond
	defaultBackoffCap     = time.Second
	maxAnswerBytes        = 64 << 20
)

// Config configures a Client. Zero values take defaults.
type Config struct {
	BaseURL string
	// HTTP must have no overall timeout: watches are long.
	HTTP *http.Client
	// RequestTimeout bounds one attempt, watches excepted. Default 5s.
	RequestTimeout time.Duration
	// WatchIdleTimeout ends a watch that sends nothing, not even bookmarks. Default 30s.
	WatchIdleTimeout time.Duration
	// BackoffBase and BackoffCap bound the jittered wait between attempts. Defaults 20ms and 1s.
	BackoffBase, BackoffCap time.Duration
}

// Client calls the object API. It is safe for concurrent use.
type Client struct {
	config Config
}

// NewClient returns a Client.
func NewClient(config Config) *Client {
	config.BaseURL = strings.TrimRight(config.BaseURL, "/")
	if config.HTTP == nil {
		config.HTTP = &http.Client{}
	}
	if config.RequestTimeout <= 0 {
		config.RequestTimeout = defaultRequestTimeout
	}
	if config.WatchIdleTimeout <= 0 {
		config.WatchIdleTimeout = defaultWatchIdle
	}
	if config.BackoffBase <= 0 {
		config.BackoffBase = defaultBackoffBase
	}
	if config.BackoffCap <= 0 {
		config.BackoffCap = defaultBackoffCap
	}
	return &Client{config: config}
}

// Get returns one object. It retries until ctx ends.
func (c *Client) Get(ctx context.Context, kind v1.Kind, name string) (v1.RawObject, error) {
	var object v1.RawObject
	err := c.retry(ctx, func() error {
		return c.do(ctx, http.MethodGet, objectPath(kind, name), nil, &object)
	})
	return object, err
}

// List makes one attempt to read every object.
func (c *Client) List(ctx context.Context) (List, error) {
	var list List
	err := c.do(ctx, http.MethodGet, PathObjects, nil, &list)
	return list, err
}

// Create stores a new object under its write ID, a fresh one if it has none, and returns it as stored. It retries until ctx ends.
// ErrUnknown: the reply was lost and the object isn't there to tell; it may yet appear, or be deleted already.
func (c *Client) Create(ctx context.Context, object v1.RawObject) (v1.RawObject, error) {
	object.Metadata.WriteID = writeID(object)
	return c.write(ctx, http.MethodPost, PathObjects, object, func() error {
		return fmt.Errorf("%w: create not found on reading back", ErrUnknown)
	})
}

// Update replaces the object of the stated resourceVersion under its write ID, a fresh one if it has none. It retries until ctx ends: at most
// one attempt can take effect, since each is conditional on the same resourceVersion.
func (c *Client) Update(ctx context.Context, object v1.RawObject) (v1.RawObject, error) {
	object.Metadata.WriteID = writeID(object)
	path := objectPath(object.Kind, object.Metadata.Name)
	return c.write(ctx, http.MethodPut, path, object, func() error {
		return fmt.Errorf("%w: updated object was deleted meanwhile", ErrUnknown)
	})
}

func writeID(object v1.RawObject) string {
	if object.Metadata.WriteID != "" {
		return object.Metadata.WriteID
	}
	return uuid.NewString()
}

// write sends a conditional write until its outcome is known. absent gives the outcome when a lost write reads back as no object.
func (c *Client) write(ctx context.Context, method, path string, object v1.RawObject, absent func() error) (v1.RawObject, error) {
	var stored v1.RawObject
	lost := false
	err := c.retry(ctx, func() error {
		err := c.do(ctx, method, path, object, &stored)
		if errors.Is(err, ErrUnknown) {
			lost = true
		}
		if !lost || err == nil {
			return err
		}
		return c.readBack(ctx, object, &stored, absent)
	})
	if lost && errors.Is(err, ErrUnavailable) {
		err = fmt.Errorf("%w: %w", ErrUnknown, ctx.Err())
	}
	return stored, err
}

// readBack decides a write of which at least one attempt lost its reply. ErrUnavailable: still undecided, try again.
func (c *Client) readBack(ctx context.Context, written v1.RawObject, stored *v1.RawObject, absent func() error) error {
	var current v1.RawObject
	err := c.do(ctx, http.MethodGet, objectPath(written.Kind, written.Metadata.Name), nil, &current)
	if errors.Is(err, ErrNotFound) {
		return absent()
	}
	if err != nil {
		return fmt.Errorf("%w: read back: %w", ErrUnavailable, err)
	}
	if err := JudgeLost(written, current); err != nil {
		return err
	}
	*stored = current
	return nil
}

// JudgeLost tells the fate of a conditional write whose reply was lost from the object as it is now: nil when the write stands,
// ErrUnavailable when it has not taken effect, ErrUnknown when another write has covered what it did, if it did anything.
func JudgeLost(written, current v1.RawObject) error {
	switch {
	case current.Metadata.WriteID == written.Metadata.WriteID:
		return nil
	case current.Metadata.ResourceVersion == written.Metadata.ResourceVersion:
		return fmt.Errorf("%w: write has not taken effect", ErrUnavailable)
	}
	return fmt.Errorf("%w: object has been written by another since", ErrUnknown)
}

// Delete removes an object; an empty resourceVersion matches any. It retries until ctx ends.
func (c *Client) Delete(ctx context.Context, kind v1.Kind, name, resourceVersion string) error {
	for resourceVersion == "" {
		current, err := c.Get(ctx, kind, name)
		if err != nil {
			return err
		}
		err = c.deleteVersion(ctx, kind, name, current.Metadata.ResourceVersion)
		if !errors.Is(err, ErrConflict) {
			return err
		}
	}
	return c.deleteVersion(ctx, kind, name, resourceVersion)
}

func (c *Client) deleteVersion(ctx context.Context, kind v1.Kind, name, resourceVersion string) error {
	path := objectPath(kind, name) + "?" + QueryResourceVersion + "=" + url.QueryEscape(resourceVersion)
	lost := false
	err := c.retry(ctx, func() error {
		err := c.do(ctx, http.MethodDelete, path, nil, nil)
		if errors.Is(err, ErrUnknown) {
			lost = true
			return fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
		if !lost {
			return err
		}
		if errors.Is(err, ErrNotFound) {
			return nil
		}
		if errors.Is(err, ErrConflict) {
			return fmt.Errorf("%w: object has been written by another since", ErrUnknown)
		}
		return err
	})
	if lost && errors.Is(err, ErrUnavailable) {
		return fmt.Errorf("%w: %w", ErrUnknown, ctx.Err())
	}
	return err
}

// retry repeats attempt with full jitter while it fails with ErrUnavailable and ctx lasts.
func (c *Client) retry(ctx context.Context, attempt func() error) error {
	for n := 0; ; n++ {
		err := attempt()
		if !errors.Is(err, ErrUnavailable) {
			return err
		}
		if !c.pause(ctx, n) {
			return err
		}
	}
}

// pause waits before attempt n+1 and reports whether ctx still lasts.
func (c *Client) pause(ctx context.Context, n int) bool {
	const maxDoublings = 16
	bound := min(c.config.BackoffBase<<min(n, maxDoublings), c.config.BackoffCap)
	timer := time.NewTimer(rand.N(bound) + 1)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func objectPath(kind v1.Kind, name string) string {
	return PathObjects + "/" + url.PathEscape(string(kind)) + "/" + url.PathEscape(name)
}

// do makes one attempt. Its errors are those of this package.
func (c *Client) do(ctx context.Context, method, path string, request, response any) error {
	ctx, cancel := context.WithTimeout(ctx, c.config.RequestTimeout)
	defer cancel()
	answer, err := c.send(ctx, method, path, request)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if err := statusError(answer.StatusCode); err != nil {
		return err
	}
	if response == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(answer.Body, maxAnswerBytes)).Decode(response); err != nil {
		return lostError(method, err)
	}
	return nil
}

func (c *Client) send(ctx context.Context, method, path string, request any) (*http.Response, error) {
	var body io.Reader
	if request != nil {
		encoded, err := json.Marshal(request)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
		}
		body = bytes.NewReader(encoded)
	}
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		// The transport itself repeats a write only when nothing of it was sent; then what counts is the new attempt.
		GetConn: func(string) { connected = false },
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	httpRequest, err := http.NewRequestWithContext(ctx, method, c.config.BaseURL+path, body)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	answer, err := c.config.HTTP.Do(httpRequest)
	if err != nil && connected {
		return nil, lostError(method, err)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return answer, nil
}

// lostError returns the error of a request whose answer did not arrive whole. Reads have no effect, so they count as not executed.
func lostError(method string, err error) error {
	if method == http.MethodGet {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return fmt.Errorf("%w: %w", ErrUnknown, err)
}

func statusError(status int) error {
	switch {
	case status < http.StatusMultipleChoices:
		return nil
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusConflict:
		return ErrConflict
	case status == http.StatusGone:
		return ErrGone
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return fmt.Errorf("%w: status %d", ErrUnavailable, status)
	case status < http.StatusInternalServerError:
		return fmt.Errorf("%w: status %d", ErrInvalid, status)
	}
	return fmt.Errorf("%w: status %d", ErrUnknown, status)
}
