package metastore

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/pause"
	"github.com/covelink/covelink/internal/sharedmap"
)

const (
	// DefaultWait is how long a watch waits in the store for a change.
	DefaultWait = 10 * time.Second
	// retryPause is the pause after a call that failed; it doubles with each failure in a row, up to maxRetryPause.
	retryPause    = 150 * time.Millisecond
	maxRetryPause = 600 * time.Millisecond
	// probeWait is how long a watch waits after a failure: one that began while the store was silent is not answered once it is back,
	// and would be waited for in full.
	probeWait = 50 * time.Millisecond
	// settleWait is the wait of a watch that follows a change or continues from a copy: its answer shows soon that the copy is current.
	settleWait = 50 * time.Millisecond
	// stalledAfter is how long a watch may outlast its wait before it is given up.
	stalledAfter = 400 * time.Millisecond
	// listTimeout bounds one page of a list.
	listTimeout = 1500 * time.Millisecond
)

// Snapshot holds the objects of a kind by name. It is not changed once it is handed out.
type Snapshot struct {
	Objects  sharedmap.Map[Object]
	Revision Revision
}

// SnapshotOf returns the snapshot of some objects as of a revision.
func SnapshotOf(revision Revision, objects ...Object) Snapshot {
	edit := sharedmap.Map[Object]{}.Edit()
	for _, object := range objects {
		edit.Set(object.Name, object)
	}
	return Snapshot{Objects: edit.Map(), Revision: revision}
}

// FollowOptions say what is done with a followed kind. The functions are called from the goroutine of Follow.
type FollowOptions struct {
	// Wait bounds a watch; zero means DefaultWait. A watch whose history was dropped may stay silent, so that the wait is
	// also the longest time that changes may be missed.
	Wait time.Duration
	// From is a copy that the caller has already: it is followed from its revision on, without a list. Zero means none.
	From Snapshot
	// Pause is kept between a change and the next watch, so that changes in quick succession cost one call; zero means none. The change
	// itself is handed out before it.
	Pause time.Duration
	// Interval, if set, is kept after each watch, which waits for settleWait only: a call an interval, however often objects change.
	Interval time.Duration
	// Exact makes confirmations count from a moment at which the store has certainly read the objects, however long the answer was on its way.
	// A change is followed by a short watch, so that its copy is soon confirmed. Otherwise an answer counts from when it was read, unless it
	// took longer than the store may take.
	Exact bool
	// RetryPause is the least pause after a call that failed; zero means retryPause, growing with each failure in a row.
	RetryPause time.Duration
	// Changed takes every new snapshot.
	Changed func(Snapshot)
	// Lost takes the error of each call that failed; nil for nobody.
	Lost func(error)
}

// Follower keeps copies of the objects of kinds.
type Follower interface {
	// Follow keeps a copy of the objects of a kind until ctx ends.
	Follow(ctx context.Context, kind string, options FollowOptions)
}

// Followers keep copies of the objects of several kinds. What one of them learns holds for all, whose watches may be silent
// for the same reason: once the store has dropped its history, all list their kinds again, and once the store answers again after a
// failure, all begin new watches.
type Followers struct {
	// Confirmed takes each kind as the store has just shown it, changed or not, and the boottime as of which that is current (FollowOptions.Exact);
	// nil for nobody. It must be set before the first Follow.
	Confirmed func(kind string, snapshot Snapshot, at time.Time)
	// Shown is told of each answered call about a kind, with the time, by boottime, at which the answer was certainly true. That is now. If the call
	// took longer than the store may take, this process did not run meanwhile and the answer may be old: then it is when the call began. Nil for
	// nobody. It must be set before the first Follow.
	Shown func(kind string, at time.Time)
	// Doubted takes each kind of which a call has failed; nil for nobody. It must be set before the first Follow.
	Doubted func(kind string)
	// MaxWait bounds the waits of the watches of a kind, whatever the options say; nil, or zero returned, for no bound. It must be set
	// before the first Follow.
	MaxWait func(kind string) time.Duration

	client Client
	mu     sync.Mutex
	// confirmedAt is the boottime as of which each kind was last confirmed.
	confirmedAt map[string]time.Time
	// present ends, with its cause, when watches that wait are not to be relied on any more.
	present context.Context
	end     context.CancelCauseFunc
}

// errDisturbed ends the watches that wait once the store answers again.
var errDisturbed = errors.New("metastore: store answers again")

// NewFollowers returns Followers of the store.
func NewFollowers(client Client) *Followers {
	f := &Followers{client: client, confirmedAt: make(map[string]time.Time)}
	f.present, f.end = context.WithCancelCause(context.Background())
	return f
}

// ConfirmedAt returns the boottime as of which the copy of a kind is known to be current; zero if it never was.
func (f *Followers) ConfirmedAt(kind string) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmedAt[kind]
}

func (f *Followers) recordConfirmed(kind string, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.After(f.confirmedAt[kind]) {
		f.confirmedAt[kind] = at
	}
}

func (f *Followers) current() context.Context {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.present
}

// endWatches ends the watches that wait for a cause: ErrCompacted or errDisturbed.
func (f *Followers) endWatches(cause error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.end(cause)
	f.present, f.end = context.WithCancelCause(context.Background())
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
	w := &follower{group: f, kind: kind, options: options, snapshot: options.From}
	w.run(ctx)
}

// follower follows one kind.
type follower struct {
	group    *Followers
	kind     string
	options  FollowOptions
	snapshot Snapshot
	// failures counts the calls in a row that failed.
	failures int
	// settling is true until a watch has shown that the copy is current.
	settling bool
}

func (w *follower) run(ctx context.Context) {
	listed := w.snapshot.Revision > 0
	w.settling = listed && w.options.Exact
	for ctx.Err() == nil {
		var err error
		changed := false
		began, wait := boottime.Now(), time.Duration(0)
		if listed {
			wait = w.wait()
			changed, err = w.watch(ctx, wait)
		} else {
			err = w.list(ctx)
			listed = err == nil
		}
		switch {
		case err == nil:
			w.succeeded(began, wait, changed)
			w.settling = changed && w.options.Exact
			if length := w.pauseAfter(changed); length > 0 {
				pause.For(ctx, length)
			}
		case errors.Is(err, ErrCompacted):
			listed = false
		case !errors.Is(err, errDisturbed):
			w.failed(ctx, err)
		}
	}
}

// succeeded records a call that was answered: when it began, how long it was to wait in the store, and whether it brought changes. After failures,
// calls that other followers began meanwhile may never be answered, so their watches are ended.
func (w *follower) succeeded(began time.Time, wait time.Duration, changed bool) {
	if w.failures > 0 {
		w.group.endWatches(errDisturbed)
	}
	w.failures = 0
	now := boottime.Now()
	at := now
	if at.Sub(began) > wait+stalledAfter {
		at = began
	}
	if w.group.Shown != nil {
		w.group.Shown(w.kind, at)
	}
	if w.options.Exact {
		at = currentAsOf(began, now, wait, changed)
	}
	w.group.recordConfirmed(w.kind, at)
	if w.group.Confirmed != nil {
		w.group.Confirmed(w.kind, w.snapshot, at)
	}
}

// currentAsOf returns the moment as of which an answer that is read now is certainly current, however long it was on its way. The store has read
// the objects after the call began, and an answer without changes only once the wait was over.
func currentAsOf(began, now time.Time, wait time.Duration, changed bool) time.Time {
	if changed || wait == 0 {
		return began
	}
	if waited := began.Add(wait); waited.Before(now) {
		return waited
	}
	return now
}

// failed takes in a call that failed, and waits before the next.
func (w *follower) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	w.options.Lost(err)
	if w.group.Doubted != nil {
		w.group.Doubted(w.kind)
	}
	pause.For(ctx, max(w.options.RetryPause, min(retryPause<<min(w.failures, 4), maxRetryPause)))
	w.failures++
}

// list replaces the copy by what the store holds.
func (w *follower) list(ctx context.Context) error {
	objects, revision, err := ListAll(ctx, w.group.client, w.kind, "")
	if err != nil {
		return err
	}
	if revision < w.snapshot.Revision {
		return nil
	}
	w.snapshot = SnapshotOf(revision, objects...)
	w.options.Changed(w.snapshot)
	return nil
}

// watch waits in the store for changes, once, and applies them. It reports whether there were any.
func (w *follower) watch(ctx context.Context, wait time.Duration) (changed bool, err error) {
	present := w.group.current()
	ctx, cancel := context.WithTimeout(ctx, wait+stalledAfter)
	defer cancel()
	stop := context.AfterFunc(present, cancel)
	defer stop()
	events, err := w.group.client.Watch(ctx, w.kind, w.snapshot.Revision, wait)
	if errors.Is(err, ErrCompacted) {
		w.group.endWatches(ErrCompacted)
		return false, err
	}
	if err != nil && present.Err() != nil {
		return false, context.Cause(present)
	}
	if err != nil {
		return false, err
	}
	w.apply(events)
	return len(events.Events) > 0, nil
}

// pauseAfter returns the pause after a call that was answered.
func (w *follower) pauseAfter(changed bool) time.Duration {
	switch {
	case w.options.Interval > 0:
		return w.options.Interval
	case changed:
		return w.options.Pause
	}
	return 0
}

// wait returns how long the next watch waits in the store.
func (w *follower) wait() time.Duration {
	if w.failures > 0 {
		return probeWait
	}
	if w.settling || w.options.Interval > 0 {
		return settleWait
	}
	if w.group.MaxWait == nil {
		return w.options.Wait
	}
	if most := w.group.MaxWait(w.kind); most > 0 {
		return min(w.options.Wait, most)
	}
	return w.options.Wait
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
	edit := w.snapshot.Objects.Edit()
	for _, event := range events.Events {
		if event.Gone {
			edit.Delete(event.Object.Name)
			continue
		}
		edit.Set(event.Object.Name, event.Object)
	}
	next.Objects = edit.Map()
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
