package metastore

import (
	"context"
	"encoding/json"
	"errors"
	"time"
)

// Cell is one object that a process reads, and replaces on the condition that nobody else has written it since. It is not safe for concurrent
// use.
type Cell struct {
	store      Client
	kind, name string
	// timeout bounds each call to the store.
	timeout time.Duration
	// known is true while revision is the object's, as far as this process knows; zero if there is no object yet.
	known    bool
	revision Revision
}

// NewCell returns the cell of an object that need not exist.
func NewCell(store Client, kind, name string, timeout time.Duration) *Cell {
	return &Cell{store: store, kind: kind, name: name, timeout: timeout}
}

// Known reports whether the object may be written: it was read, and no write since has failed.
func (c *Cell) Known() bool { return c.known }

// Forget makes the object be read before it is written again.
func (c *Cell) Forget() { c.known = false }

// Read returns what the object holds; nil if there is none.
func (c *Cell) Read(ctx context.Context) (json.RawMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	object, err := c.store.Get(ctx, c.kind, c.name)
	if err != nil && !errors.Is(err, ErrNotFound) {
		return nil, err
	}
	c.known, c.revision = true, object.Revision
	return object.Spec, nil
}

// Write replaces what the object holds, which must be known. After an error it must be read again.
func (c *Cell) Write(ctx context.Context, spec json.RawMessage) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	write := c.store.Replace
	if c.revision == 0 {
		write = c.store.Create
	}
	c.known = false
	stored, err := write(ctx, c.kind, Object{Name: c.name, Spec: spec, Revision: c.revision})
	if err != nil {
		return err
	}
	c.known, c.revision = true, stored.Revision
	return nil
}
