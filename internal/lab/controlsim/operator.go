package controlsim

import (
	"bytes"
	"errors"
	"time"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/configsync"
	"github.com/covelink/covelink/internal/lab/trace"
	"github.com/covelink/covelink/internal/objectapi"
)

// write is an operator's write under way or done.
type write struct {
	record *trace.Write
	zone   *zone
	object v1.RawObject
	// result is empty until the operator has an answer.
	result string
	// revision is that of the stored write.
	revision   uint64
	acceptedAt time.Duration
}

func (w *write) key() configsync.ObjectKey {
	return configsync.ObjectKey{Kind: v1.Kind(w.record.Kind), Name: w.record.Name}
}

// beginWrite lets the operator read what the write is based on and then send it to a node of the zone.
func (s *Simulation) beginWrite(record *trace.Write) {
	w := &write{record: record, zone: s.zoneNamed(record.Zone)}
	s.writes = append(s.writes, w)
	w.object = v1.RawObject{Kind: v1.Kind(record.Kind), Metadata: v1.ObjectMeta{Name: record.Name, WriteID: record.ID}}
	if record.Action != trace.ActionDelete {
		w.object = encodeWrite(record)
	}
	target := s.reachableNode(w.zone)
	if target == nil {
		w.result = trace.ResultRefused
		return
	}
	if base, ok := s.reads[record.ID]; ok {
		w.object.Metadata.ResourceVersion = base
	} else {
		w.object.Metadata.ResourceVersion = resourceVersion(target, w.key())
	}
	if record.Action == trace.ActionCreate {
		w.object.Metadata.ResourceVersion = ""
	}
	client := time.Duration(s.trace.Header.Latency.Client)
	answer := func(result string) { s.clock.After(client, func() { w.result = result }) }
	target.after(client, func() { s.forward(target, w, answer) })
	// Without any answer the operator cannot tell.
	s.clock.After(s.timing.RequestTimeout+2*client, func() {
		if w.result == "" {
			w.result = trace.ResultUnknown
		}
	})
}

func encodeWrite(record *trace.Write) v1.RawObject {
	object, err := record.Object()
	if err != nil {
		panic("controlsim: write of a checked trace: " + err.Error())
	}
	object.Meta().WriteID = record.ID
	raw, err := v1.EncodeRaw(object)
	if err != nil {
		panic("controlsim: resource cannot be encoded: " + err.Error())
	}
	return raw
}

// readBase lets the operator read the object at the moment that the write states.
func (s *Simulation) readBase(record *trace.Write) {
	if target := s.reachableNode(s.zoneNamed(record.Zone)); target != nil {
		s.reads[record.ID] = resourceVersion(target, configsync.ObjectKey{Kind: v1.Kind(record.Kind), Name: record.Name})
	}
}

// resourceVersion returns the version of an object that a node shows.
func resourceVersion(n *node, key configsync.ObjectKey) string {
	for _, object := range n.replica.State().Objects {
		if object.Kind == key.Kind && object.Metadata.Name == key.Name {
			return object.Metadata.ResourceVersion
		}
	}
	return ""
}

// reachableNode returns the first node of the zone that answers an operator, or nil.
func (s *Simulation) reachableNode(z *zone) *node {
	for _, n := range z.nodes {
		if n.up && !n.paused {
			return n
		}
	}
	return nil
}

// forward passes a write on to the zone's coordinator, as configsync.Manager does.
func (s *Simulation) forward(from *node, w *write, answer func(result string)) {
	holder := w.zone.coordinator
	if holder == nil {
		answer(trace.ResultRefused)
		return
	}
	callWithin(s, s.timing.RequestTimeout, from, holder,
		func(reply func(string, bool)) { s.serveWrite(holder, w, func(result string) { reply(result, true) }) },
		func(result string, ok bool) {
			if !ok {
				result = trace.ResultUnknown
			}
			answer(result)
		})
}

// serveWrite executes a write on the coordinator.
func (s *Simulation) serveWrite(holder *node, w *write, answer func(result string)) {
	if !holder.leads() {
		answer(trace.ResultRefused)
		return
	}
	e := &execution{simulation: s, node: holder, write: w, deadline: s.clock.Now() + s.timing.RequestTimeout}
	e.done = func(err error) { answer(resultOf(err)) }
	switch w.record.Action {
	case trace.ActionCreate:
		w.object.Metadata.Generation = 1
		e.attempt(0)
	case trace.ActionUpdate:
		e.readGeneration(0)
	default:
		e.attempt(0)
	}
}

func resultOf(err error) string {
	switch {
	case err == nil:
		return trace.ResultPending
	case errors.Is(err, objectapi.ErrConflict):
		return trace.ResultConflict
	case errors.Is(err, objectapi.ErrUnknown):
		return trace.ResultUnknown
	}
	return trace.ResultRefused
}

// execution is a write on its way to the store, tried again as objectapi.Client does.
type execution struct {
	simulation *Simulation
	node       *node
	write      *write
	deadline   time.Duration
	// lost says that the reply of an attempt was lost: it may have taken effect.
	lost bool
	done func(err error)
}

// retry waits with full jitter and tries again, or ends with the error once the deadline is over.
func (e *execution) retry(number int, err error, again func(number int)) {
	s := e.simulation
	bound := min(backoffBase<<min(number, 16), backoffCap)
	delay := time.Duration(s.random.Int64N(int64(bound))) + 1
	if s.clock.Now()+delay >= e.deadline {
		if e.lost {
			err = objectapi.ErrUnknown
		}
		e.done(err)
		return
	}
	e.node.after(delay, func() { again(number + 1) })
}

// readGeneration reads the current object, whose generation an update goes on from.
func (e *execution) readGeneration(number int) {
	s, w := e.simulation, e.write
	var current v1.RawObject
	s.store.request(e.node, func() (err error) {
		current, err = s.store.state.Get(w.object.Kind, w.object.Metadata.Name)
		return err
	}, func(err error) {
		switch {
		case errors.Is(err, objectapi.ErrUnknown), retryable(err):
			e.retry(number, objectapi.ErrUnavailable, e.readGeneration)
		case err != nil:
			e.done(err)
		case current.Metadata.ResourceVersion != w.object.Metadata.ResourceVersion:
			e.done(objectapi.ErrConflict)
		default:
			w.object.Metadata.Generation = current.Metadata.Generation
			if !bytes.Equal(current.Spec, w.object.Spec) {
				w.object.Metadata.Generation++
			}
			e.attempt(0)
		}
	})
}

// attempt sends the write once.
func (e *execution) attempt(number int) {
	store := e.simulation.store
	store.write(e.node, func() error { return store.apply(e.write) }, func(err error) {
		switch {
		case err == nil:
			e.done(nil)
		case errors.Is(err, objectapi.ErrUnknown):
			e.lost = true
			e.readBack(number)
		case e.lost:
			e.readBack(number)
		case retryable(err):
			e.retry(number, err, e.attempt)
		default:
			e.done(err)
		}
	})
}

// readBack decides a write whose reply was lost.
func (e *execution) readBack(number int) {
	s, w := e.simulation, e.write
	var current v1.RawObject
	s.store.request(e.node, func() (err error) {
		current, err = s.store.state.Get(w.object.Kind, w.object.Metadata.Name)
		return err
	}, func(err error) {
		deleting := w.record.Action == trace.ActionDelete
		switch {
		case errors.Is(err, objectapi.ErrNotFound) && deleting:
			e.done(nil)
		case errors.Is(err, objectapi.ErrNotFound):
			e.done(objectapi.ErrUnknown)
		case err != nil, current.Metadata.ResourceVersion == w.object.Metadata.ResourceVersion:
			e.retry(number, objectapi.ErrUnavailable, e.attempt)
		case current.Metadata.WriteID == w.object.Metadata.WriteID && !deleting:
			e.done(nil)
		default:
			e.done(objectapi.ErrUnknown)
		}
	})
}

// apply executes a write in the store.
func (s *store) apply(w *write) error {
	var err error
	switch w.record.Action {
	case trace.ActionCreate:
		_, err = s.state.Create(w.object)
	case trace.ActionUpdate:
		_, err = s.state.Update(w.object)
	default:
		err = s.state.Delete(w.object.Kind, w.object.Metadata.Name, w.object.Metadata.ResourceVersion)
	}
	if err == nil {
		w.revision = s.state.Revision()
	}
	return err
}
