package forward

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/routing"
)

// coldQuota is a Quota with fixed cold engines and a limited number of grants.
type coldQuota struct {
	cold   map[string]bool
	grants int
	// requested holds the engine IDs of the last call of Acquire.
	requested []string
}

func (q *coldQuota) Cold(engine *fleet.Engine) bool { return q.cold[engine.ID] }

func (q *coldQuota) Acquire(_ context.Context, engines []*fleet.Engine, _ routing.Rank, _ time.Time) *fleet.Engine {
	q.requested = nil
	for _, engine := range engines {
		q.requested = append(q.requested, engine.ID)
	}
	if q.grants == 0 || len(engines) == 0 {
		return nil
	}
	q.grants--
	return engines[0]
}

func TestColdEngines(t *testing.T) {
	play := func(name string, quota *coldQuota, actions map[string]action, check func(result Result, s *scriptedTransport)) {
		synctest.Test(t, func(t *testing.T) {
			Convey(name, t, func() {
				s := &scriptedTransport{actions: actions}
				forwarder := newGuardedForwarder(s, routing.KindIdempotent)
				forwarder.Quota = quota
				check(doRequest(t, forwarder, "r"), s)
				if services := forwarder.Services(); len(services) > 0 {
					So(services[0].Load, ShouldNotEqual, LoadDown)
				}
			})
		})
	}
	all := map[string]bool{"a": true, "b": true, "c": true, "d": true}
	play("Warm engines are preferred and need no grant", &coldQuota{cold: map[string]bool{"a": true, "b": true, "c": true}, grants: 9}, nil,
		func(result Result, s *scriptedTransport) {
			So(result.Outcome, ShouldEqual, Completed)
			So(s.sends[0].engine, ShouldEqual, "d")
			So(s.sends[0].leaveBy, ShouldBeZeroValue)
		})
	quota := &coldQuota{cold: map[string]bool{"a": true, "b": true}, grants: 9}
	play("A request that warm engines refuse goes to a cold one under a grant with a deadline", quota, map[string]action{"c": refused, "d": refused},
		func(result Result, s *scriptedTransport) {
			So(result.Outcome, ShouldEqual, Completed)
			So(quota.requested, ShouldResemble, []string{"a", "b"})
			last := s.sends[len(s.sends)-1]
			So(last.engine, ShouldEqual, "a")
			So(boottime.Until(last.leaveBy), ShouldBeBetween, 0, GrantedSendTime+1)
		})
	play("Without a grant nothing is sent to cold engines, and the request is refused", &coldQuota{cold: all}, nil, func(result Result, s *scriptedTransport) {
		So(s.sends, ShouldBeEmpty)
		So(result.Outcome, ShouldEqual, NotRun)
		So(result.Reason, ShouldEqual, ReasonEnginesCold)
		So(result.RetryAfter, ShouldBeBetweenOrEqual, busyRetryAfter, time.Duration((1+retryAfterSpread)*float64(busyRetryAfter)))
	})
	lapsed := func(context.Context) (*Answer, error) {
		time.Sleep(GrantedSendTime)
		return nil, ErrNotSent
	}
	late := &coldQuota{cold: all, grants: 1}
	play("An expired grant says nothing about the engine: the load does not become LoadDown", late, map[string]action{"a": lapsed},
		func(result Result, s *scriptedTransport) {
			So(result.Outcome, ShouldEqual, NotRun)
			So(result.Reason, ShouldNotEqual, ReasonUnreachable)
		})
	play("Each attempt at a cold engine needs its own grant", &coldQuota{cold: all, grants: 2},
		map[string]action{"a": lost, "b": lost, "c": lost, "d": lost}, func(result Result, s *scriptedTransport) {
			So(s.sends, ShouldHaveLength, 2)
			So(result.Outcome, ShouldEqual, Unknown)
		})
}
