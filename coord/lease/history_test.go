package lease

import (
	"testing"

	"github.com/anishathalye/porcupine"
	. "github.com/smartystreets/goconvey/convey"
)

// turn is one operation on a lock: a process takes it or has given it up.
type turn struct {
	process int
	taken   bool
}

// free is the state of a lock that nobody has.
const free = -1

// lock is a register of who has the lock; it can only be taken while free and given up by who has it.
var lock = porcupine.Model{
	Init: func() any { return free },
	Step: func(state, input, _ any) (bool, any) {
		holder, next := state.(int), input.(turn)
		if next.taken {
			return holder == free, next.process
		}
		return holder == next.process, free
	},
}

// history runs a faulty schedule and returns when each process began and ceased to hold the lease, as the process
// itself would see it if it looked at every moment.
func history(seed uint64, tune func(*Config)) []porcupine.Operation {
	s := newSimulation(seed, 3, "a")
	s.tune = tune
	s.loss, s.repetition, s.delay = 0.2, 0.2, simLength/4
	s.start()
	holds := make([]bool, len(s.processes))
	var operations []porcupine.Operation
	for step := 0; step < 6000; step++ {
		if step%701 == 0 {
			p := s.processes[s.rand.IntN(len(s.processes))]
			s.crash(p)
			s.boot(p)
		}
		s.run(simStep)
		s.failure = nil // porcupine judges here
		for index, p := range s.processes {
			_, now := p.candidate.Held(s.clock(p), "a")
			if now != holds[index] {
				operations = append(operations, porcupine.Operation{
					ClientId: index, Input: turn{index, now}, Call: int64(s.now - simStep), Return: int64(s.now) - 1,
				})
			}
			holds[index] = now
		}
	}
	return operations
}

func TestHistoryIsThatOfALock(t *testing.T) {
	Convey("Acquiring and giving up fit one lock in every schedule", t, func() {
		for seed := range uint64(20) {
			operations := history(seed, func(*Config) {})
			So(len(operations), ShouldBeGreaterThan, 2)
			So(porcupine.CheckOperations(lock, operations), ShouldBeTrue)
		}
	})
	Convey("The check notices half of the voters taken for a majority", t, func() {
		fits := true
		for seed := uint64(0); seed < 20 && fits; seed++ {
			fits = porcupine.CheckOperations(lock, history(seed, func(c *Config) { c.testBreakHalfMajority = true }))
		}
		So(fits, ShouldBeFalse)
	})
}
