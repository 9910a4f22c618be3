package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/pause"
	"github.com/covelink/covelink/internal/routing"
)

// The load of the overloaded pool, of all gateways together.
const (
	overloadLookups, overloadRewards = 12, 60
	// crashMoment is when engines crash and the load rises to burstFactor times for burstLength.
	crashMoment = 5 * time.Second
	burstLength = 2 * time.Second
	burstFactor = 3
	// overloadLength is when the last request comes, and rewardGiveUp how long a reward call is made again.
	overloadLength = 30 * time.Second
	rewardGiveUp   = 30 * time.Second
	// wholeWithin is the time within which requests are answered when the service is well again.
	wholeWithin = time.Second
	// recoverWithin is the time from the crash in which all engines may crash once in the burst, come back, become warm and serve the requests that
	// waited.
	recoverWithin = burstLength + fallAway + fallCold + 6*time.Second
)

// overloadFigures are what a play showed.
type overloadFigures struct {
	poolFigures
	requests int
	// served, refused and failed count lookups; rewards and unscored count reward calls by whether they were answered at last.
	served, refused, failed, rewards, unscored int
	// late counts the reward calls that took longer than wholeWithin.
	late int
	// recovered is when the last request came, after the crash, that was not answered within wholeWithin.
	recovered time.Duration
}

// perRequest returns the sends that reached engines for each request.
func (f *overloadFigures) perRequest() float64 { return float64(f.sends) / float64(f.requests) }

// overloadPlay is one run of the load.
type overloadPlay struct {
	pool     *fallPool
	gateways []*Forwarder
	started  time.Time
	mu       sync.Mutex
	figures  overloadFigures
}

// note counts a request that came at a moment and has ended.
func (p *overloadPlay) note(came time.Time, answered bool, count func(figures *overloadFigures)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.figures.requests++
	count(&p.figures)
	after := came.Sub(p.started) - crashMoment
	if after >= 0 && (!answered || time.Since(came) > wholeWithin) {
		p.figures.recovered = max(p.figures.recovered, after)
	}
}

func (p *overloadPlay) lookup(ctx context.Context, gateway *Forwarder) {
	came := time.Now()
	request := &Request{ID: "r", Method: http.MethodPost, Host: "h", Target: "/lookup"}
	result := gateway.Do(ctx, gateway.state.View().Routes.Match("h", "/lookup"), request, boottime.Now().Add(800*time.Millisecond))
	p.note(came, result.Outcome == Completed, func(figures *overloadFigures) {
		switch result.Outcome {
		case Completed:
			figures.served++
		case NotRun:
			figures.refused++
		default:
			figures.failed++
		}
	})
}

// reward makes a reward call in rounds, as itemwork.Executor does.
func (p *overloadPlay) reward(ctx context.Context, gateway *Forwarder) {
	came := time.Now()
	answered := false
	request := &Request{ID: "r", Method: http.MethodPost, Host: "h", Target: "/reward", Patience: 2750 * time.Millisecond, Arrived: boottime.Now()}
	for !answered && time.Since(came) < rewardGiveUp {
		result := gateway.Do(ctx, gateway.state.View().Routes.Match("h", "/reward"), request, boottime.Now().Add(3*time.Second))
		answered = result.Outcome == Completed && result.Status == http.StatusOK
		if !answered {
			request.Repeated = request.Repeated || result.Sent
			pause.For(ctx, max(100*time.Millisecond, result.RetryAfter))
		}
	}
	p.note(came, answered, func(figures *overloadFigures) {
		if !answered {
			figures.unscored++
			return
		}
		figures.rewards++
		if time.Since(came) > wholeWithin {
			figures.late++
		}
	})
}

// playOverload plays the load at a number of gateways, with a number of engines that crash.
func playOverload(ctx context.Context, gateways, crashed int, seed uint64, prepare func(pool *fallPool, forwarder *Forwarder)) overloadFigures {
	target := []routing.Target{{Service: "s", Weight: 1}}
	table := routing.NewTable(1, []routing.Route{
		{Name: "lookup", Host: "h", Prefix: "/lookup", Kind: routing.KindIdempotent, Targets: target, MaxAttempts: 2, LatencyObjective: 150 * time.Millisecond},
		{Name: "reward", Host: "h", Prefix: "/reward", Kind: routing.KindIdempotent, Targets: target, MaxAttempts: 3, LatencyObjective: time.Second, Priority: 1},
	}, nil, routing.Limits{})
	p := &overloadPlay{pool: newFallPool(gateways, table), started: time.Now()}
	for i := range gateways {
		forwarder := New(p.pool.states[i], p.pool, NewPicker(time.Now), log.NewNopLogger())
		prepare(p.pool, forwarder)
		p.gateways = append(p.gateways, forwarder)
	}
	var running sync.WaitGroup
	time.AfterFunc(crashMoment, func() {
		for engine := range crashed {
			p.pool.crashNumber(engine)
		}
	})
	come := func(random *rand.Rand, perSecond int, do func(ctx context.Context, gateway *Forwarder)) {
		for time.Since(p.started) < overloadLength {
			gateway := p.gateways[random.IntN(gateways)]
			length := time.Duration(random.ExpFloat64() * float64(time.Second) / float64(perSecond))
			running.Go(func() { do(ctx, gateway) })
			if after := time.Since(p.started) - crashMoment; after >= 0 && after < burstLength {
				length /= burstFactor
			}
			pause.For(ctx, length)
		}
	}
	running.Go(func() { come(rand.New(rand.NewPCG(seed, 1)), overloadLookups, p.lookup) })
	running.Go(func() { come(rand.New(rand.NewPCG(seed, 2)), overloadRewards, p.reward) })
	running.Wait()
	pause.For(ctx, fallAway+time.Second)
	p.figures.poolFigures = p.pool.figures
	return p.figures
}

// triesPerRequest returns the sends and the dials that failed for each request.
func (f *overloadFigures) triesPerRequest() float64 {
	return float64(f.sends+f.dials) / float64(f.requests)
}

// The retries of many gateways must not keep the engines of a full service down.
func TestOverloadedService(t *testing.T) {
	plays := []struct {
		name     string
		gateways int
		crashed  int
		quota    bool
	}{
		{"60 gateways, no quota", 60, 2, false}, {"60 gateways, quota", 60, 2, true}, {"60 gateways, quota, all crash", 60, 4, true},
		{"300 gateways, no quota", 300, 2, false}, {"300 gateways, quota", 300, 2, true}, {"300 gateways, quota, all crash", 300, 4, true},
	}
	for _, play := range plays {
		for seed := range uint64(2) {
			synctest.Test(t, func(t *testing.T) {
				figures := playOverload(t.Context(), play.gateways, play.crashed, seed, func(pool *fallPool, forwarder *Forwarder) {
					if play.quota {
						forwarder.Quota = pool
					}
				})
				t.Logf("%s, seed %d: %.2f sends and %.2f tries for each request, %+v", play.name, seed, figures.perRequest(), figures.triesPerRequest(), figures)
				if figures.perRequest() > 1.2 {
					t.Errorf("%s, seed %d: %.2f sends for each request", play.name, seed, figures.perRequest())
				}
				if play.quota && (figures.unscored > 0 || figures.recovered > recoverWithin) {
					t.Errorf("%s, seed %d: %d reward calls unanswered, the last late request %v after the crash", play.name, seed, figures.unscored, figures.recovered)
				}
			})
		}
	}
}
