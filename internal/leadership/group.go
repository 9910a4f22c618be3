package leadership

import (
	"slices"
	"strings"

	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/coord/lease"
	"github.com/covelink/covelink/coord/rendezvous"
	"github.com/covelink/covelink/internal/cluster"
)

const (
	// maxGroups bounds the groups, which other nodes create by naming zones.
	maxGroups = 1024
)

// group holds the voter, candidate and campaigns of this node for the leases of one set of zones.
type group struct {
	key       string
	zones     []string
	voter     *lease.Voter
	candidate *lease.Candidate
	campaigns map[string]*campaign
}

// group returns the group of the zones, creating it if needed. It returns nil if the zones have no voters or maxGroups is
// reached. The lock is held.
func (e *LeaseElector) group(zones []string) *group {
	zones = e.normalizeZones(zones)
	key := strings.Join(zones, ",")
	if existing, ok := e.groups[key]; ok {
		return existing
	}
	set := FirstVoters(e.params.Seeds, zones)
	if len(set.Members) == 0 || len(e.groups) >= maxGroups {
		return nil
	}
	started := lease.Instant{Wall: e.started.Round(0)}
	voter, err := lease.NewVoter(e.config(), set, started)
	mustBeValid(err)
	candidate, err := lease.NewCandidate(e.config(), set)
	mustBeValid(err)
	created := &group{key: key, zones: zones, voter: voter, candidate: candidate, campaigns: make(map[string]*campaign)}
	e.groups[key] = created
	return created
}

// normalizeZones sorts and deduplicates the zones. An empty list means the zones of all seeds.
func (e *LeaseElector) normalizeZones(zones []string) []string {
	zones = slices.Clone(zones)
	if len(zones) == 0 {
		for _, seed := range e.params.Seeds {
			zones = append(zones, seed.Zone)
		}
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}

// rank returns this node's rank among the candidates for the name, and the highest-ranked other candidate.
func (e *LeaseElector) rank(name string, zones []string) (rank int, next string) {
	nodes := e.candidates(zones)
	members := make([]rendezvous.Member, len(nodes))
	for index, node := range nodes {
		members[index].ID = rendezvous.Hash(node)
	}
	order := rendezvous.Rank(rendezvous.Hash(name), members, nil)
	for place, index := range order {
		if nodes[index] == e.params.Self.Name {
			rank = place
		} else if next == "" {
			next = nodes[index]
		}
	}
	return rank, next
}

// candidates returns the names of the nodes in the zones, and always this node.
func (e *LeaseElector) candidates(zones []string) []string {
	nodes := e.params.Seeds
	if e.params.Nodes != nil {
		nodes = e.params.Nodes()
	}
	names := []string{e.params.Self.Name}
	for _, node := range nodes {
		if slices.Contains(zones, node.Zone) && node.Name != e.params.Self.Name {
			names = append(names, node.Name)
		}
	}
	return names
}

// deliver applies messages addressed to this node, and sends the others and the replies. The lock is held.
func (e *LeaseElector) deliver(g *group, now lease.Instant, messages []lease.Message) {
	for _, message := range e.applyLocal(g, now, messages) {
		e.send(g, message, nil)
	}
}

// applyLocal applies messages addressed to this node, including those they produce, and returns the messages to other nodes.
// The lock is held.
func (e *LeaseElector) applyLocal(g *group, now lease.Instant, messages []lease.Message) []lease.Message {
	var remote []lease.Message
	for len(messages) > 0 {
		message := messages[0]
		messages = messages[1:]
		if message.To != e.params.Self.Name {
			remote = append(remote, message)
			continue
		}
		e.applySightings(g, now, message)
		messages = append(messages, g.voter.Step(now, message)...)
		messages = append(messages, g.candidate.Step(now, message)...)
	}
	e.handleEvents(g)
	return remote
}

// handleEvents begins and ends terms and updates their deadlines. The lock is held.
func (e *LeaseElector) handleEvents(g *group) {
	for _, event := range g.candidate.Events() {
		c, ok := g.campaigns[event.Name]
		if !ok {
			continue
		}
		switch event.Kind {
		case lease.Acquired:
			e.metrics.acquired.Inc()
			c.beginTerm(e, event.Token)
		case lease.Lost:
			e.metrics.lost.Inc()
			level.Warn(e.logger).Log("msg", "lease lost", "lease", event.Name, "token", event.Token)
			c.endTerm()
		}
	}
	for name, c := range g.campaigns {
		if deadline, ok := g.candidate.Deadline(name); ok && c.term != nil {
			c.term.deadline.Store(&deadline)
		}
	}
}

// lookupNode returns the node with the name. The lock is held.
func (e *LeaseElector) lookupNode(name string) (cluster.Node, bool) {
	node, ok := e.peers[name]
	return node, ok
}
