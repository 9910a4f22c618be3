package itemwork

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"github.com/covelink/covelink/internal/batch"
	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/forward"
	"github.com/covelink/covelink/internal/routing"
)

// rewardEngines is a Transport to engines that all give the same answer.
type rewardEngines struct {
	mu     sync.Mutex
	status int
	notRun bool
	sends  int
}

// Send implements forward.Transport.
func (j *rewardEngines) Send(context.Context, *fleet.Engine, *forward.Request, forward.SendOptions) (*forward.Answer, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.sends++
	return &forward.Answer{Status: j.status, NotRun: j.notRun, Valid: true, Signature: "score", Header: http.Header{}, Body: io.NopCloser(strings.NewReader(""))}, nil
}

func (j *rewardEngines) answer(status int, notRun bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.status, j.notRun = status, notRun
}

func (j *rewardEngines) sent() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.sends
}

// newRewardExecutor returns an executor with two engines that refuse requests, and a reward call.
func newRewardExecutor() (*Executor, *rewardEngines, *batch.Reward) {
	engines := &rewardEngines{status: http.StatusServiceUnavailable, notRun: true}
	state := fleet.NewState()
	route := routing.Route{Host: "h", Prefix: "/", Kind: routing.KindIdempotent, Targets: []routing.Target{{Service: "s", Weight: 1}}, MaxAttempts: 2, LatencyObjective: time.Second}
	state.SetRoutes(routing.NewTable(1, []routing.Route{route}, nil, routing.Limits{}))
	state.SetEngineList([]*fleet.Engine{{ID: "a", Service: "s", Slots: 6, Ready: true}, {ID: "b", Service: "s", Slots: 6, Ready: true}})
	forwarder := forward.New(state, engines, forward.NewPicker(time.Now), log.NewNopLogger())
	return &Executor{State: state, Transport: engines, Forwarder: forwarder}, engines, &batch.Reward{ID: "r", Host: "h", Path: "/judge"}
}

// While the service is at capacity, a reward call must wait in the forwarder's queue instead of being sent repeatedly.
func TestRewardCallWaitsForAFullService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		executor, engines, reward := newRewardExecutor()
		time.AfterFunc(4*time.Second, func() { engines.answer(http.StatusOK, false) })
		began := time.Now()
		judgement := executor.callReward(t.Context(), reward)
		if judgement.State != JudgementScored || judgement.Failures != 0 {
			t.Errorf("judgement %+v", judgement)
		}
		if took := time.Since(began); took > 10*time.Second {
			t.Errorf("call took %v; the service was at capacity for 4 s", took)
		}
		if engines.sent() > 6 {
			t.Errorf("%d sends, want at most 6", engines.sent())
		}
	})
}

func TestRewardCallOfAReleasedRunIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		executor, engines, reward := newRewardExecutor()
		ctx, cancel := context.WithCancel(t.Context())
		var judging sync.WaitGroup
		var judgement Judgement
		judging.Go(func() { judgement = executor.callReward(ctx, reward) })
		time.Sleep(time.Second)
		synctest.Wait()
		before := engines.sent()
		engines.answer(http.StatusOK, false)
		cancel()
		judging.Wait()
		time.Sleep(10 * time.Second)
		if judgement.State != JudgementAborted || engines.sent() != before {
			t.Errorf("judgement %+v, %d sends after the run was released", judgement, engines.sent()-before)
		}
	})
}

// The worker's permission expires while its reward call waits in the queue.
func TestRewardCallIsNotSentBeyondItsPermission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		executor, engines, reward := newRewardExecutor()
		until := boottime.Now().Add(time.Second)
		executor.PermittedUntil = func() time.Time { return until }
		ctx, cancel := context.WithCancel(t.Context())
		var judging sync.WaitGroup
		judging.Go(func() { executor.callReward(ctx, reward) })
		time.Sleep(time.Second)
		synctest.Wait()
		before := engines.sent()
		engines.answer(http.StatusOK, false)
		time.Sleep(10 * time.Second)
		if engines.sent() != before {
			t.Errorf("%d sends after the permission expired", engines.sent()-before)
		}
		cancel()
		judging.Wait()
	})
}

func TestRewardCallFailsAfterAsManyAnswersAsItsRouteAllows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		executor, engines, reward := newRewardExecutor()
		engines.answer(http.StatusInternalServerError, false)
		judgement := executor.callReward(t.Context(), reward)
		if judgement.State != JudgementFailed || judgement.Failures != 2 || engines.sent() != 2 {
			t.Errorf("judgement %+v after %d sends", judgement, engines.sent())
		}
	})
}

// TestRewardQueueTimeout guards against reward calls that queue until too little time is left for the call itself.
func TestRewardQueueTimeout(t *testing.T) {
	for _, c := range []struct{ left, objective, want time.Duration }{
		{3 * time.Second, 800 * time.Millisecond, 2200 * time.Millisecond},
		{time.Second, 800 * time.Millisecond, 500 * time.Millisecond},
		{time.Second, 0, 750 * time.Millisecond},
		{400 * time.Millisecond, 800 * time.Millisecond, 150 * time.Millisecond},
		{200 * time.Millisecond, 800 * time.Millisecond, time.Millisecond},
	} {
		if got := rewardQueueTimeout(c.left, c.objective); got != c.want {
			t.Errorf("%v left, objective %v: queue timeout %v, want %v", c.left, c.objective, got, c.want)
		}
	}
}

// losingEngines are engines that lose the answer to the first send, and refuse all others.
type losingEngines struct {
	rewardEngines
	lost bool
}

// Send implements forward.Transport.
func (j *losingEngines) Send(ctx context.Context, engine *fleet.Engine, request *forward.Request, options forward.SendOptions) (*forward.Answer, error) {
	j.mu.Lock()
	first := !j.lost
	j.lost = true
	j.mu.Unlock()
	if first {
		return nil, forward.ErrConnectionBroken
	}
	return j.rewardEngines.Send(ctx, engine, request, options)
}

// TestRewardCallIsHandedBack guards against a step that waits for one reward call, which its worker may not repeat for want of retry budget.
func TestRewardCallIsHandedBack(t *testing.T) {
	call := func(t *testing.T, worker bool) (judgement Judgement, took time.Duration) {
		synctest.Test(t, func(t *testing.T) {
			executor, _, reward := newRewardExecutor()
			engines := &losingEngines{rewardEngines: rewardEngines{status: http.StatusServiceUnavailable, notRun: true}}
			executor.Forwarder = forward.New(executor.State, engines, forward.NewPicker(time.Now), log.NewNopLogger())
			if worker {
				executor.PermittedUntil = func() time.Time { return boottime.Now().Add(permissionTTL) }
			}
			ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
			defer cancel()
			began := time.Now()
			judgement = executor.callReward(ctx, reward)
			took = time.Since(began)
		})
		return judgement, took
	}
	if judgement, took := call(t, true); judgement.State != JudgementAborted || took < rewardHandBackTime || took > 3*rewardHandBackTime {
		t.Errorf("a worker gave %+v after %v, want it to hand the call back after %v", judgement, took, rewardHandBackTime)
	}
	if judgement, took := call(t, false); judgement.State != JudgementAborted || took < 30*time.Second {
		t.Errorf("the coordinator gave %+v after %v, want it to go on", judgement, took)
	}
}

// lossyEngines lose the answers to the first send of each call, as engines that exit together do, and serve all others.
type lossyEngines struct {
	rewardEngines
	seen sync.Map
}

// Send implements forward.Transport.
func (j *lossyEngines) Send(ctx context.Context, engine *fleet.Engine, request *forward.Request, options forward.SendOptions) (*forward.Answer, error) {
	if _, again := j.seen.LoadOrStore(request.ID, true); !again {
		return nil, forward.ErrConnectionBroken
	}
	return j.rewardEngines.Send(ctx, engine, request, options)
}

// Guards against reward calls that wait for the retry budget one after the other, once engines have exited under many of them.
func TestRewardCallsLostTogetherAreRepeatedSoon(t *testing.T) {
	const calls = 30
	synctest.Test(t, func(t *testing.T) {
		executor, _, reward := newRewardExecutor()
		engines := &lossyEngines{rewardEngines: rewardEngines{status: http.StatusOK}}
		executor.Forwarder = forward.New(executor.State, engines, forward.NewPicker(time.Now), log.NewNopLogger())
		began := time.Now()
		var calling sync.WaitGroup
		for n := range calls {
			calling.Go(func() {
				own := *reward
				own.ID = fmt.Sprint("r", n)
				if judgement := executor.callReward(t.Context(), &own); judgement.State != JudgementScored {
					t.Errorf("judgement %+v", judgement)
				}
			})
		}
		calling.Wait()
		if took := time.Since(began); took > 6*time.Second {
			t.Errorf("%d calls took %v", calls, took)
		}
	})
}
