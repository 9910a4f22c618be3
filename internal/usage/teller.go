package usage

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/election"
	"github.com/covelink/covelink/internal/fleettime"
	"github.com/covelink/covelink/internal/metastore"
	"github.com/covelink/covelink/internal/pause"
	"github.com/covelink/covelink/internal/rpc"
)

const (
	// gatherPause is how long counts are gathered before they are told: what a gateway that is lost takes along is at most that old, and
	// a busy one tells at most five times a second.
	gatherPause = 200 * time.Millisecond
	// tellTimeout bounds one attempt to tell.
	tellTimeout = time.Second
	// tellRetry is the pause after an attempt that failed.
	tellRetry = 250 * time.Millisecond
	// lookInterval is the pause between two looks at who coordinates.
	lookInterval = 500 * time.Millisecond
	// clockInterval is how often the time is asked for when there is nothing to tell: well within fleettime's life of a sample.
	clockInterval = 20 * time.Second
	// fallbackAfter is how long a gateway tries to reach a coordinating process before it writes its counts into the store: a lost one is
	// replaced within 3 s.
	fallbackAfter = 3500 * time.Millisecond
	// fallbackInterval is the least time between two such writes.
	fallbackInterval = 2500 * time.Millisecond
	// lastTime bounds what a process that stops spends on its last counts.
	lastTime = 1500 * time.Millisecond
)

// TellRequest tells what a meter has counted.
type TellRequest struct {
	// Source names the start of the process that counted.
	Source string
	// Windows are cumulative: a window's counts replace what was told before.
	Windows []WindowCounts
}

// TellReply answers a TellRequest.
type TellReply struct {
	// Taken is false if the process does not coordinate, or does not know yet what its predecessors have kept.
	Taken bool
	// Now is the true time, as far as the process knows it.
	Now time.Time
}

// Receiver takes in what meters tell.
type Receiver interface {
	Receive(request TellRequest) TellReply
}

// Register makes a server answer for a receiver.
func Register(server *rpc.Server, receiver Receiver) {
	rpc.Handle(server, func(_ context.Context, _ rpc.Peer, request TellRequest) (TellReply, error) {
		return receiver.Receive(request), nil
	})
}

// Tell tells the process at an address.
func Tell(ctx context.Context, calls *rpc.Client, address string, request TellRequest) (TellReply, error) {
	return rpc.Call[TellRequest, TellReply](ctx, calls, address, request)
}

// TellerParams are what a Teller works with.
type TellerParams struct {
	Meter *Meter
	// Clock learns the time from whoever is told.
	Clock *fleettime.Remote
	// Coordinator returns who coordinates; its address is "" if nobody is known to.
	Coordinator func() election.Term
	// Send tells the process at an address.
	Send func(ctx context.Context, address string, request TellRequest) (TellReply, error)
	// Store takes counts while no process that coordinates is reached.
	Store  metastore.Client
	Logger log.Logger
}

// Teller tells the coordinating process what a meter counts.
type Teller struct {
	TellerParams
	// told is who was last told, and at when.
	told   election.Term
	toldAt time.Time
	// failing is since when no attempt has succeeded; zero while they do.
	failing time.Time
	// fallback is when counts were last written into the store.
	fallback time.Time
	// stored is the object's revision there; zero if it is not known.
	stored metastore.Revision
}

// NewTeller returns a Teller. Run starts it.
func NewTeller(params TellerParams) *Teller { return &Teller{TellerParams: params} }

// Run tells until ctx ends, and then what is left.
func (t *Teller) Run(ctx context.Context) {
	for ctx.Err() == nil {
		t.awaitNews(ctx)
		if ctx.Err() == nil {
			t.tell(ctx)
		}
	}
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), lastTime)
	defer cancel()
	for last.Err() == nil && !t.tell(last) && !t.storeNow(last) {
	}
}

// awaitNews waits until there is something to tell.
func (t *Teller) awaitNews(ctx context.Context) {
	if !t.failing.IsZero() {
		return
	}
	ticker := time.NewTicker(lookInterval)
	defer ticker.Stop()
	for {
		select {
		case <-t.Meter.changed:
			pause.For(ctx, gatherPause)
			return
		case <-ticker.C:
			if t.Coordinator() != t.told || time.Since(t.toldAt) > clockInterval {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// errNotTaken reports a process that did not take in what it was told.
var errNotTaken = errors.New("usage: not taken in")

// tell makes one attempt. It reports whether nothing is left to tell.
func (t *Teller) tell(ctx context.Context) bool {
	term := t.Coordinator()
	if term != t.told {
		t.Meter.renew()
	}
	taken := t.Meter.takeFresh()
	err := t.send(ctx, term, taken)
	if err == nil {
		t.told, t.toldAt, t.failing = term, time.Now(), time.Time{}
		return true
	}
	t.Meter.putBack(taken)
	if t.failing.IsZero() {
		t.failing = time.Now()
		level.Info(t.Logger).Log("msg", "counts not told", "coordinator", term.Address, "windows", len(taken), "err", err)
	}
	if len(taken) > 0 && time.Since(t.failing) > fallbackAfter && time.Since(t.fallback) > fallbackInterval {
		t.storeNow(ctx)
	}
	pause.For(ctx, tellRetry)
	return len(taken) == 0
}

func (t *Teller) send(ctx context.Context, term election.Term, windows []WindowCounts) error {
	if term.Address == "" {
		return errNotTaken
	}
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	asked := boottime.Now()
	reply, err := t.Send(ctx, term.Address, TellRequest{Source: t.Meter.source, Windows: windows})
	if err != nil {
		return err
	}
	t.Clock.AddSample(asked, boottime.Now(), reply.Now)
	if !reply.Taken {
		return errNotTaken
	}
	return nil
}

// KindCounts is the kind of the objects in which gateways leave counts that they cannot tell. An object bears the name of its source.
const KindCounts = "usage-counts"

// countsSpec is the content of such an object.
type countsSpec struct {
	Windows []WindowCounts `json:"windows"`
}

// storeNow writes all counts into the store. It reports whether that was done.
func (t *Teller) storeNow(ctx context.Context) bool {
	t.fallback = time.Now()
	windows := t.Meter.all()
	err := t.write(ctx, windows)
	level.Info(t.Logger).Log("msg", "counts left in the store", "windows", len(windows), "err", err)
	return err == nil
}

func (t *Teller) write(ctx context.Context, windows []WindowCounts) error {
	content, err := json.Marshal(countsSpec{Windows: windows})
	if err != nil {
		return fmt.Errorf("usage: counts: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	object := metastore.Object{Name: t.Meter.source, Spec: content}
	if t.stored == 0 {
		created, err := t.Store.Create(ctx, KindCounts, object)
		var conflict *metastore.ConflictError
		if !errors.As(err, &conflict) {
			t.stored = created.Revision
			return err
		}
	}
	// Nobody else writes the object, so that no condition is needed.
	replaced, err := t.Store.Replace(ctx, KindCounts, object)
	t.stored = replaced.Revision
	return err
}
