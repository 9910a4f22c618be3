package membership

import (
	"slices"
	"time"
)

// contactShare is one over the share of comparisons that go to a member not believed alive, so that a partition's end is noticed.
const contactShare = 3

// withNews adds records to a message: what the receiver must know of itself and, within the zone, the news that wait.
func (n *Node) withNews(to string, message Message) Message {
	known := n.table.get(to)
	if known == nil {
		unknown := Record{Member: Member{Name: to}, State: Dead}
		message.Records = append(message.Records, unknown)
		return message
	}
	budget := n.config.MaxMessageBytes
	if known.State == Suspect || known.State == Dead {
		message.Records = append(message.Records, known.Record)
		budget -= recordBytes(known.Record)
	}
	if known.Member.Zone == n.zone {
		message.Records = append(message.Records, n.queue.take(n.table, budget, n.retransmitLimit())...)
	}
	return message
}

// gossip sends the news that wait to a few members of the zone, within the budget.
func (n *Node) gossip(now time.Time, out *outbox) {
	for _, receiver := range n.table.sample(n.random, n.config.GossipFanout, n.neighbour) {
		if n.queue.empty() || !n.budget.allows(now) {
			return
		}
		message := n.withNews(receiver.Member.Name, Message{Kind: Gossip})
		n.budget.spend(message.Records)
		out.add(receiver.Member, message)
	}
}

// startSync compares tables with a member of the zone; sometimes, or when none is known, with one believed dead or a contact.
func (n *Node) startSync(now time.Time, out *outbox) {
	if !n.budget.allows(now) {
		return
	}
	message := Message{Kind: Sync, Records: []Record{n.self.Record}, Digest: n.table.digest()}
	live := n.table.sample(n.random, 1, n.neighbour)
	if len(live) > 0 {
		n.budget.spend(message.Records)
		out.add(live[0].Member, message)
	}
	if len(live) > 0 && n.random.IntN(contactShare) > 0 {
		return
	}
	for _, contact := range n.lostContacts(len(live) == 0) {
		n.budget.spend(message.Records)
		out.add(contact, message)
	}
	if len(live) == 0 && n.hasLostNeighbours() {
		n.nextSync = now.Add(2 * n.config.ProbeInterval)
	}
}

// lostContacts returns one member of the zone that is not believed alive and, when alone, one contact of another zone.
func (n *Node) lostContacts(alone bool) []Member {
	var chosen []Member
	if lost := n.lostNeighbours(); len(lost) > 0 {
		chosen = append(chosen, lost[n.random.IntN(len(lost))])
	}
	if !alone {
		return chosen
	}
	foreign := slices.DeleteFunc(slices.Clone(n.contacts), func(m Member) bool { return m.Zone == n.zone })
	if len(foreign) > 0 {
		chosen = append(chosen, foreign[n.random.IntN(len(foreign))])
	}
	return chosen
}

// lostNeighbours returns the members and contacts of the zone that are not believed alive.
func (n *Node) lostNeighbours() []Member {
	var lost []Member
	for _, e := range n.table.all(func(e *entry) bool { return e.State == Dead && e.Member.Zone == n.zone }) {
		lost = append(lost, e.Member)
	}
	for _, contact := range n.contacts {
		if contact.Zone == n.zone && n.table.get(contact.Name) == nil {
			lost = append(lost, contact)
		}
	}
	return lost
}

func (n *Node) hasLostNeighbours() bool { return len(n.lostNeighbours()) > 0 }

// answerSync tells a member of the zone what differs, one of another zone who stands for this one and for its own.
func (n *Node) answerSync(now time.Time, from string, message Message, out *outbox) {
	answer := Message{Kind: SyncReply}
	known := n.table.get(from)
	if known == nil || known.Member.Zone != n.zone {
		answer.Records = n.zoneReport(message.Records)
		if known != nil {
			answer.Records = append(answer.Records, recordsOf(n.table.bridges(known.Member.Zone, n.config.BridgesPerZone))...)
		}
	} else {
		answer.Differing = differing(n.table.digest(), message.Digest)
		answer.Records = n.recordsToSync(now, answer.Differing, nil)
	}
	if known != nil && !known.State.Live() {
		answer.Records = append([]Record{known.Record}, answer.Records...)
	}
	n.budget.spend(answer.Records)
	out.add(n.address(from), answer)
}

// takeSyncReply pushes back what the other lacks, and compares again soon if there was news.
func (n *Node) takeSyncReply(now time.Time, from string, message Message, changed bool, out *outbox) {
	if changed {
		n.nextSync = earlier(n.nextSync, now.Add(2*n.config.ProbeInterval))
	}
	if message.Differing == 0 {
		return
	}
	theirs := make(map[string]Record, len(message.Records))
	for _, record := range message.Records {
		theirs[record.Member.Name] = record
	}
	records := n.recordsToSync(now, message.Differing, theirs)
	if len(records) == 0 {
		return
	}
	n.budget.spend(records)
	out.add(n.address(from), Message{Kind: SyncPush, Records: records})
}

// recordsToSync returns the records of the parts that differ, but for those the other has. What exceeds the limit is left
// out from a random place on, so that repeated comparisons convey all.
func (n *Node) recordsToSync(now time.Time, parts uint64, theirs map[string]Record) []Record {
	entries := n.table.all(func(e *entry) bool {
		if parts&(1<<(e.id%digestParts)) == 0 {
			return false
		}
		held, has := theirs[e.Member.Name]
		return !has || newer(e.Record, held)
	})
	if len(entries) == 0 {
		return nil
	}
	limit := n.config.MaxMessageBytes
	if n.budget.allows(now) {
		limit = n.config.MaxSyncBytes
	}
	start := n.random.IntN(len(entries))
	var records []Record
	for i := range entries {
		record := entries[(start+i)%len(entries)].Record
		limit -= recordBytes(record)
		if limit < 0 {
			break
		}
		records = append(records, record)
	}
	return records
}

// differing returns a bit for each part in which two digests differ.
func differing(a, b []uint64) uint64 {
	var parts uint64
	for i := range a {
		if i >= len(b) || a[i] != b[i] {
			parts |= 1 << i
		}
	}
	return parts
}

func recordsOf(entries []*entry) []Record {
	records := make([]Record, 0, len(entries))
	for _, e := range entries {
		records = append(records, e.Record)
	}
	return records
}
