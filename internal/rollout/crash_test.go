package rollout

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/dispatch"
	"github.com/covelink/covelink/internal/leadership"
)

const (
	simSeeds   = 600
	simSamples = 8
	simBound   = 1
	simLast    = 12 // the trainer's last version
	simSteps   = 20000
)

var errCrash = errors.New("the owner crashed")

// sim drives an owner over a memory log with a trainer that follows the delivery contract, losing replies, repeating
// requests and crashing the owner before or after any append.
type sim struct {
	t      *testing.T
	random *rand.Rand
	logs   *MemoryLogs
	store  Log
	owner  *Owner
	now    time.Time
	token  uint64

	running []Start // attempts on engines, those of crashed owners included
	started map[attemptKey]bool

	version  int64
	cursor   int64
	acked    int64
	consumed map[int]int
	old      []v1.FetchRequest
	calm     bool // no more faults, so that the run ends
	done     bool

	crashes, conflicts, moved int
}

func (s *sim) config() Config {
	return Config{
		Pool: "pool", Bound: simBound, MaxInFlight: 6, MaxTokens: 16,
		MaxBatchSamples: 100, MaxFetchBytes: 200, Replicas: []string{"node"},
	}
}

func (s *sim) chance(percent int) bool { return !s.calm && s.random.IntN(100) < percent }

// recover starts the next owner, which may crash as well.
func (s *sim) recover() {
	for s.owner == nil {
		s.token++
		term := leadership.Term{Name: "trainer/t", Token: s.token}
		store, err := s.logs.Open(context.Background(), term.Name, term, nil)
		s.must(err)
		ledger, err := recoverLedger(context.Background(), store, "t")
		s.must(err)
		owner, err := NewOwner(s.now, ledger, term.Token, s.config(), NewMetrics(nil))
		s.must(err)
		s.owner, s.store = owner, store
		_ = s.settle()
	}
}

func (s *sim) must(err error) {
	s.t.Helper()
	if err != nil {
		s.t.Fatal(err)
	}
}

// settle makes the owner's decisions durable and carries them out. errCrash: the owner is gone, its caller gets no answer.
func (s *sim) settle() error {
	s.owner.Schedule(s.now)
	if s.chance(4) {
		return s.crash()
	}
	actions := s.owner.Actions()
	for _, action := range actions {
		switch a := action.(type) {
		case Append:
			s.must(s.store.Append(context.Background(), a.Entries))
			if s.chance(4) {
				return s.crash()
			}
		case Start:
			key := attemptKey{identity: a.Identity, number: a.Attempt}
			if s.started[key] {
				s.t.Fatalf("attempt %d of %s was started before", a.Attempt, a.Identity)
			}
			s.started[key] = true
			s.running = append(s.running, a)
		}
	}
	if s.chance(3) {
		snapshot, err := s.owner.Ledger().Snapshot()
		s.must(err)
		s.must(s.store.Truncate(context.Background(), snapshot))
	}
	return nil
}

func (s *sim) crash() error {
	s.owner = nil
	s.crashes++
	return errCrash
}

// answerOf is the whole answer of a sample.
func answerOf(index int) []string {
	tokens := make([]string, 3+index)
	for i := range tokens {
		tokens[i] = fmt.Sprintf("%d.%d ", index, i)
	}
	return tokens
}

func (s *sim) engineVersion() int64 {
	if s.calm {
		return s.version
	}
	return max(1, s.version-int64(s.random.IntN(3)))
}

// attemptStep lets one attempt progress or finish; the attempts of crashed owners do so as well.
func (s *sim) attemptStep() {
	if len(s.running) == 0 {
		return
	}
	pick := s.random.IntN(len(s.running))
	a := s.running[pick]
	whole := answerOf(a.Identity.Index)
	from := len(a.Task.Resume)
	segment := v1.Segment{Version: s.engineVersion(), Engine: "engine", FirstToken: from}
	left := whole[from:] // nothing, when an attempt that had told every token but not its end was hedged
	if len(left) > 0 && s.chance(40) {
		s.owner.Progress(s.now, a.Identity, a.Attempt, dispatch.Progress{
			Index: from, Tokens: left[:1], Version: segment.Version, Engine: segment.Engine,
		})
		_ = s.settle()
		return
	}
	if !s.chance(15) { // else the result comes twice
		s.running = append(s.running[:pick], s.running[pick+1:]...)
	}
	result := dispatch.Result{Outcome: v1.OutcomeCompleted, FinishReason: "stop", Tokens: whole}
	segment.Tokens = len(left)
	switch {
	case s.chance(10):
		told := min(1, len(left))
		result.Outcome, result.Tokens = v1.OutcomeUnknown, whole[:from+told]
		segment.Tokens = told
	case s.chance(5):
		segment.Version = 0 // unstamped
	case s.chance(5):
		result = dispatch.Result{Outcome: v1.OutcomeNotRun, Tokens: a.Task.Resume, Segments: a.Task.ResumeSegments}
		s.finish(a, result)
		return
	}
	result.Segments = append([]v1.Segment(nil), a.Task.ResumeSegments...)
	if segment.Tokens > 0 {
		result.Segments = append(result.Segments, segment)
	}
	s.finish(a, result)
}

func (s *sim) finish(a Start, result dispatch.Result) {
	s.owner.Finished(s.now, a.Identity, a.Attempt, result)
	_ = s.settle()
}

// fetch is one fetch of the trainer, consumed if the reply arrives.
func (s *sim) fetch() {
	request := v1.FetchRequest{After: s.cursor, Version: s.version, Limit: 1 + s.random.IntN(4)}
	s.old = append(s.old, request)
	response, ready, err := s.owner.Fetch(s.now, "b", request)
	if s.settle() != nil || !ready || s.chance(20) {
		return // lost, or nothing yet
	}
	s.must(err)
	for _, sample := range response.Samples {
		s.check(sample)
	}
	if s.chance(15) {
		return // the trainer crashed before it moved its cursor
	}
	for _, sample := range response.Samples {
		s.consumed[sample.Index]++
		if s.consumed[sample.Index] > 1 {
			s.t.Fatalf("sample %d consumed twice", sample.Index)
		}
	}
	s.cursor = response.Next
	s.done = response.Done
}

func (s *sim) check(sample v1.Sample) {
	s.t.Helper()
	if sample.Position <= s.cursor {
		s.t.Fatalf("position %d at cursor %d", sample.Position, s.cursor)
	}
	if stale := s.version - sample.OldestVersion(); stale > simBound {
		s.t.Fatalf("sample %d is %d versions old", sample.Index, stale)
	}
	if sample.Text != joinTokens(answerOf(sample.Index)) || !covers(sample.Segments, sample.Tokens) {
		s.t.Fatalf("sample %d is not whole: %+v", sample.Index, sample)
	}
}

// repeatOld lets a late copy of an earlier fetch arrive, whose reply nobody reads.
func (s *sim) repeatOld() {
	if len(s.old) == 0 || s.calm {
		return
	}
	if _, _, err := s.owner.Fetch(s.now, "b", s.old[s.random.IntN(len(s.old))]); err != nil {
		s.conflicts++
	}
	_ = s.settle()
}

func (s *sim) ack() {
	if s.cursor == s.acked {
		return
	}
	_, err := s.owner.Ack("b", v1.AckRequest{Position: s.cursor})
	if s.settle() != nil || s.chance(20) {
		return
	}
	s.must(err)
	s.acked = s.cursor
}

func (s *sim) nextVersion() {
	if s.version == simLast || !s.chance(40) {
		return
	}
	s.version++
	s.moved++
	if s.chance(30) {
		return // the statement is lost; the next fetch makes it
	}
	s.must(s.owner.PutVersion(s.now, v1.WeightVersion{Version: s.version}))
	_ = s.settle()
}

func (s *sim) step() {
	s.now = s.now.Add(time.Duration(s.random.IntN(200)) * time.Millisecond)
	s.recover()
	switch s.random.IntN(10) {
	case 0:
		s.nextVersion()
	case 1:
		s.repeatOld()
	case 2:
		s.ack()
	case 3, 4:
		s.fetch()
	case 5:
		_ = s.settle()
	default:
		s.attemptStep()
	}
}

func (s *sim) run() {
	s.recover()
	spec := v1.BatchSpec{Samples: make([]v1.SampleRequest, simSamples)}
	for {
		_, err := s.owner.PutBatch(s.now, "b", spec)
		if s.settle() == nil {
			s.must(err)
			break
		}
		s.recover()
	}
	for step := range simSteps {
		s.calm = step > 400
		s.step()
		if s.done && s.acked == s.cursor {
			break
		}
	}
	s.calm = true
	s.recover()
	status, err := s.owner.Status("b")
	s.must(err)
	if len(s.consumed) != simSamples || status.Phase != v1.BatchDelivered || status.Acked != simSamples {
		s.t.Fatalf("not delivered: %d samples consumed, status %+v", len(s.consumed), status)
	}
}

// Each sample is consumed exactly once, none stale, all of them, across crashes of the owner before and after any append,
// lost replies, late copies of requests and of results, hedges, and a trainer that moves on while samples are offered.
func TestDeliveryAcrossCrashes(t *testing.T) {
	var crashes, conflicts, moved int
	for seed := range uint64(simSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := &sim{
				t: t, random: rand.New(rand.NewPCG(seed, 7)), logs: NewMemoryLogs(),
				now: time.Unix(1000, 0), version: 1, consumed: make(map[int]int), started: make(map[attemptKey]bool),
			}
			s.run()
			crashes += s.crashes
			conflicts += s.conflicts
			moved += s.moved
		})
	}
	if crashes < simSeeds || moved < simSeeds || conflicts == 0 {
		t.Fatalf("the faults did not happen: %d crashes, %d versions, %d refused late copies", crashes, moved, conflicts)
	}
	t.Logf("%d seeds: %d crashes, %d versions, %d refused late copies", simSeeds, crashes, moved, conflicts)
}
