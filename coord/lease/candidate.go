package lease

import (
	"slices"
	"time"

	"github.com/covelink/covelink/coord/voterset"
)

// EventKind is what happened to a lease at its candidate.
type EventKind uint8

// The events.
const (
	// Acquired: the candidate holds the lease under the event's token.
	Acquired EventKind = iota + 1
	// Lost: the term has ended: it lapsed, or a guard has seen a higher token. The candidate no longer takes part in the
	// election until Campaign is called again.
	Lost
)

// Event tells of a lease acquired or lost.
type Event struct {
	Name  string
	Token Token
	Kind  EventKind
}

// Candidate campaigns for the leases of a group and keeps those it has. It is not safe for concurrent use.
type Candidate struct {
	config    Config
	set       voterset.Set
	campaigns map[string]*campaign
	// observed holds the tokens that guards have seen, by name.
	observed map[string]Token
	events   []Event
	rounds   uint64
}

// NewCandidate returns a candidate without campaigns.
func NewCandidate(config Config, set voterset.Set) (*Candidate, error) {
	config, err := config.withDefaults()
	if err != nil {
		return nil, err
	}
	return &Candidate{
		config:    config,
		set:       set,
		campaigns: make(map[string]*campaign),
		observed:  make(map[string]Token),
	}, nil
}

// Set returns the newest voter set that the candidate knows.
func (c *Candidate) Set() voterset.Set { return c.set }

// LearnSet takes over the set if its number is higher than that of the one known. Leases held are kept.
func (c *Candidate) LearnSet(set voterset.Set) {
	if set.Number > c.set.Number {
		c.set = set
	}
}

// Campaign takes part in the election of the name until Withdraw or Lost. Candidates of a lower rank wait less before they
// ask; the rank may be changed by another call. The next Tick asks.
func (c *Candidate) Campaign(now Instant, name string, rank int) {
	if known, ok := c.campaigns[name]; ok {
		known.rank = rank
		return
	}
	wait := time.Duration(rank) * c.config.RankDelay
	c.campaigns[name] = &campaign{name: name, rank: rank, tryAt: now.Monotonic + wait, highest: c.observed[name]}
}

// Withdraw ends the campaign for the name and releases the lease if it is held. Successor, if not empty, is the
// candidate that should ask first.
func (c *Candidate) Withdraw(name, successor string) []Message {
	known, ok := c.campaigns[name]
	if !ok {
		return nil
	}
	out := c.outbox()
	c.release(known, successor, out)
	delete(c.campaigns, name)
	return out.messages()
}

// ObserveToken tells that a guard has seen the token for the name. If it is above the token held, the term is lost and
// the next one will be above.
func (c *Candidate) ObserveToken(name string, seen Token) []Message {
	c.observed[name] = max(c.observed[name], seen)
	known, ok := c.campaigns[name]
	if !ok {
		return nil
	}
	known.highest = max(known.highest, seen)
	if known.phase != held || known.token >= seen {
		return nil
	}
	out := c.outbox()
	c.lose(known, out)
	return out.messages()
}

// Held returns the token of the lease if the candidate holds it at now. Whoever acts as the holder must ask again, with a
// fresh now, before each act.
func (c *Candidate) Held(now Instant, name string) (Token, bool) {
	known, ok := c.campaigns[name]
	if !ok || known.phase != held || known.lapsed(now) {
		return 0, false
	}
	return known.token, true
}

// Deadline returns the moment at which the lease lapses unless it is renewed: when the first of the clocks reaches it.
func (c *Candidate) Deadline(name string) (Instant, bool) {
	known, ok := c.campaigns[name]
	if !ok || known.phase != held {
		return Instant{}, false
	}
	return known.expires, true
}

// Events returns what has happened since the last call, in order.
func (c *Candidate) Events() []Event {
	events := c.events
	c.events = nil
	return events
}

// Tick does what is due at now and returns the messages to send.
func (c *Candidate) Tick(now Instant) []Message {
	out := c.outbox()
	c.tick(now, out)
	return out.messages()
}

// Step takes a message in and returns the messages to send. Parts of the message that are not for a candidate are ignored.
func (c *Candidate) Step(now Instant, message Message) []Message {
	c.LearnSet(message.Set)
	out := c.outbox()
	for _, answer := range message.Answers {
		c.answer(now, message, answer, out)
	}
	for _, notice := range message.Notices {
		c.notice(now, notice)
	}
	c.tick(now, out)
	return out.messages()
}

// NextWake returns the moment of the monotonic clock at which Tick has something to do, and false when it has nothing.
func (c *Candidate) NextWake() (time.Duration, bool) {
	var next time.Duration
	found := false
	for _, known := range c.campaigns {
		if wake := known.wake(); !found || wake < next {
			next, found = wake, true
		}
	}
	return next, found
}

func (c *Candidate) tick(now Instant, out *outbox) {
	renew := false
	names := c.sortedNames()
	for _, name := range names {
		known := c.campaigns[name]
		switch {
		case known.phase == held && known.lapsed(now):
			c.lose(known, out)
		case known.phase == held:
			renew = renew || known.renewAt <= now.Monotonic
		case known.phase == asking && known.askUntil <= now.Monotonic:
			c.fail(now, known, out)
		case known.phase == probing && known.askUntil <= now.Monotonic:
			c.begin(now, known, out)
		case known.phase == waiting && known.tryAt <= now.Monotonic:
			c.try(now, known, out)
		}
	}
	if renew {
		c.renew(now, names, out)
	}
}

// renew asks for every lease held whose renewal is due before long, so that the renewals of all leases fall together.
func (c *Candidate) renew(now Instant, names []string, out *outbox) {
	early := now.Monotonic + c.renewInterval()/2
	for _, name := range names {
		known, ok := c.campaigns[name]
		if !ok || known.phase != held || known.renewAt > early {
			continue
		}
		known.renewAt = now.Monotonic + c.config.heldLength()/retriesPerLength
		c.askAll(now, known, out)
	}
}

func (c *Candidate) renewInterval() time.Duration { return c.config.heldLength() / renewalsPerLength }

// begin asks for a new term.
func (c *Candidate) begin(now Instant, known *campaign, out *outbox) {
	known.token = c.newToken(now, known)
	known.highest = max(known.highest, known.token)
	known.phase = asking
	known.again = false
	known.rounds = nil
	known.askUntil = now.Monotonic + c.config.Length/attemptsPerLength
	c.askAll(now, known, out)
}

// newToken returns a token above every one heard of, and at least the wall clock's.
func (c *Candidate) newToken(now Instant, known *campaign) Token {
	byClock := Token(max(now.Wall.UnixMilli(), 0)) << clockShift
	if c.config.testBreakTokenFromClock {
		return byClock
	}
	return max(byClock, known.highest+1)
}

func (c *Candidate) askAll(now Instant, known *campaign, out *outbox) {
	c.rounds++
	known.open(round{number: c.rounds, asked: now, set: c.set, majority: c.majority()})
	ask := Ask{Name: known.name, Token: known.token, Round: c.rounds, Renewal: known.phase == held}
	for _, voter := range c.set.Members {
		message := out.to(voter)
		message.Asks = append(message.Asks, ask)
	}
}

func (c *Candidate) majority() int {
	if c.config.testBreakHalfMajority {
		return max(len(c.set.Members)/2, 1)
	}
	return c.set.Majority()
}

// answer counts a voter's answer in the round that it belongs to.
func (c *Candidate) answer(now Instant, message Message, answer Answer, out *outbox) {
	known, ok := c.campaigns[answer.Name]
	if !ok {
		return
	}
	known.highest = max(known.highest, answer.Highest)
	counted := known.round(answer.Round)
	if answer.Token != known.token || counted == nil || !counted.set.Contains(message.From) {
		return
	}
	if known.phase == probing {
		c.probeAnswered(now, known, answer, out)
		return
	}
	if answer.Verdict == Granted {
		if message.Set.Number == counted.set.Number {
			c.granted(now, known, counted, message.From)
		}
		return
	}
	counted.refuse(message.From, answer)
	if known.phase == asking && counted.hopeless() {
		c.fail(now, known, out)
	}
}

func (c *Candidate) granted(now Instant, known *campaign, counted *round, voter string) {
	counted.grant(voter)
	if len(counted.grants) < counted.majority {
		return
	}
	from := counted.asked
	if c.config.testBreakMeasureFromReply {
		from = now
	}
	expires := Instant{Monotonic: from.Monotonic + c.config.heldLength(), Wall: from.Wall.Add(c.config.heldLength())}
	if expires.Reached(now) || known.phase == waiting {
		return
	}
	known.expires = expires
	known.renewAt = from.Monotonic + c.renewInterval()
	known.closeUntil(counted.number)
	if known.phase == held {
		return
	}
	known.phase = held
	c.events = append(c.events, Event{Name: known.name, Token: known.token, Kind: Acquired})
}

// notice makes a waiting candidate ask, after the turn of those of a lower rank.
func (c *Candidate) notice(now Instant, notice Notice) {
	known, ok := c.campaigns[notice.Name]
	if !ok || known.phase == held {
		return
	}
	wait := time.Duration(known.rank) * c.config.RankDelay
	if notice.Attempt {
		wait += c.config.jitter(c.config.RankDelay)
	}
	if notice.First {
		wait = 0
	}
	known.noticed = notice
	if known.phase == asking {
		known.again = true
		return
	}
	if known.phase == probing {
		known.phase = waiting
		known.rounds = nil
		known.tryAt = now.Monotonic + wait
	}
	known.probe = false
	known.tryAt = min(known.tryAt, now.Monotonic+wait)
}

// fail ends an attempt that got no majority and plans the next.
func (c *Candidate) fail(now Instant, known *campaign, out *outbox) {
	last := known.rounds[len(known.rounds)-1]
	c.releaseAttempt(known, last, out)
	known.phase = waiting
	known.rounds = nil
	known.probe = false
	turn := time.Duration(known.rank) * c.config.RankDelay
	jitter := c.config.jitter(c.config.RankDelay)
	switch {
	case last.onlyToken():
		known.tryAt = now.Monotonic
	case known.again && known.noticed.First:
		known.tryAt = now.Monotonic
	case known.again:
		known.tryAt = now.Monotonic + turn + jitter
	default:
		c.awaitEnd(now, known, last.freeAfter())
	}
	if known.tryAt <= now.Monotonic {
		c.begin(now, known, out)
	}
}

// onGrid returns the next of a few moments of each lease length, so that the asks for many held leases fall together.
func (c *Candidate) onGrid(at time.Duration) time.Duration {
	cell := c.config.Length / retryGrid
	return (at + cell - 1) / cell * cell
}

// releaseAttempt gives up an attempt at the voters that may have granted.
func (c *Candidate) releaseAttempt(known *campaign, last round, out *outbox) {
	for _, voter := range last.set.Members {
		if last.refusedBy(voter) {
			continue
		}
		message := out.to(voter)
		message.Releases = append(message.Releases, Release{Name: known.name, Token: known.token, Attempt: true})
	}
}

// lose ends a term that has lapsed or must not go on.
func (c *Candidate) lose(known *campaign, out *outbox) {
	c.release(known, "", out)
	c.observed[known.name] = max(c.observed[known.name], known.token)
	c.events = append(c.events, Event{Name: known.name, Token: known.token, Kind: Lost})
	delete(c.campaigns, known.name)
}

// release gives up whatever voters have granted.
func (c *Candidate) release(known *campaign, successor string, out *outbox) {
	if known.phase == waiting || known.phase == probing {
		return
	}
	release := Release{Name: known.name, Token: known.token, Successor: successor, Attempt: known.phase == asking}
	for _, voter := range c.set.Members {
		message := out.to(voter)
		message.Releases = append(message.Releases, release)
	}
}

func (c *Candidate) outbox() *outbox {
	return newOutbox(Message{From: c.config.Name, Incarnation: c.config.Incarnation, Set: c.set, Length: c.config.Length})
}

func (c *Candidate) sortedNames() []string {
	names := make([]string, 0, len(c.campaigns))
	for name := range c.campaigns {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
