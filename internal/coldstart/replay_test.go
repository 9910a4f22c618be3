package coldstart_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/coldstart"
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/forward"
	"github.com/covelink/covelink/internal/routing"
)

const (
	replayEngines  = 4
	replayRate     = 3.0
	replayColdTime = 4 * time.Second
	replayBound    = replayRate*1.5 + 5
	// replayServiceTime is an engine's processing time of a request, and replaySlots the number that it processes at once.
	replayServiceTime = 25 * time.Millisecond
	replaySlots       = 6
	replayDowntime    = time.Second
	// replayLoad is the total request rate in requests per second, half the capacity of the warm engines.
	replayLoad   = 480
	replayLength = 12 * time.Second
)

// coldEngine is an engine that crashes if it is overloaded while cold.
type coldEngine struct {
	number int
	start  int
	up     bool
	since  time.Time
	active int
	// arrived holds the arrival times of the last second while it was cold.
	arrived []time.Time
}

// replay simulates a service whose engines all crash at once under load.
type replay struct {
	mu      sync.Mutex
	engines []*coldEngine
	// crashes counts the crashes from overload, and peakRate is the maximum number of requests in a second to a cold engine.
	crashes, peakRate int
}

func (e *coldEngine) id() string { return fmt.Sprintf("engine-%d-%d", e.number, e.start) }

func (e *coldEngine) coldRemaining() time.Duration { return max(0, replayColdTime-time.Since(e.since)) }

// Send implements forward.Transport.
func (r *replay) Send(_ context.Context, engine *fleet.Engine, _ *forward.Request, options forward.SendOptions) (*forward.Answer, error) {
	time.Sleep(time.Millisecond)
	if !options.LeaveBy.IsZero() && !boottime.Now().Before(options.LeaveBy) {
		return nil, forward.ErrNotSent
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var number int
	if _, err := fmt.Sscanf(engine.Address, "engine-%d", &number); err != nil {
		return nil, err
	}
	e := r.engines[number]
	switch {
	case !e.up:
		return nil, forward.ErrNotSent
	case engine.ID != e.id():
		return &forward.Answer{Status: http.StatusMisdirectedRequest, NotRun: true, Misdirected: true, Body: http.NoBody}, nil
	}
	if e.coldRemaining() > 0 && r.overloaded(e) {
		r.crashes++
		r.crash(e)
		return nil, forward.ErrConnectionBroken
	}
	if e.active >= replaySlots {
		return &forward.Answer{Status: http.StatusServiceUnavailable, NotRun: true, Body: http.NoBody}, nil
	}
	e.active++
	start := e.start
	r.mu.Unlock()
	time.Sleep(replayServiceTime)
	r.mu.Lock()
	if e.start != start || !e.up {
		return nil, forward.ErrConnectionBroken
	}
	e.active--
	return &forward.Answer{Status: http.StatusOK, Valid: true, Signature: "signed", Header: http.Header{}, Body: io.NopCloser(strings.NewReader("x"))}, nil
}

// overloaded records an arrival at a cold engine and reports whether the last second had too many.
func (r *replay) overloaded(e *coldEngine) bool {
	now := time.Now()
	e.arrived = append(slices.DeleteFunc(e.arrived, func(at time.Time) bool { return now.Sub(at) > time.Second }), now)
	r.peakRate = max(r.peakRate, len(e.arrived))
	return float64(len(e.arrived)) > replayBound
}

// crash stops an engine; it restarts cold after replayDowntime. The mutex must be held.
func (r *replay) crash(e *coldEngine) {
	e.up, e.active, e.arrived = false, 0, nil
	time.AfterFunc(replayDowntime, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		e.start++
		e.up, e.since = true, time.Now()
	})
}

func (r *replay) entries() []*fleet.Engine {
	r.mu.Lock()
	defer r.mu.Unlock()
	var listed []*fleet.Engine
	for _, e := range r.engines {
		if e.up {
			listed = append(listed, &fleet.Engine{ID: e.id(), Service: "s", Address: fmt.Sprint("engine-", e.number), Zone: "z", Slots: replaySlots,
				Ready: true, ColdRemaining: e.coldRemaining()})
		}
	}
	return listed
}

// relay updates a gateway's engine list after a random delay.
func (r *replay) relay(ctx context.Context, state *fleet.State, random *rand.Rand) {
	for ctx.Err() == nil {
		listed := r.entries()
		time.Sleep(time.Duration(200+random.IntN(1000)) * time.Millisecond)
		state.SetEngineList(listed)
	}
}

// play runs gateways with or without the shared quota and returns the numbers of served and of all requests.
func (r *replay) play(t *testing.T, gateways int, shared bool) (served, requested int64) {
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for number := range replayEngines {
		r.engines = append(r.engines, &coldEngine{number: number, up: true, since: time.Now().Add(-time.Hour)})
	}
	route := routing.Route{Host: "h", Prefix: "/", Kind: routing.KindIdempotent, MaxAttempts: 2, LatencyObjective: 2 * time.Second, Targets: []routing.Target{{Service: "s", Weight: 1}}}
	table := routing.NewTable(1, []routing.Route{route}, []routing.Service{{Name: "s", ColdStart: replayColdTime, ColdRate: replayRate}}, routing.Limits{})
	limiter := coldstart.NewLimiter(coldstart.LimiterParams{
		Rate: func(string) float64 { return replayRate }, LeaseConfirmedAt: boottime.Now, Now: boottime.Now, Logger: log.NewNopLogger(),
	})
	running.Go(func() { limiter.Lead(ctx) })
	var ends, all atomic.Int64
	for number := range gateways {
		random := rand.New(rand.NewPCG(uint64(number), 11))
		state := fleet.NewState()
		state.SetRoutes(table)
		state.SetEngineList(r.entries())
		forwarder := forward.New(state, r, forward.NewPicker(time.Now), log.NewNopLogger())
		if shared {
			tracker := coldstart.NewTracker(state, boottime.Now, log.NewNopLogger())
			running.Go(func() { tracker.Run(ctx) })
			forwarder.Quota = coldstart.NewClient(coldstart.ClientParams{Tracker: tracker, Now: boottime.Now, Logger: log.NewNopLogger(),
				Ask: func(ctx context.Context, request coldstart.Request) (coldstart.Reply, error) {
					time.Sleep(2 * time.Millisecond)
					defer time.Sleep(2 * time.Millisecond)
					return limiter.Ask(ctx, request), nil
				}})
		}
		running.Go(func() { r.relay(ctx, state, rand.New(rand.NewPCG(uint64(number), 12))) })
		running.Go(func() {
			for ctx.Err() == nil {
				time.Sleep(time.Duration(random.ExpFloat64() * float64(gateways) / replayLoad * float64(time.Second)))
				all.Add(1)
				running.Go(func() {
					result := forwarder.Do(ctx, table.Match("h", "/"), &forward.Request{ID: "r", Method: http.MethodPost, Host: "h", Target: "/"}, boottime.Now().Add(2*time.Second))
					if result.Outcome == forward.Completed {
						ends.Add(1)
					}
				})
			}
		})
	}
	time.Sleep(2 * time.Second)
	r.mu.Lock()
	for _, e := range r.engines {
		r.crash(e)
	}
	r.mu.Unlock()
	time.Sleep(replayLength - 2*time.Second)
	cancel()
	running.Wait()
	return ends.Load(), all.Load()
}

// Engines of a service that crash together restart cold together; gateways that send their backlog at once would crash them again and again.
func TestServiceComesBack(t *testing.T) {
	for _, gateways := range []int{60, 300} {
		for _, shared := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				r := &replay{}
				served, requested := r.play(t, gateways, shared)
				t.Logf("%d gateways, shared quota %v: %d of %d served, %d engine crashes, at most %d requests in a second to a cold engine, bound %.1f",
					gateways, shared, served, requested, r.crashes, r.peakRate, replayBound)
				if shared && (r.crashes > 0 || float64(r.peakRate) > replayBound) {
					t.Errorf("%d gateways: %d engine crashes, up to %d requests in a second", gateways, r.crashes, r.peakRate)
				}
				if !shared && r.crashes == 0 {
					t.Errorf("%d gateways: the load exceeds no engine's bound, so the test is void", gateways)
				}
			})
		}
	}
}
