package rollout

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	v1 "github.com/covelink/covelink/api/v1"
)

func grouped(groups, size int) []v1.SampleRequest {
	var samples []v1.SampleRequest
	for group := range groups {
		for range size {
			samples = append(samples, v1.SampleRequest{Group: fmt.Sprintf("g%d", group)})
		}
	}
	return samples
}

func TestOwnerProbesGroups(t *testing.T) {
	Convey("One sample of each group starts first, and then the group that runs longest", t, func() {
		config := benchConfig()
		config.MaxInFlight = 4
		b := newBench(config)
		b.state(1)
		b.put("b", grouped(4, 3)...)
		starts, _ := b.act()
		for group, start := range starts {
			So(start.Identity.Index, ShouldEqual, 3*group)
		}
		b.progress(starts[2], 1, "engine", 300)
		b.finish(starts[0], 1, 20)
		b.finish(starts[1], 1, 40)
		b.time = b.time.Add(resortInterval)
		next, _ := b.act()
		So(len(next), ShouldEqual, 2)
		So(next[0].Identity.Index, ShouldEqual, 7)
		So(next[1].Identity.Index, ShouldEqual, 8)
	})
}

func TestOwnerStartsNoMoreThanFillTheSlots(t *testing.T) {
	Convey("No more attempts wait for their first token than the window holds", t, func() {
		config := benchConfig()
		config.MaxInFlight, config.MaxBatchSamples = 1000, 1000
		b := newBench(config)
		b.state(1)
		b.put("b", grouped(500, 1)...)
		starts, _ := b.act()
		So(len(starts), ShouldEqual, minWindow)
		for _, start := range starts {
			b.progress(start, 1, "engine", 1)
		}
		more, _ := b.act()
		So(len(more), ShouldEqual, minWindow)
	})
}

func TestOwnerDoesNotRunTooFarAhead(t *testing.T) {
	Convey("Given a trainer that moves on every 40 samples, with a bound of 1", t, func() {
		config := benchConfig()
		config.MaxInFlight, config.MaxBatchSamples = 1000, 1000
		b := newBench(config)
		b.state(1)
		b.put("first", grouped(80, 1)...)
		b.put("second", grouped(200, 1)...)
		cursor, version := int64(0), int64(1)
		run := func() (started int) {
			for {
				starts, _ := b.act()
				if len(starts) == 0 {
					return started
				}
				for _, start := range starts {
					b.finish(start, version, 10)
					started++
				}
			}
		}
		take := func(batch string, samples int) {
			response, _, err := b.Fetch(b.time, batch, v1.FetchRequest{After: cursor, Version: version, Limit: samples})
			So(err, ShouldBeNil)
			So(len(response.Samples), ShouldEqual, samples)
			cursor = response.Next
		}
		b.state(2)
		version = 2
		So(run(), ShouldBeGreaterThan, 0)
		take("first", 40)
		b.state(3)
		version = 3
		b.time = b.time.Add(time.Second)
		started := run()
		take("first", 40)

		Convey("a later batch waits until the trainer can take its samples in time", func() {
			b.state(4)
			version = 4
			b.time = b.time.Add(time.Second)
			b.put("third", grouped(200, 1)...)
			cursor = 0
			started += run()
			So(len(b.ready["third"]), ShouldEqual, 0)
			So(len(b.ready["second"]), ShouldBeGreaterThan, 0)
		})
		Convey("the batch that the trainer fetches from goes on in any case", func() {
			b.put("third", grouped(200, 1)...)
			cursor = 0
			_, _, err := b.Fetch(b.time, "third", v1.FetchRequest{Version: version})
			So(err, ShouldBeNil)
			run()
			So(len(b.ready["third"]), ShouldBeGreaterThan, 0)
		})
	})
}

func TestOwnerHandsOverTheOldestFirst(t *testing.T) {
	Convey("Samples of the oldest version are handed over first", t, func() {
		b := newBench(benchConfig())
		b.state(2)
		b.put("b", grouped(3, 1)...)
		starts, _ := b.act()
		b.finish(starts[0], 2, 5)
		b.finish(starts[1], 1, 5)
		b.finish(starts[2], 2, 5)
		response, _, err := b.Fetch(b.time, "b", v1.FetchRequest{Version: 2})
		So(err, ShouldBeNil)
		So(response.Samples[0].Index, ShouldEqual, 1)
		So(response.Samples[1].Index, ShouldEqual, 0)
	})
}

func TestOwnerHedgesBySpeed(t *testing.T) {
	Convey("Given attempts at 100 tokens a second", t, func() {
		config := benchConfig()
		config.MaxInFlight = 10
		b := newBench(config)
		b.state(1)
		b.put("b", grouped(3, 1)...)
		starts, _ := b.act()
		for _, start := range starts {
			b.progress(start, 1, "engine", 1)
		}
		b.time = b.time.Add(time.Second)
		b.finish(starts[0], 1, 100)
		more := func(start Start, from, tokens int) {
			again := start
			again.Task.Resume = make([]string, from)
			b.progress(again, 1, "engine", tokens)
		}
		Convey("a long one that runs as fast is not hedged", func() {
			for second := range 5 {
				more(starts[1], 1+100*second, 100)
				more(starts[2], 1+100*second, 100)
				b.time = b.time.Add(time.Second)
				hedges, _ := b.act()
				So(hedges, ShouldBeEmpty)
			}
		})
		Convey("a slow one and a silent one are", func() {
			more(starts[1], 1, 100)
			more(starts[2], 1, 20)
			b.time = b.time.Add(900 * time.Millisecond)
			hedges, _ := b.act()
			So(len(hedges), ShouldEqual, 1)
			So(hedges[0].Identity, ShouldResemble, starts[2].Identity)
			b.time = b.time.Add(hedgeSilence)
			hedges, _ = b.act()
			So(len(hedges), ShouldEqual, 1)
			So(hedges[0].Identity, ShouldResemble, starts[1].Identity)
		})
	})
}
