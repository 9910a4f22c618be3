package coldstart

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/forward"
	"github.com/covelink/covelink/internal/routing"
)

// runLimiter runs a scenario with a leading limiter in virtual time. confirmedAt is when the store last confirmed the lease.
func runLimiter(t *testing.T, name string, rate float64, play func(l *Limiter, confirmedAt *time.Time)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		Convey(name, t, func() {
			var confirmedAt time.Time
			limiter := NewLimiter(LimiterParams{
				Rate: func(string) float64 { return rate },
				LeaseConfirmedAt: func() time.Time {
					if confirmedAt.IsZero() {
						return boottime.Now()
					}
					return confirmedAt
				},
				Now:    boottime.Now,
				Logger: log.NewNopLogger(),
			})
			ctx, cancel := context.WithCancel(t.Context())
			var leading sync.WaitGroup
			leading.Go(func() { limiter.Lead(ctx) })
			synctest.Wait()
			play(limiter, &confirmedAt)
			cancel()
			leading.Wait()
		})
	})
}

func oneRequest(wait time.Duration) Request {
	return Request{Service: "s", Engines: []string{"a"}, Wait: wait}
}

func TestLimiter(t *testing.T) {
	ctx := context.Background()
	runLimiter(t, "A new term gives no grant until those of the former term have expired", 10, func(l *Limiter, _ *time.Time) {
		began := boottime.Now()
		So(l.Ask(ctx, oneRequest(100*time.Millisecond)).Engine, ShouldBeEmpty)
		So(boottime.Since(began), ShouldBeZeroValue)
		So(l.TryAcquire("s", "a", routing.Rank{}), ShouldBeFalse)
		reply := l.Ask(ctx, oneRequest(3*time.Second))
		So(reply.Engine, ShouldEqual, "a")
		So(boottime.Since(began), ShouldEqual, termStartDelay)
		So(reply.Held, ShouldEqual, termStartDelay)
	})
	runLimiter(t, "Grants are given at the rate, by urgency and then in order of arrival", 10, func(l *Limiter, _ *time.Time) {
		time.Sleep(termStartDelay)
		So(l.TryAcquire("s", "a", routing.Rank{}), ShouldBeTrue)
		var mu sync.Mutex
		var order []int
		var callers sync.WaitGroup
		began := boottime.Now()
		for number, rank := range []int{2, 1, 1, 0} {
			callers.Go(func() {
				request := oneRequest(time.Second)
				request.Rank = routing.Rank{Route: rank}
				if l.Ask(ctx, request).Engine == "" {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				order = append(order, number)
			})
			synctest.Wait()
		}
		So(l.TryAcquire("s", "a", routing.Rank{Route: 1}), ShouldBeFalse)
		callers.Wait()
		So(order, ShouldResemble, []int{3, 1, 2, 0})
		So(boottime.Since(began), ShouldBeBetween, 399*time.Millisecond, 410*time.Millisecond)
	})
	runLimiter(t, "A request that cannot be granted in time is refused at once, and one whose caller has disconnected takes no grant", 2, func(l *Limiter, _ *time.Time) {
		time.Sleep(termStartDelay)
		So(l.TryAcquire("s", "a", routing.Rank{}), ShouldBeTrue)
		began := boottime.Now()
		So(l.Ask(ctx, oneRequest(400*time.Millisecond)).RetryAfter, ShouldBeGreaterThan, 0)
		So(boottime.Since(began), ShouldBeZeroValue)
		leaving, leave := context.WithTimeout(ctx, 100*time.Millisecond)
		defer leave()
		So(l.Ask(leaving, oneRequest(time.Second)).Engine, ShouldBeEmpty)
		time.Sleep(400 * time.Millisecond)
		So(l.Waiting(), ShouldEqual, 0)
		So(l.TryAcquire("s", "a", routing.Rank{}), ShouldBeTrue)
	})
	runLimiter(t, "A coordinator whose lease the store has not confirmed for a while reduces its grants, then stops them", 10, func(l *Limiter, confirmedAt *time.Time) {
		time.Sleep(termStartDelay)
		*confirmedAt = boottime.Now()
		grants := func(length time.Duration) (given int) {
			for began := boottime.Now(); boottime.Since(began) < length; time.Sleep(10 * time.Millisecond) {
				if l.TryAcquire("s", "a", routing.Rank{}) {
					given++
				}
			}
			return given
		}
		So(grants(time.Second), ShouldBeBetweenOrEqual, 9, 11)
		time.Sleep(leaseFreshness - time.Second)
		l.TryAcquire("s", "a", routing.Rank{})
		So(grants(1400*time.Millisecond), ShouldBeBetweenOrEqual, 2, 3)
		time.Sleep(StaleLife)
		So(grants(2*time.Second), ShouldEqual, 0)
	})
	runLimiter(t, "The queue is bounded", 1000, func(l *Limiter, _ *time.Time) {
		var callers sync.WaitGroup
		for range 2 * maxWaiting {
			callers.Go(func() { l.Ask(ctx, oneRequest(10*time.Second)) })
		}
		synctest.Wait()
		So(l.Waiting(), ShouldEqual, maxWaiting)
		callers.Wait()
	})
}

func TestClient(t *testing.T) {
	engine := &fleet.Engine{ID: "a", Service: "s"}
	play := func(name string, ask func(ctx context.Context, request Request) (Reply, error), check func(a *Client, answers *[]Answer)) {
		synctest.Test(t, func(t *testing.T) {
			Convey(name, t, func() {
				var answers []Answer
				client := NewClient(ClientParams{
					Tracker: NewTracker(fleet.NewState(), boottime.Now, log.NewNopLogger()), Ask: ask, Now: boottime.Now,
					Observe: func(answer Answer) { answers = append(answers, answer) }, Logger: log.NewNopLogger(),
				})
				check(client, &answers)
			})
		})
	}
	acquire := func(a *Client, wait time.Duration) *fleet.Engine {
		return a.Acquire(context.Background(), []*fleet.Engine{engine}, routing.Rank{}, boottime.Now().Add(wait))
	}
	play("A grant is used while it is valid, counted from the request", func(context.Context, Request) (Reply, error) {
		time.Sleep(500 * time.Millisecond)
		return Reply{Leading: true, Engine: "a", Held: 450 * time.Millisecond}, nil
	}, func(a *Client, _ *[]Answer) {
		So(acquire(a, time.Second), ShouldEqual, engine)
	})
	play("A grant that arrives after a suspension of the machine is not used", func(context.Context, Request) (Reply, error) {
		boottime.SimulateSuspension(2 * time.Second)
		return Reply{Leading: true, Engine: "a"}, nil
	}, func(a *Client, answers *[]Answer) {
		So(acquire(a, time.Second), ShouldBeNil)
		So(*answers, ShouldResemble, []Answer{AnswerLate})
	})
	calls := 0
	play("After a refusal no request is sent until RetryAfter has elapsed", func(context.Context, Request) (Reply, error) {
		calls++
		return Reply{Leading: true, RetryAfter: 100 * time.Millisecond}, nil
	}, func(a *Client, answers *[]Answer) {
		for range 5 {
			So(acquire(a, time.Second), ShouldBeNil)
			time.Sleep(30 * time.Millisecond)
		}
		So(calls, ShouldEqual, 2)
		So(*answers, ShouldResemble, []Answer{AnswerRefused, AnswerSkipped, AnswerSkipped, AnswerSkipped, AnswerRefused})
	})
	for _, left := range []bool{false, true} {
		name := "A request that is not answered in time is logged"
		if left {
			name = "A request whose caller stops waiting is not logged"
		}
		synctest.Test(t, func(t *testing.T) {
			Convey(name, t, func() {
				var logged strings.Builder
				client := NewClient(ClientParams{
					Tracker: NewTracker(fleet.NewState(), boottime.Now, log.NewNopLogger()), Now: boottime.Now, Logger: log.NewLogfmtLogger(&logged),
					Ask: func(ctx context.Context, _ Request) (Reply, error) {
						<-ctx.Done()
						return Reply{}, ctx.Err()
					},
				})
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if left {
					time.AfterFunc(10*time.Millisecond, cancel)
				}
				So(client.Acquire(ctx, []*fleet.Engine{engine}, routing.Rank{}, boottime.Now().Add(time.Second)), ShouldBeNil)
				So(strings.Contains(logged.String(), "request for a cold-start grant failed"), ShouldEqual, !left)
			})
		})
	}
	play("Nothing is sent while there is no coordinator", func(context.Context, Request) (Reply, error) { return Reply{}, nil },
		func(a *Client, answers *[]Answer) {
			So(acquire(a, time.Second), ShouldBeNil)
			So(*answers, ShouldResemble, []Answer{AnswerFailed})
		})
	Convey("The validity of a grant covers its transit and the time in which it may be sent", t, func() {
		So(maxGrantDelay+forward.GrantedSendTime, ShouldEqual, GrantLife)
	})
}
