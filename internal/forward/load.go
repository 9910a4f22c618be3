package forward

import (
	"math/rand/v2"
	"time"

	"github.com/covelink/covelink/internal/slidingcount"
)

const (
	// recently is how long an engine's refusal is news about its service.
	recently = time.Second
	// firstProbe and maxProbe bound the interval at which a full service is asked for room: about the length of a lookup at first, so that a
	// moment's crowd costs its callers nothing. In the replay of a crash of all engines at 300 gateways a longest interval of 0.5 s kept the
	// engines falling (20 falls in 25 s, 1.47 to 1.50 sends for each request), one of 2 s let them come back (4 falls, 1.01 to 1.04).
	firstProbe = 25 * time.Millisecond
	maxProbe   = 2 * time.Second
	// maxKnownFull bounds how long an engine that refused is left out for first tries, which are no retries and serve as probes as well.
	maxKnownFull = 500 * time.Millisecond
	// silence is how long answers that are due may be missing before a retry is spent on a probe, and how long a patient retry leaves a service
	// alone that refused: the budget pays for few of them.
	silence = 500 * time.Millisecond
	// probeJitter is the share by which an interval is longer or shorter, so that processes do not probe together.
	probeJitter = 0.25
	// firstUnreachable is how long an engine that could not be reached is not dialled again at first, then twice as long each time: an engine that
	// has ended comes back as another.
	firstUnreachable = 250 * time.Millisecond
	// cutPause is the least time between two cuts of a limit: refusals within it are news of the same moment.
	cutPause = 100 * time.Millisecond
	// wellAfter is how long a service must have refused nothing to be taken for well: longer than a probe's interval, so that it does not flap.
	wellAfter = time.Second
	// rampStep is what each round of answers adds to the limit while refusals are fresh: one round in five or six asks for more than was
	// granted, so that the refusals that the ramp finds stay within the budget of retries.
	rampStep = 0.18
	// rateWindow is the time over which the rates of a service are counted.
	rateWindow = 2 * time.Second
)

// Load is what a process takes a service for.
type Load int

// The loads.
const (
	// LoadWell services are sent requests at once.
	LoadWell Load = iota
	// LoadFull services refuse.
	LoadFull
	// LoadDown services cannot be reached.
	LoadDown
)

// String returns the load's name in logs and metrics.
func (l Load) String() string { return [...]string{"well", "full", "down"}[l] }

// refusal is that an engine did not take a request.
type refusal struct {
	at time.Time
	// until is until when another try is no use.
	until       time.Time
	unreachable bool
	// failures counts the tries in a row that could not reach the engine.
	failures int
}

// serviceLoad is what this process has seen of a service's room. Its methods are given the time, and not safe for concurrent use.
type serviceLoad struct {
	load  Load
	since time.Time
	// inFlight are the requests that are at the service's engines, or about to be sent there, from here, and limit the most while not well.
	inFlight int
	limit    float64
	// refusals are the last ones of engines that have not answered since.
	refusals            map[string]refusal
	refusedAt, servedAt time.Time
	cutAt               time.Time
	// interval is that of probes; the next may be made at probeAt.
	interval time.Duration
	probeAt  time.Time
	// served and refused count the answers and refusals of late.
	served, refused slidingcount.Counter
}

func newServiceLoad(now time.Time) *serviceLoad {
	return &serviceLoad{
		since:    now,
		interval: firstProbe,
		refusals: make(map[string]refusal),
		served:   slidingcount.New(rateWindow, now),
		refused:  slidingcount.New(rateWindow, now),
	}
}

// noteServed takes in that an engine has taken a request. It reports whether the service is taken for well by that.
func (s *serviceLoad) noteServed(now time.Time, engine string, waiting int) bool {
	delete(s.refusals, engine)
	s.served.Add(now, 1)
	s.servedAt = now
	s.interval = firstProbe
	if s.load == LoadWell {
		return false
	}
	calm := now.Sub(s.refusedAt) >= wellAfter
	if calm && waiting == 0 {
		s.become(now, LoadWell)
		return true
	}
	if calm {
		s.limit++
	} else {
		s.limit += rampStep / s.limit
	}
	return false
}

// noteRefused takes in that an engine, one of so many that may serve the request, did not take it. exhausted is true if no engine that the
// request may be sent to takes it. It reports whether the service is taken for full, or down, by that.
func (s *serviceLoad) noteRefused(now time.Time, engine string, unreachable, exhausted bool, engines int) bool {
	s.refusals[engine] = s.nextRefusal(now, s.refusals[engine], unreachable)
	s.refused.Add(now, 1)
	s.refusedAt = now
	if s.probeAt.Before(now) {
		s.postponeProbe(now)
	}
	refusing, down := s.refusing(now)
	if s.load == LoadWell && !exhausted && 2*refusing <= engines {
		return false
	}
	before := s.load
	load := LoadFull
	if 2*down > refusing {
		load = LoadDown
	}
	switch {
	case before == LoadWell:
		s.limit, s.cutAt = max(1, float64(s.inFlight)), now
	case now.Sub(s.cutAt) >= cutPause:
		s.limit, s.cutAt = max(1, s.limit/2), now
	}
	if before == load || (before != LoadWell && now.Sub(s.since) < wellAfter) {
		return false
	}
	s.become(now, load)
	return true
}

func (s *serviceLoad) become(now time.Time, load Load) { s.load, s.since = load, now }

// refusing counts the engines that refused lately, and those of them that could not be reached. It forgets the others.
func (s *serviceLoad) refusing(now time.Time) (all, unreachable int) {
	for id, refusal := range s.refusals {
		if now.Sub(refusal.at) > recently {
			if now.Sub(refusal.at) > staleAfter {
				delete(s.refusals, id)
			}
			continue
		}
		all++
		if refusal.unreachable {
			unreachable++
		}
	}
	return all, unreachable
}

// nextRefusal returns the refusal that follows an engine's last one.
func (s *serviceLoad) nextRefusal(now time.Time, last refusal, unreachable bool) refusal {
	if !unreachable {
		return refusal{at: now, until: now.Add(min(max(busyBackoff, s.interval), maxKnownFull))}
	}
	life := min(firstUnreachable<<min(last.failures, 5), maxBackoff)
	return refusal{at: now, until: now.Add(life), unreachable: true, failures: last.failures + 1}
}

// knownFull reports whether an engine has refused so lately that another try is no use.
func (s *serviceLoad) knownFull(now time.Time, engine string) bool {
	refusal, ok := s.refusals[engine]
	return ok && now.Before(refusal.until)
}

// noteNoRoom takes in that no engine can be asked. It reports whether the service is taken for full by that.
func (s *serviceLoad) noteNoRoom(now time.Time) bool {
	s.refusedAt = now
	if s.load != LoadWell {
		return false
	}
	s.limit, s.cutAt = max(1, float64(s.inFlight)), now
	s.become(now, LoadFull)
	return true
}

// mayProbeAgain reports whether a request that was sent before may be let out as a probe: only while no answer is to be expected that would
// show room, and if it is patient only once nothing was refused for a while, as the budget pays for few of them.
func (s *serviceLoad) mayProbeAgain(now time.Time, patient bool) bool {
	if s.inFlight > 0 && now.Sub(s.servedAt) < silence {
		return false
	}
	return !patient || now.Sub(s.refusedAt) >= silence
}

// roomShown reports whether an engine took a request after the last one that was refused, and less is in flight than that allows.
func (s *serviceLoad) roomShown() bool {
	if !s.servedAt.After(s.refusedAt) {
		return false
	}
	return s.load == LoadWell || float64(s.inFlight+1) <= s.limit
}

// probeDue reports whether a request may be sent to find out whether there is room.
func (s *serviceLoad) probeDue(now time.Time) bool { return !now.Before(s.probeAt) }

// noteProbe makes the next probe wait twice as long, until an engine has answered.
func (s *serviceLoad) noteProbe(now time.Time) {
	s.interval = min(2*s.interval, maxProbe)
	s.postponeProbe(now)
}

// postponeProbe makes the next probe wait for an interval.
func (s *serviceLoad) postponeProbe(now time.Time) {
	s.probeAt = now.Add(time.Duration(float64(s.interval) * (1 + probeJitter*(2*rand.Float64()-1))))
}

// turnAfter returns how long a request waits until it is let out if so many go before it, from the rate of answers of late, or from the probes
// if there were none.
func (s *serviceLoad) turnAfter(now time.Time, ahead int) time.Duration {
	served := s.served.Sum(now)
	if served > 0 {
		return time.Duration(ahead) * rateWindow / time.Duration(served)
	}
	return max(s.probeAt.Sub(now), 0) + time.Duration(ahead)*s.interval
}
