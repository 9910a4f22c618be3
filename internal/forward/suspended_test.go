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

// TestNoAttemptAfterSuspension guards against another attempt after the deadline passed while the machine was suspended.
func TestNoAttemptAfterSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		suspends := func(context.Context) (*Answer, error) {
			boottime.SimulateSuspension(5 * time.Second)
			return nil, ErrLost
		}
		engines := &scriptedTransport{actions: map[string]action{"a": suspends, "b": suspends, "c": suspends, "d": suspends}}
		forwarder := newGuardedForwarder(engines, routing.KindIdempotent)
		result := doRequest(t, forwarder, "r")
		if len(engines.sends) != 1 || result.Outcome != Unknown || !result.TimedOut {
			t.Errorf("%d attempts, outcome %v, timed out %v", len(engines.sends), result.Outcome, result.TimedOut)
		}
	})
}

// TestTimeLeftAfterSuspension checks that the time left of the next attempt accounts for a suspension.
func TestTimeLeftAfterSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		suspends := func(context.Context) (*Answer, error) {
			boottime.SimulateSuspension(600 * time.Millisecond)
			return nil, ErrLost
		}
		engines := &scriptedTransport{actions: map[string]action{"a": suspends, "b": suspends, "c": suspends, "d": suspends}}
		forwarder := newGuardedForwarder(engines, routing.KindIdempotent)
		request := &Request{ID: "r", Method: http.MethodPost, Host: "h", Target: "/1"}
		forwarder.Do(t.Context(), forwarder.state.View().Routes.Match("h", "/1"), request, boottime.Now().Add(time.Second))
		if len(engines.sends) != 2 || engines.sends[1].timeLeft > 400*time.Millisecond {
			t.Errorf("attempts: %+v", engines.sends)
		}
	})
}
