package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/lab/processes"
)

const (
	// minGap and maxGap bound the time between two faults.
	minGap = 200 * time.Millisecond
	maxGap = 3 * time.Second
	// minLength and maxLength bound how long a fault lasts.
	minLength = 100 * time.Millisecond
	maxLength = 6 * time.Second
	// undoTimeout bounds the end of one fault, such as the start of a process.
	undoTimeout = time.Minute
)

// Struck is one fault that struck.
type Struck struct {
	Kind   string
	Target string
	Length time.Duration
	// Err is set when the fault could not be switched on or off.
	Err error
}

// injector strikes faults at random moments, also several at the same time, but one only on each target.
type injector struct {
	deployment *processes.Deployment
	random     *rand.Rand
	logger     log.Logger

	mu     sync.Mutex
	busy   map[string]bool
	struck []Struck
	ending sync.WaitGroup
}

func newInjector(deployment *processes.Deployment, random *rand.Rand, logger log.Logger) *injector {
	return &injector{deployment: deployment, random: random, logger: logger, busy: map[string]bool{}}
}

// run strikes faults for a time, waits for their ends and returns them.
func (i *injector) run(ctx context.Context, length time.Duration) []Struck {
	deadline := time.Now().Add(length)
	for {
		gap := i.between(minGap, maxGap)
		fault := i.choose()
		if time.Now().Add(gap).After(deadline) || !sleep(ctx, gap) {
			break
		}
		i.strike(ctx, fault)
	}
	i.ending.Wait()
	return i.struck
}

func (i *injector) between(low, high time.Duration) time.Duration {
	return low + time.Duration(i.random.Int64N(int64(high-low)))
}

// strike switches a fault on, unless its target has one, and off after its length.
func (i *injector) strike(ctx context.Context, fault fault) {
	if !i.occupy(fault.target) {
		return
	}
	_ = level.Info(i.logger).Log("msg", "fault", "kind", fault.kind, "target", fault.target, "length", fault.length)
	i.ending.Go(func() {
		defer i.release(fault.target)
		err := fault.begin(ctx)
		sleep(ctx, fault.length)
		endContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), undoTimeout)
		defer cancel()
		if ended := fault.end(endContext); err == nil {
			err = ended
		}
		i.note(Struck{Kind: fault.kind, Target: fault.target, Length: fault.length, Err: err})
	})
}

func (i *injector) occupy(target string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.busy[target] {
		return false
	}
	i.busy[target] = true
	return true
}

func (i *injector) release(target string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.busy, target)
}

func (i *injector) note(struck Struck) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.struck = append(i.struck, struck)
}

// sleep waits for a time and returns false when ctx ends before.
func sleep(ctx context.Context, length time.Duration) bool {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
