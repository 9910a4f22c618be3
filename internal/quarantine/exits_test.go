package quarantine_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/covelink/covelink/internal/metastore/metastoretest"
	"github.com/covelink/covelink/internal/quarantine"
)

const (
	poolEngines  = 8
	poolSlots    = 8
	poolRequests = 60
	exitSeeds    = 12
	poolStep     = 50 * time.Millisecond
	// poolTime is longer than the second backoff, so that a request that is held twice shows.
	poolTime = 60 * time.Second
	// runTime is how long an engine takes for a request, and restartTime how long an engine that exited is away.
	runTime     = 1500 * time.Millisecond
	restartTime = 700 * time.Millisecond
	// sharingAfter is how long an isolated request waits for an engine without another.
	sharingAfter = time.Second
	// longestWait is how long a request may be at no engine after the last exit.
	longestWait = 5 * time.Second
)

// pool simulates engines that run requests, and a table that learns of all exits. Requests are placed by their state, the longest waiting first, and
// a request that completes is followed by another.
type pool struct {
	*term
	random   *rand.Rand
	engines  [poolEngines]poolEngine
	requests [poolRequests]*poolRequest
	starts   int
	started  int
	// exitedAt is when engines exited last, and longest the longest time after an exit that a request was at no engine.
	exitedAt time.Time
	longest  time.Duration
}

type poolEngine struct {
	start string
	upAt  time.Time
}

type poolRequest struct {
	identity quarantine.Fingerprint
	// engine is nil while the request waits.
	engine   *poolEngine
	isolated bool
	// granted is true if the request may run in a trial.
	granted bool
	// since is when the request began to run or to wait.
	since time.Time
}

func newPool(seed uint64) *pool {
	p := &pool{term: lead(metastoretest.New().Client()), random: rand.New(rand.NewPCG(seed, 1))}
	for i := range p.engines {
		p.restart(&p.engines[i], time.Now())
	}
	for i := range p.requests {
		p.requests[i] = p.newRequest()
	}
	return p
}

// simulate plays a scene in virtual time.
func simulate(t *testing.T, seed uint64, scene func(p *pool)) {
	synctest.Test(t, func(*testing.T) {
		p := newPool(seed)
		defer p.end()
		scene(p)
	})
}

func (p *pool) restart(engine *poolEngine, at time.Time) {
	p.starts++
	engine.start, engine.upAt = fmt.Sprint("start ", p.starts), at
}

func (p *pool) newRequest() *poolRequest {
	p.started++
	return &poolRequest{identity: fingerprint(fmt.Sprint("request ", p.started)), since: time.Now()}
}

// exit ends some of the engines that are up.
func (p *pool) exit(engines int) {
	p.exitedAt = time.Now()
	for _, index := range p.random.Perm(poolEngines) {
		engine := &p.engines[index]
		if engines == 0 || engine.upAt.After(time.Now()) {
			continue
		}
		engines--
		for _, request := range p.requests {
			if request.engine == engine {
				p.Table.RecordCrash(request.identity, engine.start)
				request.engine, request.since = nil, time.Now()
			}
		}
		p.restart(engine, time.Now().Add(restartTime))
	}
}

// pass lets time pass.
func (p *pool) pass(length time.Duration) {
	for ; length > 0; length -= poolStep {
		time.Sleep(poolStep)
		for i, request := range p.requests {
			if request.engine != nil && time.Since(request.since) >= runTime {
				p.Table.Release(request.identity)
				p.requests[i] = p.newRequest()
			}
		}
		waiting := slices.Clone(p.requests[:])
		slices.SortStableFunc(waiting, func(a, b *poolRequest) int { return a.since.Compare(b.since) })
		for _, request := range waiting {
			p.place(request)
		}
	}
}

// place starts a waiting request at an engine, if its state and the engines allow it.
func (p *pool) place(request *poolRequest) {
	if request.engine != nil {
		return
	}
	state := p.Table.Status(request.identity).State
	isolated := state >= quarantine.Isolated
	if !request.granted && state == quarantine.Held {
		request.granted = p.GrantTrial(context.Background(), request.identity, "").Granted
	}
	engine := p.freeEngine(isolated && time.Since(request.since) < sharingAfter)
	if engine == nil || (state == quarantine.Held && !request.granted) {
		p.longest = max(p.longest, min(time.Since(request.since), time.Since(p.exitedAt)))
		return
	}
	request.engine, request.isolated, request.granted, request.since = engine, isolated, false, time.Now()
}

// freeEngine returns an engine that can take a request, chosen at random, or nil. A request that must be alone shares no engine with an
// isolated one.
func (p *pool) freeEngine(alone bool) *poolEngine {
	for _, index := range p.random.Perm(poolEngines) {
		engine := &p.engines[index]
		running, isolatedThere := 0, false
		for _, request := range p.requests {
			if request.engine == engine {
				running++
				isolatedThere = isolatedThere || request.isolated
			}
		}
		if !engine.upAt.After(time.Now()) && running < poolSlots && (!alone || !isolatedThere) {
			return engine
		}
	}
	return nil
}

// Guards against innocent requests that are held, or wait for an engine of their own, because engines exited in series for causes of their own: they
// were at no engine for 10 to 30 s although all engines were up again.
func TestRequestsRunSoonAfterEnginesExitedInSeries(t *testing.T) {
	wave := 900 * time.Millisecond
	series := map[string]func(p *pool){
		"half of the engines or more, six times": func(p *pool) {
			for range 6 {
				p.exit(poolEngines/2 + p.random.IntN(poolEngines/2+1))
				p.pass(wave)
			}
		},
		"two engines or more, six times": func(p *pool) {
			for range 6 {
				p.exit(2 + p.random.IntN(poolEngines-1))
				p.pass(wave)
			}
		},
		"all engines, twelve times": func(p *pool) {
			for range 12 {
				p.exit(poolEngines)
				p.pass(wave)
			}
		},
		"one engine after the other, thirty times": func(p *pool) {
			for range 30 {
				p.exit(1)
				p.pass(250 * time.Millisecond)
			}
		},
	}
	for name, play := range series {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(exitSeeds) {
				simulate(t, seed, func(p *pool) {
					p.pass(runTime)
					play(p)
					p.pass(poolTime)
					if p.longest >= longestWait {
						t.Errorf("seed %d: a request was at no engine for %v, want less than %v", seed, p.longest, longestWait)
					}
				})
			}
		})
	}
}

// Guards against a request that crashes engines and is not held, because other engines exit too.
func TestCrashingRequestIsHeldBesideOtherExits(t *testing.T) {
	crash := func(p *pool, request string) quarantine.State {
		p.starts++
		state, _ := p.Table.RecordCrash(fingerprint(request), fmt.Sprint("start ", p.starts))
		return state
	}
	t.Run("other engines exited some seconds before", func(t *testing.T) {
		simulate(t, 1, func(p *pool) {
			for i, expected := range []quarantine.State{quarantine.Suspect, quarantine.Isolated, quarantine.Held} {
				p.exit(poolEngines)
				p.pass(4 * time.Second)
				if state := crash(p, "bad"); state != expected {
					t.Errorf("%v after %d crashes, want %v", state, i+1, expected)
				}
				p.pass(3 * time.Second)
			}
		})
	})
	t.Run("all engines exited in series shortly before", func(t *testing.T) {
		simulate(t, 1, func(p *pool) {
			for range 4 {
				p.exit(poolEngines)
				crash(p, "bad")
				p.pass(900 * time.Millisecond)
			}
			crashes := 0
			for p.Table.Status(fingerprint("bad")).State != quarantine.Held {
				p.pass(3 * time.Second)
				crash(p, "bad")
				crashes++
			}
			if crashes > 3 {
				t.Errorf("held after %d more crashes, want at most 3", crashes)
			}
		})
	})
	for culprits, most := range map[int]int{2: 3, 3: 8, 5: 8} {
		t.Run(fmt.Sprint(culprits, " requests crash engines at the same time"), func(t *testing.T) {
			simulate(t, 1, func(p *pool) {
				for range most {
					for culprit := range culprits {
						crash(p, fmt.Sprint("bad ", culprit))
					}
					p.pass(200 * time.Millisecond)
				}
				for culprit := range culprits {
					if state := p.Table.Status(fingerprint(fmt.Sprint("bad ", culprit))).State; state != quarantine.Held {
						t.Errorf("request %d is %v after %d crashes", culprit, state, most)
					}
				}
			})
		})
	}
	t.Run("all engines exit again and again", func(t *testing.T) {
		simulate(t, 1, func(p *pool) {
			crashes := 0
			for p.Table.Status(fingerprint("bad")).State != quarantine.Held {
				p.exit(poolEngines)
				crash(p, "bad")
				crashes++
				p.pass(900 * time.Millisecond)
			}
			if crashes > 8 {
				t.Errorf("held after %d crashes, want at most 8", crashes)
			}
		})
	})
	t.Run("a table that learns of the crashes later agrees", func(t *testing.T) {
		simulate(t, 1, func(p *pool) {
			for range 3 {
				p.exit(poolEngines / 2)
				crash(p, "bad")
				p.pass(900 * time.Millisecond)
			}
			p.pass(time.Minute)
			other := quarantine.NewTable(time.Now)
			other.Merge(p.Table.List())
			for _, record := range p.Table.List() {
				if first, second := p.Table.Status(record.Fingerprint).State, other.Status(record.Fingerprint).State; first != second {
					t.Errorf("%v, and in the other table %v: %+v", first, second, record)
				}
			}
		})
	})
}
