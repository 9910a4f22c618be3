package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// epoch is the start of virtual time.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// delivery is a message under way.
type delivery struct {
	at       time.Time
	order    int
	from, to string
	message  Message
}

type deliveries []delivery

func (d deliveries) Len() int { return len(d) }
func (d deliveries) Less(i, j int) bool {
	if !d[i].at.Equal(d[j].at) {
		return d[i].at.Before(d[j].at)
	}
	return d[i].order < d[j].order
}
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(x any)   { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

// host is a member and the state of its process.
type host struct {
	node        *Node
	member      Member
	down        bool
	pausedUntil time.Time
	// lag delays all that the process takes in.
	lag  time.Duration
	wake time.Time
	// index is the host's place among the wakes.
	index int
}

// wakes is a heap of hosts by the time at which they run next.
type wakes []*host

func (w wakes) Len() int { return len(w) }
func (w wakes) Less(i, j int) bool {
	if !w[i].wake.Equal(w[j].wake) {
		return w[i].wake.Before(w[j].wake)
	}
	return w[i].member.Name < w[j].member.Name
}
func (w wakes) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index, w[j].index = i, j
}
func (w *wakes) Push(x any) {
	x.(*host).index = len(*w)
	*w = append(*w, x.(*host))
}
func (w *wakes) Pop() any {
	last := (*w)[len(*w)-1]
	*w = (*w)[:len(*w)-1]
	return last
}

// network runs members in virtual time.
type network struct {
	random *rand.Rand
	config Config
	now    time.Time
	hosts  map[string]*host
	names  []string
	queue  deliveries
	wakes  wakes
	sent   int
	// loss and duplication are probabilities; delay is at most maxDelay.
	loss, duplication float64
	maxDelay          time.Duration
	// cut reports whether messages from one member to another are lost.
	cut func(from, to string) bool
	// onEvent is called after every event of a host.
	onEvent func(h *host)
}

func newNetwork(seed uint64) *network {
	return &network{
		random:   rand.New(rand.NewPCG(seed, 1)),
		now:      epoch,
		hosts:    make(map[string]*host),
		maxDelay: 20 * time.Millisecond,
		cut:      func(string, string) bool { return false },
		onEvent:  func(*host) {},
	}
}

// start starts a member, again if it ran before.
func (w *network) start(member Member, incarnation uint64, contacts []Member) *host {
	random := rand.New(rand.NewPCG(w.random.Uint64(), 2))
	h := &host{member: member, node: New(w.config, member, incarnation, contacts, random, w.now)}
	h.wake = h.node.NextWake()
	if former, again := w.hosts[member.Name]; again {
		heap.Remove(&w.wakes, former.index)
	} else {
		w.names = append(w.names, member.Name)
	}
	w.hosts[member.Name] = h
	heap.Push(&w.wakes, h)
	return h
}

// startZone starts count members of a zone, which know the first few.
func (w *network) startZone(zone string, count int) []Member {
	var members []Member
	for i := range count {
		members = append(members, Member{Name: fmt.Sprintf("%s-%03d", zone, i), Zone: zone, Address: fmt.Sprintf("10.0.0.1:%d", i)})
	}
	for _, member := range members {
		w.start(member, 1, members[:min(count, 3)])
	}
	return members
}

func (w *network) send(from string, messages []Outgoing) {
	for _, message := range messages {
		w.sent++
		if w.cut(from, message.To) || w.random.Float64() < w.loss {
			continue
		}
		copies := 1
		if w.random.Float64() < w.duplication {
			copies = 2
		}
		for range copies {
			w.enqueue(from, message)
		}
	}
}

func (w *network) enqueue(from string, message Outgoing) {
	delay := time.Duration(w.random.Int64N(int64(w.maxDelay) + 1))
	if to := w.hosts[message.To]; to != nil {
		delay += to.lag
	}
	heap.Push(&w.queue, delivery{at: w.now.Add(delay), order: w.sent, from: from, to: message.To, message: message.Message})
}

// run lets virtual time pass.
func (w *network) run(d time.Duration) {
	end := w.now.Add(d)
	for w.step(end) {
	}
	w.now = end
}

// until runs until the condition holds, checked every tenth of a second, and fails the test after the bound.
func (w *network) until(t testing.TB, what string, bound time.Duration, condition func() bool) time.Duration {
	t.Helper()
	started := w.now
	for !condition() {
		if w.now.Sub(started) > bound {
			t.Fatalf("not within %v: %s", bound, what)
		}
		w.run(100 * time.Millisecond)
	}
	return w.now.Sub(started)
}

// step executes the next event before end.
func (w *network) step(end time.Time) bool {
	next := w.wakes[0]
	at := next.wake
	if len(w.queue) > 0 && w.queue[0].at.Before(at) {
		at = w.queue[0].at
		next = nil
	}
	if !at.Before(end) {
		return false
	}
	w.now = later(w.now, at)
	switch {
	case next == nil:
		w.deliver(heap.Pop(&w.queue).(delivery))
	case next.down:
		w.postpone(next, end.Add(time.Hour))
	case w.now.Before(next.pausedUntil):
		w.postpone(next, next.pausedUntil)
	default:
		w.send(next.member.Name, next.node.Tick(w.now))
		w.settle(next)
	}
	return true
}

func (w *network) postpone(h *host, at time.Time) {
	h.wake = at
	heap.Fix(&w.wakes, h.index)
}

func (w *network) deliver(d delivery) {
	h := w.hosts[d.to]
	if h == nil || h.down {
		return
	}
	if w.now.Before(h.pausedUntil) {
		d.at = h.pausedUntil
		heap.Push(&w.queue, d)
		return
	}
	w.send(h.member.Name, h.node.Step(w.now, d.from, d.message))
	w.settle(h)
}

func (w *network) settle(h *host) {
	w.postpone(h, h.node.NextWake())
	w.onEvent(h)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// sees reports whether every running member of the names counts exactly the wanted members of its zone as live.
func (w *network) sees(names []string, zone string, want int) bool {
	for _, name := range names {
		h := w.hosts[name]
		if h.down {
			continue
		}
		count := 0
		for _, member := range h.node.Live() {
			if member.Zone == zone {
				count++
			}
		}
		if count != want {
			return false
		}
	}
	return true
}

// settledZone returns a network of one zone whose members all know each other.
func settledZone(t testing.TB, seed uint64, count int) *network {
	t.Helper()
	w := newNetwork(seed)
	w.startZone("a", count)
	w.until(t, "all know all", time.Minute, func() bool { return w.sees(w.names, "a", count) })
	return w
}
