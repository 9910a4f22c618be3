package claims

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/cluster"
	"github.com/covelink/covelink/internal/gateway"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var threeZones = []string{"zone-1", "zone-2", "zone-3"}

// claimAt calls Claim on the node at index.
func (c *testCluster) claimAt(index int, request gateway.ClaimRequest) (gateway.ClaimResult, error) {
	return c.members[index].manager.Claim(context.Background(), request)
}

func (c *testCluster) finishAt(index int, request gateway.ClaimRequest, stored gateway.StoredOutcome) error {
	return c.members[index].manager.Finish(context.Background(), request, stored)
}

// mustClaim calls Claim and requires a grant.
func (c *testCluster) mustClaim(index int, request gateway.ClaimRequest) {
	result, err := c.claimAt(index, request)
	So(err, ShouldBeNil)
	So(result.State, ShouldEqual, gateway.ClaimGranted)
}

func refusalOf(err error) *v1.Error {
	var typed *v1.Error
	So(errors.As(err, &typed), ShouldBeTrue)
	So(typed.Outcome, ShouldEqual, v1.OutcomeNotRun)
	So(typed.RetryAfter, ShouldBeGreaterThan, 0)
	return typed
}

func TestClaim(t *testing.T) {
	Convey("Three keepers in three zones", t, func() {
		c := newCluster(t, threeZones, true).open()
		first := requestOf("k")
		c.mustClaim(0, first)
		Convey("another gateway gets the outcome unknown while the request runs", func() {
			result, err := c.claimAt(1, requestOf("k"))
			So(err, ShouldBeNil)
			So(result.State, ShouldEqual, gateway.ClaimExisting)
			So(result.Stored.Outcome, ShouldEqual, v1.OutcomeUnknown)
			So(result.Fingerprint, ShouldEqual, 7)
		})
		Convey("another key or caller is another request", func() {
			c.mustClaim(1, requestOf("k2"))
			other := requestOf("k")
			other.Caller = "app-2"
			c.mustClaim(1, other)
		})
		Convey("every gateway returns the answer of a completed request, also with one keeper unreachable", func() {
			So(c.finishAt(0, first, completedWith("minutes")), ShouldBeNil)
			c.links.isolate(c.seeds[0].Address)
			for index := 1; index < 3; index++ {
				result, err := c.claimAt(index, requestOf("k"))
				So(err, ShouldBeNil)
				So(result.Stored.Outcome, ShouldEqual, v1.OutcomeCompleted)
				So(result.Stored.Answer.Tokens, ShouldResemble, []string{"minutes"})
			}
		})
		Convey("a request that was not run frees its key", func() {
			So(c.finishAt(0, first, gateway.StoredOutcome{Outcome: v1.OutcomeNotRun}), ShouldBeNil)
			c.eventually("the key is free", func() bool {
				return c.members[2].manager.keeper.recordOf(first) == nil
			})
			c.mustClaim(2, requestOf("k"))
		})
		Convey("Finish for a claim of another gateway changes nothing", func() {
			So(c.finishAt(1, first, completedWith("forged")), ShouldBeNil)
			result, err := c.claimAt(2, requestOf("k"))
			So(err, ShouldBeNil)
			So(result.Stored.Outcome, ShouldEqual, v1.OutcomeUnknown)
		})
		Convey("the key of a failed gateway stays claimed for the retention time", func() {
			c.members[0].stop()
			result, err := c.claimAt(1, requestOf("k"))
			So(err, ShouldBeNil)
			So(result.State, ShouldEqual, gateway.ClaimExisting)
			c.clock.advance(testRetention - time.Second)
			result, err = c.claimAt(2, requestOf("k"))
			So(err, ShouldBeNil)
			So(result.State, ShouldEqual, gateway.ClaimExisting)
		})
		Convey("the claim survives a restart of all keepers", func() {
			for index := range c.members {
				c.restart(index)
			}
			result, err := c.claimAt(2, requestOf("k"))
			So(err, ShouldBeNil)
			So(result.State, ShouldEqual, gateway.ClaimExisting)
		})
	})
}

// recordOf returns the keeper's record of the request's key, or nil.
func (k *keeper) recordOf(request gateway.ClaimRequest) *Record {
	k.mu.Lock()
	defer k.mu.Unlock()
	record, ok := k.table.lookup(k.now(), Key{Caller: request.Caller, Pool: request.Pool, Key: request.Key})
	if !ok {
		return nil
	}
	return record
}

func TestConcurrentClaims(t *testing.T) {
	Convey("Of concurrent claims of one key at gateways in three zones, at most one is granted", t, func() {
		c := newCluster(t, threeZones, true).open()
		const rounds, each = 20, 2
		total := 0
		for round := range rounds {
			key := string(rune('a' + round))
			granted := 0
			var mu sync.Mutex
			var claiming sync.WaitGroup
			for index := range len(threeZones) * each {
				claiming.Go(func() {
					request := requestOf(key)
					result, err := c.claimAt(index%len(threeZones), request)
					if err != nil {
						c.finishAt(index%len(threeZones), request, gateway.StoredOutcome{Outcome: v1.OutcomeNotRun})
						return
					}
					if result.State == gateway.ClaimGranted {
						mu.Lock()
						granted++
						mu.Unlock()
					}
				})
			}
			claiming.Wait()
			So(granted, ShouldBeLessThanOrEqualTo, 1)
			total += granted
		}
		So(total, ShouldBeGreaterThan, 0)
	})
}

func TestPartition(t *testing.T) {
	Convey("Without a majority a claim is refused as not run and leaves no record", t, func() {
		c := newCluster(t, threeZones, true).open()
		c.links.isolate(c.seeds[1].Address)
		c.links.isolate(c.seeds[2].Address)
		request := requestOf("k")
		_, err := c.claimAt(0, request)
		So(refusalOf(err).Code, ShouldEqual, v1.CodeUnavailable)
		So(c.finishAt(0, request, gateway.StoredOutcome{Outcome: v1.OutcomeNotRun}), ShouldBeNil)
		c.links.heal(c.seeds[1].Address)
		c.links.heal(c.seeds[2].Address)
		c.eventually("the key can be claimed", func() bool {
			again := requestOf("k")
			result, err := c.claimAt(1, again)
			return err == nil && result.State == gateway.ClaimGranted
		})
	})
	Convey("One keeper of three may be unreachable, and receives the outcome once reachable", t, func() {
		c := newCluster(t, threeZones, true).open()
		c.links.isolate(c.seeds[2].Address)
		request := requestOf("k")
		c.mustClaim(0, request)
		So(c.finishAt(0, request, completedWith("minutes")), ShouldBeNil)
		So(c.members[2].manager.keeper.recordOf(request), ShouldBeNil)
		c.links.heal(c.seeds[2].Address)
		c.eventually("the third keeper has the outcome", func() bool {
			record := c.members[2].manager.keeper.recordOf(request)
			return record != nil && record.State == StateFinished
		})
	})
	Convey("A claim whose replies are lost is refused as not run, and its grants are released", t, func() {
		c := newCluster(t, threeZones, true).open()
		c.links.mute(c.seeds[1].Address)
		c.links.mute(c.seeds[2].Address)
		request := requestOf("k")
		_, err := c.claimAt(0, request)
		refusalOf(err)
		for _, m := range c.members {
			So(m.manager.keeper.recordOf(request), ShouldNotBeNil)
		}
		So(c.finishAt(0, request, gateway.StoredOutcome{Outcome: v1.OutcomeNotRun}), ShouldBeNil)
		for _, m := range c.members {
			c.eventually("the key is free", func() bool { return m.manager.keeper.recordOf(request) == nil })
		}
	})
	Convey("A claim whose context is canceled is refused as not run", t, func() {
		c := newCluster(t, threeZones, true).open()
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		c.links.isolate(c.seeds[1].Address)
		c.links.isolate(c.seeds[2].Address)
		_, err := c.members[0].manager.Claim(ctx, requestOf("k"))
		refusalOf(err)
	})
}

func TestAbstaining(t *testing.T) {
	Convey("Keepers without a disk abstain for one retention time after their start", t, func() {
		c := newCluster(t, threeZones, false)
		_, err := c.claimAt(0, requestOf("k"))
		So(refusalOf(err).Message, ShouldContainSubstring, "abstain")
		c.clock.advance(testRetention)
		c.open()
		running := requestOf("running")
		c.mustClaim(0, running)
		Convey("and again after a restart, but they receive renewals of running claims", func() {
			c.restart(1)
			So(c.members[1].manager.keeper.isTableComplete(), ShouldBeFalse)
			c.members[0].manager.renew()
			c.eventually("the restarted keeper has the claim", func() bool {
				return c.members[1].manager.keeper.recordOf(running) != nil
			})
			c.links.isolate(c.seeds[2].Address)
			_, err := c.claimAt(0, requestOf("k"))
			So(refusalOf(err).Message, ShouldContainSubstring, "abstain")
		})
	})
	Convey("A keeper that lost its disk does not count as new beside one that has granted", t, func() {
		c := newCluster(t, threeZones, true).open()
		c.mustClaim(0, requestOf("k"))
		c.members[1].stop()
		So(os.Remove(filepath.Join(c.members[1].dataDir, storeFile)), ShouldBeNil)
		c.start(1)
		c.members[1].manager.bootstrap(context.Background())
		So(c.members[1].manager.keeper.isTableComplete(), ShouldBeFalse)
		c.links.isolate(c.seeds[0].Address)
		// One remaining keeper has the claim; the other lost it and abstains.
		for index := 1; index < 3; index++ {
			result, err := c.claimAt(index, requestOf("k"))
			So(err, ShouldBeNil)
			So(result.State, ShouldEqual, gateway.ClaimExisting)
		}
		c.clock.advance(testRetention)
		c.eventually("the keeper stops abstaining after the retention time", c.members[1].manager.keeper.isTableComplete)
	})
	Convey("Keepers that lose their disks one after another do not all appear new", t, func() {
		c := newCluster(t, threeZones, true).open()
		c.mustClaim(0, requestOf("k"))
		for index := range c.members {
			c.members[index].stop()
			So(os.Remove(filepath.Join(c.members[index].dataDir, storeFile)), ShouldBeNil)
			c.start(index)
			c.eventually("the restarted keeper records earlier grants", func() bool {
				c.members[index].manager.bootstrap(context.Background())
				return c.members[index].manager.keeper.knowsPeerGrants()
			})
		}
		for index := range c.members {
			_, err := c.claimAt(index, requestOf("k"))
			So(refusalOf(err).Message, ShouldContainSubstring, "abstain")
		}
		c.restart(0)
		So(c.members[0].manager.keeper.knowsPeerGrants(), ShouldBeTrue)
	})
	Convey("A single node grants at once with a disk, and after the retention time without", t, func() {
		withDisk := newCluster(t, threeZones[:1], true).open()
		withDisk.mustClaim(0, requestOf("k"))
		without := newCluster(t, threeZones[:1], false)
		_, err := without.claimAt(0, requestOf("k"))
		refusalOf(err)
		without.clock.advance(testRetention)
		without.open().mustClaim(0, requestOf("k"))
	})
}

func TestZones(t *testing.T) {
	Convey("A claim of a pool that is not permitted in the gateway's zone is refused", t, func() {
		c := newCluster(t, threeZones, true).open()
		c.members[0].source.Update(func(*cluster.View) *cluster.View { return viewOf(threeZones[1:]...) })
		_, err := c.claimAt(0, requestOf("k"))
		So(refusalOf(err).Message, ShouldContainSubstring, "not permitted")
	})
	Convey("A gateway whose keeper set differs adopts the one of the keepers", t, func() {
		c := newCluster(t, threeZones, true).open()
		c.members[0].manager.params.Seeds = c.seeds[:2]
		c.mustClaim(0, requestOf("k"))
		// A majority of two suffices for the grant; the third keeper may receive the claim later.
		c.eventually("the third keeper has the claim", func() bool {
			return c.members[2].manager.keeper.recordOf(requestOf("k")) != nil
		})
	})
	Convey("Keepers refuse claims of pools not permitted in their zone and drop their stored answers", t, func() {
		c := newCluster(t, threeZones, true).open()
		request := requestOf("k")
		c.mustClaim(0, request)
		So(c.finishAt(0, request, completedWith("minutes")), ShouldBeNil)
		keeper := c.members[2].manager.keeper
		c.eventually("the third keeper has the answer", func() bool {
			record := keeper.recordOf(request)
			return record != nil && record.Stored.Answer != nil
		})
		c.members[2].source.Update(func(*cluster.View) *cluster.View {
			view := viewOf(threeZones[:2]...)
			view.Revision = 2
			return view
		})
		c.eventually("the answer is dropped", func() bool { return keeper.recordOf(request).Stored.Answer == nil })
		So(keeper.update(learnMessage{Key: Key{Pool: testPool}, Record: runningRecord("x", 1)}, "zone-1").Forbidden, ShouldBeTrue)
		reply := keeper.claim(claimMessage{Key: Key{Pool: testPool, Key: "n"}, ID: "x", Members: names(c.seeds)}, "zone-1")
		So(reply.Verdict, ShouldEqual, verdictForbidden)
	})
	Convey("A claim is refused as not run when the table is full", t, func() {
		c := newCluster(t, threeZones[:1], true).open()
		c.members[0].manager.keeper.table.limits.MaxEntries = 1
		c.mustClaim(0, requestOf("k"))
		_, err := c.claimAt(0, requestOf("k2"))
		So(refusalOf(err).Code, ShouldEqual, v1.CodeOverloaded)
	})
}
