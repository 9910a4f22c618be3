package controlsim

import (
	"time"

	"github.com/covelink/covelink/coord/lease"
	"github.com/covelink/covelink/coord/voterset"
	"github.com/covelink/covelink/internal/cluster"
	"github.com/covelink/covelink/internal/leadership"
)

// election is a node's part in the lease of its zone's coordinator: the voter and the candidate of coord/lease.
type election struct {
	node      *node
	lease     string
	candidate *lease.Candidate
	// voters are the node's votes by zone: in its own, and in others that it is a witness of.
	voters map[string]*lease.Voter
	config lease.Config
	// started is when this life of the process began.
	started lease.Instant
	// wakeAt is when the candidate is to be called next; wakes tells the plans apart.
	wakeAt time.Duration
	wakes  uint64
}

// newElection starts the node's part for a new life of its process, which remembers nothing of the former one.
func newElection(n *node) *election {
	s := n.simulation
	rank := 0
	for i, member := range n.zone.nodes {
		if member == n {
			rank = i
		}
	}
	config := lease.Config{Name: n.name, Incarnation: s.nextIncarnation(), Length: s.timing.LeaseLength}
	candidate, err := lease.NewCandidate(config, s.firstVoters(n.zone.name))
	if err != nil {
		panic("controlsim: " + err.Error())
	}
	e := &election{
		node: n, lease: leadership.ZoneLease(n.zone.name), candidate: candidate,
		voters: make(map[string]*lease.Voter), config: config, started: s.instant(),
	}
	e.candidate.Campaign(s.instant(), e.lease, rank)
	e.settle()
	return e
}

// firstVoters returns the voters of a zone's lease as the product chooses them.
func (s *Simulation) firstVoters(zone string) voterset.Set {
	var seeds []cluster.Node
	for _, z := range s.zones {
		for _, member := range z.nodes {
			seeds = append(seeds, cluster.Node{Name: member.name, Zone: z.name})
		}
	}
	return leadership.FirstVoters(seeds, []string{zone})
}

// voter returns the node's vote in a zone. It counts as restarted when the process did.
func (e *election) voter(zone string) *lease.Voter {
	if known, ok := e.voters[zone]; ok {
		return known
	}
	voter, err := lease.NewVoter(e.config, e.node.simulation.firstVoters(zone), e.started)
	if err != nil {
		panic("controlsim: " + err.Error())
	}
	e.voters[zone] = voter
	return voter
}

// instant returns the virtual time by the two clocks of a process.
func (s *Simulation) instant() lease.Instant {
	return lease.Instant{Monotonic: s.clock.Now(), Wall: s.now()}
}

func (s *Simulation) nextIncarnation() uint64 {
	s.incarnations++
	return uint64(s.trace.Header.Seed)<<20 + s.incarnations
}

// receive takes in a message of another process, for the lease of a zone.
func (e *election) receive(zone string, message lease.Message) {
	now := e.node.simulation.instant()
	e.send(zone, e.voter(zone).Step(now, message))
	if zone != e.node.zone.name {
		return
	}
	e.send(zone, e.candidate.Step(now, message))
	e.settle()
}

func (e *election) send(zone string, messages []lease.Message) {
	s := e.node.simulation
	for _, message := range messages {
		to := s.nodeNamed(message.To)
		s.network.send(e.node, to, func() { to.election.receive(zone, message) })
	}
}

// settle acts on what has happened to the lease, and plans the candidate's next call.
func (e *election) settle() {
	for _, event := range e.candidate.Events() {
		switch event.Kind {
		case lease.Acquired:
			e.node.zone.coordinator = e.node
			e.node.lead(uint64(event.Token))
		case lease.Lost:
			e.node.term = nil
			e.candidate.Campaign(e.node.simulation.instant(), e.lease, 0)
		}
	}
	e.wakeLater()
}

func (e *election) wakeLater() {
	now := e.node.simulation.clock.Now()
	next, ok := e.candidate.NextWake()
	if !ok || next == e.wakeAt && next > now {
		return
	}
	// Something due that a tick has left alone is looked at again a little later.
	next = max(next, now+time.Millisecond)
	e.wakeAt = next
	e.wakes++
	wake := e.wakes
	e.node.after(next-now, func() {
		if wake == e.wakes {
			e.send(e.node.zone.name, e.candidate.Tick(e.node.simulation.instant()))
			e.settle()
		}
	})
}

// holds reports whether the node holds the lease under the token now.
func (e *election) holds(token uint64) bool {
	held, ok := e.candidate.Held(e.node.simulation.instant(), e.lease)
	return ok && uint64(held) == token
}

// resign gives the lease back, as before a planned stop.
func (e *election) resign() { e.send(e.node.zone.name, e.candidate.Withdraw(e.lease, "")) }
