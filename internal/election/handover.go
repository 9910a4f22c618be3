package election

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/log/level"
)

const (
	// unservedLimit is how long the store may have served no call of the holder before a candidate that it serves takes over: some
	// calls in a row, and less than a step of a trainer loses by a handover.
	unservedLimit = 800 * time.Millisecond
	// probeTimeout bounds the read by which a candidate makes sure that the store serves it.
	probeTimeout = 400 * time.Millisecond
	// yieldTimeout bounds how long the holder takes to stop.
	yieldTimeout = time.Second
	// yieldPause is how long a process that has yielded leaves the lease to others: long enough for a write of theirs that the store
	// takes late.
	yieldPause = 3 * time.Second
)

// ErrNotYielded reports a holder that goes on.
var ErrNotYielded = errors.New("election: lease not yielded")

// yieldRequest asks the holder to stop.
type yieldRequest struct {
	token   int64
	stopped chan struct{}
}

// succeed takes the lease over from a holder that the store has not served while it has served this process: the holder stops first.
// Nothing happens if the store serves neither, or has just come back and serves one before the other. A candidate at home takes over from a holder
// away from home as soon as the store serves the candidate.
func (e *Elector) succeed(ctx context.Context, lease Lease) {
	if e.Yield == nil {
		return
	}
	unserved, err := e.ping(ctx, lease)
	if err != nil || !e.replaces(lease) && (unserved < unservedLimit || e.Served() < unservedLimit) || !e.probe(ctx, lease) {
		return
	}
	asking, cancel := context.WithTimeout(ctx, yieldTimeout)
	err = e.Yield(asking, lease.Address, lease.Instance, lease.Token)
	cancel()
	level.Info(e.Logger).Log("msg", "holder asked to yield", "holder", lease.Holder, "token", lease.Token,
		"unserved", unserved.Round(time.Millisecond), "err", err)
	if err != nil {
		return
	}
	e.acquire(ctx, lease)
}

// probe reports whether the store serves this process and the lease is as it is known here.
func (e *Elector) probe(ctx context.Context, lease Lease) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	object, err := e.Store.Get(ctx, KindLeases, leaseName)
	if err != nil {
		return false
	}
	e.observe(object)
	return object.Revision == lease.revision
}

// unserved returns for how long the store has served no call of this process.
func (e *Elector) unserved() time.Duration {
	if e.Unserved == nil {
		return 0
	}
	return e.Unserved()
}

// YieldTo stops this process's term so that another may take the lease, if this process finds that the store does not serve it or that it is away from
// home. It returns once nothing of the term runs any more.
func (e *Elector) YieldTo(ctx context.Context, instance string, token int64) error {
	if instance != e.instance || e.unserved() < unservedLimit && !e.holderAway() {
		return ErrNotYielded
	}
	request := yieldRequest{token: token, stopped: make(chan struct{})}
	select {
	case e.yields <- request:
	case <-ctx.Done():
		return ErrNotYielded
	}
	select {
	case <-request.stopped:
		return nil
	case <-ctx.Done():
		return ErrNotYielded
	}
}

// yielded reports whether this process has yielded the term of a token.
func (e *Elector) yielded(token int64) bool {
	e.yieldMutex.Lock()
	defer e.yieldMutex.Unlock()
	return e.yieldedToken == token && token != 0
}

// noteYield makes the term of a token one that this process never goes on with.
func (e *Elector) noteYield(token int64) {
	e.yieldMutex.Lock()
	defer e.yieldMutex.Unlock()
	e.yieldedToken = token
}

// awaitSuccessor leaves the lease to others after this process has yielded, and takes it again if nobody has.
func (e *Elector) awaitSuccessor(ctx context.Context, lease Lease, changed <-chan struct{}) {
	timer := time.NewTimer(yieldPause)
	defer timer.Stop()
	for {
		select {
		case request := <-e.yields:
			// Another candidate asks: nothing of the term goes on.
			if request.token == lease.Token {
				close(request.stopped)
			}
		case <-timer.C:
			if e.unserved() == 0 && e.eligible() {
				e.acquire(ctx, lease)
			}
			return
		case <-changed:
			return
		case <-ctx.Done():
			return
		}
	}
}
