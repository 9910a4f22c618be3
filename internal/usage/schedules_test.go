package usage

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/covelink/covelink/internal/duty"
	"github.com/covelink/covelink/internal/metastore/metastoretest"
)

const (
	// defaultSchedules is how many schedules are played unless the environment says otherwise: some seconds.
	defaultSchedules = 150
	// schedulesVariable names the environment's number, and firstSeedVariable that of the first seed.
	schedulesVariable = "COVELINK_SCHEDULES"
	firstSeedVariable = "COVELINK_FIRST_SEED"
	// scheduleSteps is how many events a schedule has.
	scheduleSteps = 25
	// maxHolders is how many processes hold the duty at most at the same time.
	maxHolders = 3
)

// TestSchedules plays schedules, each drawn from its own seed, of holders that are paused, killed and replaced while the store and the
// platform lose answers and carry calls out late, and of gateways that tell whomever they reach. Whatever happens, the platform sees one
// report a window, no lower token after a higher one, and no holders by turns.
func TestSchedules(t *testing.T) {
	count, first := numberFrom(t, schedulesVariable, defaultSchedules), numberFrom(t, firstSeedVariable, 1)
	for seed := first; seed < first+count; seed++ {
		synctest.Test(t, func(t *testing.T) {
			s := newSchedule(uint64(seed))
			s.run()
			for _, broken := range s.platform.brokenPromises() {
				t.Errorf("seed %d: %s", seed, broken)
			}
			for window := s.ledgerBegan(t); window < thisWindow()-4; window++ {
				if _, ok := s.platform.reported(window); !ok {
					t.Errorf("seed %d: window %d never reported", seed, window)
				}
			}
		})
		if t.Failed() {
			return
		}
	}
}

func numberFrom(t *testing.T, variable string, otherwise int) int {
	t.Helper()
	text := os.Getenv(variable)
	if text == "" {
		return otherwise
	}
	number, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("%s: %v", variable, err)
	}
	return number
}

// schedule is one play.
type schedule struct {
	random *rand.Rand
	// platformRandom draws what the platform answers. The platform's mutex guards it.
	platformRandom *rand.Rand

	store    *metastoretest.Store
	platform *fakePlatform
	holders  []*holder
	gateways []*gateway
	token    int64
	// names counts the starts of processes, of which two may bear one name.
	names int
	// platformFault is the share of calls that the platform does not answer as it should.
	platformFault float64
}

func newSchedule(seed uint64) *schedule {
	s := &schedule{
		random: rand.New(rand.NewPCG(seed, 0)),

		platformRandom: rand.New(rand.NewPCG(seed, 1)),

		store:    metastoretest.New(),
		platform: newFakePlatform(),
	}
	s.platform.fail = s.platformFails
	s.platform.travel = s.travelTime
	for range 2 {
		s.gateways = append(s.gateways, startGateway(s.store.Client()))
	}
	return s
}

// platformFails chooses how the platform answers. The platform's mutex is held.
func (s *schedule) platformFails(Report) error {
	if s.platformRandom.Float64() >= s.platformFault {
		return nil
	}
	return []error{duty.ErrNotSent, duty.ErrUnanswered, &duty.RefusedError{Status: 429}}[s.platformRandom.IntN(3)]
}

// travelTime draws how long a call is on its way: some are held up as long as can be.
func (s *schedule) travelTime(latest time.Duration) time.Duration {
	s.platform.mu.Lock()
	defer s.platform.mu.Unlock()
	if s.platformRandom.Float64() >= s.platformFault {
		return 0
	}
	return time.Duration(s.platformRandom.Int64N(int64(latest) + 1))
}

func (s *schedule) run() {
	s.replace()
	for range scheduleSteps {
		s.step()
		time.Sleep(time.Duration(s.random.IntN(2500)) * time.Millisecond)
	}
	// In the end all faults are over and one holder is left.
	s.platform.mu.Lock()
	s.platformFault = 0
	s.platform.mu.Unlock()
	s.replace()
	time.Sleep(leaseLength + 4*windowLength + reportDue)
	for _, g := range s.gateways {
		g.stop()
	}
	for _, h := range s.holders {
		h.kill()
	}
	time.Sleep(2 * metastoretest.LateBy)
}

// step does one thing that may happen.
func (s *schedule) step() {
	switch s.random.IntN(8) {
	case 0:
		s.replace()
	case 1:
		s.disturb(s.anyHolder())
	case 2:
		s.heal(s.anyHolder())
	case 3:
		s.platform.mu.Lock()
		s.platformFault = s.random.Float64()
		s.platform.mu.Unlock()
	case 4:
		g := s.gateways[s.random.IntN(len(s.gateways))]
		g.follow(s.anyHolder(), s.token)
	default:
		g := s.gateways[s.random.IntN(len(s.gateways))]
		g.began(fmt.Sprint("tenant-", s.random.IntN(3)), 1+s.random.IntN(5))
	}
}

// ledgerBegan returns the first window that is to be reported: that of the first term that could write.
func (s *schedule) ledgerBegan(t *testing.T) Window {
	t.Helper()
	object, err := s.store.Client().Get(t.Context(), KindLedgers, ledgerName)
	if err != nil {
		t.Fatal(err)
	}
	kept, _, err := decodeLedger(object.Spec)
	if err != nil {
		t.Fatal(err)
	}
	return kept.first
}

func (s *schedule) anyHolder() *holder { return s.holders[s.random.IntN(len(s.holders))] }

// replace begins a new term, while holders of earlier terms may still believe that they hold the duty.
func (s *schedule) replace() {
	if len(s.holders) == maxHolders {
		s.holders[0].kill()
		s.holders = s.holders[1:]
	}
	s.token++
	s.names++
	h := lead(s.store, s.platform, fmt.Sprint("holder-", s.names%maxHolders), s.token)
	s.holders = append(s.holders, h)
	for _, g := range s.gateways {
		g.follow(h, s.token)
	}
}

// disturb makes calls of a holder to the store fail now and then, or all of them.
func (s *schedule) disturb(h *holder) {
	share := s.random.Float64() * 1.3
	random := rand.New(rand.NewPCG(s.random.Uint64(), 0))
	faults := []metastoretest.Fault{metastoretest.Refused, metastoretest.AnswerLost, metastoretest.Late, metastoretest.Silent}
	var mu sync.Mutex
	h.setFault(func(string, string, bool) metastoretest.Fault {
		mu.Lock()
		defer mu.Unlock()
		if random.Float64() >= share {
			return metastoretest.None
		}
		return faults[random.IntN(len(faults))]
	})
}

func (s *schedule) heal(h *holder) { h.setFault(nil) }
