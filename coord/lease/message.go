package lease

import (
	"time"

	"github.com/covelink/covelink/coord/fence"
	"github.com/covelink/covelink/coord/voterset"
)

// Token is the fencing token of a term.
type Token = fence.Token

// Message is what one process of a group sends another at one moment, for any number of leases.
type Message struct {
	// From and To are the names of processes.
	From string
	To   string
	// Incarnation tells the lives of the sender apart.
	Incarnation uint64
	// Set is the newest voter set that the sender knows.
	Set voterset.Set
	// Length is the lease length that the asks are for, as a voter counts it.
	Length time.Duration

	Asks      []Ask
	Answers   []Answer
	Releases  []Release
	Notices   []Notice
	Queries   []string
	Sightings []Sighting
}

// Ask is a candidate's request to a voter to grant a lease, or to extend the grant.
type Ask struct {
	Name  string
	Token Token
	// Round tells the asks of a candidate apart.
	Round uint64
	// Renewal is true when the candidate holds the lease under the token as it asks.
	Renewal bool
	// Probe is true when the candidate only wants to know whether the voter would grant the lease.
	Probe bool
}

// Verdict is a voter's answer to an ask.
type Verdict uint8

// The verdicts.
const (
	// Granted: the voter grants the lease to nobody else for the lease length.
	Granted Verdict = iota + 1
	// RefusedHeld: another candidate has the voter's grant.
	RefusedHeld
	// RefusedToken: the token is too low; Highest tells what it must exceed.
	RefusedToken
	// RefusedAbstaining: the voter has not been up for a lease length.
	RefusedAbstaining
	// RefusedSet: the ask was for an older voter set, or the process is no voter of the newest.
	RefusedSet
	// Free answers a probe: the voter has granted the lease to no other candidate.
	Free
)

// Answer is a voter's answer to the Ask of the same name, token and round.
type Answer struct {
	Name    string
	Token   Token
	Round   uint64
	Verdict Verdict
	// Highest is the highest token that the voter has heard of for the name; set with a refusal.
	Highest Token
	// Holder has the voter's grant under HolderToken for Remaining; set with RefusedHeld. RefusedAbstaining sets Remaining only.
	Holder      string
	HolderToken Token
	Remaining   time.Duration
}

// Release gives up the grants of a term.
type Release struct {
	Name  string
	Token Token
	// Successor is the process that should ask first; empty when any may.
	Successor string
	// Attempt is true when the term was asked for but never held.
	Attempt bool
}

// Notice tells a candidate that a voter's grant was released.
type Notice struct {
	Name string
	// First is true when the candidate is the successor that the holder named.
	First bool
	// Attempt is true when the grant was of a term never held.
	Attempt bool
}

// Sighting is what a voter knows of a lease, in answer to a query.
type Sighting struct {
	Name string
	// Holder has the voter's grant under Token; empty when nobody has.
	Holder    string
	Token     Token
	Remaining time.Duration
}

// empty reports whether the message says nothing.
func (m *Message) empty() bool {
	return len(m.Asks)+len(m.Answers)+len(m.Releases)+len(m.Notices)+len(m.Queries)+len(m.Sightings) == 0
}

// outbox gathers what is said at one moment in one message per destination, in the order of first mention.
type outbox struct {
	template Message
	order    []string
	byName   map[string]*Message
}

func newOutbox(template Message) *outbox {
	return &outbox{template: template, byName: make(map[string]*Message)}
}

func (o *outbox) to(name string) *Message {
	message, ok := o.byName[name]
	if !ok {
		copied := o.template
		copied.To = name
		message = &copied
		o.byName[name] = message
		o.order = append(o.order, name)
	}
	return message
}

func (o *outbox) messages() []Message {
	out := make([]Message, 0, len(o.order))
	for _, name := range o.order {
		if message := o.byName[name]; !message.empty() {
			out = append(out, *message)
		}
	}
	return out
}
