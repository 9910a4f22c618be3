package batchrpc

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/batch"
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/rpc"
)

// fakeService keeps jobs, or refuses them as full. It also holds the lease.
type fakeService struct {
	mu   sync.Mutex
	full bool
	jobs map[string]batch.Job
}

func (s *fakeService) Submit(_ context.Context, job batch.Job) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.full {
		return batch.ErrFull
	}
	s.jobs[job.ID] = job
	return nil
}

func (s *fakeService) Read(_ context.Context, ref batch.Ref, _ int, _ time.Duration) (batch.ResultPage, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.jobs[ref.ID]; !known {
		return batch.ResultPage{}, batch.ErrNotFound
	}
	return batch.ResultPage{}, nil
}

func (s *fakeService) Body(context.Context, batch.Ref, string) ([]byte, error) {
	return nil, batch.ErrNotFound
}
func (s *fakeService) End(context.Context, batch.Ref) error         { return nil }
func (s *fakeService) Leading() bool                                { return true }
func (s *fakeService) AnswerPing(PingRequest) PingReply             { return PingReply{} }
func (s *fakeService) YieldTo(context.Context, string, int64) error { return nil }
func (s *fakeService) AddRewardRoutes([]string)                     {}

// newFakeCoordinator starts a service and returns it with a client.
func newFakeCoordinator(t *testing.T, maxStagedBytes int64) (*fakeService, *Client) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	service := &fakeService{jobs: make(map[string]batch.Job)}
	server := rpc.NewServer(log.NewNopLogger())
	Register(server, service, service, maxStagedBytes)
	go func() { _ = server.Serve(listener) }()
	calls := rpc.NewClient(rpc.Peer{Name: "gateway"}, func(ctx context.Context, address string) (net.Conn, error) {
		var dialer net.Dialer
		return dialer.DialContext(ctx, "tcp", address)
	})
	client := NewClient(ClientParams{
		Calls:       calls,
		Coordinator: func() Coordinator { return Coordinator{Address: listener.Addr().String()} },
		State:       fleet.NewState(),
		Logger:      log.NewNopLogger(),
	})
	t.Cleanup(func() {
		client.Close()
		calls.Close()
		listener.Close()
		server.Close()
	})
	return service, client
}

// A refused job was tried again for seconds, although its refusal was final.
func TestJobsWithoutRoom(t *testing.T) {
	const room = 8 << 20
	job := func(id string, count, size int) batch.Job { return batch.Job{ID: id, Items: itemsOf(count, size)} }
	Convey("A job above the size of a message arrives whole", t, func() {
		service, client := newFakeCoordinator(t, room)
		sent := job("large", 100, 60<<10)
		So(client.Submit(t.Context(), sent), ShouldBeNil)
		So(service.jobs["large"].Items, ShouldResemble, sent.Items)
	})
	Convey("A job without room is refused as not run, whether in parts or at once", t, func() {
		service, client := newFakeCoordinator(t, 2<<20)
		So(client.Submit(t.Context(), job("large", 100, 60<<10)), ShouldEqual, batch.ErrFull)
		service.full = true
		So(client.Submit(t.Context(), job("small", 1, 100)), ShouldEqual, batch.ErrFull)
		So(service.jobs, ShouldBeEmpty)
	})
	Convey("A job that was accepted before is accepted again, whatever room there is", t, func() {
		service, client := newFakeCoordinator(t, 2<<20)
		service.jobs["large"], service.jobs["small"] = batch.Job{}, batch.Job{}
		service.full = true
		So(client.Submit(t.Context(), job("large", 100, 60<<10)), ShouldBeNil)
		So(client.Submit(t.Context(), job("small", 1, 100)), ShouldBeNil)
	})
}
