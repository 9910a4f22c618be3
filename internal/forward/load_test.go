package forward

import (
	"fmt"
	"testing"
	"time"
)

// loadClock passes a simulated time to a serviceLoad.
type loadClock struct {
	*serviceLoad
	now time.Time
}

func newLoadClock() *loadClock {
	now := time.Unix(1000, 0)
	return &loadClock{serviceLoad: newServiceLoad(now), now: now}
}

func (c *loadClock) advance(length time.Duration) { c.now = c.now.Add(length) }

func (c *loadClock) refuse(engines int, ids ...string) {
	for _, id := range ids {
		c.recordRefused(c.now, refusedSend{engine: id, engines: engines})
	}
}

func TestLoadFromRefusals(t *testing.T) {
	for _, c := range []struct {
		name string
		play func(c *loadClock)
		load Load
	}{
		{"no observations", func(*loadClock) {}, LoadNormal},
		{"half of the engines refuse", func(c *loadClock) { c.refuse(4, "a", "b") }, LoadNormal},
		{"most refuse", func(c *loadClock) { c.refuse(4, "a", "b", "c") }, LoadFull},
		{"most refuse, but not within the window", func(c *loadClock) { c.refuse(4, "a", "b"); c.advance(2 * refusalWindow); c.refuse(4, "c") }, LoadNormal},
		{"one of them responded since", func(c *loadClock) { c.refuse(4, "a", "b"); c.recordServed(c.now, "a", 0); c.refuse(4, "c") }, LoadNormal},
		{"all candidates of a request refuse", func(c *loadClock) { c.recordRefused(c.now, refusedSend{engine: "a", exhausted: true, engines: 4}) }, LoadFull},
		{"no engine is reachable", func(c *loadClock) { c.recordRefused(c.now, refusedSend{engine: "a", unreachable: true, engines: 1}) }, LoadDown},
		{"a response after the recovery time", func(c *loadClock) {
			c.refuse(1, "a")
			c.advance(recoveryTime)
			c.recordServed(c.now, "a", 0)
		}, LoadNormal},
		{"a response within the recovery time", func(c *loadClock) {
			c.refuse(1, "a")
			c.advance(recoveryTime / 2)
			c.recordServed(c.now, "a", 0)
		}, LoadFull},
		{"responses while requests are queued", func(c *loadClock) {
			c.refuse(1, "a")
			c.advance(recoveryTime)
			c.recordServed(c.now, "a", 3)
		}, LoadFull},
		{"no engine may be sent a request", func(c *loadClock) { c.recordNoCapacity(c.now) }, LoadFull},
	} {
		clock := newLoadClock()
		c.play(clock)
		if clock.state != c.load {
			t.Errorf("%s: load %v, want %v", c.name, clock.state, c.load)
		}
	}
}

func TestLimitFollowsAnswersAndRefusals(t *testing.T) {
	clock := newLoadClock()
	clock.inFlight = 8
	clock.refuse(1, "a")
	if clock.limit != 8 {
		t.Fatalf("initial limit %v, want the requests in flight", clock.limit)
	}
	clock.refuse(1, "a")
	if clock.limit != 8 {
		t.Errorf("limit %v after two refusals at the same time, want one cut", clock.limit)
	}
	clock.advance(limitCutInterval)
	clock.refuse(1, "a")
	if clock.limit != 4 {
		t.Errorf("limit %v after a refusal, want half", clock.limit)
	}
	clock.inFlight = 4
	for range 4 {
		clock.advance(time.Millisecond)
		clock.recordServed(clock.now, "a", 1)
	}
	if clock.limit <= 4 || clock.limit > 5 || clock.hasCapacity() {
		t.Errorf("limit %v after a round of responses", clock.limit)
	}
	clock.advance(recoveryTime)
	for range 4 {
		clock.recordServed(clock.now, "a", 1)
	}
	if clock.limit < 8 || !clock.hasCapacity() {
		t.Errorf("limit %v after a round of responses without recent refusals", clock.limit)
	}
}

func TestProbeIntervalGrowsUntilResponse(t *testing.T) {
	clock := newLoadClock()
	clock.refuse(1, "a")
	probes := 0
	for range 10000 {
		clock.advance(time.Millisecond)
		if clock.probeDue(clock.now) {
			probes++
			clock.recordProbe(clock.now)
			clock.refuse(1, "a")
		}
	}
	if probes < 7 || probes > 14 {
		t.Errorf("%d probes in 10 s", probes)
	}
	clock.recordServed(clock.now, "a", 0)
	if clock.interval != minProbeInterval {
		t.Errorf("interval %v after a response", clock.interval)
	}
}

func TestUnreachableBackoffGrows(t *testing.T) {
	clock := newLoadClock()
	var backoffs []string
	for range 6 {
		clock.recordRefused(clock.now, refusedSend{engine: "a", unreachable: true, engines: 4})
		began := clock.now
		for clock.backingOff(clock.now, "a") {
			clock.advance(10 * time.Millisecond)
		}
		backoffs = append(backoffs, fmt.Sprint(clock.now.Sub(began)))
	}
	if fmt.Sprint(backoffs) != "[250ms 500ms 1s 2s 3s 3s]" {
		t.Errorf("backoffs %v", backoffs)
	}
}

func TestExpectedWaitFromResponseRate(t *testing.T) {
	clock := newLoadClock()
	clock.refuse(1, "a")
	if wait := clock.expectedWait(clock.now, 0); wait > 2*minProbeInterval {
		t.Errorf("first in the queue: expected wait %v", wait)
	}
	if wait := clock.expectedWait(clock.now, 4); wait < 4*minProbeInterval {
		t.Errorf("fifth in the queue without responses: expected wait %v", wait)
	}
	for range 20 {
		clock.recordServed(clock.now, "a", 0)
	}
	if wait := clock.expectedWait(clock.now, 5); wait != 500*time.Millisecond {
		t.Errorf("sixth in the queue at 10 responses a second: expected wait %v", wait)
	}
}
