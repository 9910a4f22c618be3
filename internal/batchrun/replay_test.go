package batchrun_test

import (
	"context"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/covelink/covelink/internal/batch"
	"github.com/covelink/covelink/internal/fleet"
)

const (
	// usualPause is the interval between two events at an engine of usual speed, and slowHardware the relative speed of the slow engines.
	usualPause   = 24 * time.Millisecond
	slowHardware = 0.45
	// groupSize is the number of items of a group, and completeShare the share of its groups after which a trainer ends a job.
	groupSize     = 4
	completeShare = 0.9
)

// replay replays steps of several trainers on a large pool of engines.
type replay struct {
	*harness
	engineCount, slots int
	mu                 sync.Mutex
	steps              []time.Duration
	items              int
}

// generator returns a generator that depends on the arguments only.
func generator(parts ...any) *rand.Rand {
	hash := fnv.New64a()
	fmt.Fprint(hash, parts...)
	return rand.New(rand.NewPCG(hash.Sum64(), 1))
}

// textEvents returns the length of an item's text: log-normal with a mean of about 20 events, at most 146.
func textEvents(id string) int {
	return int(min(max(math.Exp(math.Log(13)+0.95*generator("length", id).NormFloat64()), 1), 146))
}

// expectedTokens returns the caller's estimate of an item's length, with a relative error of about 0.3.
func expectedTokens(id string) int {
	return max(int(50*float64(textEvents(id))*math.Exp(0.3*generator("estimate", id).NormFloat64())), 1)
}

// engineNumber returns the number of an engine of the replay, or -1.
func engineNumber(engine string) int {
	number, err := strconv.Atoi(strings.TrimPrefix(engine, "engine-"))
	if err != nil {
		return -1
	}
	return number
}

// isSlow reports whether an engine of the replay has slow hardware: a quarter of them.
func isSlow(engine string) bool { return engineNumber(engine)%4 == 1 }

// isNoisy reports whether other programs share an engine's machine: an eighth of the engines.
func isNoisy(engine string) bool { return engineNumber(engine)%8 == 2 }

// pauseWithNoise is the pause before an event. At three fifths of the engines the first one to six events of a step's runs take 56 to 140 ms. A noisy
// engine takes three times as long in a quarter of the periods of 0.7 s.
func pauseWithNoise(r *execution, number int64) time.Duration {
	step, _, _ := strings.Cut(strings.Replace(r.id, "-", "/", 1), "-")
	random, noisy := generator("noise", r.engine, step), int64(0)
	if random.IntN(5) < 3 {
		noisy = 1 + random.Int64N(6)
	}
	own := generator(r.engine, r.id, number)
	if number-r.from <= noisy {
		return time.Duration(56+own.IntN(84)) * time.Millisecond
	}
	pause := float64(usualPause) * (0.9 + 0.2*own.Float64())
	if isSlow(r.engine) {
		pause /= slowHardware
	}
	if isNoisy(r.engine) && generator(r.engine, time.Now().UnixMilli()/700).IntN(4) == 0 {
		pause *= 3
	}
	return time.Duration(pause)
}

func newReplay(h *harness) *replay {
	p := &replay{harness: h, engineCount: 38, slots: 6}
	h.engines.eventsOf, h.engines.pauseOf = textEvents, pauseWithNoise
	list := []*fleet.Engine{{ID: "j", Service: "judges", Slots: 64, Ready: true}}
	for i := range p.engineCount {
		list = append(list, &fleet.Engine{
			ID: fmt.Sprintf("engine-%d", i), Service: "pool", Slots: p.slots, Ready: true, Versions: map[string]int64{model: 1},
		})
	}
	h.state.SetEngineList(list)
	return p
}

// desiredGroups returns the number of groups after which a trainer ends a job.
func desiredGroups(items int) int { return int(math.Ceil(completeShare * float64(items/groupSize))) }

// step submits a job, ends it once completeShare of its groups are complete, and records the time that this took.
func (p *replay) step(name string, items int) {
	job := newJob(name, items)
	job.Desired = desiredGroups(items)
	groups := make(map[string]string)
	for i := range job.Items {
		it := &job.Items[i]
		it.Group = fmt.Sprintf("%s-group-%d", name, i/groupSize)
		it.Prefix, it.ExpectedLength = it.Group, expectedTokens(it.ID)
		groups[it.ID] = it.Group
	}
	started := time.Now()
	if err := p.runner.Submit(context.Background(), job); err != nil {
		panic(err)
	}
	for time.Since(started) < 30*time.Second && p.completeGroups(name, groups) < job.Desired {
		time.Sleep(10 * time.Millisecond)
	}
	took := time.Since(started)
	if err := p.runner.End(context.Background(), batch.Ref{ID: name}); err != nil {
		panic(err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.steps, p.items = append(p.steps, took), p.items+items
}

// completeGroups returns the number of groups of a job of which all results are listed.
func (p *replay) completeGroups(name string, groups map[string]string) int {
	listed, complete := make(map[string]int), 0
	for from := 0; ; {
		page, err := p.runner.Read(context.Background(), batch.Ref{ID: name}, from, 0)
		if err != nil {
			panic(err)
		}
		for _, result := range page.Results {
			if listed[groups[result.ID]]++; listed[groups[result.ID]] == groupSize {
				complete++
			}
		}
		if from += len(page.Results); len(page.Results) == 0 {
			return complete
		}
	}
}

// run replays rounds of steps of four trainers. Each submits a step every 4 s, or once the step before has ended.
func (p *replay) run(rounds, items int) {
	var trainers sync.WaitGroup
	for trainer := range 4 {
		trainers.Go(func() {
			time.Sleep(time.Duration(trainer) * 900 * time.Millisecond)
			for round := range rounds {
				next := time.Now().Add(4 * time.Second)
				p.step(fmt.Sprintf("t%d-%d", trainer, round), items)
				time.Sleep(time.Until(next))
			}
		})
	}
	trainers.Wait()
}

// replayFigures summarizes a replay.
type replayFigures struct {
	runsPerItem float64
	mean, p90   time.Duration
}

func (f replayFigures) String() string {
	return fmt.Sprintf("runs per item %.3f, step mean %v, p90 %v", f.runsPerItem, f.mean.Round(time.Millisecond), f.p90.Round(time.Millisecond))
}

func (p *replay) figures() replayFigures {
	p.mu.Lock()
	defer p.mu.Unlock()
	slices.Sort(p.steps)
	total := time.Duration(0)
	for _, took := range p.steps {
		total += took
	}
	p.engines.mu.Lock()
	defer p.engines.mu.Unlock()
	runs, started := 0, make(map[string]bool)
	for _, r := range p.engines.executions {
		if r.engine != "j" {
			runs++
			started[r.id] = true
		}
	}
	return replayFigures{
		runsPerItem: float64(runs) / float64(len(started)),
		mean:        total / time.Duration(len(p.steps)),
		p90:         p.steps[len(p.steps)*9/10],
	}
}
