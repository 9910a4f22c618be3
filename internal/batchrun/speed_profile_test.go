package batchrun

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// profileClock feeds a profile with events at a constant pace.
type profileClock struct {
	profile speedProfile
	now     time.Time
}

const usualInterval = 24 * time.Millisecond

func (c *profileClock) run(interval, duration time.Duration) {
	for end := c.now.Add(duration); c.now.Before(end); {
		c.now = c.now.Add(interval)
		c.profile.observe(interval, 1, false, usualInterval, c.now)
	}
}

func (c *profileClock) estimate() time.Duration { return c.profile.estimate(usualInterval, c.now) }
func (c *profileClock) settled() time.Duration  { return c.profile.settled(usualInterval, c.now) }

func newProfileClock() *profileClock { return &profileClock{now: time.Unix(1000, 0)} }

func TestSpeedProfile(t *testing.T) {
	between := func(actual, low, high time.Duration) {
		So(actual, ShouldBeBetweenOrEqual, low, high)
	}
	Convey("An engine without observations has the fleet's pace", t, func() {
		So(newProfileClock().estimate(), ShouldEqual, usualInterval)
		So(newProfileClock().profile.weight(time.Unix(1000, 0)), ShouldEqual, 0.0)
	})
	Convey("One event is weak evidence; the estimate approaches the observed pace with more", t, func() {
		c := newProfileClock()
		c.run(72*time.Millisecond, 72*time.Millisecond)
		first := c.estimate()
		between(first, usualInterval, 40*time.Millisecond)
		c.run(72*time.Millisecond, 500*time.Millisecond)
		So(c.estimate(), ShouldBeGreaterThan, first)
		c.run(72*time.Millisecond, 5*time.Second)
		between(c.estimate(), 68*time.Millisecond, 72*time.Millisecond)
	})
	// Guards against engines that count as slow hardware because of the pauses at the start of each step.
	Convey("Pauses at the start of a step pass, and the lasting part ignores them", t, func() {
		c := newProfileClock()
		for range 8 {
			for range 6 {
				c.now = c.now.Add(100 * time.Millisecond)
				c.profile.observe(100*time.Millisecond, 1, true, usualInterval, c.now)
			}
			c.run(usualInterval, 3*time.Second)
		}
		So(c.settled(), ShouldEqual, usualInterval)
		between(c.estimate(), usualInterval, 25*time.Millisecond)
	})
	Convey("A fault of 8 s shows within a second, and does not count as slow hardware", t, func() {
		c := newProfileClock()
		c.run(usualInterval, 12*time.Second)
		c.run(84*time.Millisecond, time.Second)
		between(c.estimate(), 60*time.Millisecond, 84*time.Millisecond)
		c.run(84*time.Millisecond, 7*time.Second)
		between(c.settled(), usualInterval, 26*time.Millisecond)
		Convey("without events the estimate returns to the lasting part", func() {
			c.now = c.now.Add(10 * time.Second)
			between(c.estimate(), usualInterval, 27*time.Millisecond)
		})
	})
	Convey("Slow hardware stays slow after a pause of half a minute", t, func() {
		c := newProfileClock()
		c.run(53*time.Millisecond, 10*time.Second)
		c.now = c.now.Add(30 * time.Second)
		between(c.estimate(), 48*time.Millisecond, 53*time.Millisecond)
	})
	// Guards against a stale profile that keeps an engine from work, or attracts long items, long after its last event.
	Convey("A stale profile loses weight toward the fleet's pace", t, func() {
		c := newProfileClock()
		c.run(53*time.Millisecond, 20*time.Second)
		c.now = c.now.Add(5 * time.Minute)
		between(c.estimate(), usualInterval, 30*time.Millisecond)
		So(c.profile.weight(c.now), ShouldBeLessThan, lastingPrior)
		Convey("and periods older than periodTTL do not return with the next event", func() {
			c.run(usualInterval, 3*time.Second)
			between(c.settled(), usualInterval, 25*time.Millisecond)
		})
	})
	Convey("Half of the periods may be noisy", t, func() {
		c := newProfileClock()
		for range 16 {
			c.run(usualInterval, time.Second)
			c.run(60*time.Millisecond, time.Second)
		}
		between(c.settled(), usualInterval, 27*time.Millisecond)
	})
}

// newRecords returns engines of one fleet.
func newRecords(count, slots int) (records []*engineRecord) {
	fleet := &fleetInterval{}
	for range count {
		records = append(records, &engineRecord{slots: slots, fleetInterval: fleet, prefixes: make(map[string]struct{})})
	}
	return records
}

// observeBeside adds events of a run beside others, at an engine whose interval grows with company.
func observeBeside(record *engineRecord, alone time.Duration, load float64, others, events int, now time.Time) time.Time {
	for range events {
		interval := time.Duration(float64(alone) * (1 + load*float64(others)/float64(record.slots)))
		now = now.Add(interval)
		record.running = others + 1
		record.fleetInterval.observe(interval, record.companyOf(others))
		record.observeInterval(interval, 1, false, now)
	}
	return now
}

func TestCompany(t *testing.T) {
	start := time.Unix(1000, 0)
	Convey("Without observations company counts as loadFactor", t, func() {
		So((&companyEffect{}).factor(), ShouldEqual, loadFactor)
	})
	// Guards against items that follow each other to whichever engine happens to be empty.
	Convey("An engine that looks fast because it is empty is judged by its pace with company", t, func() {
		records, now := newRecords(3, 6), start
		for range 20 {
			for others := range 6 {
				now = observeBeside(records[0], usualInterval, 0.8, others, 20, now)
			}
		}
		So(records[0].fleetInterval.company.factor(), ShouldBeBetween, 0.35, 0.9)
		now = observeBeside(records[1], usualInterval, 0.8, 0, 200, now)
		now = observeBeside(records[2], usualInterval, 0.8, 4, 200, now)
		empty, full := records[1].intervalBeside(5, now), records[2].intervalBeside(5, now)
		So(empty.Seconds()/full.Seconds(), ShouldBeBetween, 0.8, 1.15)
		records[1].running = 0
		So(records[1].cost("", now), ShouldBeLessThan, records[2].cost("", now))
	})
	Convey("The speed of engines is not taken for an effect of company", t, func() {
		records, now := newRecords(2, 6), start
		for range 10 {
			now = observeBeside(records[0], usualInterval, 0, 1, 50, now)
			now = observeBeside(records[1], 53*time.Millisecond, 0, 4, 50, now)
		}
		So(records[0].fleetInterval.company.factor(), ShouldAlmostEqual, loadFactor, 0.01)
		So(records[1].settledInterval(now).Seconds()/records[0].settledInterval(now).Seconds(), ShouldBeBetween, 1.7, 2.3)
	})
	Convey("Company that has no effect counts as minLoadFactor, so that items spread", t, func() {
		records, now := newRecords(1, 6), start
		for range 20 {
			for others := range 6 {
				now = observeBeside(records[0], usualInterval, 0, others, 20, now)
			}
		}
		So(records[0].fleetInterval.company.factor(), ShouldEqual, minLoadFactor)
	})
}
