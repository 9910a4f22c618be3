package forward

import (
	"math/rand/v2"
	"time"

	"github.com/covelink/covelink/internal/slidingcount"
)

const (
	// recently is how long a refusal counts toward its service's load: older ones say nothing about the load of now.
	recently = time.Second
	// firstProbe and maxProbe bound the interval at which a full service is probed for capacity. The first is about the length of a lookup, so
	// that a short burst costs its callers nothing. In the replay of a crash of all engines at 300 gateways a longest interval of 0.5 s kept the
	// engines falling (20 falls in 25 s, 1.47 to 1.50 sends for each request), one of 2 s let them come back (4 falls, 1.01 to 1.04).
	firstProbe = 25 * time.Millisecond
	maxProbe   = 2 * time.Second
	// maxKnownFull bounds how long first tries avoid an engine that refused. First tries are not retries, and serve as probes too: a longer
	// bound would find new capacity later.
	maxKnownFull = 500 * time.Millisecond
	// silence is how long a service with requests in flight must not have answered before a retry may be spent on a probe, and how long a
	// patient retry waits after a refusal before it may be one: the retry budget pays for few probes.
	silence = 500 * time.Millisecond
	// probeJitter is the share by which an interval is longer or shorter, so that processes do not probe together.
	probeJitter = 0.25
	// firstUnreachable is how long an engine is not dialled again after the first failed connection; the time doubles with each further one. An
	// engine that has ended does not come back: its next start has another ID.
	firstUnreachable = 250 * time.Millisecond
	// cutPause is the least time between two cuts of a limit: refusals that arrive together report the same overload, and cut it once.
	cutPause = 100 * time.Millisecond
	// wellAfter is how long a service must refuse nothing before it counts as well again: longer than most intervals between probes, so that its
	// load does not flap.
	wellAfter = time.Second
	// rampStep, in requests, is what each round of answers (as many as the limit) adds to the limit within wellAfter of a refusal. One round in
	// five or six then sends one request more, so that the refusals which that provokes stay within the retry budget.
	rampStep = 0.18
	// rateWindow is the window of a service's counts of answers and refusals: long enough to estimate a wait from, short enough to follow a burst.
	rateWindow = 2 * time.Second
)

// Load is this process's estimate of a service's load.
type Load int

// The loads.
const (
	// LoadWell: requests are sent at once.
	LoadWell Load = iota
	// LoadFull: the service refuses requests, and new ones wait.
	LoadFull
	// LoadDown: most of the engines that took nothing could not be reached.
	LoadDown
)

// String returns the load's name in logs and metrics.
func (l Load) String() string { return [...]string{"well", "full", "down"}[l] }

// refusal is the last time at which an engine did not take a request.
type refusal struct {
	at time.Time
	// until is when the engine may be tried again.
	until       time.Time
	unreachable bool
	// failures counts the consecutive tries that could not reach the engine.
	failures int
}

// serviceLoad estimates a service's load from this process's own attempts. Its methods take the time as an argument. It is not safe for
// concurrent use.
type serviceLoad struct {
	load  Load
	since time.Time
	// inFlight counts this process's requests that an engine of the service works on, or that are about to be sent.
	inFlight int
	// limit bounds inFlight while the load is not LoadWell. It is a fraction because rampStep is.
	limit float64
	// refusals maps the ID of each engine that has refused and not answered since to its last refusal.
	refusals            map[string]refusal
	refusedAt, servedAt time.Time
	cutAt               time.Time
	// interval is the present pause between probes; the next may be made at probeAt.
	interval time.Duration
	probeAt  time.Time
	// served and refused count the answers and refusals of the last rateWindow.
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

// noteServed records that an engine took a request, while others wait. It reports whether the load became LoadWell.
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

// refusedSend is one send that an engine did not take.
type refusedSend struct {
	engine string
	// unreachable is true if the engine could not be reached, rather than refused.
	unreachable bool
	// exhausted is true if every engine that the request may be sent to has refused it.
	exhausted bool
	// engines is how many engines may run the request.
	engines int
}

// noteRefused records that an engine did not take a request. It reports whether the load changed to LoadFull or LoadDown.
func (s *serviceLoad) noteRefused(now time.Time, send refusedSend) bool {
	s.refusals[send.engine] = s.nextRefusal(now, s.refusals[send.engine], send.unreachable)
	s.refused.Add(now, 1)
	s.refusedAt = now
	if s.probeAt.Before(now) {
		s.postponeProbe(now)
	}
	refusing, down := s.refusing(now)
	if s.load == LoadWell && !send.exhausted && 2*refusing <= send.engines {
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

// refusing counts the engines that did not take a request within recently, and those of them that could not be reached. It drops records that
// are older than staleAfter.
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

// nextRefusal returns the record of an engine's new refusal, given its last one.
func (s *serviceLoad) nextRefusal(now time.Time, last refusal, unreachable bool) refusal {
	if !unreachable {
		return refusal{at: now, until: now.Add(min(max(busyBackoff, s.interval), maxKnownFull))}
	}
	backoff := min(firstUnreachable<<min(last.failures, 5), maxBackoff)
	return refusal{at: now, until: now.Add(backoff), unreachable: true, failures: last.failures + 1}
}

// knownFull reports whether an engine refused so recently that it should not be tried yet.
func (s *serviceLoad) knownFull(now time.Time, engine string) bool {
	refusal, ok := s.refusals[engine]
	return ok && now.Before(refusal.until)
}

// noteNoCapacity records that there is no engine which may be sent a request now. It reports whether the load became LoadFull.
func (s *serviceLoad) noteNoCapacity(now time.Time) bool {
	s.refusedAt = now
	if s.load != LoadWell {
		return false
	}
	s.limit, s.cutAt = max(1, float64(s.inFlight)), now
	s.become(now, LoadFull)
	return true
}

// mayProbeAgain reports whether a retry may be sent as a probe. It may not while requests are in flight and answers arrive, as these answers show
// capacity without a retry. A patient one must also wait for silence after the last refusal, as the retry budget pays for few probes.
func (s *serviceLoad) mayProbeAgain(now time.Time, patient bool) bool {
	if s.inFlight > 0 && now.Sub(s.servedAt) < silence {
		return false
	}
	return !patient || now.Sub(s.refusedAt) >= silence
}

// hasCapacity reports whether the last outcome was an answer, not a refusal, and the limit allows another request in flight.
func (s *serviceLoad) hasCapacity() bool {
	if !s.servedAt.After(s.refusedAt) {
		return false
	}
	return s.load == LoadWell || float64(s.inFlight+1) <= s.limit
}

// probeDue reports whether a request may be sent as a probe.
func (s *serviceLoad) probeDue(now time.Time) bool { return !now.Before(s.probeAt) }

// noteProbe records that a probe is sent: the interval doubles up to maxProbe, until an engine answers.
func (s *serviceLoad) noteProbe(now time.Time) {
	s.interval = min(2*s.interval, maxProbe)
	s.postponeProbe(now)
}

// postponeProbe sets the next probe one interval, with jitter, from now.
func (s *serviceLoad) postponeProbe(now time.Time) {
	s.probeAt = now.Add(time.Duration(float64(s.interval) * (1 + probeJitter*(2*rand.Float64()-1))))
}

// turnAfter estimates how long a request waits with so many ahead of it: from the rate of answers, or from the probes if there were no
// answers within rateWindow.
func (s *serviceLoad) turnAfter(now time.Time, ahead int) time.Duration {
	served := s.served.Sum(now)
	if served > 0 {
		return time.Duration(ahead) * rateWindow / time.Duration(served)
	}
	return max(s.probeAt.Sub(now), 0) + time.Duration(ahead)*s.interval
}
