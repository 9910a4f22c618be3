package storerelay_test

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/metastore"
	"github.com/covelink/covelink/internal/metastore/metastoretest"
	"github.com/covelink/covelink/internal/storerelay"
)

// takeoverHarness is a store, three candidates of which one is the coordinator, and clients with two seeds each.
type takeoverHarness struct {
	store *metastoretest.Store
	// hubs holds the candidates' hubs by address, and unresponsive the addresses that leave polls unanswered.
	hubs         map[string]*storerelay.Hub
	unresponsive sync.Map
	// leader is the coordinator's address.
	leader  atomic.Value
	clients []*takeoverClient
	ctx     context.Context
	running sync.WaitGroup
}

type takeoverClient struct {
	snapshotRecorder
	holder atomic.Value
}

func (s *takeoverHarness) isLeader(address string) bool { return s.leader.Load() == address }

// elect makes a candidate the coordinator.
func (s *takeoverHarness) elect(address string) {
	s.leader.Store(address)
	spec, _ := json.Marshal(address)
	object := metastore.Object{Name: "lease", Spec: spec}
	client := s.store.Client()
	if _, err := client.Replace(s.ctx, leaseKind, object); err == nil {
		return
	}
	if _, err := client.Create(s.ctx, leaseKind, object); err != nil {
		panic(err)
	}
}

func (s *takeoverHarness) startHub(address string, candidates []string) {
	hub := storerelay.NewHub(storerelay.HubParams{
		Leading:    func() bool { return s.isLeader(address) },
		Lease:      leaseKind,
		Candidates: func() []string { return candidates },
	})
	s.hubs[address] = hub
	followers := metastore.NewFollowers(s.store.Client())
	hub.Attach(followers)
	for _, followed := range []string{kind, leaseKind} {
		s.running.Go(func() {
			followers.Follow(s.ctx, followed, metastore.FollowOptions{Changed: func(metastore.Snapshot) {}})
		})
	}
}

func (s *takeoverHarness) poll(ctx context.Context, address string, request storerelay.PollRequest) (storerelay.PollReply, error) {
	hub, ok := s.hubs[address]
	if !ok {
		return storerelay.PollReply{}, errUnreachable
	}
	if _, dead := s.unresponsive.Load(address); dead {
		<-ctx.Done()
		return storerelay.PollReply{}, ctx.Err()
	}
	return hub.Poll(ctx, request), nil
}

func (s *takeoverHarness) startClient(seeds ...string) *takeoverClient {
	started := &takeoverClient{}
	started.holder.Store("")
	s.clients = append(s.clients, started)
	client := storerelay.NewClient(storerelay.ClientParams{
		Direct:          metastore.NewFollowers(s.store.Client()),
		Poll:            s.poll,
		Coordinator:     func() string { return started.holder.Load().(string) },
		Seeds:           seeds,
		Lease:           leaseKind,
		FailoverTimeout: 3 * time.Second,
		Logger:          log.NewNopLogger(),
	})
	s.running.Go(func() { client.Run(s.ctx) })
	s.running.Go(func() { client.Follow(s.ctx, kind, metastore.FollowOptions{Changed: started.record}) })
	s.running.Go(func() {
		client.Follow(s.ctx, leaseKind, metastore.FollowOptions{Changed: func(snapshot metastore.Snapshot) {
			var holder string
			if object, ok := snapshot.Objects.Get("lease"); ok && json.Unmarshal(object.Spec, &holder) == nil {
				started.holder.Store(holder)
			}
		}})
	})
	return started
}

func (s *takeoverHarness) write(spec string) {
	object := metastore.Object{Name: "a", Spec: []byte(spec)}
	client := s.store.Client()
	if _, err := client.Replace(s.ctx, kind, object); err != nil {
		_, _ = client.Create(s.ctx, kind, object)
	}
}

func runTakeoverScenario(t *testing.T, name string, scenario func(s *takeoverHarness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		s := &takeoverHarness{store: metastoretest.New(), hubs: make(map[string]*storerelay.Hub), ctx: ctx}
		defer func() {
			cancel()
			s.running.Wait()
		}()
		s.leader.Store("")
		s.startHub("one", []string{"two", "three"})
		s.startHub("two", nil)
		s.startHub("three", nil)
		time.Sleep(100 * time.Millisecond)
		Convey(name, t, func() {
			scenario(s)
			for _, client := range s.clients {
				So(client.regressed, ShouldBeFalse)
			}
		})
	})
}

// Guards against a takeover at which every gateway lists its kinds from the store.
func TestTakeover(t *testing.T) {
	runTakeoverScenario(t, "Clients find a coordinator elected after their start, with one seed unreachable", func(s *takeoverHarness) {
		s.write(`"1"`)
		for range 20 {
			s.startClient("two", "gone")
		}
		time.Sleep(300 * time.Millisecond)
		calls := s.store.Calls()
		s.elect("one")
		time.Sleep(1500 * time.Millisecond)
		for _, client := range s.clients {
			So(client.specs(), ShouldResemble, map[string]string{"a": `"1"`})
		}
		// Allows for the lease write and the watches of three candidates.
		So(s.store.Calls()-calls, ShouldBeLessThan, 20)
	})
	runTakeoverScenario(t, "Clients find the next coordinator through the other candidates, without calls to the store", func(s *takeoverHarness) {
		s.elect("one")
		s.write(`"1"`)
		for range 20 {
			s.startClient("one", "two")
		}
		time.Sleep(5 * time.Second)
		s.unresponsive.Store("one", true)
		time.Sleep(2500 * time.Millisecond)
		calls := s.store.Calls()
		s.elect("three")
		s.write(`"2"`)
		time.Sleep(1500 * time.Millisecond)
		for _, client := range s.clients {
			So(client.specs(), ShouldResemble, map[string]string{"a": `"2"`})
		}
		So(s.store.Calls()-calls, ShouldBeLessThan, 30)
	})
	runTakeoverScenario(t, "Clients with only outdated seeds read the lease from the store, and all else from the coordinator", func(s *takeoverHarness) {
		s.elect("one")
		s.write(`"1"`)
		time.Sleep(5 * time.Second)
		calls := s.store.Calls()
		for range 20 {
			s.startClient("gone", "gone too")
		}
		time.Sleep(4 * time.Second)
		for _, client := range s.clients {
			So(client.specs(), ShouldResemble, map[string]string{"a": `"1"`})
		}
		// Allows a list and a watch per client, and the hub's own watches.
		So(s.store.Calls()-calls, ShouldBeLessThan, 20*3+20)
	})
}

func TestFailoverTimeoutWithin(t *testing.T) {
	Convey("The timeout leaves time to detect the loss and to catch up, and has a minimum", t, func() {
		So(storerelay.FailoverTimeoutWithin(2*time.Second), ShouldEqual, storerelay.DefaultFailoverTimeout)
		So(storerelay.FailoverTimeoutWithin(4*time.Second), ShouldEqual, 2450*time.Millisecond)
		So(storerelay.FailoverTimeoutWithin(time.Second), ShouldEqual, storerelay.DefaultFailoverTimeout)
	})
}
