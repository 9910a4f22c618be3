package forward

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/routing"
)

// A machine that is suspended while an engine has a request does not see that its time is over: the next engine was told that the caller would
// wait for as long as before.
func TestNoAttemptAfterSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		suspends := func(context.Context) (*Answer, error) {
			boottime.SimulateSuspension(5 * time.Second)
			return nil, ErrLost
		}
		engines := &script{does: map[string]action{"a": suspends, "b": suspends, "c": suspends, "d": suspends}}
		forwarder := guarded(engines, routing.KindIdempotent)
		result := do(t, forwarder, "r")
		if len(engines.sends) != 1 || result.Outcome != Unknown || !result.TimedOut {
			t.Errorf("%d attempts, ended %v, timed out %v", len(engines.sends), result.Outcome, result.TimedOut)
		}
	})
}

// Of a request whose time is not over, the engine is told what is left.
func TestTimeLeftAfterSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		suspends := func(context.Context) (*Answer, error) {
			boottime.SimulateSuspension(600 * time.Millisecond)
			return nil, ErrLost
		}
		engines := &script{does: map[string]action{"a": suspends, "b": suspends, "c": suspends, "d": suspends}}
		forwarder := guarded(engines, routing.KindIdempotent)
		request := &Request{ID: "r", Method: http.MethodPost, Host: "h", Target: "/1"}
		forwarder.Do(t.Context(), forwarder.state.View().Routes.Match("h", "/1"), request, boottime.Now().Add(time.Second))
		if len(engines.sends) != 2 || engines.sends[1].timeLeft > 400*time.Millisecond {
			t.Errorf("attempts: %+v", engines.sends)
		}
	})
}
