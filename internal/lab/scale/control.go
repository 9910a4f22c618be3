// Package scale measures what covelink's parts cost as a deployment grows.
package scale

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/covelink/covelink/coord/membership"
)

const (
	// controlZones is the number of zones that the members are split over.
	controlZones = 8
	// seedsPerZone is the number of members of each zone that all know from the start.
	seedsPerZone = 2
	settleTime   = 30 * time.Second
	measureTime  = 60 * time.Second
	linkDelay    = time.Millisecond
)

// Control is the cost of membership at one size, per member and second of virtual time in which nothing changes.
type Control struct {
	Members int `json:"members"`
	Zones   int `json:"zones"`
	// SentBytes and ReceivedBytes are means over the members; BusiestBytes is sent and received by the one with most.
	SentBytes     float64 `json:"sentBytesPerSecond"`
	ReceivedBytes float64 `json:"receivedBytesPerSecond"`
	BusiestBytes  float64 `json:"busiestBytesPerSecond"`
	// Frames are sent frames, answers included.
	Frames float64 `json:"framesPerSecond"`
	// CoreShare is the share of a core that the member table and its encoding take, without the network.
	CoreShare float64 `json:"coreShare"`
	// Settled says that at the end every member lists its whole zone.
	Settled bool `json:"settled"`
}

// MeasureControl runs the members in virtual time, with every frame encoded and decoded as the internal protocol does.
func MeasureControl(members int, seed uint64) (Control, error) {
	if members < controlZones {
		return Control{}, fmt.Errorf("scale: %d members are fewer than the %d zones", members, controlZones)
	}
	n := newControlNetwork(members, seed)
	if err := n.run(settleTime); err != nil {
		return Control{}, err
	}
	n.reset()
	started := time.Now()
	if err := n.run(measureTime); err != nil {
		return Control{}, err
	}
	return n.result(time.Since(started)), nil
}

// controlMember is one member and what it has sent and received.
type controlMember struct {
	node     *membership.Node
	self     membership.Member
	wake     time.Time
	index    int
	sent     int
	received int
	frames   int
}

// controlNetwork runs members in virtual time; every message arrives after linkDelay.
type controlNetwork struct {
	now     time.Time
	members map[string]*controlMember
	wakes   wakeHeap
	// flight holds what is under way, in the order of arrival since every link has the same delay.
	flight []arrival
	wires  map[wireKey]*wire
}

type wireKey struct{ from, to string }

type arrival struct {
	at       time.Time
	from, to string
	message  membership.Message
	// answer marks the answer to a call, which isn't answered itself.
	answer bool
}

func newControlNetwork(count int, seed uint64) *controlNetwork {
	n := &controlNetwork{
		now:     time.Unix(1, 0),
		members: make(map[string]*controlMember),
		wires:   make(map[wireKey]*wire),
	}
	var all []membership.Member
	for i := range count {
		zone := fmt.Sprintf("zone-%d", i%controlZones)
		all = append(all, membership.Member{
			Name:    fmt.Sprintf("%s-node-%03d", zone, i/controlZones),
			Zone:    zone,
			Address: fmt.Sprintf("10.%d.0.%d:8081", i%controlZones, i/controlZones),
		})
	}
	seeds := all[:min(count, seedsPerZone*controlZones)]
	for i, self := range all {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		m := &controlMember{self: self, node: membership.New(membership.Config{}, self, 1, seeds, random, n.now)}
		m.wake = m.node.NextWake()
		n.members[self.Name] = m
		heap.Push(&n.wakes, m)
	}
	return n
}

// run lets virtual time pass.
func (n *controlNetwork) run(d time.Duration) error {
	end := n.now.Add(d)
	for {
		next := n.wakes[0]
		arrives := len(n.flight) > 0 && n.flight[0].at.Before(next.wake)
		at := next.wake
		if arrives {
			at = n.flight[0].at
		}
		if at.After(end) {
			n.now = end
			return nil
		}
		if at.After(n.now) {
			n.now = at
		}
		if err := n.step(next, arrives); err != nil {
			return err
		}
	}
}

func (n *controlNetwork) step(next *controlMember, arrives bool) error {
	if arrives {
		first := n.flight[0]
		n.flight = n.flight[1:]
		return n.deliver(first)
	}
	messages := next.node.Tick(n.now)
	n.reschedule(next)
	return n.send(next, messages)
}

func (n *controlNetwork) reschedule(m *controlMember) {
	m.wake = m.node.NextWake()
	heap.Fix(&n.wakes, m.index)
}

// deliver gives a message to its receiver. Every call is answered, by the first message for its sender or by an empty frame.
func (n *controlNetwork) deliver(a arrival) error {
	m := n.members[a.to]
	var messages []membership.Outgoing
	if a.message.Kind != 0 {
		messages = m.node.Step(n.now, a.from, a.message)
		n.reschedule(m)
	}
	if !a.answer {
		var answer membership.Message
		for i, message := range messages {
			if message.To == a.from {
				answer = message.Message
				messages = append(messages[:i:i], messages[i+1:]...)
				break
			}
		}
		if err := n.transfer(m, a.from, answer, true); err != nil {
			return err
		}
	}
	return n.send(m, messages)
}

func (n *controlNetwork) send(from *controlMember, messages []membership.Outgoing) error {
	for _, message := range messages {
		if err := n.transfer(from, message.To, message.Message, false); err != nil {
			return err
		}
	}
	return nil
}

// transfer encodes a frame, counts it at both ends and puts it on its way.
func (n *controlNetwork) transfer(from *controlMember, to string, message membership.Message, answer bool) error {
	key := wireKey{from.self.Name, to}
	link := n.wires[key]
	if link == nil {
		link = newWire()
		n.wires[key] = link
	}
	decoded, size, err := link.carry(message, answer)
	if err != nil {
		return err
	}
	from.sent += size
	from.frames++
	n.members[to].received += size
	n.flight = append(n.flight, arrival{at: n.now.Add(linkDelay), from: from.self.Name, to: to, message: decoded, answer: answer})
	return nil
}

func (n *controlNetwork) reset() {
	for _, m := range n.members {
		m.sent, m.received, m.frames = 0, 0, 0
	}
}

func (n *controlNetwork) result(spent time.Duration) Control {
	result := Control{Members: len(n.members), Zones: controlZones, Settled: true}
	zoneSizes := make(map[string]int)
	for _, m := range n.members {
		zoneSizes[m.self.Zone]++
	}
	seconds := measureTime.Seconds()
	scale := 1 / (seconds * float64(len(n.members)))
	// Whole numbers are summed, so that the order of the members does not show in the last digit.
	sent, received, frames := 0, 0, 0
	for _, m := range n.members {
		sent += m.sent
		received += m.received
		frames += m.frames
		result.BusiestBytes = max(result.BusiestBytes, float64(m.sent+m.received)/seconds)
		listed := 0
		for _, member := range m.node.Live() {
			if member.Zone == m.self.Zone {
				listed++
			}
		}
		result.Settled = result.Settled && listed == zoneSizes[m.self.Zone]
	}
	result.SentBytes = float64(sent) * scale
	result.ReceivedBytes = float64(received) * scale
	result.Frames = float64(frames) * scale
	result.CoreShare = spent.Seconds() * scale
	return result
}

// wakeHeap orders members by the time of their next tick.
type wakeHeap []*controlMember

func (w wakeHeap) Len() int { return len(w) }
func (w wakeHeap) Less(i, j int) bool {
	if !w[i].wake.Equal(w[j].wake) {
		return w[i].wake.Before(w[j].wake)
	}
	return w[i].self.Name < w[j].self.Name
}
func (w wakeHeap) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index, w[j].index = i, j
}
func (w *wakeHeap) Push(x any) {
	m := x.(*controlMember)
	m.index = len(*w)
	*w = append(*w, m)
}
func (w *wakeHeap) Pop() any {
	last := (*w)[len(*w)-1]
	*w = (*w)[:len(*w)-1]
	return last
}
