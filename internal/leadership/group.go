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
	// maxGroups bounds the sets of zones that other nodes may make this node remember.
	maxGroups = 1024
)

// group is this node's part in the leases of one set of zones.
type group struct {
	key       string
	zones     []string
	voter     *lease.Voter
	candidate *lease.Candidate
	contests  map[string]*contest
}

// group returns the group of the zones, or nil when no seed can vote in it.
func (e *LeaseElector) group(zones []string) *group {
	zones = e.normalZones(zones)
	key := strings.Join(zones, ",")
	if known, ok := e.groups[key]; ok {
		return known
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
	known := &group{key: key, zones: zones, voter: voter, candidate: candidate, contests: make(map[string]*contest)}
	e.groups[key] = known
	return known
}

// normalZones returns the zones sorted, each once; none means every zone of the seeds.
func (e *LeaseElector) normalZones(zones []string) []string {
	zones = slices.Clone(zones)
	if len(zones) == 0 {
		for _, seed := range e.params.Seeds {
			zones = append(zones, seed.Zone)
		}
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}

// rank returns this node's rank among the candidates of the name, and the node that ranks next to it.
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

// candidates returns the names of the nodes of the zones, this one included.
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

// deliver takes messages to this node in at once, with what they lead to, and sends the others. The lock is held.
func (e *LeaseElector) deliver(g *group, now lease.Instant, messages []lease.Message) {
	for _, message := range e.settle(g, now, messages) {
		e.send(g, message, nil)
	}
}

// settle takes messages to this node in and returns those to others. The lock is held.
func (e *LeaseElector) settle(g *group, now lease.Instant, messages []lease.Message) []lease.Message {
	var remote []lease.Message
	for len(messages) > 0 {
		message := messages[0]
		messages = messages[1:]
		if message.To != e.params.Self.Name {
			remote = append(remote, message)
			continue
		}
		e.note(g, now, message)
		messages = append(messages, g.voter.Step(now, message)...)
		messages = append(messages, g.candidate.Step(now, message)...)
	}
	e.takeEvents(g)
	return remote
}

// takeEvents begins and ends terms. The lock is held.
func (e *LeaseElector) takeEvents(g *group) {
	for _, event := range g.candidate.Events() {
		c, ok := g.contests[event.Name]
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
	for name, c := range g.contests {
		if deadline, ok := g.candidate.Deadline(name); ok && c.term != nil {
			c.term.deadline.Store(&deadline)
		}
	}
}

// lookUp returns a node by name.
func (e *LeaseElector) lookUp(name string) (cluster.Node, bool) {
	node, ok := e.peers[name]
	return node, ok
}
