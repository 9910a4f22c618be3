package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/commandline"
	"github.com/covelink/covelink/internal/resourceapi"
)

const (
	dialTimeout = 5 * time.Second
	// callTimeout bounds one request to one server.
	callTimeout = 30 * time.Second
	// maxAnswerBytes bounds an answer that is read whole.
	maxAnswerBytes = 64 << 20
)

// client asks the servers in their order until one answers.
type client struct {
	servers []string
	token   string
	http    *http.Client
}

// serverError is an answer of a server that is not a success.
type serverError struct {
	status resourceapi.Status
}

func (e *serverError) Error() string { return e.status.Message }

// lostError is a request that may have been executed though no answer came.
type lostError struct {
	server string
	cause  error
}

func (e *lostError) Error() string {
	return fmt.Sprintf("%s: no answer, the change may or may not be stored: %s", e.server, e.cause)
}

// unreachableError is a request that was not executed because no server took it.
type unreachableError struct {
	server string
	cause  error
}

func (e *unreachableError) Error() string { return fmt.Sprintf("%s: %s", e.server, e.cause) }

func (c *client) list(ctx context.Context, kind v1.Kind) ([]v1.Object, error) {
	var answer struct {
		Items []json.RawMessage `json:"items"`
	}
	if err := c.call(ctx, http.MethodGet, resourcePath(kind, ""), nil, nil, &answer); err != nil {
		return nil, err
	}
	objects := make([]v1.Object, 0, len(answer.Items))
	for _, item := range answer.Items {
		object := v1.NewObject(kind)
		if err := json.Unmarshal(item, object); err != nil {
			return nil, fmt.Errorf("the server's answer is not a %s: %w", kind, err)
		}
		objects = append(objects, object)
	}
	return objects, nil
}

// get returns a resource, or nil if there is none.
func (c *client) get(ctx context.Context, kind v1.Kind, name string) (v1.Object, error) {
	object := v1.NewObject(kind)
	err := c.call(ctx, http.MethodGet, resourcePath(kind, name), nil, nil, object)
	if hasReason(err, resourceapi.ReasonNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return object, nil
}

// writeOptions are the options of a write.
type writeOptions struct {
	dryRun  bool
	confirm bool
}

func (o writeOptions) query() url.Values {
	query := url.Values{}
	if o.dryRun {
		query.Set("dryRun", "All")
	}
	if o.confirm {
		query.Set("confirm", "true")
	}
	return query
}

func (c *client) create(ctx context.Context, object v1.Object, options writeOptions) error {
	path := resourcePath(object.ObjectKind(), "")
	return c.call(ctx, http.MethodPost, path, options.query(), object, nil)
}

func (c *client) update(ctx context.Context, object v1.Object, options writeOptions) error {
	path := resourcePath(object.ObjectKind(), object.Meta().Name)
	return c.call(ctx, http.MethodPut, path, options.query(), object, nil)
}

func (c *client) remove(ctx context.Context, kind v1.Kind, name string, options writeOptions) error {
	return c.call(ctx, http.MethodDelete, resourcePath(kind, name), options.query(), nil, nil)
}

func resourcePath(kind v1.Kind, name string) string {
	path := resourceapi.BasePath + "/" + kind.Plural()
	if name != "" {
		path += "/" + url.PathEscape(name)
	}
	return path
}

// call sends a request and decodes the answer into answer, unless that is nil.
func (c *client) call(ctx context.Context, method, path string, query url.Values, body, answer any) error {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return fmt.Errorf("the resource has no JSON form: %w", err)
		}
	}
	var failed error
	for _, server := range c.servers {
		failed = c.callServer(ctx, server, method, path+encodeQuery(query), data, answer)
		if failed == nil || ctx.Err() != nil || !mayTryNext(method, failed) {
			return failed
		}
	}
	return failed
}

func encodeQuery(query url.Values) string {
	if len(query) == 0 {
		return ""
	}
	return "?" + query.Encode()
}

// mayTryNext reports whether another server may be asked: always for reads, for writes if this one did not execute it.
func mayTryNext(method string, err error) bool {
	var refused *serverError
	if errors.As(err, &refused) {
		if refused.status.Code != http.StatusServiceUnavailable && refused.status.Code != http.StatusGatewayTimeout {
			return false
		}
		notRun := refused.status.Details != nil && refused.status.Details.Outcome == v1.OutcomeNotRun
		return method == http.MethodGet || notRun
	}
	var unreachable *unreachableError
	return method == http.MethodGet || errors.As(err, &unreachable)
}

func (c *client) callServer(ctx context.Context, server, method, path string, data []byte, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := c.open(ctx, server, method, path, data)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return &lostError{server: server, cause: err}
	}
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(content, answer); err != nil {
		return fmt.Errorf("%s: the answer is not JSON", server)
	}
	return nil
}

// open sends a request to one server and returns its answer if that is a success.
func (c *client) open(ctx context.Context, server, method, path string, data []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, server+path, bytes.NewReader(data))
	if err != nil {
		return nil, commandline.UsageErrorf("server %q: %s", server, err)
	}
	if c.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.token)
	}
	if len(data) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, transportError(server, err)
	}
	if response.StatusCode >= http.StatusOK && response.StatusCode < http.StatusMultipleChoices {
		return response, nil
	}
	defer func() { _ = response.Body.Close() }()
	return nil, &serverError{status: readStatus(response)}
}

// transportError tells a request that was never sent from one whose answer was lost.
func transportError(server string, err error) error {
	// The URL error repeats method and address; its cause is what the operator needs.
	var wrapped *url.Error
	if errors.As(err, &wrapped) {
		err = wrapped.Err
	}
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return &unreachableError{server: server, cause: err}
	}
	return &lostError{server: server, cause: err}
}

func readStatus(response *http.Response) resourceapi.Status {
	var status resourceapi.Status
	err := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(&status)
	if err != nil || status.Message == "" {
		status.Message = "the server answered " + response.Status
	}
	status.Code = response.StatusCode
	return status
}

func hasReason(err error, reason resourceapi.Reason) bool {
	var refused *serverError
	return errors.As(err, &refused) && refused.status.Reason == reason
}
