package election

import (
	"context"
	"sync"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/metastore"
)

// Watcher knows the newest state of the lease. It is safe for concurrent use.
type Watcher struct {
	followers metastore.Follower
	logger    log.Logger
	mu        sync.Mutex
	lease     Lease
	known     bool
	changed   chan struct{}
}

// NewWatcher returns a Watcher. Run starts it.
func NewWatcher(followers metastore.Follower, logger log.Logger) *Watcher {
	return &Watcher{followers: followers, logger: logger, changed: make(chan struct{})}
}

// Run follows the lease until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	changed := func(snapshot metastore.Snapshot) {
		object, ok := snapshot.Objects.Get(leaseName)
		if !ok {
			w.set(Lease{})
			return
		}
		w.observe(object)
	}
	lost := func(err error) {
		level.Warn(w.logger).Log("msg", "store call failed", "kind", KindLeases, "err", err)
	}
	w.followers.Follow(ctx, KindLeases, metastore.FollowOptions{Changed: changed, Lost: lost})
}

// Holder returns the address of the holder, or "" if there is none or it is not known.
func (w *Watcher) Holder() string {
	lease, _, _ := w.current()
	return lease.Address
}

// WhileHolder returns a context that ends with ctx, and once the holder is known to be at another address than this one. It is for calls to the
// holder: one that was lost may leave them without an answer until they time out. The cancel function must be called.
func (w *Watcher) WhileHolder(ctx context.Context, address string) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		defer cancel()
		for {
			lease, _, changed := w.current()
			if lease.Address != address {
				return
			}
			select {
			case <-changed:
			case <-ctx.Done():
				return
			}
		}
	}()
	return ctx, cancel
}

// HolderName returns the name of the holder, or "" if there is none or it is not known.
func (w *Watcher) HolderName() string {
	lease, _, _ := w.current()
	return lease.Holder
}

// Term returns the newest term that is known.
func (w *Watcher) Term() Term {
	lease, _, _ := w.current()
	return Term{Address: lease.Address, Zone: lease.Zone, Token: lease.Token}
}

// observe takes a lease object from the store. One that is no newer than the newest known is ignored.
func (w *Watcher) observe(object metastore.Object) {
	lease, err := decodeLease(object)
	if err != nil {
		level.Error(w.logger).Log("msg", "lease not read", "err", err)
		return
	}
	w.set(lease)
}

func (w *Watcher) set(lease Lease) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.known && lease.revision <= w.lease.revision {
		return
	}
	if lease.Holder != w.lease.Holder || lease.Token != w.lease.Token {
		level.Info(w.logger).Log("msg", "lease changed", "holder", lease.Holder, "token", lease.Token, "revision", lease.revision)
	}
	w.lease, w.known = lease, true
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *Watcher) current() (lease Lease, known bool, changed <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lease, w.known, w.changed
}
