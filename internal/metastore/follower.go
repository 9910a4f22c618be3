package metastore

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"
)

const (
	// DefaultWait is how long a watch waits in the store for a change.
	DefaultWait = 10 * time.Second
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

// FollowOptions say what is done with a followed kind. The functions are called from the goroutine of Follow.
type FollowOptions struct {
	// Wait bounds a watch; zero means DefaultWait. A watch whose history was dropped may stay silent, so that the wait is
	// also the longest time that changes may be missed.
	Wait time.Duration
	// Changed takes every new snapshot.
	Changed func(Snapshot)
	// Lost takes the error of each call that failed; nil for nobody.
	Lost func(error)
}

// Followers keep copies of the objects of several kinds. Once one of them learns that the store has dropped its history, all
// list their kinds again: the watches of the others may be silent for that reason.
type Followers struct {
	client Client
	mu     sync.Mutex
	// history ends when the store is known to have dropped its history.
	history context.Context
	drop    context.CancelFunc
}

// NewFollowers returns Followers of the store.
func NewFollowers(client Client) *Followers {
	f := &Followers{client: client}
	f.history, f.drop = context.WithCancel(context.Background())
	return f
}

func (f *Followers) currentHistory() context.Context {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.history
}

// dropped makes every follower list again.
func (f *Followers) dropped() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.drop()
	f.history, f.drop = context.WithCancel(context.Background())
}

// Follow keeps a copy of the objects of a kind until ctx ends, by a list and a watch from its revision on. What it hands out
// never goes back to an earlier revision of the store.
func (f *Followers) Follow(ctx context.Context, kind string, options FollowOptions) {
	if options.Wait == 0 {
		options.Wait = DefaultWait
	}
	if options.Lost == nil {
		options.Lost = func(error) {}
	}
	w := &follower{group: f, kind: kind, options: options}
	w.run(ctx)
}

// follower follows one kind.
type follower struct {
	group    *Followers
	kind     string
	options  FollowOptions
	snapshot Snapshot
}

func (w *follower) run(ctx context.Context) {
	listed := false
	for ctx.Err() == nil {
		var err error
		if listed {
			err = w.watch(ctx)
		} else {
			err = w.list(ctx)
			listed = err == nil
		}
		if errors.Is(err, ErrCompacted) {
			listed = false
		}
		if err != nil && ctx.Err() == nil {
			w.options.Lost(err)
		}
		if err != nil && listed {
			pause(ctx, retryPause)
		}
	}
}

// list replaces the copy by what the store holds.
func (w *follower) list(ctx context.Context) error {
	objects, revision, err := ListAll(ctx, w.group.client, w.kind, "")
	if err != nil {
		pause(ctx, retryPause)
		return err
	}
	if revision < w.snapshot.Revision {
		return nil
	}
	w.snapshot = Snapshot{Objects: make(map[string]Object, len(objects)), Revision: revision}
	for _, object := range objects {
		w.snapshot.Objects[object.Name] = object
	}
	w.options.Changed(w.snapshot)
	return nil
}

// watch waits for changes once and applies them.
func (w *follower) watch(ctx context.Context) error {
	history := w.group.currentHistory()
	ctx, cancel := context.WithTimeout(ctx, w.options.Wait+stalledAfter)
	defer cancel()
	stop := context.AfterFunc(history, cancel)
	defer stop()
	events, err := w.group.client.Watch(ctx, w.kind, w.snapshot.Revision, w.options.Wait)
	if errors.Is(err, ErrCompacted) {
		w.group.dropped()
		return err
	}
	if err != nil && history.Err() != nil {
		return ErrCompacted
	}
	if err != nil {
		return err
	}
	w.apply(events)
	return nil
}

// apply makes the next snapshot from changes.
func (w *follower) apply(events Events) {
	if events.Revision < w.snapshot.Revision {
		return
	}
	next := Snapshot{Objects: w.snapshot.Objects, Revision: events.Revision}
	if len(events.Events) == 0 {
		w.snapshot = next
		return
	}
	next.Objects = maps.Clone(w.snapshot.Objects)
	for _, event := range events.Events {
		if event.Gone {
			delete(next.Objects, event.Object.Name)
			continue
		}
		next.Objects[event.Object.Name] = event.Object
	}
	w.snapshot = next
	w.options.Changed(next)
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
