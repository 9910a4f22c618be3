package configsync

// Spread is what a term knows of who holds what, and decides whom to call next. It is pure state.
type Spread struct {
	// held is the state that each node of the zone is known to hold.
	held map[string]Version
	// revisions is the revision that each other coordinator last reported; told is the sequence last told to it.
	revisions map[string]uint64
	told      map[string]uint64
	// busy holds the peers that a call is under way to; one call at a time each.
	busy map[string]bool
}

// NewSpread returns a Spread that knows nothing yet.
func NewSpread() *Spread {
	return &Spread{
		held:      make(map[string]Version),
		revisions: make(map[string]uint64),
		told:      make(map[string]uint64),
		busy:      make(map[string]bool),
	}
}

// Holds notes what a node of the zone holds.
func (s *Spread) Holds(node string, held Version) { s.held[node] = held }

// Held returns what a node of the zone is known to hold.
func (s *Spread) Held(node string) Version { return s.held[node] }

// Reported notes the revision of another zone's coordinator.
func (s *Spread) Reported(zone string, revision uint64) { s.revisions[zone] = revision }

// Told notes that another zone's coordinator has answered a report of the sequence.
func (s *Spread) Told(zone string, sequence uint64) { s.told[zone] = sequence }

// Lacks reports whether a node of the zone has to be pushed the state of the version.
func (s *Spread) Lacks(node string, version Version) bool { return !s.held[node].Covers(version) }

// Untold reports whether another zone's coordinator has to be told of the sequence.
func (s *Spread) Untold(zone string, sequence uint64) bool { return s.told[zone] != sequence }

// NodeAhead reports whether a node of the zone has resources of a higher revision, as while the store can't be read.
func (s *Spread) NodeAhead(node string, revision uint64) bool {
	return s.held[node].Revision > revision
}

// ZoneAhead reports whether another zone's coordinator has resources of a higher revision.
func (s *Spread) ZoneAhead(zone string, revision uint64) bool { return s.revisions[zone] > revision }

// Begin reports whether a call to the peer may start; it must End then.
func (s *Spread) Begin(peer string) bool {
	if s.busy[peer] {
		return false
	}
	s.busy[peer] = true
	return true
}

// End notes that the call to the peer has ended.
func (s *Spread) End(peer string) { delete(s.busy, peer) }

// Inquiry is what a starting term has learnt of those that it asked for their state.
type Inquiry struct {
	zone     string
	leased   bool
	complete bool
}

// NewInquiry starts an inquiry of the zone's term; complete says that every other zone has a coordinator to ask.
func NewInquiry(zone string, complete bool) *Inquiry { return &Inquiry{zone: zone, complete: complete} }

// Answered notes the answer of a node of the zone, and whether it has a valid lease.
func (q *Inquiry) Answered(zone string, leased bool) { q.leased = q.leased || leased && zone == q.zone }

// Failed notes that one did not answer.
func (q *Inquiry) Failed() { q.complete = false }

// Leased reports whether a node of the zone with a valid lease has answered, so that the others need not be waited for.
func (q *Inquiry) Leased() bool { return q.leased }

// Informed reports whether the term knows all that its zone has acknowledged: a node of the zone with a valid lease applies
// that, and so does the sum of all when every one has answered.
func (q *Inquiry) Informed() bool { return q.leased || q.complete }
