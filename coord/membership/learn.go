package membership

import "time"

// learn takes in a record and reports whether it was news.
func (n *Node) learn(now time.Time, from string, record Record, out *outbox) bool {
	if record.Member.Name == n.self.Member.Name {
		n.learnSelf(now, from, record, out)
		return false
	}
	if record.Incarnation == 0 {
		return false
	}
	if record.Member.Zone != n.zone && record.State == Suspect {
		record.State = Alive
	}
	known := n.table.get(record.Member.Name)
	if known == nil && record.State == Dead {
		return false
	}
	if known != nil && !newer(record, known.Record) {
		return false
	}
	return n.set(now, record)
}

// learnSelf refutes what others wrongly believe of this member and answers the one who told.
func (n *Node) learnSelf(now time.Time, from string, record Record, out *outbox) {
	own := n.self.Record
	unknownThere := record.Incarnation == 0 && record.State == Dead
	switch {
	case unknownThere:
	case record.Incarnation < own.Incarnation:
		return
	case record.Incarnation == own.Incarnation && (record.State <= own.State || own.State == Leaving):
		return
	default:
		if record.State == Suspect {
			n.raiseHealth()
		}
		own.Incarnation = record.Incarnation + 1
		n.set(now, own)
	}
	n.queue.add(own.Member.Name)
	if teller := n.table.get(from); teller != nil {
		out.add(teller.Member, Message{Kind: Gossip, Records: []Record{own}})
	}
}

// set records news and makes it spread. It reports whether the record was kept.
func (n *Node) set(now time.Time, record Record) bool {
	before := n.table.get(record.Member.Name)
	wasSuspect := before != nil && before.State == Suspect
	wasLive := before != nil && before.State.Live()
	sameMember := before != nil && before.Member == record.Member
	e := n.table.put(record, now)
	if wasSuspect {
		n.suspects--
	}
	if record.State == Suspect {
		n.suspects++
		e.suspectUntil = now.Add(n.suspicionTimeout())
	}
	if wasLive != record.State.Live() || !sameMember {
		n.version++
	}
	if e.presumed() {
		return true
	}
	if record.Member.Zone != n.zone {
		n.dropPresumed(record.Member.Zone)
		if !n.trim(record.Member) {
			return false
		}
	}
	n.queue.add(record.Member.Name)
	return true
}

// presume takes contacts for live members until they prove to be or fail their probes.
func (n *Node) presume(now time.Time) {
	for _, contact := range n.contacts {
		n.table.put(Record{Member: contact}, now)
		n.trim(contact)
	}
	n.version++
}

// dropPresumed forgets what was presumed of another zone once it has told who stands for it.
func (n *Node) dropPresumed(zone string) {
	for _, e := range n.table.all(func(e *entry) bool { return e.Member.Zone == zone && e.presumed() }) {
		n.table.remove(e.Member.Name)
		n.version++
	}
}

// trim keeps only the bridges among the live members of another zone, and reports whether member was kept.
func (n *Node) trim(member Member) bool {
	if member.Zone == n.zone {
		return true
	}
	ranked := n.table.ranked(member.Zone, func(e *entry) bool { return e.State.Live() })
	if len(ranked) <= n.config.BridgesPerZone {
		return true
	}
	kept := true
	for _, e := range ranked[n.config.BridgesPerZone:] {
		kept = kept && e.Member.Name != member.Name
		n.table.remove(e.Member.Name)
		n.version++
	}
	return kept
}

// expire forgets members that have been dead, or gone from another zone, for long.
func (n *Node) expire(now time.Time) {
	old := n.table.all(func(e *entry) bool {
		return e != n.self && !e.State.Live() && now.Sub(e.since) > n.config.DeadRetention
	})
	for _, e := range old {
		n.table.remove(e.Member.Name)
	}
}
