package forward

import (
	"math/rand/v2"
	"time"

	"github.com/covelink/covelink/internal/slidingcount"
)

const (
	// refusalWindow is how long a refusal counts toward the load of its service.
	refusalWindow = time.Second
	// minProbeInterval and maxProbeInterval bound the interval between probes of a full service. Probes of many gateways at a shorter maximum can
	// keep restarting engines overloaded: in a replay of a crash of all engines at 300 gateways, a maximum of 0.5 s made engines fail again 20 times in
	// 25 s, and 2 s four times.
	minProbeInterval = 25 * time.Millisecond
	maxProbeInterval = 2 * time.Second
	// maxBusyBackoff bounds how long first sends avoid an engine that refused. They also serve as probes: a longer bound delays the detection of
	// new capacity.
	maxBusyBackoff = 500 * time.Millisecond
	// retryProbeDelay is how long a service with requests in flight must not have responded before a retry may probe it, and how long after a
	// refusal the retry of a request with its own queue timeout may: the retry budget allows few probes.
	retryProbeDelay = 500 * time.Millisecond
	// probeJitter is the relative jitter of probe intervals, so that processes do not probe in step.
	probeJitter = 0.25
	// firstUnreachableBackoff is the backoff after the first failed connection; it doubles with each further one. An engine that ended does not
	// return: a restarted one has another ID.
	firstUnreachableBackoff = 250 * time.Millisecond
	// limitCutInterval is the minimum time between two cuts of a limit: refusals that arrive together report the same overload.
	limitCutInterval = 100 * time.Millisecond
	// recoveryTime is how long a service must refuse nothing before its load becomes LoadNormal again. It exceeds most probe intervals, so that
	// the load does not flap.
	recoveryTime = time.Second
	// limitRampStep, in requests, is the increase of the limit per round of responses (as many as the limit) within recoveryTime of a refusal. It
	// is below 1 to keep the refusals it provokes within the retry budget.
	limitRampStep = 0.18
	// rateWindow is the window of a service's counts of responses and refusals.
	rateWindow = 2 * time.Second
)

// Load is this process's estimate of a service's load.
type Load int

// The values of Load.
const (
	// LoadNormal means that requests are sent without queueing.
	LoadNormal Load = iota
	// LoadFull means that the service refuses requests, and new ones are queued.
	LoadFull
	// LoadDown means that most of the engines that accepted nothing could not be reached.
	LoadDown
)

// String returns the name of the load as used in logs and metrics.
func (l Load) String() string { return [...]string{"well", "full", "down"}[l] }

// refusal records the last time that an engine did not accept a request.
type refusal struct {
	at time.Time
	// until is when the engine may be tried again.
	until       time.Time
	unreachable bool
	// failures counts the consecutive failed connections.
	failures int
}

// serviceLoad estimates a service's load from this process's own attempts. Its methods take the current time. It is not safe for concurrent use.
type serviceLoad struct {
	state Load
	since time.Time
	// inFlight counts this process's requests that an engine processes or that are about to be sent.
	inFlight int
	// limit bounds inFlight while the load is not LoadNormal. It is fractional because limitRampStep is.
	limit float64
	// refusals maps the ID of each engine that has not responded since its last refusal to that refusal.
	refusals            map[string]refusal
	refusedAt, servedAt time.Time
	limitCutAt          time.Time
	// interval is the current pause between probes; the next one is due at probeAt.
	interval time.Duration
	probeAt  time.Time
	// served and refused count the responses and refusals within rateWindow.
	served, refused slidingcount.Counter
}

func newServiceLoad(now time.Time) *serviceLoad {
	return &serviceLoad{
		since:    now,
		interval: minProbeInterval,
		refusals: make(map[string]refusal),
		served:   slidingcount.New(rateWindow, now),
		refused:  slidingcount.New(rateWindow, now),
	}
}

// recordServed records that an engine accepted a request while others are queued. It reports whether the load became LoadNormal.
func (s *serviceLoad) recordServed(now time.Time, engine string, waiting int) bool {
	delete(s.refusals, engine)
	s.served.Add(now, 1)
	s.servedAt = now
	s.interval = minProbeInterval
	if s.state == LoadNormal {
		return false
	}
	calm := now.Sub(s.refusedAt) >= recoveryTime
	if calm && waiting == 0 {
		s.setLoad(now, LoadNormal)
		return true
	}
	if calm {
		s.limit++
	} else {
		s.limit += limitRampStep / s.limit
	}
	return false
}

// refusedSend is a send that an engine did not accept.
type refusedSend struct {
	engine string
	// unreachable is true if the engine could not be reached, as opposed to refusing.
	unreachable bool
	// exhausted is true if every engine that the request may be sent to has refused it.
	exhausted bool
	// engines is the number of engines permitted to run the request.
	engines int
}

// recordRefused records that an engine did not accept a request. It reports whether the load changed to LoadFull or LoadDown.
func (s *serviceLoad) recordRefused(now time.Time, send refusedSend) bool {
	s.refusals[send.engine] = s.nextRefusal(now, s.refusals[send.engine], send.unreachable)
	s.refused.Add(now, 1)
	s.refusedAt = now
	if s.probeAt.Before(now) {
		s.postponeProbe(now)
	}
	refusing, down := s.countRefusing(now)
	if s.state == LoadNormal && !send.exhausted && 2*refusing <= send.engines {
		return false
	}
	before := s.state
	load := LoadFull
	if 2*down > refusing {
		load = LoadDown
	}
	switch {
	case before == LoadNormal:
		s.limit, s.limitCutAt = max(1, float64(s.inFlight)), now
	case now.Sub(s.limitCutAt) >= limitCutInterval:
		s.limit, s.limitCutAt = max(1, s.limit/2), now
	}
	if before == load || (before != LoadNormal && now.Sub(s.since) < recoveryTime) {
		return false
	}
	s.setLoad(now, load)
	return true
}

func (s *serviceLoad) setLoad(now time.Time, load Load) { s.state, s.since = load, now }

// countRefusing counts the engines that did not accept a request within refusalWindow, and the unreachable ones of them. It deletes records older
// than staleAfter.
func (s *serviceLoad) countRefusing(now time.Time) (all, unreachable int) {
	for id, refusal := range s.refusals {
		if now.Sub(refusal.at) > refusalWindow {
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

func (s *serviceLoad) nextRefusal(now time.Time, last refusal, unreachable bool) refusal {
	if !unreachable {
		return refusal{at: now, until: now.Add(min(max(busyBackoff, s.interval), maxBusyBackoff))}
	}
	backoff := min(firstUnreachableBackoff<<min(last.failures, 5), maxBackoff)
	return refusal{at: now, until: now.Add(backoff), unreachable: true, failures: last.failures + 1}
}

// backingOff reports whether an engine refused so recently that it should not be tried yet.
func (s *serviceLoad) backingOff(now time.Time, engine string) bool {
	refusal, ok := s.refusals[engine]
	return ok && now.Before(refusal.until)
}

// recordNoCapacity records that no engine may be sent a request now. It reports whether the load became LoadFull.
func (s *serviceLoad) recordNoCapacity(now time.Time) bool {
	s.refusedAt = now
	if s.state != LoadNormal {
		return false
	}
	s.limit, s.limitCutAt = max(1, float64(s.inFlight)), now
	s.setLoad(now, LoadFull)
	return true
}

// mayProbeWithRetry reports whether a retry may be sent as a probe: not while requests in flight are answered, since that shows capacity without
// a retry. A request with its own queue timeout also waits for retryProbeDelay after the last refusal, to save retry budget.
func (s *serviceLoad) mayProbeWithRetry(now time.Time, hasQueueTimeout bool) bool {
	if s.inFlight > 0 && now.Sub(s.servedAt) < retryProbeDelay {
		return false
	}
	return !hasQueueTimeout || now.Sub(s.refusedAt) >= retryProbeDelay
}

// hasCapacity reports whether the last outcome was a response, not a refusal, and the limit allows another request in flight.
func (s *serviceLoad) hasCapacity() bool {
	if !s.servedAt.After(s.refusedAt) {
		return false
	}
	return s.state == LoadNormal || float64(s.inFlight+1) <= s.limit
}

func (s *serviceLoad) probeDue(now time.Time) bool { return !now.Before(s.probeAt) }

// recordProbe records that a probe is sent: the interval doubles up to maxProbeInterval until an engine responds.
func (s *serviceLoad) recordProbe(now time.Time) {
	s.interval = min(2*s.interval, maxProbeInterval)
	s.postponeProbe(now)
}

// postponeProbe schedules the next probe one interval, with jitter, from now.
func (s *serviceLoad) postponeProbe(now time.Time) {
	s.probeAt = now.Add(time.Duration(float64(s.interval) * (1 + probeJitter*(2*rand.Float64()-1))))
}

// expectedWait estimates how long a request waits behind the given number of others: from the response rate, or from the probe interval if there
// was no response within rateWindow.
func (s *serviceLoad) expectedWait(now time.Time, ahead int) time.Duration {
	served := s.served.Sum(now)
	if served > 0 {
		return time.Duration(ahead) * rateWindow / time.Duration(served)
	}
	return max(s.probeAt.Sub(now), 0) + time.Duration(ahead)*s.interval
}
