package forward

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/routing"
	"github.com/covelink/covelink/internal/tenants"
)

// singleSlotEngine processes one request at a time and refuses others. It records the order in which it accepted them.
type singleSlotEngine struct {
	mu       sync.Mutex
	busy     bool
	accepted []string
}

// Send implements Transport.
func (e *singleSlotEngine) Send(ctx context.Context, _ *fleet.Engine, request *Request, _ SendOptions) (*Answer, error) {
	e.mu.Lock()
	if e.busy {
		e.mu.Unlock()
		return refused(ctx)
	}
	e.busy = true
	e.accepted = append(e.accepted, request.ID)
	e.mu.Unlock()
	time.Sleep(40 * time.Millisecond)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.busy = false
	return answer(200, ""), nil
}

// TestQueueOrder checks that a tenant's priority precedes the route's in the queue of a full service.
func TestQueueOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Queued requests of the most urgent tenant are served first, whatever the order of arrival", t, func() {
			route := routing.Route{
				Host: "h", Prefix: "/", Kind: routing.KindIdempotent, MaxAttempts: 1, LatencyObjective: 10 * time.Second,
				Targets: []routing.Target{{Service: "s", Weight: 1}},
			}
			table := routing.NewTable(1, []routing.Route{route}, nil, routing.Limits{})
			table.Tenants = tenants.NewDirectory([]tenants.Entry{
				{Tenant: tenants.Tenant{Name: "first"}},
				{Tenant: tenants.Tenant{Name: "second", Priority: 1}},
				{Tenant: tenants.Tenant{Name: "third", Priority: 2}},
			})
			state := fleet.NewState()
			state.SetRoutes(table)
			state.SetEngineList([]*fleet.Engine{{ID: "e", Service: "s", Ready: true}})
			engine := &singleSlotEngine{}
			forwarder := New(state, engine, NewPicker(time.Now), log.NewNopLogger())
			var callers sync.WaitGroup
			for _, tenant := range []string{"holder", "third", "second", "first"} {
				callers.Go(func() {
					request := &Request{ID: tenant, Tenant: tenant}
					forwarder.Do(context.Background(), table.Match("h", "/"), request, boottime.Now().Add(time.Minute))
				})
				time.Sleep(time.Millisecond)
			}
			callers.Wait()
			So(engine.accepted, ShouldResemble, []string{"holder", "first", "second", "third"})
		})
	})
}
