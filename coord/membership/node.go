package membership

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// expireInterval is the time between two looks for dead members to forget.
	expireInterval = time.Minute
	// messageOverheadBytes estimates what a message takes on the wire beside its records.
	messageOverheadBytes = 60
	// burstSeconds is how many seconds' worth of bytes may be sent at once.
	burstSeconds = 4
	// minSuspicionIntervals bounds the suspicion timeout of small zones from below.
	minSuspicionIntervals = 4
	// maxExtensions bounds how often a suspicion is prolonged because the suspect was heard.
	maxExtensions = 2
	// witnessLifetime is for how long another witness's word counts.
	witnessLifetime = 10 * time.Second
	// leaveFanout is the number of members told at once of a planned stop; they pass it on.
	leaveFanout = 8
)

// Node is one member's part. It is not safe for concurrent use.
type Node struct {
	config Config
	random *rand.Rand
	zone   string
	self   *entry
	// contacts are members to turn to when no other is known.
	contacts []Member
	table    *table
	queue    queue
	probes   map[uint64]*probe
	relays   map[uint64]relay
	// order holds the members still to probe in this round.
	order    []string
	sequence uint64
	// health is the local health score: how much this process has reason to doubt itself.
	health int
	// lastHeard is when any message came.
	lastHeard time.Time
	suspects  int
	version   uint64
	budget    budget
	zoneTurn  int
	// witnessed holds the members that another witness holds to be leaving, as told at witnessedAt.
	witnessed   map[string]bool
	witnessedAt time.Time

	nextProbe  time.Time
	nextGossip time.Time
	nextSync   time.Time
	nextBridge time.Time
	nextExpire time.Time
}

// New returns the part of the member self. Its incarnation must be above 0 and should be above that of its earlier starts;
// else it is raised once another member tells of a higher one. contacts are members to join through, and are taken for live
// until their probes fail; self may be among them.
func New(config Config, self Member, incarnation uint64, contacts []Member, random *rand.Rand, now time.Time) *Node {
	n := &Node{
		config:   config.withDefaults(),
		random:   random,
		zone:     self.Zone,
		contacts: slices.DeleteFunc(slices.Clone(contacts), func(m Member) bool { return m.Name == self.Name }),
		table:    newTable(),
		probes:   make(map[uint64]*probe),
		relays:   make(map[uint64]relay),
		sequence: uint64(random.Uint32()),
	}
	n.self = n.table.put(Record{Member: self, Incarnation: incarnation}, now)
	n.presume(now)
	n.budget = budget{rate: float64(n.config.BytesPerSecond), tokens: burstSeconds * float64(n.config.BytesPerSecond), at: now}
	n.nextSync = now
	n.nextProbe = now.Add(n.jitter(n.config.ProbeInterval))
	n.nextGossip = now.Add(n.jitter(n.config.GossipInterval))
	n.nextBridge = now.Add(n.jitter(n.config.BridgeInterval))
	n.nextExpire = now.Add(expireInterval)
	return n
}

// Self returns the member's own record.
func (n *Node) Self() Record { return n.self.Record }

// Health returns the local health score: 0 is healthy; timeouts are widened by one plus it.
func (n *Node) Health() int { return n.health }

// Version changes whenever Live may have changed.
func (n *Node) Version() uint64 { return n.version }

// Live returns the live members in the order of their names, this one included: all of the zone, the bridges of others.
func (n *Node) Live() []Member {
	var members []Member
	for _, e := range n.table.all(func(e *entry) bool { return e.State.Live() }) {
		members = append(members, e.Member)
	}
	return members
}

// Records returns all that is known, in the order of the names.
func (n *Node) Records() []Record {
	var records []Record
	for _, e := range n.table.all(func(*entry) bool { return true }) {
		records = append(records, e.Record)
	}
	return records
}

// Step takes in a message that the member from has sent.
func (n *Node) Step(now time.Time, from string, message Message) []Outgoing {
	n.allowForStall(now)
	n.lastHeard = now
	var out outbox
	changed := false
	for _, record := range message.Records {
		changed = n.learn(now, from, record, &out) || changed
	}
	if known := n.table.get(from); known != nil {
		known.heard = now
	}
	switch message.Kind {
	case Ping:
		n.answerPing(from, message, &out)
	case Ack:
		n.takeAck(now, from, message, &out)
	case PingRequest:
		n.relayPing(now, from, message, &out)
	case Nack:
		n.takeNack(message)
	case Sync:
		n.answerSync(now, from, message, &out)
	case SyncReply:
		n.takeSyncReply(now, from, message, changed, &out)
	}
	return out.messages
}

// Tick does what is due. It may be called at any time.
func (n *Node) Tick(now time.Time) []Outgoing {
	n.allowForStall(now)
	var out outbox
	n.tickProbes(now, &out)
	n.tickRelays(now, &out)
	n.tickSuspicions(now)
	if !now.Before(n.nextProbe) {
		n.nextProbe = now.Add(n.widened(n.config.ProbeInterval))
		n.startProbe(now, &out)
	}
	if !now.Before(n.nextBridge) {
		n.nextBridge = now.Add(n.widened(n.config.BridgeInterval))
		n.probeZone(&out)
	}
	if !now.Before(n.nextGossip) {
		n.nextGossip = now.Add(n.config.GossipInterval)
		n.gossip(now, &out)
	}
	if !now.Before(n.nextSync) {
		n.nextSync = now.Add(n.config.SyncInterval/2 + n.jitter(n.config.SyncInterval))
		n.startSync(now, &out)
	}
	if !now.Before(n.nextExpire) {
		n.nextExpire = now.Add(expireInterval)
		n.expire(now)
	}
	return out.messages
}

// NextWake returns when Tick is to be called next.
func (n *Node) NextWake() time.Time {
	next := n.nextProbe
	next = earlier(next, n.nextBridge)
	next = earlier(next, n.nextSync)
	next = earlier(next, n.nextExpire)
	if !n.queue.empty() {
		next = earlier(next, n.nextGossip)
	}
	for _, p := range n.probes {
		next = earlier(next, p.due)
	}
	for _, r := range n.relays {
		next = earlier(next, r.deadline)
	}
	if n.suspects == 0 {
		return next
	}
	for _, e := range n.table.list {
		if e.State == Suspect {
			next = earlier(next, e.suspectUntil)
		}
	}
	return next
}

// Leave announces the planned stop of this member. It goes on to answer until the caller stops it.
func (n *Node) Leave(now time.Time) []Outgoing {
	record := n.self.Record
	record.State = Leaving
	n.set(now, record)
	var out outbox
	receivers := n.table.sample(n.random, leaveFanout, n.neighbour)
	for _, zone := range n.otherZones() {
		receivers = append(receivers, n.table.bridges(zone, 1)...)
	}
	for _, receiver := range receivers {
		out.add(receiver.Member, Message{Kind: Gossip, Records: []Record{record}})
	}
	return out.messages
}

// SetLeaving states which members another witness holds to be leaving. It may lag, so by itself it changes nothing: such a
// member that is suspected is dead at once. The statement lapses unless it is repeated.
func (n *Node) SetLeaving(now time.Time, names []string) {
	n.witnessed = make(map[string]bool, len(names))
	for _, name := range names {
		n.witnessed[name] = true
	}
	n.witnessedAt = now
}

func (n *Node) isWitnessed(now time.Time, name string) bool {
	return n.witnessed[name] && now.Sub(n.witnessedAt) <= witnessLifetime
}

// allowForStall moves every deadline on by the time this process was not run: what it missed says nothing of others.
func (n *Node) allowForStall(now time.Time) {
	stalled := now.Sub(n.NextWake())
	if stalled <= n.config.ProbeTimeout {
		return
	}
	n.raiseHealth()
	for _, p := range n.probes {
		p.due = p.due.Add(stalled)
	}
	for name, r := range n.relays {
		r.deadline = r.deadline.Add(stalled)
		n.relays[name] = r
	}
	for _, e := range n.table.list {
		e.suspectUntil = e.suspectUntil.Add(stalled)
	}
	for _, at := range []*time.Time{&n.nextProbe, &n.nextBridge, &n.nextSync, &n.nextExpire, &n.nextGossip} {
		*at = at.Add(stalled)
	}
}

// neighbour reports whether an entry is another member of the zone that takes messages.
func (n *Node) neighbour(e *entry) bool {
	return e != n.self && e.Member.Zone == n.zone && e.State != Dead
}

func (n *Node) zoneSize() int {
	return n.table.count(func(e *entry) bool { return e.Member.Zone == n.zone && e.State.Live() })
}

func (n *Node) suspicionTimeout() time.Duration {
	intervals := n.config.SuspicionMultiplier * math.Log10(float64(n.zoneSize()+1))
	intervals = max(intervals, minSuspicionIntervals)
	return n.widened(time.Duration(intervals * float64(n.config.ProbeInterval)))
}

func (n *Node) retransmitLimit() int {
	return n.config.RetransmitMultiplier * int(math.Ceil(math.Log2(float64(len(n.table.list)+1))))
}

func (n *Node) widened(d time.Duration) time.Duration { return d * time.Duration(1+n.health) }

func (n *Node) raiseHealth() { n.health = min(n.health+1, n.config.MaxHealth) }

func (n *Node) lowerHealth() { n.health = max(n.health-1, 0) }

// jitter returns a random part of d.
func (n *Node) jitter(d time.Duration) time.Duration {
	return time.Duration(n.random.Int64N(int64(d) + 1))
}

func (n *Node) nextSequence() uint64 {
	n.sequence++
	return n.sequence
}

// isBridge reports whether this member speaks to other zones.
func (n *Node) isBridge() bool {
	return slices.Contains(n.table.bridges(n.zone, n.config.BridgesPerZone), n.self)
}

// otherZones returns the known zones but the own.
func (n *Node) otherZones() []string {
	zones := n.table.zones()
	for _, contact := range n.contacts {
		zones = append(zones, contact.Zone)
	}
	slices.Sort(zones)
	zones = slices.Compact(zones)
	return slices.DeleteFunc(zones, func(zone string) bool { return zone == n.zone })
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
