package membership

import "time"

// State is what is believed of a member. Of two records of one incarnation, the higher state is the newer.
type State uint8

// The states of a member.
const (
	// Alive members answer probes.
	Alive State = iota
	// Suspect members did not answer and have not yet refuted; they still count as live.
	Suspect
	// Leaving members have announced that they stop; they are sent nothing new.
	Leaving
	// Dead members did not refute in time, or have left.
	Dead
)

var stateNames = [...]string{"alive", "suspect", "leaving", "dead"}

// String returns the state's name.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// Live reports whether members in the state count as live.
func (s State) Live() bool { return s <= Suspect }

// Member describes one process. It changes only with the incarnation.
type Member struct {
	// Name is unique in the cluster.
	Name string
	Zone string
	// Address is where the caller's transport reaches the member.
	Address string
	// Meta is passed on unread. It should be short.
	Meta string
}

// Record is what is known of a member.
type Record struct {
	Member Member
	// Incarnation is raised by the member alone: at every start and to refute a suspicion.
	Incarnation uint64
	State       State
}

// Kind is the kind of a message.
type Kind uint8

// The kinds of messages.
const (
	// Ping asks for an Ack of the same sequence.
	Ping Kind = iota + 1
	// Ack answers a Ping or, through a relay, a PingRequest.
	Ack
	// PingRequest asks a relay to ping Target.
	PingRequest
	// Nack says that a relay got no answer in time: the relay itself is reachable.
	Nack
	// Gossip carries records only.
	Gossip
	// Sync carries the digest of the sender's table; SyncReply answers it.
	Sync
	// SyncReply carries the records of the parts of the table that differ.
	SyncReply
	// SyncPush answers a SyncReply with the sender's own records of those parts.
	SyncPush
)

// Message is what members send each other.
type Message struct {
	Kind     Kind
	Sequence uint64
	// Target is the member to ping, of a PingRequest.
	Target Member
	// Records are news, piggybacked on any message.
	Records []Record
	// Digest is the hash of each part of the table, of a Sync.
	Digest []uint64
	// Differing has a bit for each part of the table that differs, of a SyncReply.
	Differing uint64
	// Bridges is the hash of the sender's zone's bridges, of a Ping or an Ack to another zone.
	Bridges uint64
}

// Outgoing is a message to send. The address is empty if the member isn't known: then only a transport that can answer the
// sender of the message just received can deliver it.
type Outgoing struct {
	To      string
	Address string
	Message Message
}

// Config holds what may be tuned. Zero values are replaced by defaults.
type Config struct {
	// ProbeInterval is the time between two probes. Default 500ms.
	ProbeInterval time.Duration
	// ProbeTimeout is how long a direct probe waits before others are asked. Default two fifths of ProbeInterval.
	ProbeTimeout time.Duration
	// IndirectProbes is the number of relays asked. Default 3.
	IndirectProbes int
	// ProbeRounds is the number of direct and indirect attempts before a member is suspected. Default 2.
	ProbeRounds int
	// SuspicionMultiplier times log10(members) times ProbeInterval is the suspicion timeout. Default 4.
	SuspicionMultiplier float64
	// RetransmitMultiplier times log2(members) bounds the sends of one record. Default 3.
	RetransmitMultiplier int
	// MaxHealth bounds the local health score; timeouts are widened by up to 1+MaxHealth. Default 4.
	MaxHealth int
	// GossipInterval is the time between two rounds of news, GossipFanout their receivers. Defaults a fifth of
	// ProbeInterval and 3.
	GossipInterval time.Duration
	GossipFanout   int
	// SyncInterval is the time between two comparisons of tables. Default 20 times ProbeInterval.
	SyncInterval time.Duration
	// DeadRetention is how long a dead member is remembered. It should outlast any partition. Default 24 hours.
	DeadRetention time.Duration
	// BridgesPerZone is the number of members known of each other zone, BridgeInterval the time between two probes of
	// another zone by a bridge. Defaults 3 and twice ProbeInterval.
	BridgesPerZone int
	BridgeInterval time.Duration
	// MaxMessageBytes bounds the records on a message, MaxSyncBytes those on an answer to a comparison of tables; both by
	// estimate. Defaults 1200 and 4096.
	MaxMessageBytes int
	MaxSyncBytes    int
	// BytesPerSecond bounds news and comparisons on average, by estimate. Default 1024.
	BytesPerSecond int
}

func (c Config) withDefaults() Config {
	c.ProbeInterval = orDefault(c.ProbeInterval, 500*time.Millisecond)
	c.ProbeTimeout = orDefault(c.ProbeTimeout, c.ProbeInterval*2/5)
	c.IndirectProbes = orDefault(c.IndirectProbes, 3)
	c.ProbeRounds = orDefault(c.ProbeRounds, 2)
	c.SuspicionMultiplier = orDefault(c.SuspicionMultiplier, 4)
	c.RetransmitMultiplier = orDefault(c.RetransmitMultiplier, 3)
	c.MaxHealth = orDefault(c.MaxHealth, 4)
	c.GossipInterval = orDefault(c.GossipInterval, c.ProbeInterval/5)
	c.GossipFanout = orDefault(c.GossipFanout, 3)
	c.SyncInterval = orDefault(c.SyncInterval, 20*c.ProbeInterval)
	c.DeadRetention = orDefault(c.DeadRetention, 24*time.Hour)
	c.BridgesPerZone = orDefault(c.BridgesPerZone, 3)
	c.BridgeInterval = orDefault(c.BridgeInterval, 2*c.ProbeInterval)
	c.MaxMessageBytes = orDefault(c.MaxMessageBytes, 1200)
	c.MaxSyncBytes = orDefault(c.MaxSyncBytes, 4096)
	c.BytesPerSecond = orDefault(c.BytesPerSecond, 1024)
	return c
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}
