package configfaults

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/configsync"
	"github.com/covelink/covelink/internal/objectapi"
)

const (
	// ordinaryWrites is how many writes each of the two ordinary operators makes.
	ordinaryWrites = 25
	// raceLimit bounds the time after the faults that the race is given, and rereadInterval the wait for a change to be seen.
	raceLimit      = 90 * time.Second
	rereadInterval = 20 * time.Millisecond
)

type objectName struct {
	kind v1.Kind
	name string
}

func nameOf(object v1.RawObject) objectName { return objectName{object.Kind, object.Metadata.Name} }

// operator reads through a node, changes what it has read and writes it back, one write at a time.
type operator struct {
	world *world
	node  *node
	name  string
	left  int
	think time.Duration
	// pools are those that it writes; race says that it only counts up its label.
	pools []string
	race  bool
	// seen is the lowest version that it waits to read after a write of its own, and count what its label should be.
	seen  map[string]uint64
	count int
	done  bool
}

// startOperators starts two ordinary operators in different zones and, in a race, two more.
func (w *world) startOperators() {
	order := w.random.Perm(len(w.zones))
	spread := w.faultsTo.Sub(w.clock.now()) / ordinaryWrites
	for i := range 2 {
		w.startOperator(order[i], fmt.Sprintf("ordinary-%d", i), ordinaryWrites, spread, poolNames[1:], false)
	}
	if !w.scenario.has(Race) {
		return
	}
	for i := range 2 {
		w.startOperator(order[2+i], fmt.Sprintf("race-%d", i), w.size.RaceWrites, 4*time.Millisecond, poolNames[:1], true)
	}
}

func (w *world) startOperator(zone int, name string, writes int, think time.Duration, pools []string, race bool) {
	nodes := w.zoneNodes(w.zones[zone])
	o := &operator{
		world: w, node: nodes[w.random.IntN(len(nodes))], name: name, left: writes, think: think,
		pools: pools, race: race, seen: make(map[string]uint64),
	}
	w.operators = append(w.operators, o)
	w.clock.after(callerRequestsFrom+w.upTo(time.Second), o.step)
}

// awaitOperators runs until every operator has made its writes, or the limit.
func (w *world) awaitOperators() {
	limit := w.faultsTo.Add(raceLimit)
	working := func(o *operator) bool { return !o.done }
	for w.clock.now().Before(limit) && slices.ContainsFunc(w.operators, working) {
		w.clock.runUntil(w.clock.now().Add(time.Second))
	}
	for _, o := range w.operators {
		o.left = 0
	}
}

// step makes the next write once the node shows the last one.
func (o *operator) step() {
	if o.left == 0 {
		o.done = true
		return
	}
	pool := o.pools[o.world.random.IntN(len(o.pools))]
	object, found := o.node.object(v1.KindPool, pool)
	if !found || objectapi.ParseRevision(object.Metadata.ResourceVersion) < o.seen[pool] {
		o.world.clock.after(rereadInterval, o.step)
		return
	}
	o.left--
	object.Metadata.WriteID = fmt.Sprintf("%s-%d", o.name, o.left)
	if o.race {
		object.Metadata.Labels = maps.Clone(object.Metadata.Labels)
		if object.Metadata.Labels == nil {
			object.Metadata.Labels = make(map[string]string)
		}
		object.Metadata.Labels[o.name] = strconv.Itoa(o.labelOf(object) + 1)
	} else {
		object.Spec = poolSpec(o.someZones())
	}
	write := o.world.monitor.begin(o, object)
	o.node.forward(object, func(stored v1.RawObject, outcome v1.Outcome, err error) {
		o.ended(write, stored, outcome, err)
	})
}

func (o *operator) labelOf(object v1.RawObject) int {
	count, _ := strconv.Atoi(object.Metadata.Labels[o.name])
	return count
}

// someZones draws a set of zones that isn't empty.
func (o *operator) someZones() []string {
	zones := slices.Clone(o.world.zones)
	o.world.random.Shuffle(len(zones), func(i, j int) { zones[i], zones[j] = zones[j], zones[i] })
	zones = zones[:1+o.world.random.IntN(len(zones))]
	slices.Sort(zones)
	return zones
}

// ended takes the outcome. A write of the race that was refused is made again.
func (o *operator) ended(write *writeRecord, stored v1.RawObject, outcome v1.Outcome, err error) {
	o.world.monitor.end(write, outcome, err)
	if outcome == v1.OutcomeCompleted && err == nil {
		o.count++
		o.seen[write.object.Metadata.Name] = objectapi.ParseRevision(stored.Metadata.ResourceVersion)
	}
	o.world.clock.after(o.world.upTo(o.think+time.Millisecond), o.step)
}

// forward sends a write to the coordinator and reads it back if the answer is lost, as configsync's Manager does.
func (n *node) forward(object v1.RawObject, done func(stored v1.RawObject, outcome v1.Outcome, err error)) {
	timeout := n.world.timing.RequestTimeout
	deadline := n.world.clock.now().Add(timeout)
	holder := n.coordinator()
	var stored v1.RawObject
	finish := func(err error) {
		switch {
		case err == nil:
			done(stored, v1.OutcomeCompleted, nil)
		case errors.Is(err, objectapi.ErrUnknown), errors.Is(err, errLost{}):
			n.readBack(object, deadline, done)
		default:
			done(v1.RawObject{}, v1.OutcomeNotRun, err)
		}
	}
	serve := func(answerTimeout time.Duration, answer func(error)) {
		until := n.world.clock.now().Add(configsync.StoreTimeout(answerTimeout))
		holder.serveWrite(object, until, func(written v1.RawObject, err error) {
			stored = written
			answer(err)
		})
	}
	if holder == n {
		serve(timeout, finish)
		return
	}
	answerTimeout := configsync.ForwardTimeout(timeout)
	n.world.callLong(n, holder, answerTimeout, n.world.loss, func(answer func(error)) { serve(answerTimeout, answer) }, finish)
}

// serveWrite makes an update on the coordinator.
func (n *node) serveWrite(object v1.RawObject, until time.Time, done func(v1.RawObject, error)) {
	if n.term == nil {
		done(v1.RawObject{}, errNotCoordinator)
		return
	}
	s := n.world.store
	s.get(n, nameOf(object), until, func(current v1.RawObject, err error) {
		if err == nil && current.Metadata.ResourceVersion != object.Metadata.ResourceVersion {
			err = objectapi.ErrConflict
		}
		if err != nil {
			done(v1.RawObject{}, err)
			return
		}
		s.update(n, configsync.PrepareUpdate(n.replica.State(), current, object), until, done)
	})
}

// readBack asks whichever node coordinates for the object until that tells the write's fate.
func (n *node) readBack(written v1.RawObject, deadline time.Time, done func(v1.RawObject, v1.Outcome, error)) {
	if !n.world.clock.now().Before(deadline) {
		done(v1.RawObject{}, v1.OutcomeUnknown, objectapi.ErrUnknown)
		return
	}
	holder, lease := n.coordinator(), n.world.timing.LeaseLength
	var current v1.RawObject
	var found bool
	n.world.callLong(n, holder, lease, n.world.loss, func(answer func(error)) {
		if holder.term == nil {
			answer(errNotCoordinator)
			return
		}
		n.world.store.get(holder, nameOf(written), n.world.clock.now().Add(lease), func(object v1.RawObject, err error) {
			current, found = object, err == nil
			if errors.Is(err, objectapi.ErrNotFound) {
				err = nil
			}
			answer(err)
		})
	}, func(err error) {
		fate := configsync.FateOpen
		if err == nil {
			fate = configsync.JudgeWrite(configsync.OperationUpdate, written, current, found)
		}
		switch fate {
		case configsync.FateDone:
			done(current, v1.OutcomeCompleted, nil)
		case configsync.FateUnknown:
			done(v1.RawObject{}, v1.OutcomeUnknown, objectapi.ErrUnknown)
		default:
			n.after(configsync.TickInterval(lease), func() { n.readBack(written, deadline, done) })
		}
	})
}
