package forward

import (
	"fmt"
	"testing"
	"time"
)

// loadClock gives a serviceLoad its times.
type loadClock struct {
	*serviceLoad
	now time.Time
}

func newLoadClock() *loadClock {
	now := time.Unix(1000, 0)
	return &loadClock{serviceLoad: newServiceLoad(now), now: now}
}

func (c *loadClock) pass(length time.Duration) { c.now = c.now.Add(length) }

func (c *loadClock) refuse(engines int, ids ...string) {
	for _, id := range ids {
		c.noteRefused(c.now, refusedSend{engine: id, engines: engines})
	}
}

func TestLoadIsTakenFromRefusals(t *testing.T) {
	for _, c := range []struct {
		name string
		play func(c *loadClock)
		load Load
	}{
		{"nothing known", func(*loadClock) {}, LoadWell},
		{"half of the engines refuse", func(c *loadClock) { c.refuse(4, "a", "b") }, LoadWell},
		{"most refuse", func(c *loadClock) { c.refuse(4, "a", "b", "c") }, LoadFull},
		{"most refuse, but not lately", func(c *loadClock) { c.refuse(4, "a", "b"); c.pass(2 * recently); c.refuse(4, "c") }, LoadWell},
		{"one of them answered since", func(c *loadClock) { c.refuse(4, "a", "b"); c.noteServed(c.now, "a", 0); c.refuse(4, "c") }, LoadWell},
		{"all that a request may go to refuse", func(c *loadClock) { c.noteRefused(c.now, refusedSend{engine: "a", exhausted: true, engines: 4}) }, LoadFull},
		{"none can be reached", func(c *loadClock) { c.noteRefused(c.now, refusedSend{engine: "a", unreachable: true, engines: 1}) }, LoadDown},
		{"answers without a refusal for a while", func(c *loadClock) {
			c.refuse(1, "a")
			c.pass(wellAfter)
			c.noteServed(c.now, "a", 0)
		}, LoadWell},
		{"an answer soon after a refusal", func(c *loadClock) {
			c.refuse(1, "a")
			c.pass(wellAfter / 2)
			c.noteServed(c.now, "a", 0)
		}, LoadFull},
		{"answers while requests wait", func(c *loadClock) {
			c.refuse(1, "a")
			c.pass(wellAfter)
			c.noteServed(c.now, "a", 3)
		}, LoadFull},
		{"no engine can be asked", func(c *loadClock) { c.noteNoCapacity(c.now) }, LoadFull},
	} {
		clock := newLoadClock()
		c.play(clock)
		if clock.load != c.load {
			t.Errorf("%s: %v, not %v", c.name, clock.load, c.load)
		}
	}
}

func TestLimitFollowsAnswersAndRefusals(t *testing.T) {
	clock := newLoadClock()
	clock.inFlight = 8
	clock.refuse(1, "a")
	if clock.limit != 8 {
		t.Fatalf("limit %v at first, not what still succeeds", clock.limit)
	}
	clock.refuse(1, "a")
	if clock.limit != 8 {
		t.Errorf("limit %v after a second refusal of the same moment", clock.limit)
	}
	clock.pass(cutPause)
	clock.refuse(1, "a")
	if clock.limit != 4 {
		t.Errorf("limit %v after a refusal, not halved", clock.limit)
	}
	clock.inFlight = 4
	for range 4 {
		clock.pass(time.Millisecond)
		clock.noteServed(clock.now, "a", 1)
	}
	if clock.limit <= 4 || clock.limit > 5 || clock.hasCapacity() {
		t.Errorf("limit %v after a round of answers", clock.limit)
	}
	clock.pass(wellAfter)
	for range 4 {
		clock.noteServed(clock.now, "a", 1)
	}
	if clock.limit < 8 || !clock.hasCapacity() {
		t.Errorf("limit %v after a round of answers without refusals for a while", clock.limit)
	}
}

func TestProbesGetRarerUntilAnAnswer(t *testing.T) {
	clock := newLoadClock()
	clock.refuse(1, "a")
	probes := 0
	for range 10000 {
		clock.pass(time.Millisecond)
		if clock.probeDue(clock.now) {
			probes++
			clock.noteProbe(clock.now)
			clock.refuse(1, "a")
		}
	}
	if probes < 7 || probes > 14 {
		t.Errorf("%d probes in 10 s", probes)
	}
	clock.noteServed(clock.now, "a", 0)
	if clock.interval != firstProbe {
		t.Errorf("interval %v after an answer", clock.interval)
	}
}

func TestEngineThatCannotBeReachedIsLeftAloneLonger(t *testing.T) {
	clock := newLoadClock()
	var lives []string
	for range 6 {
		clock.noteRefused(clock.now, refusedSend{engine: "a", unreachable: true, engines: 4})
		began := clock.now
		for clock.knownFull(clock.now, "a") {
			clock.pass(10 * time.Millisecond)
		}
		lives = append(lives, fmt.Sprint(clock.now.Sub(began)))
	}
	if fmt.Sprint(lives) != "[250ms 500ms 1s 2s 3s 3s]" {
		t.Errorf("left alone for %v", lives)
	}
}

func TestTurnIsToldFromTheRate(t *testing.T) {
	clock := newLoadClock()
	clock.refuse(1, "a")
	if wait := clock.turnAfter(clock.now, 0); wait > 2*firstProbe {
		t.Errorf("the first that waits: %v", wait)
	}
	if wait := clock.turnAfter(clock.now, 4); wait < 4*firstProbe {
		t.Errorf("the fifth of a service that does not answer: %v", wait)
	}
	for range 20 {
		clock.noteServed(clock.now, "a", 0)
	}
	if wait := clock.turnAfter(clock.now, 5); wait != 500*time.Millisecond {
		t.Errorf("the sixth of a service that answers 10 a second: %v", wait)
	}
}
