package membership

import "time"

// contactOdds is one over the share of probes to another zone that go to a contact instead of a known bridge.
const contactOdds = 8

// probeZone lets a bridge compare with the next other zone who stands for either.
func (n *Node) probeZone(out *outbox) {
	zones := n.otherZones()
	if len(zones) == 0 || !n.isBridge() || !n.self.State.Live() {
		return
	}
	n.zoneTurn++
	target, ok := n.zoneTarget(zones[n.zoneTurn%len(zones)])
	if !ok {
		return
	}
	out.add(target, Message{
		Kind:     Ping,
		Sequence: n.nextSequence(),
		Bridges:  n.ownBridges(),
		Records:  []Record{n.self.Record},
	})
}

func (n *Node) zoneTarget(zone string) (Member, bool) {
	bridges := n.table.bridges(zone, n.config.BridgesPerZone)
	var contacts []Member
	for _, contact := range n.contacts {
		if contact.Zone == zone {
			contacts = append(contacts, contact)
		}
	}
	useContact := len(bridges) == 0 || n.random.IntN(contactOdds) == 0
	if useContact && len(contacts) > 0 {
		return contacts[n.random.IntN(len(contacts))], true
	}
	if len(bridges) == 0 {
		return Member{}, false
	}
	return bridges[n.random.IntN(len(bridges))].Member, true
}

// compareBridges asks for, and tells, what an acknowledgement from another zone shows to be outdated.
func (n *Node) compareBridges(now time.Time, from string, message Message, out *outbox) {
	other := n.sender(from, message)
	if other.Zone == n.zone {
		return
	}
	if n.bridgesOf(other.Zone) != message.Bridges && n.budget.allows(now) {
		ask := Message{Kind: Sync, Records: []Record{n.self.Record}}
		ask.Records = append(ask.Records, recordsOf(n.table.bridges(other.Zone, n.config.BridgesPerZone))...)
		n.budget.spend(ask.Records)
		out.add(other, ask)
	}
	if message.Differing != 0 && n.budget.allows(now) {
		tell := Message{Kind: Gossip, Records: n.zoneReport(message.Records)}
		n.budget.spend(tell.Records)
		out.add(other, tell)
	}
}

// sender returns the member that a message is from, as known here or else as the message tells.
func (n *Node) sender(from string, message Message) Member {
	if known := n.table.get(from); known != nil {
		return known.Member
	}
	for _, record := range message.Records {
		if record.Member.Name == from {
			return record.Member
		}
	}
	return n.contact(from)
}

// contact returns the contact of a name, with an empty address if there is none.
func (n *Node) contact(name string) Member {
	for _, contact := range n.contacts {
		if contact.Name == name {
			return contact
		}
	}
	return Member{Name: name}
}

// zoneReport returns what another zone is to know of this one: its bridges, and what has become of those that the other
// believes in.
func (n *Node) zoneReport(believed []Record) []Record {
	records := recordsOf(n.table.bridges(n.zone, n.config.BridgesPerZone))
	for i := range records {
		records[i].State = Alive // a suspicion is a matter of the zone
	}
	for _, record := range believed {
		known := n.table.get(record.Member.Name)
		if known != nil && known.Member.Zone == n.zone && !known.State.Live() {
			records = append(records, known.Record)
		}
	}
	return records
}

// ownBridges identifies the bridges of the zone. It is never 0.
func (n *Node) ownBridges() uint64 { return n.bridgesOf(n.zone) }

func (n *Node) bridgesOf(zone string) uint64 {
	return bridgesHash(n.table.bridges(zone, n.config.BridgesPerZone)) | 1
}
