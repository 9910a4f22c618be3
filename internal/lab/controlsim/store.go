package controlsim

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/configsync"
	labobjectapi "github.com/covelink/covelink/internal/lab/objectapi"
	"github.com/covelink/covelink/internal/lab/trace"
	"github.com/covelink/covelink/internal/objectapi"
)

const (
	// pollInterval is the time between two bookmarks of a watch, after which a reader catches up with what it has missed.
	pollInterval = time.Second
	// storeTimeout bounds one attempt, as objectapi.Client does; its backoff is backoffBase doubled up to backoffCap.
	storeTimeout = 5 * time.Second
	backoffBase  = 20 * time.Millisecond
	backoffCap   = time.Second
)

// store is the store stand-in with the faults of the trace.
type store struct {
	simulation  *Simulation
	state       *labobjectapi.Store
	outageUntil time.Duration
	slowUntil   time.Duration
	delay       time.Duration
	staleUntil  time.Duration
	staleBy     uint64
	loseReplies int
}

func (s *store) fault(f *trace.Fault, until time.Duration) {
	switch f.Fault {
	case trace.FaultStoreOutage:
		s.outageUntil = max(s.outageUntil, until)
	case trace.FaultStoreSlow:
		s.slowUntil, s.delay = until, time.Duration(f.Delay)
	case trace.FaultStoreStale:
		s.staleUntil, s.staleBy = until, uint64(f.Count)
	case trace.FaultStoreLostReply:
		s.loseReplies += f.Count
	}
}

func (s *store) down() bool { return s.simulation.clock.Now() < s.outageUntil }

func (s *store) extraDelay() time.Duration {
	if s.simulation.clock.Now() < s.slowUntil {
		return s.delay
	}
	return 0
}

func (s *store) list() objectapi.List {
	if s.simulation.clock.Now() < s.staleUntil {
		return s.state.List(s.staleBy)
	}
	return s.state.List(0)
}

// request carries one attempt of a node to the store and hands its error to done. A request that does not get through
// is lost; a reply that does not, or that the faults lose, leaves the outcome unknown.
func (s *store) request(from *node, serve func() error, done func(err error)) {
	network := &s.simulation.network
	finished := false
	finish := func(err error) {
		if !finished {
			finished = true
			done(err)
		}
	}
	from.after(storeTimeout, func() { finish(objectapi.ErrUnknown) })
	if !network.passes(from.zone, nil) {
		return
	}
	s.simulation.clock.After(network.latency(from.zone, nil)+s.extraDelay(), func() {
		err := error(objectapi.ErrUnavailable)
		if !s.down() {
			err = serve()
		}
		if network.passes(nil, from.zone) {
			from.after(network.latency(nil, from.zone), func() { finish(err) })
		}
	})
}

// write is request for a write, whose reply the faults may lose.
func (s *store) write(from *node, serve func() error, done func(err error)) {
	s.request(from, func() error {
		if err := serve(); err != nil {
			return err
		}
		s.notify()
		if s.loseReplies > 0 {
			s.loseReplies--
			return objectapi.ErrUnknown
		}
		return nil
	}, done)
}

// notify sends the state to the coordinators, whose watches are open.
func (s *store) notify() {
	network := &s.simulation.network
	for _, z := range s.simulation.zones {
		if z.coordinator == nil || z.coordinator.term == nil || !network.passes(nil, z) {
			continue
		}
		list, t := s.list(), z.coordinator.term
		t.after(network.latency(nil, z)+s.extraDelay(), func() { t.take(list) })
	}
}

// readStore reads the store now and again at every bookmark.
func (t *term) readStore() {
	store := t.node.simulation.store
	var list objectapi.List
	store.request(t.node, func() error {
		list = store.list()
		return nil
	}, func(err error) {
		if !t.leads() {
			return
		}
		if err == nil {
			t.take(list)
		}
		t.after(pollInterval, t.readStore)
	})
}

// take applies what the store showed, unless it is older than what the coordinator holds.
func (t *term) take(list objectapi.List) {
	t.change(func(c *configsync.Coordinator, now time.Time) { c.ApplyResources(list.Items, list.Revision, now) })
}

// seed stores the resources that the header declares.
func (s *store) seed() {
	header := &s.simulation.trace.Header
	for _, z := range header.Zones {
		s.create(v1.KindZone, z.Name, v1.ZoneSpec{Region: z.Region})
	}
	for _, pool := range header.Pools {
		s.create(v1.KindPool, pool.Name, v1.PoolSpec{Model: pool.Name, PermittedZones: pool.Permitted})
	}
	for _, trainer := range header.Trainers {
		s.create(v1.KindTrainer, trainer.Name, v1.TrainerSpec{Pool: trainer.Pool, StalenessBound: trainer.StalenessBound})
	}
	for _, application := range header.Applications {
		s.create(v1.KindApplication, application.Name, v1.ApplicationSpec{Pools: application.Pools})
	}
}

func (s *store) create(kind v1.Kind, name string, spec any) {
	encoded, err := json.Marshal(spec)
	if err != nil {
		panic(fmt.Sprintf("controlsim: spec of %s %q cannot be encoded: %v", kind, name, err))
	}
	object := v1.RawObject{Kind: kind, Metadata: v1.ObjectMeta{Name: name, Generation: 1}, Spec: encoded}
	if _, err := s.state.Create(object); err != nil {
		panic(fmt.Sprintf("controlsim: %s %q of a checked trace: %v", kind, name, err))
	}
}

// retryable reports whether the store's client tries again.
func retryable(err error) bool { return errors.Is(err, objectapi.ErrUnavailable) }
