package membership

import (
	"slices"
	"time"
)

// lateIntervals is for how many probe intervals after a failed probe its answer still tells of slowness.
const lateIntervals = 10

// phase is how far a probe has come.
type phase uint8

const (
	phaseDirect phase = iota
	phaseIndirect
	// phaseFailed probes are kept to notice an answer that comes too late.
	phaseFailed
)

// probe is a question whether a member is alive, from the first ping to the verdict.
type probe struct {
	target  string
	started time.Time
	phase   phase
	round   int
	asked   int // relays
	nacks   int
	// due is when the phase ends.
	due time.Time
}

// relay is a ping on behalf of another member.
type relay struct {
	origin   string
	sequence uint64
	deadline time.Time
}

// startProbe pings the next member of a shuffled round over the zone, so that each is probed once a round.
func (n *Node) startProbe(now time.Time, out *outbox) {
	target := n.nextTarget()
	if target == nil {
		return
	}
	sequence := n.nextSequence()
	p := &probe{target: target.Member.Name, started: now, round: 1}
	n.probes[sequence] = p
	n.pingDirectly(now, sequence, p, target, out)
}

func (n *Node) pingDirectly(now time.Time, sequence uint64, p *probe, target *entry, out *outbox) {
	p.phase = phaseDirect
	p.due = now.Add(n.widened(n.config.ProbeTimeout))
	out.add(target.Member, n.withNews(target.Member, Message{Kind: Ping, Sequence: sequence}))
}

func (n *Node) nextTarget() *entry {
	if len(n.order) == 0 {
		for _, e := range n.table.sample(n.random, len(n.table.list), n.neighbour) {
			n.order = append(n.order, e.Member.Name)
		}
	}
	for len(n.order) > 0 {
		e := n.table.get(n.order[0])
		n.order = n.order[1:]
		if e != nil && n.neighbour(e) {
			return e
		}
	}
	return nil
}

// tickProbes moves on the probes whose phase has ended.
func (n *Node) tickProbes(now time.Time, out *outbox) {
	for _, sequence := range n.dueProbes(now) {
		p := n.probes[sequence]
		target := n.table.get(p.target)
		if p.phase == phaseFailed || target == nil || target.State == Dead {
			delete(n.probes, sequence)
			continue
		}
		switch {
		case p.phase == phaseDirect:
			n.pingIndirectly(now, sequence, p, target, out)
		case p.round < n.config.ProbeRounds:
			p.round++
			n.pingDirectly(now, sequence, p, target, out)
		default:
			n.fail(now, p, target)
		}
	}
}

func (n *Node) dueProbes(now time.Time) []uint64 {
	var due []uint64
	for sequence, p := range n.probes {
		if !now.Before(p.due) {
			due = append(due, sequence)
		}
	}
	slices.Sort(due)
	return due
}

func (n *Node) pingIndirectly(now time.Time, sequence uint64, p *probe, target *entry, out *outbox) {
	p.phase = phaseIndirect
	p.due = now.Add(n.widened(n.config.ProbeInterval - n.config.ProbeTimeout))
	relays := n.table.sample(n.random, n.config.IndirectProbes, func(e *entry) bool {
		return n.neighbour(e) && e != target && e.State.Live()
	})
	p.asked += len(relays)
	for _, relay := range relays {
		message := Message{Kind: PingRequest, Sequence: sequence, Target: target.Member}
		out.add(relay.Member, n.withNews(relay.Member, message))
	}
}

// fail is the verdict that the target did not answer. A process that heard from nobody meanwhile doubts itself before others.
func (n *Node) fail(now time.Time, p *probe, target *entry) {
	p.phase = phaseFailed
	p.due = now.Add(lateIntervals * n.config.ProbeInterval)
	isolated := p.asked > 0 && n.lastHeard.Before(p.started)
	doubtful := n.health < n.config.MaxHealth
	if p.asked > 0 && p.nacks == 0 {
		n.raiseHealth()
	}
	if isolated && doubtful {
		return
	}
	record := target.Record
	switch {
	case record.State == Leaving, n.isWitnessed(now, record.Member.Name):
		record.State = Dead
	case record.State == Alive:
		record.State = Suspect
	default:
		return
	}
	n.set(now, record)
}

// answerPing acknowledges. Another zone also learns from the answer which bridges stand for this one.
func (n *Node) answerPing(from string, message Message, out *outbox) {
	answer := Message{Kind: Ack, Sequence: message.Sequence}
	sender := n.sender(from, message)
	if message.Bridges != 0 {
		answer.Bridges = n.ownBridges()
	}
	if message.Bridges != 0 && message.Bridges != n.bridgesOf(sender.Zone) {
		answer.Differing = 1
		answer.Records = recordsOf(n.table.bridges(sender.Zone, n.config.BridgesPerZone))
	}
	out.add(sender, n.withNews(sender, answer))
}

// takeAck ends a probe or passes the answer on to the member on whose behalf this one had asked.
func (n *Node) takeAck(now time.Time, from string, message Message, out *outbox) {
	if message.Bridges != 0 {
		n.compareBridges(now, from, message, out)
	}
	if r, ok := n.relays[message.Sequence]; ok {
		delete(n.relays, message.Sequence)
		out.add(n.address(r.origin), Message{Kind: Ack, Sequence: r.sequence})
		return
	}
	p, ok := n.probes[message.Sequence]
	if !ok {
		return
	}
	delete(n.probes, message.Sequence)
	if p.phase == phaseFailed {
		n.raiseHealth()
		return
	}
	n.lowerHealth()
}

func (n *Node) takeNack(message Message) {
	if p, ok := n.probes[message.Sequence]; ok {
		p.nacks++
	}
}

func (n *Node) relayPing(now time.Time, from string, message Message, out *outbox) {
	sequence := n.nextSequence()
	n.relays[sequence] = relay{
		origin:   from,
		sequence: message.Sequence,
		deadline: now.Add(n.config.ProbeTimeout),
	}
	out.add(message.Target, n.withNews(message.Target, Message{Kind: Ping, Sequence: sequence}))
}

// tickRelays tells the members whose requested pings were not answered in time.
func (n *Node) tickRelays(now time.Time, out *outbox) {
	var due []uint64
	for sequence, r := range n.relays {
		if !now.Before(r.deadline) {
			due = append(due, sequence)
		}
	}
	slices.Sort(due)
	for _, sequence := range due {
		r := n.relays[sequence]
		delete(n.relays, sequence)
		out.add(n.address(r.origin), Message{Kind: Nack, Sequence: r.sequence})
	}
}

// tickSuspicions declares dead whoever has not refuted in time. A suspect that was heard meanwhile gets more time, though not
// without end: it may be unable to receive.
func (n *Node) tickSuspicions(now time.Time) {
	if n.suspects == 0 {
		return
	}
	overdue := n.table.all(func(e *entry) bool { return e.State == Suspect && !now.Before(e.suspectUntil) })
	for _, e := range overdue {
		if e.heard.After(e.since) && e.extended < maxExtensions {
			e.extended++
			e.since = now
			e.suspectUntil = now.Add(n.suspicionTimeout())
			continue
		}
		record := e.Record
		record.State = Dead
		n.set(now, record)
	}
}

// address returns the member of a name, with an empty address if it is unknown.
func (n *Node) address(name string) Member {
	if known := n.table.get(name); known != nil {
		return known.Member
	}
	return Member{Name: name}
}
