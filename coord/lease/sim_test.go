package lease

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/covelink/covelink/coord/voterset"
)

const (
	simLength = time.Second
	simStep   = 4 * time.Millisecond
	simEpoch  = 1_800_000_000_000 // milliseconds of the wall clock at real time zero
)

// process is one simulated process: a voter and a candidate of the same life.
type process struct {
	name      string
	voter     *Voter
	candidate *Candidate
	lives     uint64
	down      bool
	// pausedUntil delays everything the process does; the monotonic clock goes on unless suspended.
	pausedUntil time.Duration
	suspended   time.Duration
	rate        float64
	wallOffset  time.Duration
	backlog     []Message
	ranks       map[string]int
	holds       map[string]Token // as events tell
}

// parcel is a message on its way.
type parcel struct {
	at      time.Duration
	message Message
}

// simulation runs processes in virtual real time and checks every step.
type simulation struct {
	rand      *rand.Rand
	now       time.Duration
	set       voterset.Set
	processes []*process
	network   []parcel // in the order of arrival
	// faults of the network; all zero is a perfect one with a delay of one millisecond.
	loss, repetition float64
	delay            time.Duration
	tune             func(*Config)
	trace            func(at time.Duration, name string, event Event)
	onSend           func(Message)
	names            []string
	highest          map[string]Token
	checkTokens      bool
	failure          error
}

func newSimulation(seed uint64, voters int, names ...string) *simulation {
	s := &simulation{
		rand: rand.New(rand.NewPCG(seed, 1)), names: names, highest: make(map[string]Token), delay: time.Millisecond,
		checkTokens: true, tune: func(*Config) {}, onSend: func(Message) {}, trace: func(time.Duration, string, Event) {},
	}
	var members []string
	for index := range voters {
		members = append(members, fmt.Sprintf("n%d", index))
	}
	s.set = voterset.New(1, members...)
	for index, name := range members {
		s.processes = append(s.processes, &process{name: name, rate: 1, ranks: ranksOf(index, names)})
	}
	return s
}

// addOutsiders adds processes that are candidates but no voters.
func (s *simulation) addOutsiders(count int) {
	for range count {
		index := len(s.processes)
		s.processes = append(s.processes, &process{name: fmt.Sprintf("n%d", index), rate: 1, ranks: ranksOf(index, s.names)})
	}
}

// ranksOf gives the processes different ranks for the names.
func ranksOf(index int, names []string) map[string]int {
	ranks := make(map[string]int)
	for at, name := range names {
		ranks[name] = (index + at) % 3
	}
	return ranks
}

// start boots every process at the present time.
func (s *simulation) start() *simulation {
	for _, p := range s.processes {
		s.boot(p)
	}
	return s
}

func (s *simulation) boot(p *process) {
	p.lives++
	config := Config{Name: p.name, Incarnation: p.lives<<8 | uint64(slices.Index(s.processes, p)), Length: simLength}
	config.Rand = rand.New(rand.NewPCG(s.rand.Uint64(), 2))
	s.tune(&config)
	var err error
	if p.voter, err = NewVoter(config, s.set, s.clock(p)); err != nil {
		panic(err)
	}
	if p.candidate, err = NewCandidate(config, s.set); err != nil {
		panic(err)
	}
	p.backlog = nil
	p.down = false
	p.pausedUntil = 0
	p.holds = make(map[string]Token)
	for _, name := range s.names {
		p.candidate.Campaign(s.clock(p), name, p.ranks[name])
	}
}

// clock reads the process's clocks.
func (s *simulation) clock(p *process) Instant {
	monotonic := time.Duration(float64(s.now-p.suspended)*p.rate) + time.Hour
	return Instant{Monotonic: monotonic, Wall: time.UnixMilli(simEpoch).Add(s.now + p.wallOffset)}
}

// run advances real time to the end in small steps.
func (s *simulation) run(length time.Duration) {
	for end := s.now + length; s.now < end && s.failure == nil; s.now += simStep {
		s.step()
	}
}

func (s *simulation) step() {
	s.receive()
	for _, p := range s.processes {
		if p.down || s.now < p.pausedUntil {
			continue
		}
		s.drain(p)
		if wake, ok := p.candidate.NextWake(); ok && wake <= s.clock(p).Monotonic {
			s.send(p, p.candidate.Tick(s.clock(p)))
		}
		s.follow(p)
	}
	s.check()
}

// receive moves what has arrived into the backlogs, in the order of arrival.
func (s *simulation) receive() {
	for len(s.network) > 0 && s.network[0].at <= s.now {
		message := s.network[0].message
		s.network = s.network[1:]
		if p := s.process(message.To); p != nil && !p.down {
			p.backlog = append(p.backlog, message)
		}
	}
}

func (s *simulation) drain(p *process) {
	backlog := p.backlog
	p.backlog = nil
	for _, message := range backlog {
		s.send(p, p.voter.Step(s.clock(p), message))
		s.send(p, p.candidate.Step(s.clock(p), message))
	}
}

// follow takes in events, and campaigns again for what was lost.
func (s *simulation) follow(p *process) {
	for _, event := range p.candidate.Events() {
		s.trace(s.now, p.name, event)
		if event.Kind == Lost {
			delete(p.holds, event.Name)
			p.candidate.Campaign(s.clock(p), event.Name, p.ranks[event.Name])
			continue
		}
		p.holds[event.Name] = event.Token
		if s.checkTokens && event.Token <= s.highest[event.Name] {
			s.fail("%s acquired %s under %d, after %d", p.name, event.Name, event.Token, s.highest[event.Name])
		}
		s.highest[event.Name] = max(s.highest[event.Name], event.Token)
	}
}

// check makes sure that at most one process holds each lease at this real time, those paused in the middle included.
func (s *simulation) check() {
	for _, name := range s.names {
		holders := s.holders(name)
		if len(holders) > 1 {
			s.fail("%s is held by %v at %v", name, holders, s.now)
		}
	}
}

func (s *simulation) holders(name string) []string {
	var holders []string
	for _, p := range s.processes {
		if p.down {
			continue
		}
		if _, ok := p.candidate.Held(s.clock(p), name); ok {
			holders = append(holders, p.name)
		}
	}
	return holders
}

func (s *simulation) fail(format string, args ...any) {
	if s.failure == nil {
		s.failure = fmt.Errorf(format, args...)
	}
}

func (s *simulation) process(name string) *process {
	for _, p := range s.processes {
		if p.name == name {
			return p
		}
	}
	return nil
}

// send puts messages on the network with its faults. A process's messages to itself are not lost.
func (s *simulation) send(p *process, messages []Message) {
	for _, message := range messages {
		s.onSend(message)
		if message.To == p.name {
			s.put(s.now, message)
			continue
		}
		copies := 1
		if s.rand.Float64() < s.loss {
			copies = 0
		}
		if s.rand.Float64() < s.repetition {
			copies++
		}
		for range copies {
			s.put(s.now+time.Millisecond+time.Duration(s.rand.Int64N(int64(s.delay))), message)
		}
	}
}

func (s *simulation) put(at time.Duration, message Message) {
	place, _ := slices.BinarySearchFunc(s.network, at, func(p parcel, at time.Duration) int {
		if p.at <= at {
			return -1
		}
		return 1
	})
	s.network = slices.Insert(s.network, place, parcel{at: at, message: message})
}

// crash stops a process; its memory is gone.
func (s *simulation) crash(p *process) {
	p.down = true
	p.backlog = nil
}

// suspend stops the whole machine of the process, with its monotonic clock.
func (s *simulation) suspend(p *process, length time.Duration) {
	p.pausedUntil = max(p.pausedUntil, s.now+length)
	p.suspended += length
}
