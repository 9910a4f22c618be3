package lease

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// TestMain fixes the schedules, so that every run gives the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		if err := flag.Set("rapid.seed", "17"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
	}
	os.Exit(m.Run())
}

const (
	faultyLengths = 12
	// calmLengths is by when a lease must be held again once faults have stopped.
	calmLengths = 6
)

// faults says what may happen in a schedule.
type faults struct {
	restarts, wallJumps, suspensions bool
	fastClocks                       bool
}

// schedule runs a simulation, in which outsiders campaign beside the voters, with faults drawn from the source, then without, and returns what broke.
func schedule(seed uint64, voters, outsiders int, allowed faults, tune func(*Config)) error {
	s := newSimulation(seed, voters, "a", "b")
	s.addOutsiders(outsiders)
	s.checkTokens = !allowed.restarts || !allowed.wallJumps
	if tune != nil {
		s.tune = tune
	}
	source := rand.New(rand.NewPCG(seed, 3))
	if allowed.fastClocks {
		for _, p := range s.processes {
			p.rate = 1 + (source.Float64()*2-1)*DefaultDrift
		}
	}
	s.start()
	s.loss = source.Float64() * 0.3
	s.repetition = source.Float64() * 0.3
	s.delay = time.Duration(1 + source.Int64N(int64(simLength/2)))
	for end := s.now + faultyLengths*simLength; s.now < end && s.failure == nil; {
		s.disturb(source, allowed)
		s.run(time.Duration(1 + source.Int64N(int64(simLength/4))))
	}
	s.recover()
	return s.failure
}

// disturb does one random harm to one random process.
func (s *simulation) disturb(source *rand.Rand, allowed faults) {
	p := s.processes[source.IntN(len(s.processes))]
	length := time.Duration(source.Int64N(int64(2 * simLength)))
	switch source.IntN(6) {
	case 0:
		p.pausedUntil = max(p.pausedUntil, s.now+length)
	case 1:
		if allowed.restarts {
			s.crash(p)
		}
		if allowed.restarts && source.IntN(2) == 0 {
			s.boot(p)
		}
	case 2:
		if p.down {
			s.boot(p)
		}
	case 3:
		if allowed.wallJumps {
			p.wallOffset += time.Duration(source.Int64N(int64(20*simLength))) - 10*simLength
		}
	case 4:
		if allowed.suspensions && !p.down {
			s.suspend(p, length)
		}
	case 5:
		s.send(p, p.candidate.Withdraw("a", ""))
		p.candidate.Campaign(s.clock(p), "a", p.ranks["a"])
		delete(p.holds, "a")
	}
}

// recover stops all faults and makes sure that every lease is held before long.
func (s *simulation) recover() {
	s.loss, s.repetition, s.delay = 0, 0, time.Millisecond
	for _, p := range s.processes {
		if p.down {
			s.boot(p)
		}
	}
	s.run(calmLengths * simLength)
	for _, name := range s.names {
		if s.failure == nil && len(s.holders(name)) != 1 {
			s.fail("%s is held by %v after %d calm lease lengths", name, s.holders(name), calmLengths)
		}
	}
}

// kinds of schedules. Suspended machines whose wall clocks are set back are beyond the guarantee, and so is the growth of
// tokens when voters restart while wall clocks jump: there a guard's feedback is what makes them grow.
var kinds = map[string]faults{
	"restarts and suspensions": {restarts: true, suspensions: true, fastClocks: true},
	"jumps of the wall clock":  {wallJumps: true, fastClocks: true},
	"restarts and jumps":       {restarts: true, wallJumps: true, fastClocks: true},
}

func TestSchedules(t *testing.T) {
	for name, allowed := range kinds {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				seed := rapid.Uint64().Draw(t, "seed")
				voters := rapid.SampledFrom([]int{3, 5}).Draw(t, "voters")
				outsiders := rapid.IntRange(0, 2).Draw(t, "outsiders")
				if err := schedule(seed, voters, outsiders, allowed, nil); err != nil {
					t.Fatal(err)
				}
			})
		})
	}
}

// brokenSeeds is how many schedules the checker is given to find a broken variant.
const brokenSeeds = 200

func caught(allowed faults, tune func(*Config)) bool {
	for seed := range uint64(brokenSeeds) {
		if schedule(seed, 3, 0, allowed, tune) != nil {
			return true
		}
	}
	return false
}

func TestCheckerCatchesBrokenGuards(t *testing.T) {
	Convey("A voter that does not abstain after a restart", t, func() {
		So(caught(kinds["restarts and suspensions"], func(c *Config) { c.testBreakNoAbstention = true }), ShouldBeTrue)
	})
	Convey("A lease measured from the reply", t, func() {
		So(caught(kinds["restarts and suspensions"], func(c *Config) { c.testBreakMeasureFromReply = true }), ShouldBeTrue)
	})
	Convey("Half of the voters taken for a majority", t, func() {
		So(caught(kinds["restarts and suspensions"], func(c *Config) { c.testBreakHalfMajority = true }), ShouldBeTrue)
	})
	Convey("Tokens from the clock alone", t, func() {
		So(caught(kinds["jumps of the wall clock"], func(c *Config) { c.testBreakTokenFromClock = true }), ShouldBeTrue)
	})
}
