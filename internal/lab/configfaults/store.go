package configfaults

import (
	"errors"
	"fmt"
	"strings"
	"time"

	v1 "github.com/covelink/covelink/api/v1"
	lab "github.com/covelink/covelink/internal/lab/objectapi"
	"github.com/covelink/covelink/internal/objectapi"
)

const (
	storeLatency = 10 * time.Millisecond
	// attemptTimeout, backoffBase and backoffCap are those of objectapi's Client.
	attemptTimeout = 5 * time.Second
	backoffBase    = 20 * time.Millisecond
	backoffCap     = time.Second
	maxDoublings   = 16
)

// store is the platform's store and the way to it.
type store struct {
	world   *world
	state   *lab.Store
	down    bool
	delay   time.Duration
	staleBy uint64
	watches []*feed
	// opened counts the watches ever opened, and written the writes that took effect.
	opened, written int
}

// poolNames are the pools of a run; the race is for the first.
var poolNames = []string{"shared", "large", "small"}

// seed stores the resources that are there from the start.
func (s *store) seed() {
	for _, zone := range s.world.zones {
		s.commit(v1.RawObject{Kind: v1.KindZone, Metadata: v1.ObjectMeta{Name: zone, Generation: 1}, Spec: []byte(`{"region":"r"}`)})
	}
	for _, pool := range poolNames {
		s.commit(v1.RawObject{
			Kind:     v1.KindPool,
			Metadata: v1.ObjectMeta{Name: pool, Generation: 1},
			Spec:     poolSpec(s.world.zones),
		})
	}
}

func poolSpec(zones []string) []byte {
	return fmt.Appendf(nil, `{"model":"m","permittedZones":["%s"]}`, strings.Join(zones, `","`))
}

// commit creates an object, or updates the one whose version it states, and tells the watches.
func (s *store) commit(object v1.RawObject) (v1.RawObject, error) {
	write := s.state.Update
	if object.Metadata.ResourceVersion == "" {
		write = s.state.Create
	}
	stored, err := write(object)
	if err != nil {
		return v1.RawObject{}, err
	}
	s.written++
	s.world.monitor.committed(stored)
	for _, feed := range s.watches {
		feed.notify()
	}
	return stored, nil
}

// request makes one attempt from a node. A reply that is lost or late ends in ErrUnknown.
func (s *store) request(from *node, execute func() error, done func(error)) {
	ended := false
	finish := func(err error) {
		if !ended {
			ended = true
			done(err)
		}
	}
	from.after(attemptTimeout, func() { finish(objectapi.ErrUnknown) })
	if s.world.cut == from.zone {
		return
	}
	s.world.clock.after(storeLatency+s.delay, func() {
		if s.down {
			from.after(storeLatency, func() { finish(objectapi.ErrUnavailable) })
			return
		}
		err := execute()
		if s.world.cut == from.zone || s.world.chance(s.world.loss) {
			from.after(storeLatency, func() { finish(objectapi.ErrUnknown) })
			return
		}
		from.after(storeLatency, func() { finish(err) })
	})
}

// get reads an object until the deadline.
func (s *store) get(from *node, key objectName, deadline time.Time, done func(v1.RawObject, error)) {
	s.retry(from, deadline, func(end func(error)) {
		var object v1.RawObject
		s.request(from, func() (err error) {
			object, err = s.state.Get(key.kind, key.name)
			return err
		}, func(err error) {
			if errors.Is(err, objectapi.ErrUnknown) {
				err = objectapi.ErrUnavailable
			}
			if err == nil || !errors.Is(err, objectapi.ErrUnavailable) {
				done(object, err)
				return
			}
			end(err)
		})
	}, func(err error) { done(v1.RawObject{}, err) })
}

// update makes a conditional write until its outcome is known or the deadline has passed, as objectapi's Client does.
func (s *store) update(from *node, object v1.RawObject, deadline time.Time, done func(v1.RawObject, error)) {
	lost := false
	s.retry(from, deadline, func(end func(error)) {
		var stored v1.RawObject
		s.request(from, func() (err error) {
			stored, err = s.commit(object)
			return err
		}, func(err error) {
			lost = lost || errors.Is(err, objectapi.ErrUnknown)
			switch {
			case err == nil || !lost && !errors.Is(err, objectapi.ErrUnavailable):
				done(stored, err)
			case lost:
				s.readBack(from, object, done, end)
			default:
				end(err)
			}
		})
	}, func(err error) {
		if lost {
			err = objectapi.ErrUnknown
		}
		done(v1.RawObject{}, err)
	})
}

// readBack decides a write that lost a reply, or ends the attempt.
func (s *store) readBack(from *node, written v1.RawObject, done func(v1.RawObject, error), end func(error)) {
	var current v1.RawObject
	s.request(from, func() (err error) {
		current, err = s.state.Get(written.Kind, written.Metadata.Name)
		return err
	}, func(err error) {
		if err == nil {
			err = objectapi.JudgeLost(written, current)
		} else {
			err = objectapi.ErrUnavailable
		}
		if errors.Is(err, objectapi.ErrUnavailable) {
			end(err)
			return
		}
		done(current, err)
	})
}

// retry repeats an attempt with jitter until it doesn't end in an error; failed takes the last one once the time is up.
func (s *store) retry(from *node, deadline time.Time, attempt func(end func(error)), failed func(error)) {
	var try func(n int)
	try = func(n int) {
		attempt(func(err error) {
			wait := s.world.upTo(min(backoffBase<<min(n, maxDoublings), backoffCap))
			if !s.world.clock.now().Add(wait).Before(deadline) {
				failed(err)
				return
			}
			from.after(wait, func() { try(n + 1) })
		})
	}
	try(0)
}

// breakWatches ends a share of the open watches.
func (s *store) breakWatches(share float64) {
	for _, feed := range append([]*feed(nil), s.watches...) {
		if s.world.chance(share) {
			feed.interrupt()
		}
	}
}

// breakWatchesOf ends the watches of a zone.
func (s *store) breakWatchesOf(zone string) {
	for _, feed := range append([]*feed(nil), s.watches...) {
		if feed.term.node.zone == zone {
			feed.interrupt()
		}
	}
}

// feed is a coordinator's list and watch of the store, as objectapi's Follow makes them.
type feed struct {
	term     *term
	position objectapi.Position
	objects  *objectapi.Objects
	failures int
	// sent is how far the store has sent events on the open watch; watch numbers it.
	sent  uint64
	watch int
	// attempt numbers what the reader does, so that what it has given up comes to nothing.
	attempt int
}

func (f *feed) store() *store { return f.term.node.world.store }

// step lists, or opens a watch.
func (f *feed) step() {
	if f.term.ended() {
		return
	}
	f.attempt++
	if f.position.Listed {
		f.open()
		return
	}
	attempt := f.attempt
	var list objectapi.List
	s := f.store()
	s.request(f.term.node, func() error {
		list = s.state.List(s.staleBy)
		return nil
	}, func(err error) {
		if f.term.ended() || attempt != f.attempt {
			return
		}
		if err == nil {
			err = f.position.TakeList(list)
		}
		if err != nil {
			f.again()
			return
		}
		f.failures = 0
		f.objects.Replace(list)
		f.term.take(f.objects.All())
		f.step()
	})
}

func (f *feed) again() {
	w := f.term.node.world
	wait := w.upTo(min(backoffBase<<min(f.failures, maxDoublings), backoffCap))
	f.failures++
	f.attempt++
	attempt := f.attempt
	f.term.node.after(wait, func() {
		if attempt == f.attempt {
			f.step()
		}
	})
}

func (f *feed) open() {
	s := f.store()
	after, attempt := f.position.Revision, f.attempt
	s.request(f.term.node, func() error {
		if f.term.ended() || attempt != f.attempt {
			return nil
		}
		if _, err := s.state.Since(after); err != nil {
			return err
		}
		f.sent = after - min(after, s.staleBy)
		f.watch++
		s.watches = append(s.watches, f)
		s.opened++
		f.notify()
		return nil
	}, func(err error) {
		if f.term.ended() || attempt != f.attempt {
			return
		}
		if errors.Is(err, objectapi.ErrGone) {
			f.position.Relist()
		}
		if err != nil {
			f.stop()
			f.again()
		}
	})
}

// notify sends the events that the watch has not sent yet.
func (f *feed) notify() {
	events, err := f.store().state.Since(f.sent)
	if err != nil {
		f.position.Relist()
		f.interrupt()
		return
	}
	f.sent = f.store().state.Revision()
	watch := f.watch
	f.term.node.after(storeLatency, func() {
		if f.term.ended() || watch != f.watch {
			return
		}
		for _, event := range events {
			if f.position.TakeEvent(event) {
				f.objects.Apply(event)
				f.term.take(f.objects.All())
			}
		}
	})
}

// stop closes the watch.
func (f *feed) stop() {
	if f == nil {
		return
	}
	f.watch++
	s := f.store()
	for i, open := range s.watches {
		if open == f {
			s.watches = append(s.watches[:i:i], s.watches[i+1:]...)
			return
		}
	}
}

// interrupt breaks the watch; the reader tries again.
func (f *feed) interrupt() {
	f.stop()
	f.again()
}
