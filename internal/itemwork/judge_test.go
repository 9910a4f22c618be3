package itemwork

import (
	"context"
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

// judges is a Transport to engines that all answer alike.
type judges struct {
	mu     sync.Mutex
	status int
	notRun bool
	sends  int
}

// Send implements forward.Transport.
func (j *judges) Send(context.Context, *fleet.Engine, *forward.Request, forward.SendOptions) (*forward.Answer, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.sends++
	return &forward.Answer{Status: j.status, NotRun: j.notRun, Valid: true, Signature: "score", Header: http.Header{}, Body: io.NopCloser(strings.NewReader(""))}, nil
}

func (j *judges) answer(status int, notRun bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.status, j.notRun = status, notRun
}

func (j *judges) sent() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.sends
}

// newJudge returns an executor to two engines that refuse, and a reward call.
func newJudge() (*Executor, *judges, *batch.Reward) {
	engines := &judges{status: http.StatusServiceUnavailable, notRun: true}
	state := fleet.NewState()
	route := routing.Route{Host: "h", Prefix: "/", Kind: routing.KindIdempotent, Targets: []routing.Target{{Service: "s", Weight: 1}}, MaxAttempts: 2, LatencyObjective: time.Second}
	state.SetRoutes(routing.NewTable(1, []routing.Route{route}, nil, routing.Limits{}))
	state.SetEngineList([]*fleet.Engine{{ID: "a", Service: "s", Slots: 6, Ready: true}, {ID: "b", Service: "s", Slots: 6, Ready: true}})
	forwarder := forward.New(state, engines, forward.NewPicker(time.Now), log.NewNopLogger())
	return &Executor{State: state, Transport: engines, Forwarder: forwarder}, engines, &batch.Reward{ID: "r", Host: "h", Path: "/judge"}
}

// A reward call that finds its service full waits in the forwarder's queue: it is not sent again and again.
func TestRewardCallWaitsForAFullService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		executor, engines, reward := newJudge()
		time.AfterFunc(4*time.Second, func() { engines.answer(http.StatusOK, false) })
		began := time.Now()
		judgement := executor.judge(t.Context(), reward)
		if judgement.State != JudgementReached || judgement.Failures != 0 {
			t.Errorf("ended %+v", judgement)
		}
		if took := time.Since(began); took > 10*time.Second {
			t.Errorf("took %v of which the service was full for 4 s", took)
		}
		if engines.sent() > 6 {
			t.Errorf("%d sends", engines.sent())
		}
	})
}

func TestRewardCallOfAReleasedRunIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		executor, engines, reward := newJudge()
		ctx, cancel := context.WithCancel(t.Context())
		var judging sync.WaitGroup
		var judgement Judgement
		judging.Go(func() { judgement = executor.judge(ctx, reward) })
		time.Sleep(time.Second)
		synctest.Wait()
		before := engines.sent()
		engines.answer(http.StatusOK, false)
		cancel()
		judging.Wait()
		time.Sleep(10 * time.Second)
		if judgement.State != JudgementAborted || engines.sent() != before {
			t.Errorf("ended %+v, %d sends after it was released", judgement, engines.sent()-before)
		}
	})
}

// The worker's permission ends while its reward call waits.
func TestRewardCallIsNotSentBeyondItsPermission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		executor, engines, reward := newJudge()
		until := boottime.Now().Add(time.Second)
		executor.PermittedUntil = func() time.Time { return until }
		ctx, cancel := context.WithCancel(t.Context())
		var judging sync.WaitGroup
		judging.Go(func() { executor.judge(ctx, reward) })
		time.Sleep(time.Second)
		synctest.Wait()
		before := engines.sent()
		engines.answer(http.StatusOK, false)
		time.Sleep(10 * time.Second)
		if engines.sent() != before {
			t.Errorf("%d sends after the permission had ended", engines.sent()-before)
		}
		cancel()
		judging.Wait()
	})
}

func TestRewardCallFailsAfterAsManyAnswersAsItsRouteAllows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		executor, engines, reward := newJudge()
		engines.answer(http.StatusInternalServerError, false)
		judgement := executor.judge(t.Context(), reward)
		if judgement.State != JudgementFailed || judgement.Failures != 2 || engines.sent() != 2 {
			t.Errorf("ended %+v after %d sends", judgement, engines.sent())
		}
	})
}
