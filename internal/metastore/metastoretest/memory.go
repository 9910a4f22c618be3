// Package metastoretest is a metadata store in memory for tests: linearizable, with watches and a history that can be
// dropped, and with the faults of a real one: calls that are refused, answers that are lost, writes that are done late.
package metastoretest

import (
	"context"
	"fmt"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/covelink/covelink/internal/metastore"
)

// maxPage is how many objects a page of a list holds.
const maxPage = 50

// Fault is what happens to one call.
type Fault int

// The faults.
const (
	// None: the call is carried out and answered.
	None Fault = iota
	// Refused: nothing is done, and the caller is told so.
	Refused
	// AnswerLost: the call is carried out, and the caller hears nothing until it gives up.
	AnswerLost
	// Late: the caller hears nothing; a write is carried out after LateBy, if its condition holds then.
	Late
	// Silent: nothing is done, and the caller hears nothing.
	Silent
)

// LateBy is the delay of writes that are done late.
const LateBy = 3 * time.Second

type change struct {
	kind  string
	event metastore.Event
}

// Store is the store itself. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	revision metastore.Revision
	objects  map[string]map[string]metastore.Object
	history  []change
	// compacted is the revision up to which the history is gone.
	compacted metastore.Revision
	changed   chan struct{}
	calls     int
	// silent mutes watches that wait, as when history is dropped behind them.
	silent bool
}

// New returns an empty store.
func New() *Store {
	return &Store{objects: make(map[string]map[string]metastore.Object), changed: make(chan struct{})}
}

// Calls returns the number of calls of all clients.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Compact drops the history. Watches that wait are not told; the next ones get ErrCompacted.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.compacted = s.revision
}

// Mute makes watches that wait hear nothing, until it is called with false.
func (s *Store) Mute(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
}

// Client is one caller's access. It implements metastore.Client.
type Client struct {
	store *Store
	// Fault chooses the fault of each call; nil means none. write tells writes from reads; watches count as reads.
	Fault func(operation, kind string, write bool) Fault
}

var _ metastore.Client = (*Client)(nil)

// Client returns access without faults.
func (s *Store) Client() *Client { return &Client{store: s} }

func (c *Client) fault(operation, kind string, write bool) Fault {
	c.store.mu.Lock()
	c.store.calls++
	c.store.mu.Unlock()
	if c.Fault == nil {
		return None
	}
	return c.Fault(operation, kind, write)
}

// perform carries a call out under its fault.
func perform[T any](ctx context.Context, c *Client, operation, kind string, write bool, act func() (T, error)) (T, error) {
	var none T
	switch c.fault(operation, kind, write) {
	case Refused:
		return none, metastore.ErrNotDone
	case AnswerLost:
		_, _ = act()
	case Late:
		if write {
			time.AfterFunc(LateBy, func() { _, _ = act() })
		}
	case Silent:
	case None:
		return act()
	}
	<-ctx.Done()
	return none, fmt.Errorf("%w: %w", metastore.ErrUnknown, ctx.Err())
}

// List implements metastore.Client.
func (c *Client) List(ctx context.Context, kind string, options metastore.ListOptions) (metastore.Page, error) {
	return perform(ctx, c, "list", kind, false, func() (metastore.Page, error) { return c.store.list(kind, options), nil })
}

func (s *Store) list(kind string, options metastore.ListOptions) metastore.Page {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := metastore.Page{Revision: s.revision}
	names := make([]string, 0, len(s.objects[kind]))
	for name := range s.objects[kind] {
		if name > options.After {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	for _, name := range names {
		if len(page.Objects) == maxPage {
			page.More = true
			break
		}
		page.Objects = append(page.Objects, s.objects[kind][name])
	}
	return page
}

// Get implements metastore.Client.
func (c *Client) Get(ctx context.Context, kind, name string) (metastore.Object, error) {
	return perform(ctx, c, "get", kind, false, func() (metastore.Object, error) {
		c.store.mu.Lock()
		defer c.store.mu.Unlock()
		object, ok := c.store.objects[kind][name]
		if !ok {
			return metastore.Object{}, metastore.ErrNotFound
		}
		return object, nil
	})
}

// Create implements metastore.Client.
func (c *Client) Create(ctx context.Context, kind string, object metastore.Object) (metastore.Object, error) {
	return perform(ctx, c, "create", kind, true, func() (metastore.Object, error) {
		c.store.mu.Lock()
		defer c.store.mu.Unlock()
		if current, taken := c.store.objects[kind][object.Name]; taken {
			return metastore.Object{}, &metastore.ConflictError{Current: current}
		}
		return c.store.put(kind, object), nil
	})
}

// Replace implements metastore.Client.
func (c *Client) Replace(ctx context.Context, kind string, object metastore.Object) (metastore.Object, error) {
	return c.update(ctx, "replace", kind, object, func(current metastore.Object) metastore.Object {
		current.Spec, current.Finalizers = object.Spec, object.Finalizers
		return current
	})
}

// ReplaceStatus implements metastore.Client.
func (c *Client) ReplaceStatus(ctx context.Context, kind string, object metastore.Object) (metastore.Object, error) {
	return c.update(ctx, "status", kind, object, func(current metastore.Object) metastore.Object {
		current.Status = object.Status
		return current
	})
}

func (c *Client) update(ctx context.Context, operation, kind string, object metastore.Object,
	change func(metastore.Object) metastore.Object) (metastore.Object, error) {
	return perform(ctx, c, operation, kind, true, func() (metastore.Object, error) {
		c.store.mu.Lock()
		defer c.store.mu.Unlock()
		current, ok := c.store.objects[kind][object.Name]
		if !ok {
			return metastore.Object{}, metastore.ErrNotFound
		}
		if object.Revision != 0 && object.Revision != current.Revision {
			return metastore.Object{}, &metastore.ConflictError{Current: current}
		}
		return c.store.put(kind, change(current)), nil
	})
}

// Delete implements metastore.Client.
func (c *Client) Delete(ctx context.Context, kind, name string, revision metastore.Revision) error {
	_, err := perform(ctx, c, "delete", kind, true, func() (struct{}, error) {
		c.store.mu.Lock()
		defer c.store.mu.Unlock()
		current, ok := c.store.objects[kind][name]
		if !ok {
			return struct{}{}, metastore.ErrNotFound
		}
		if revision != 0 && revision != current.Revision {
			return struct{}{}, &metastore.ConflictError{Current: current}
		}
		delete(c.store.objects[kind], name)
		c.store.note(kind, metastore.Event{Object: current, Gone: true})
		return struct{}{}, nil
	})
	return err
}

// put stores an object under the next revision. The mutex must be held.
func (s *Store) put(kind string, object metastore.Object) metastore.Object {
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]metastore.Object)
	}
	object.Revision = s.revision + 1
	object.Spec = slices.Clone(object.Spec)
	s.objects[kind][object.Name] = object
	s.note(kind, metastore.Event{Object: object})
	return object
}

func (s *Store) note(kind string, event metastore.Event) {
	s.revision++
	event.Object.Revision = s.revision
	s.history = append(s.history, change{kind: kind, event: event})
	close(s.changed)
	s.changed = make(chan struct{})
}

// Watch implements metastore.Client.
func (c *Client) Watch(ctx context.Context, kind string, after metastore.Revision, wait time.Duration) (metastore.Events, error) {
	return perform(ctx, c, "watch", kind, false, func() (metastore.Events, error) { return c.store.watch(ctx, kind, after, wait) })
}

func (s *Store) watch(ctx context.Context, kind string, after metastore.Revision, wait time.Duration) (metastore.Events, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	compacted := func() bool { return after < s.compacted }
	s.mu.Lock()
	if compacted() {
		s.mu.Unlock()
		return metastore.Events{}, metastore.ErrCompacted
	}
	for {
		events := metastore.Events{Revision: s.revision}
		for _, change := range s.history {
			// A watch that waits behind dropped history hears nothing any more: what it would hear could lack a change.
			if change.kind == kind && change.event.Object.Revision > after && !s.silent && !compacted() {
				events.Events = append(events.Events, change.event)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(events.Events) > 0 {
			return events, nil
		}
		select {
		case <-changed:
			s.mu.Lock()
		case <-timer.C:
			return metastore.Events{Revision: after}, nil
		case <-ctx.Done():
			return metastore.Events{}, fmt.Errorf("%w: %w", metastore.ErrUnknown, ctx.Err())
		}
	}
}
