package lease

import (
	"slices"
	"time"

	"github.com/covelink/covelink/coord/voterset"
)

// maxWaiters bounds the candidates that a voter tells of a release.
const maxWaiters = 16

// maxIdleRecords bounds the names that a voter remembers without a grant.
const maxIdleRecords = 4096

// Voter grants the leases of a group. It keeps everything in memory. It is not safe for concurrent use.
type Voter struct {
	config Config
	set    voterset.Set
	// votesFrom is the end of the abstention.
	votesFrom time.Duration
	records   map[string]*record
	// floor is at least every token of the records dropped.
	floor Token
}

// record is what a voter knows of one lease.
type record struct {
	// heard is the highest token of any ask or release, granted the highest of any grant, closed that of the last grant
	// released: a repeated renewal under it must not bring the grant back.
	heard, granted, closed Token
	// holder has the grant under token until expires.
	holder      string
	incarnation uint64
	token       Token
	expires     time.Duration
	waiters     []string
}

// NewVoter returns a voter that starts at now and abstains for one lease length.
func NewVoter(config Config, set voterset.Set, now Instant) (*Voter, error) {
	config, err := config.withDefaults()
	if err != nil {
		return nil, err
	}
	voter := &Voter{config: config, set: set, votesFrom: now.Monotonic + config.Length, records: make(map[string]*record)}
	if config.testBreakNoAbstention {
		voter.votesFrom = now.Monotonic
	}
	return voter, nil
}

// Set returns the newest voter set that the voter knows.
func (v *Voter) Set() voterset.Set { return v.set }

// LearnSet takes over the set if its number is higher than that of the one known.
func (v *Voter) LearnSet(set voterset.Set) {
	if set.Number > v.set.Number {
		v.set = set
	}
}

// Step takes a message in and returns the messages to send. Parts of the message that are not for a voter are ignored.
func (v *Voter) Step(now Instant, message Message) []Message {
	v.LearnSet(message.Set)
	out := newOutbox(Message{From: v.config.Name, Incarnation: v.config.Incarnation, Set: v.set})
	for _, release := range message.Releases {
		v.release(message, release, out)
	}
	for _, ask := range message.Asks {
		reply := out.to(message.From)
		reply.Answers = append(reply.Answers, v.ask(now, message, ask))
	}
	for _, name := range message.Queries {
		reply := out.to(message.From)
		reply.Sightings = append(reply.Sightings, v.Sighting(now, name))
	}
	return out.messages()
}

// Sighting returns what the voter knows of a lease. A grant is not proof that a majority granted.
func (v *Voter) Sighting(now Instant, name string) Sighting {
	known, ok := v.records[name]
	if !ok || known.expires <= now.Monotonic {
		return Sighting{Name: name}
	}
	return Sighting{Name: name, Holder: known.holder, Token: known.token, Remaining: known.expires - now.Monotonic}
}

// ask decides about one ask.
func (v *Voter) ask(now Instant, message Message, ask Ask) Answer {
	known := v.record(now, ask.Name)
	answer := Answer{Name: ask.Name, Token: ask.Token, Round: ask.Round}
	answer.Verdict = v.verdict(now, message, ask, known)
	if answer.Verdict == Granted {
		known.grant(message, ask.Token, now.Monotonic+v.config.Length)
	}
	if !ask.Probe {
		known.heard = max(known.heard, ask.Token)
	}
	switch answer.Verdict {
	case Granted, Free:
		return answer
	case RefusedHeld:
		answer.Holder = known.holder
		answer.HolderToken = known.token
		answer.Remaining = known.expires - now.Monotonic
		known.wait(message.From)
	case RefusedAbstaining:
		answer.Remaining = v.votesFrom - now.Monotonic
	}
	answer.Highest = known.heard
	return answer
}

func (v *Voter) verdict(now Instant, message Message, ask Ask, known *record) Verdict {
	own := known.holder == message.From && known.incarnation == message.Incarnation
	switch {
	case !message.Set.Equal(v.set) || !v.set.Contains(v.config.Name) || message.Length != v.config.Length:
		return RefusedSet
	case now.Monotonic < v.votesFrom:
		return RefusedAbstaining
	case known.expires > now.Monotonic && !own:
		return RefusedHeld
	case ask.Probe:
		return Free
	case ask.Token <= known.closed || ask.Token < known.granted:
		return RefusedToken
	case own && ask.Token == known.token && known.expires > now.Monotonic:
		return Granted // the same ask once more
	case !ask.Renewal && ask.Token <= known.heard && !v.config.testBreakTokenFromClock:
		return RefusedToken
	}
	return Granted
}

func (r *record) grant(message Message, token Token, expires time.Duration) {
	r.holder = message.From
	r.incarnation = message.Incarnation
	r.token = token
	r.granted = max(r.granted, token)
	r.expires = expires
}

func (r *record) wait(name string) {
	if len(r.waiters) < maxWaiters && !slices.Contains(r.waiters, name) {
		r.waiters = append(r.waiters, name)
	}
}

// release ends a grant and tells the successor, or else whoever waits.
func (v *Voter) release(message Message, release Release, out *outbox) {
	known, ok := v.records[release.Name]
	if !ok {
		return
	}
	known.heard = max(known.heard, release.Token)
	own := known.holder == message.From && known.incarnation == message.Incarnation
	if !own || known.token > release.Token {
		return
	}
	known.expires = 0
	known.closed = release.Token
	if release.Successor != "" {
		known.wait(release.Successor)
	}
	for _, name := range known.waiters {
		if name == message.From {
			continue
		}
		first := name == release.Successor
		notice := out.to(name)
		notice.Notices = append(notice.Notices, Notice{Name: release.Name, First: first, Attempt: release.Attempt})
	}
	known.waiters = nil
}

// record returns what is known of the name, which it begins to remember.
func (v *Voter) record(now Instant, name string) *record {
	known, ok := v.records[name]
	if ok {
		return known
	}
	if len(v.records) >= maxIdleRecords {
		v.forget(now)
	}
	known = &record{heard: v.floor}
	v.records[name] = known
	return known
}

// forget drops the names without a grant. The floor keeps the tokens of their next terms above the last.
func (v *Voter) forget(now Instant) {
	for name, known := range v.records {
		if known.expires > now.Monotonic {
			continue
		}
		v.floor = max(v.floor, known.heard)
		delete(v.records, name)
	}
}
