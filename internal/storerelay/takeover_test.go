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

// site is a store, three candidates of which one coordinates, and clients that know two seeds.
type site struct {
	store *metastoretest.Store
	// hubs are the candidates' by address, and dead those that leave polls without answer.
	hubs map[string]*storerelay.Hub
	dead sync.Map
	// leader is the address of the candidate that coordinates.
	leader  atomic.Value
	clients []*siteClient
	ctx     context.Context
	running sync.WaitGroup
}

type siteClient struct {
	observed
	holder atomic.Value
}

func (s *site) leads(address string) bool { return s.leader.Load() == address }

// appoint makes a candidate coordinate.
func (s *site) appoint(address string) {
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

func (s *site) startHub(address string, candidates []string) {
	hub := storerelay.NewHub(storerelay.HubParams{
		Leading:    func() bool { return s.leads(address) },
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

func (s *site) poll(ctx context.Context, address string, request storerelay.PollRequest) (storerelay.PollReply, error) {
	hub, ok := s.hubs[address]
	if !ok {
		return storerelay.PollReply{}, errCut
	}
	if _, dead := s.dead.Load(address); dead {
		<-ctx.Done()
		return storerelay.PollReply{}, ctx.Err()
	}
	return hub.Poll(ctx, request), nil
}

func (s *site) startClient(seeds ...string) *siteClient {
	found := &siteClient{}
	found.holder.Store("")
	s.clients = append(s.clients, found)
	client := storerelay.NewClient(storerelay.ClientParams{
		Direct:      metastore.NewFollowers(s.store.Client()),
		Poll:        s.poll,
		Coordinator: func() string { return found.holder.Load().(string) },
		Seeds:       seeds,
		Lease:       leaseKind,
		Patience:    3 * time.Second,
		Logger:      log.NewNopLogger(),
	})
	s.running.Go(func() { client.Run(s.ctx) })
	s.running.Go(func() { client.Follow(s.ctx, kind, metastore.FollowOptions{Changed: found.take}) })
	s.running.Go(func() {
		client.Follow(s.ctx, leaseKind, metastore.FollowOptions{Changed: func(snapshot metastore.Snapshot) {
			var holder string
			if object, ok := snapshot.Objects.Get("lease"); ok && json.Unmarshal(object.Spec, &holder) == nil {
				found.holder.Store(holder)
			}
		}})
	})
	return found
}

func (s *site) write(spec string) {
	object := metastore.Object{Name: "a", Spec: []byte(spec)}
	client := s.store.Client()
	if _, err := client.Replace(s.ctx, kind, object); err != nil {
		_, _ = client.Create(s.ctx, kind, object)
	}
}

func playSite(t *testing.T, name string, scene func(s *site)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		s := &site{store: metastoretest.New(), hubs: make(map[string]*storerelay.Hub), ctx: ctx}
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
			scene(s)
			for _, client := range s.clients {
				So(client.wentBack, ShouldBeFalse)
			}
		})
	})
}

// Each change of the coordinator cost some 1,000 calls of 250 gateways, which listed the lease, the routes and the engines from the
// store at the moment in which the next coordinator read the jobs there.
func TestTakeover(t *testing.T) {
	playSite(t, "Clients find a coordinator that is chosen after their start, by seeds of which some are of no use", func(s *site) {
		s.write(`"1"`)
		for range 20 {
			s.startClient("two", "gone")
		}
		time.Sleep(300 * time.Millisecond)
		calls := s.store.Calls()
		s.appoint("one")
		time.Sleep(1500 * time.Millisecond)
		for _, client := range s.clients {
			So(client.specs(), ShouldResemble, map[string]string{"a": `"1"`})
		}
		// The write of the lease and what the three candidates watch.
		So(s.store.Calls()-calls, ShouldBeLessThan, 20)
	})
	playSite(t, "Clients learn from the other candidates who follows a coordinator that is lost, and ask the store nothing", func(s *site) {
		s.appoint("one")
		s.write(`"1"`)
		for range 20 {
			s.startClient("one", "two")
		}
		time.Sleep(5 * time.Second)
		s.dead.Store("one", true)
		time.Sleep(2500 * time.Millisecond)
		calls := s.store.Calls()
		s.appoint("three")
		s.write(`"2"`)
		time.Sleep(1500 * time.Millisecond)
		for _, client := range s.clients {
			So(client.specs(), ShouldResemble, map[string]string{"a": `"2"`})
		}
		So(s.store.Calls()-calls, ShouldBeLessThan, 30)
	})
	playSite(t, "Clients whose seeds are all out of date turn to the store for the lease, and to the coordinator for the rest", func(s *site) {
		s.appoint("one")
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
		// A list and perhaps a watch each, and the hub's own watches.
		So(s.store.Calls()-calls, ShouldBeLessThan, 20*3+20)
	})
}

func TestPatienceWithin(t *testing.T) {
	Convey("A client's patience leaves time to notice the loss and to catch up, and has a least length", t, func() {
		So(storerelay.PatienceWithin(2*time.Second), ShouldEqual, storerelay.DefaultPatience)
		So(storerelay.PatienceWithin(4*time.Second), ShouldEqual, 2450*time.Millisecond)
		So(storerelay.PatienceWithin(time.Second), ShouldEqual, storerelay.DefaultPatience)
	})
}
