package membership

import (
	"slices"
	"time"
)

// contactShare is one over the share of comparisons that go to a member not believed alive, so that a partition's end is noticed.
const contactShare = 3

// joinFanout is the number of presumed members that a member tries to join through at once.
const joinFanout = 3

// withNews adds records to a message: what the receiver must know of itself and, within the zone, the news that wait.
func (n *Node) withNews(to Member, message Message) Message {
	known := n.table.get(to.Name)
	budget := n.config.MaxMessageBytes
	switch {
	case known == nil && (to.Zone == "" || to.Zone == n.zone):
		message.Records = append(message.Records, unknownRecord(to.Name))
		return message
	case known == nil:
		return message
	case !known.State.Live() || known.State == Suspect:
		message.Records = append(message.Records, known.Record)
		budget -= recordBytes(known.Record)
	}
	if known.Member.Zone == n.zone {
		message.Records = append(message.Records, n.queue.take(n.table, budget, n.retransmitLimit())...)
	}
	return message
}

// unknownRecord tells a member that it isn't known.
func unknownRecord(name string) Record { return Record{Member: Member{Name: name}, State: Dead} }

// gossip sends the news that wait to a few members of the zone, within the budget.
func (n *Node) gossip(now time.Time, out *outbox) {
	for _, receiver := range n.table.sample(n.random, n.config.GossipFanout, n.neighbour) {
		if n.queue.empty() || !n.budget.allows(now) {
			return
		}
		message := n.withNews(receiver.Member, Message{Kind: Gossip})
		n.budget.spend(message.Records)
		out.add(receiver.Member, message)
	}
}

// startSync compares tables with a member of the zone and sometimes also with one believed dead. Until the first member of
// the zone has been met, it tries several that are presumed, and a contact in another zone, again and again.
func (n *Node) startSync(now time.Time, out *outbox) {
	if !n.budget.allows(now) {
		return
	}
	message := Message{Kind: Sync, Records: []Record{n.self.Record}, Digest: n.table.digest()}
	for _, partner := range n.syncPartners(now) {
		n.budget.spend(message.Records)
		out.add(partner, message)
	}
}

func (n *Node) syncPartners(now time.Time) []Member {
	met := n.table.sample(n.random, 1, func(e *entry) bool { return n.neighbour(e) && !e.presumed() })
	lost := n.lostNeighbours()
	var partners []Member
	if len(met) > 0 {
		partners = append(partners, met[0].Member)
		if len(lost) > 0 && n.random.IntN(contactShare) == 0 {
			partners = append(partners, lost[n.random.IntN(len(lost))])
		}
		return partners
	}
	for _, e := range n.table.sample(n.random, joinFanout, n.neighbour) {
		partners = append(partners, e.Member)
	}
	foreign := slices.DeleteFunc(slices.Clone(n.contacts), func(m Member) bool { return m.Zone == n.zone })
	for _, candidates := range [][]Member{lost, foreign} {
		if len(candidates) > 0 {
			partners = append(partners, candidates[n.random.IntN(len(candidates))])
		}
	}
	if len(partners) > 0 {
		n.nextSync = now.Add(2 * n.config.ProbeInterval)
	}
	return partners
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

// answerSync tells a member of the zone what differs, one of another zone who stands for this one and for its own.
func (n *Node) answerSync(now time.Time, from string, message Message, out *outbox) {
	answer := Message{Kind: SyncReply}
	sender := n.sender(from, message)
	if sender.Zone == n.zone {
		answer.Differing = differing(n.table.digest(), message.Digest)
		answer.Records = n.recordsToSync(now, answer.Differing, nil)
	} else {
		answer.Records = n.zoneReport(message.Records)
		answer.Records = append(answer.Records, recordsOf(n.table.bridges(sender.Zone, n.config.BridgesPerZone))...)
	}
	if known := n.table.get(from); known != nil && !known.State.Live() {
		answer.Records = append([]Record{known.Record}, answer.Records...)
	}
	n.budget.spend(answer.Records)
	out.add(sender, answer)
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
		if parts&(1<<(e.id%digestParts)) == 0 || e.presumed() {
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
