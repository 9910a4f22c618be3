package coldstart

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/covelink/covelink/internal/forward"
	"github.com/covelink/covelink/internal/routing"
)

var (
	scheduleCount = flag.Int("coldstart.schedules", 5_000, "number of schedules")
	scheduleSeed  = flag.Uint64("coldstart.seed", 1, "first seed")
)

// TestNoEngineOverItsBound simulates random schedules of requests, coordinator changes and faults with the real limiters in virtual time: no engine
// may get more requests in a second than the bound.
func TestNoEngineOverItsBound(t *testing.T) {
	count := *scheduleCount
	const workers = 4
	var played [workers]struct {
		sent  int
		most  float64
		fault string
	}
	var playing sync.WaitGroup
	for worker := range workers {
		result := &played[worker]
		playing.Go(func() {
			for i := worker; i < count && result.fault == ""; i += workers {
				s := newSchedule(*scheduleSeed + uint64(i))
				s.play()
				peak, bound := float64(s.peakRate()), 1.5*s.rate+5
				result.sent += s.count()
				result.most = max(result.most, peak/bound)
				if peak > bound {
					result.fault = fmt.Sprintf("seed %d: %.0f sends in one second, bound %.1f, rate %.1f, faults: %v", *scheduleSeed+uint64(i), peak, bound, s.rate, s.faults)
				}
			}
		})
	}
	playing.Wait()
	sent, most := 0, 0.0
	for _, result := range played {
		if result.fault != "" {
			t.Error(result.fault)
		}
		sent += result.sent
		most = max(most, result.most)
	}
	if sent < 10*count && !t.Failed() {
		t.Errorf("%d sends in %d schedules: too few for the test to be meaningful", sent, count)
	}
	t.Logf("%d schedules, %d sends, worst second at %.2f of its bound", count, sent, most)
}

// event is an action at a moment, of a process that may be suspended then; nil for none.
type event struct {
	at      time.Time
	order   int
	process *process
	do      func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(a, b int) bool {
	return e[a].at.Before(e[b].at) || (e[a].at.Equal(e[b].at) && e[a].order < e[b].order)
}
func (e events) Swap(a, b int) { e[a], e[b] = e[b], e[a] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// process is a gateway or a coordinator candidate.
type process struct {
	wakesAt time.Time
	dead    bool
	// coordinator is the coordinator that a gateway calls, and limiter the limiter of a candidate.
	coordinator *process
	limiter     *Limiter
	// partitioned is true while a candidate cannot reach the store.
	partitioned bool
	confirmedAt time.Time
	// rounds is the number of the limiter's next round; rounds scheduled before it was woken are skipped.
	rounds  int
	pending map[*waitingRequest]func(grant)
}

type schedule struct {
	random   *rand.Rand
	now      time.Time
	started  time.Time
	queue    events
	order    int
	rate     float64
	engines  []string
	gateways []*process
	// pause is the longest time between two Requests of a gateway; together the gateways request some four times the engines' rate.
	pause time.Duration
	// stalled is until when replies are delayed, to arrive together.
	stalled time.Time
	leader  *process
	sends   map[string][]time.Time
	faults  []string
}

const scheduleLength = 5 * time.Second

func newSchedule(seed uint64) *schedule {
	start := time.Unix(1000, 0)
	s := &schedule{random: rand.New(rand.NewPCG(seed, 7)), now: start, started: start, sends: make(map[string][]time.Time)}
	s.rate = []float64{0.5, 1, 3, 3, 14, 14, 30}[s.random.IntN(7)]
	for i := range 1 + s.random.IntN(3) {
		s.engines = append(s.engines, fmt.Sprint("engine-", i))
	}
	return s
}

func (s *schedule) at(after time.Duration, to *process, do func()) {
	s.order++
	heap.Push(&s.queue, event{at: s.now.Add(after), order: s.order, process: to, do: do})
}

func (s *schedule) between(least, most time.Duration) time.Duration {
	return least + time.Duration(s.random.Int64N(int64(most-least)))
}

func (s *schedule) play() {
	s.lead()
	count := 4 + s.random.IntN(12)
	s.pause = time.Duration(float64(count) / (2 * s.rate * float64(len(s.engines))) * float64(time.Second))
	for range count {
		gateway := &process{coordinator: s.leader}
		s.gateways = append(s.gateways, gateway)
		s.at(s.between(0, 100*time.Millisecond), gateway, func() { s.ask(gateway) })
	}
	for range 1 + s.random.IntN(4) {
		s.at(s.between(0, scheduleLength), nil, s.injectFault)
	}
	for len(s.queue) > 0 {
		next := heap.Pop(&s.queue).(event)
		if p := next.process; p != nil && p.dead {
			continue
		} else if p != nil && p.wakesAt.After(next.at) {
			next.at = p.wakesAt
			heap.Push(&s.queue, next)
			continue
		}
		s.now = next.at
		next.do()
	}
}

// lead makes a new candidate the coordinator.
func (s *schedule) lead() {
	p := &process{confirmedAt: s.now, pending: make(map[*waitingRequest]func(grant))}
	p.limiter = NewLimiter(LimiterParams{
		Rate:             func(string) float64 { return s.rate },
		LeaseConfirmedAt: func() time.Time { return p.confirmedAt },
		Now:              func() time.Time { return s.now },
		Logger:           log.NewNopLogger(),
	})
	p.limiter.beginTerm()
	s.leader = p
	s.at(0, p, func() { s.follow(p) })
	s.at(0, p, func() { s.serve(p) })
}

// follow confirms a candidate's lease while it holds the lease and reaches the store.
func (s *schedule) follow(p *process) {
	if s.now.Sub(s.started) > scheduleLength {
		return
	}
	if !p.partitioned && s.leader == p {
		p.confirmedAt = s.now
	} else if !p.partitioned {
		s.endTerm(p)
		return
	}
	s.at(s.between(100*time.Millisecond, 1100*time.Millisecond), p, func() { s.follow(p) })
}

func (s *schedule) endTerm(p *process) {
	p.limiter.endTerm()
	s.answer(p)
}

// serve runs one round of a limiter's loop.
func (s *schedule) serve(p *process) {
	wait := p.limiter.serve()
	s.answer(p)
	if s.random.IntN(8) == 0 {
		// A request of the process itself, such as an item.
		if engine := s.engines[s.random.IntN(len(s.engines))]; p.limiter.TryAcquire("service", engine, routing.Rank{}) {
			s.at(s.between(0, 200*time.Millisecond), p, func() { s.send(engine, s.now, forward.GrantedSendTime) })
		}
	}
	if len(p.pending) == 0 {
		wait = 300 * time.Millisecond
	}
	if s.now.Sub(s.started) < scheduleLength {
		p.rounds++
		number := p.rounds
		s.at(wait, p, func() {
			if number == p.rounds {
				s.serve(p)
			}
		})
	}
}

func (s *schedule) answer(p *process) {
	for request, reply := range p.pending {
		select {
		case given := <-request.answer:
			delete(p.pending, request)
			reply(given)
		default:
		}
	}
}

// ask sends a gateway's Request and schedules the next one.
func (s *schedule) ask(gateway *process) {
	if s.now.Sub(s.started) > scheduleLength {
		return
	}
	s.at(s.between(0, s.pause), gateway, func() { s.ask(gateway) })
	requestedAt, coordinator := s.now, gateway.coordinator
	request := Request{Service: "service", Engines: slices.Clone(s.engines), Wait: s.between(0, 800*time.Millisecond), Rank: routing.Rank{Route: s.random.IntN(2)}}
	s.deliver(coordinator, func() {
		entry, refused := coordinator.limiter.enqueue(request)
		if refused != nil {
			return
		}
		coordinator.pending[entry] = func(given grant) {
			reply := coordinator.limiter.reply(entry, given)
			s.deliverAfter(max(0, s.stalled.Sub(s.now)), gateway, func() { s.granted(gateway, reply, requestedAt) })
		}
		s.serve(coordinator)
	})
}

// deliver sends a message to a process: it arrives soon, late or never.
func (s *schedule) deliver(to *process, do func()) { s.deliverAfter(0, to, do) }

// deliverAfter is deliver with an additional delay.
func (s *schedule) deliverAfter(extra time.Duration, to *process, do func()) {
	delay := extra + s.between(0, 45*time.Millisecond)
	switch s.random.IntN(20) {
	case 0:
		return
	case 1:
		delay += s.between(0, 2*time.Second)
	}
	s.at(delay, to, do)
}

// granted handles a reply at the gateway, which may be suspended between any two steps.
func (s *schedule) granted(gateway *process, reply Reply, requestedAt time.Time) {
	if reply.Engine == "" || reply.late(s.now.Sub(requestedAt)) {
		return
	}
	granted := s.now
	s.at(s.between(0, 200*time.Millisecond), gateway, func() { s.send(reply.Engine, granted, forward.GrantedSendTime) })
}

// send is the transport's last check before a request is sent.
func (s *schedule) send(engine string, granted time.Time, within time.Duration) {
	if !s.now.Before(granted.Add(within)) {
		return
	}
	s.sends[engine] = append(s.sends[engine], s.now)
}

// injectFault causes one random fault.
func (s *schedule) injectFault() {
	s.faults = append(s.faults, "")
	note := func(what string) {
		s.faults[len(s.faults)-1] = fmt.Sprint(what, " at ", s.now.Sub(s.started).Round(time.Millisecond))
	}
	old := s.leader
	switch s.random.IntN(8) {
	case 0:
		note("gateways suspended")
		wakesAt := s.now.Add(s.between(50*time.Millisecond, 3*time.Second))
		for _, gateway := range s.gateways {
			if s.random.IntN(3) > 0 {
				gateway.wakesAt = wakesAt
			}
		}
	case 1:
		note("coordinator suspended")
		old.wakesAt = s.now.Add(s.between(50*time.Millisecond, 6*time.Second))
		s.takeOver(old, s.between(electionTime, 4*time.Second))
	case 2:
		note("coordinator cut off from the store")
		old.partitioned = true
		s.takeOver(old, s.between(electionTime, 4*time.Second))
	case 3:
		note("coordinator killed and restarted")
		old.dead = true
		s.at(s.between(0, time.Second), nil, func() { s.changeCoordinator(old) })
	case 4:
		note("lease yielded")
		s.endTerm(old)
		s.at(s.between(0, time.Second), nil, func() { s.changeCoordinator(old) })
	case 5:
		note("all processes killed")
		old.dead = true
		for i := range s.gateways {
			s.gateways[i].dead = true
			gateway := &process{coordinator: old}
			s.gateways[i] = gateway
			s.at(s.between(0, 300*time.Millisecond), gateway, func() { s.ask(gateway) })
		}
		s.at(s.between(0, 500*time.Millisecond), nil, func() { s.changeCoordinator(old) })
	case 6:
		// It sees the challenge, but its answer is lost, and it does not see that another candidate has the lease.
		note("coordinator's answer to a challenge lost")
		old.partitioned, old.confirmedAt = true, s.now
		s.at(s.between(0, 100*time.Millisecond), nil, func() { s.changeCoordinator(old) })
	case 7:
		note("replies delayed")
		s.stalled = s.now.Add(s.between(500*time.Millisecond, 2500*time.Millisecond))
	}
}

// takeOver lets another candidate lead if the coordinator still cannot reach the store by then.
func (s *schedule) takeOver(old *process, after time.Duration) {
	s.at(after, nil, func() {
		if old.partitioned || old.wakesAt.After(s.now) {
			s.changeCoordinator(old)
		}
	})
}

// changeCoordinator makes another candidate the coordinator; gateways receive the change one by one, some late.
func (s *schedule) changeCoordinator(old *process) {
	if s.leader != old {
		return
	}
	s.lead()
	next := s.leader
	for _, gateway := range s.gateways {
		delay := s.between(0, 500*time.Millisecond)
		if s.random.IntN(3) == 0 {
			delay += s.between(0, 5*time.Second)
		}
		s.at(delay, gateway, func() { gateway.coordinator = next })
	}
}

func (s *schedule) count() (count int) {
	for _, sends := range s.sends {
		count += len(sends)
	}
	return count
}

func (s *schedule) peakRate() (peak int) {
	for _, sends := range s.sends {
		slices.SortFunc(sends, time.Time.Compare)
		first := 0
		for i := range sends {
			for sends[i].Sub(sends[first]) > time.Second {
				first++
			}
			peak = max(peak, i-first+1)
		}
	}
	return peak
}
