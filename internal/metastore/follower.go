package metastore

import (
	"context"
	"errors"
	"maps"
	"time"
)

const (
	// watchWait is how long a watch may wait in the store for a change.
	watchWait = 10 * time.Second
	// retryPause is the pause after a call that failed.
	retryPause = 150 * time.Millisecond
	// stalledAfter is how long a watch may outlast its wait before it is given up.
	stalledAfter = 2 * time.Second
	// listTimeout bounds one page of a list.
	listTimeout = 1500 * time.Millisecond
)

// Snapshot holds the objects of a kind by name. It is not changed once it is handed out.
type Snapshot struct {
	Objects  map[string]Object
	Revision Revision
}

// Follower keeps a copy of the objects of one kind, by a list and a watch from its revision on. What it hands out never goes
// back to an earlier revision of the store.
type Follower struct {
	client Client
	kind   string
	// changed is called with every new snapshot, from Run's goroutine.
	changed func(Snapshot)
	// lost is called with the error of each call that failed, from Run's goroutine.
	lost     func(error)
	snapshot Snapshot
}

// NewFollower returns a Follower of the kind. Run starts it.
func NewFollower(client Client, kind string, changed func(Snapshot), lost func(error)) *Follower {
	return &Follower{client: client, kind: kind, changed: changed, lost: lost}
}

// Run follows the kind until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	listed := false
	for ctx.Err() == nil {
		var err error
		if listed {
			err = f.watch(ctx)
		} else {
			err = f.list(ctx)
			listed = err == nil
		}
		if errors.Is(err, ErrCompacted) {
			listed = false
			continue
		}
		if err != nil && ctx.Err() == nil {
			f.lost(err)
			pause(ctx, retryPause)
		}
	}
}

// list replaces the copy by what the store holds.
func (f *Follower) list(ctx context.Context) error {
	objects, revision, err := ListAll(ctx, f.client, f.kind, "")
	if err != nil {
		return err
	}
	if revision < f.snapshot.Revision {
		return nil
	}
	f.snapshot = Snapshot{Objects: make(map[string]Object, len(objects)), Revision: revision}
	for _, object := range objects {
		f.snapshot.Objects[object.Name] = object
	}
	f.changed(f.snapshot)
	return nil
}

// watch waits for changes once and applies them.
func (f *Follower) watch(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, watchWait+stalledAfter)
	defer cancel()
	events, err := f.client.Watch(ctx, f.kind, f.snapshot.Revision, watchWait)
	if err != nil {
		return err
	}
	if events.Revision < f.snapshot.Revision {
		return nil
	}
	next := Snapshot{Objects: f.snapshot.Objects, Revision: events.Revision}
	if len(events.Events) == 0 {
		f.snapshot = next
		return nil
	}
	next.Objects = maps.Clone(f.snapshot.Objects)
	for _, event := range events.Events {
		if event.Gone {
			delete(next.Objects, event.Object.Name)
			continue
		}
		next.Objects[event.Object.Name] = event.Object
	}
	f.snapshot = next
	f.changed(next)
	return nil
}

// ListAll returns all objects of a kind whose names come after a name, and the revision of the first page: a watch from it
// misses no change.
func ListAll(ctx context.Context, client Client, kind, after string) ([]Object, Revision, error) {
	var objects []Object
	var revision Revision
	options := ListOptions{After: after}
	for {
		page, err := listPage(ctx, client, kind, options)
		if err != nil {
			return nil, 0, err
		}
		if revision == 0 {
			revision = page.Revision
		}
		objects = append(objects, page.Objects...)
		if !page.More || len(page.Objects) == 0 {
			return objects, revision, nil
		}
		options.After = page.Objects[len(page.Objects)-1].Name
	}
}

func listPage(ctx context.Context, client Client, kind string, options ListOptions) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	return client.List(ctx, kind, options)
}

// pause waits, or until ctx ends.
func pause(ctx context.Context, length time.Duration) {
	select {
	case <-time.After(length):
	case <-ctx.Done():
	}
}
