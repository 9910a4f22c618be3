package objectapi

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Sink receives the objects of the store in the order of their revisions.
type Sink interface {
	// Replace states every object there is.
	Replace(list List)
	// Apply states one change; it is never a bookmark.
	Apply(event Event)
}

// Follow lists and then watches until ctx ends, and returns its error. The sink never sees a lower revision than since or
// than one it has seen: older answers, as of a lagging cache, are refused and asked for again.
func (c *Client) Follow(ctx context.Context, since uint64, sink Sink) error {
	follower := &follower{client: c, sink: sink, position: Position{Revision: since}}
	for failures := 0; ctx.Err() == nil; {
		progressed, err := follower.step(ctx)
		if errors.Is(err, ErrGone) {
			follower.position.Relist()
			continue
		}
		if progressed {
			failures = 0
		}
		if err != nil {
			c.pause(ctx, failures)
			failures++
		}
	}
	return ctx.Err()
}

// follower is the position of one Follow.
type follower struct {
	client   *Client
	sink     Sink
	position Position
}

// step makes one list or one watch.
func (f *follower) step(ctx context.Context) (progressed bool, err error) {
	if f.position.Listed {
		before := f.position.Revision
		err := f.client.Watch(ctx, f.position.Revision, f.take)
		return f.position.Revision > before, err
	}
	list, err := f.client.List(ctx)
	if err != nil {
		return false, err
	}
	if err := f.position.TakeList(list); err != nil {
		return false, err
	}
	f.sink.Replace(list)
	return true, nil
}

// take drops what has been seen and hands on the rest.
func (f *follower) take(event Event) {
	if f.position.TakeEvent(event) {
		f.sink.Apply(event)
	}
}

// Watch hands every event after the revision to handle until ctx ends, the connection fails or stays silent (bookmarks included)
// for the idle timeout, and returns why. ErrGone: list again.
func (c *Client) Watch(ctx context.Context, after uint64, handle func(Event)) error {
	path := fmt.Sprintf("%s?%s=true&%s=%d", PathObjects, QueryWatch, QueryAfter, after)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idle := time.AfterFunc(c.config.WatchIdleTimeout, cancel)
	defer idle.Stop()
	answer, err := c.send(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if err := statusError(answer.StatusCode); err != nil {
		return err
	}
	decoder := json.NewDecoder(answer.Body)
	for {
		var event Event
		if err := decoder.Decode(&event); err != nil {
			return fmt.Errorf("%w: watch ended: %w", ErrUnavailable, err)
		}
		idle.Reset(c.config.WatchIdleTimeout)
		handle(event)
	}
}
