package rollout

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/cluster"
	"github.com/covelink/covelink/internal/dispatch"
	"github.com/covelink/covelink/internal/leadership"
	"github.com/covelink/covelink/internal/rpc"
	"github.com/covelink/covelink/internal/settings"
	"github.com/covelink/covelink/internal/weights"
)

const testDeadline = 30 * time.Second

// leaseTable is the leases of a test's nodes, which are never lost unless revoked.
type leaseTable struct {
	mu      sync.Mutex
	holder  *cluster.Node
	token   uint64
	revoke  context.CancelFunc
	barred  string // the node that may not take the lease
	changed chan struct{}
}

type tableElector struct {
	table *leaseTable
	self  cluster.Node
}

func (e tableElector) Holder(string) (cluster.Node, bool) {
	e.table.mu.Lock()
	defer e.table.mu.Unlock()
	if e.table.holder == nil {
		return cluster.Node{}, false
	}
	return *e.table.holder, true
}

func (e tableElector) Campaign(ctx context.Context, name string, _ []string, lead func(context.Context, leadership.Term)) {
	for ctx.Err() == nil {
		token, leaseCtx, changed := e.acquire(ctx)
		if leaseCtx == nil {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		lead(leaseCtx, leadership.Term{Name: name, Token: token})
		e.release()
		select {
		case <-ctx.Done():
		case <-time.After(time.Millisecond):
		}
	}
}

func (e tableElector) acquire(ctx context.Context) (uint64, context.Context, chan struct{}) {
	e.table.mu.Lock()
	defer e.table.mu.Unlock()
	if e.table.holder != nil || e.table.barred == e.self.Name {
		return 0, nil, e.table.changed
	}
	node := e.self
	e.table.holder = &node
	e.table.token++
	leaseCtx, cancel := context.WithCancel(ctx)
	e.table.revoke = cancel
	return e.table.token, leaseCtx, nil
}

func (e tableElector) release() {
	e.table.mu.Lock()
	defer e.table.mu.Unlock()
	e.table.revoke()
	e.table.holder = nil
	close(e.table.changed)
	e.table.changed = make(chan struct{})
}

// take takes the lease from its holder, which may not have it again.
func (l *leaseTable) take() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.holder != nil {
		l.barred = l.holder.Name
		l.revoke()
	}
}

// terms counts the terms so far.
func (l *leaseTable) terms() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.token
}

// scripted is a Dispatcher that makes the answer of each sample, at the lowest version asked for, and fails some first attempts.
type scripted struct {
	mu     sync.Mutex
	failed map[string]bool
	gate   chan struct{} // closed: attempts may finish
	held   int           // attempts that wait at the gate
	resume map[string]int
}

func newScripted() *scripted {
	s := &scripted{failed: make(map[string]bool), gate: make(chan struct{}), resume: make(map[string]int)}
	close(s.gate)
	return s
}

// hold keeps attempts from finishing.
func (s *scripted) hold() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate = make(chan struct{})
}

func (s *scripted) arrive(task dispatch.Task) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held++
	s.resume[task.RequestID] = len(task.Resume)
	return s.gate
}

func (s *scripted) arrived() (held int, resume map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held, maps.Clone(s.resume)
}

func (s *scripted) failsFirst(requestID string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	again := s.failed[requestID]
	s.failed[requestID] = true
	return !again && strings.HasSuffix(requestID, "7")
}

func (s *scripted) Dispatch(ctx context.Context, task dispatch.Task, progress func(dispatch.Progress) error) dispatch.Result {
	whole := wordsOf(task.RequestID)
	result := dispatch.Result{Outcome: v1.OutcomeUnknown, Tokens: task.Resume, Segments: task.ResumeSegments}
	version := max(task.MinVersion, 1)
	half := max(len(whole)/2, len(task.Resume))
	add := func(from, to int) bool {
		if from == to {
			return true
		}
		if err := progress(dispatch.Progress{Index: from, Tokens: whole[from:to], Version: version, Engine: "e"}); err != nil {
			return false
		}
		result.Tokens = whole[:to]
		result.Segments = append(result.Segments[:len(result.Segments):len(result.Segments)],
			v1.Segment{Version: version, Engine: "e", FirstToken: from, Tokens: to - from})
		return true
	}
	if !add(len(task.Resume), half) || s.failsFirst(task.RequestID) {
		return result
	}
	select {
	case <-s.arrive(task):
	case <-ctx.Done():
		return result
	}
	if add(half, len(whole)) {
		result.Outcome, result.FinishReason = v1.OutcomeCompleted, "stop"
	}
	return result
}

func wordsOf(requestID string) []string {
	words := make([]string, 10)
	for i := range words {
		words[i] = fmt.Sprintf("%s#%d ", requestID, i)
	}
	return words
}

// publications is a Publisher that fails every first publication of a version.
type publications struct {
	mu   sync.Mutex
	seen map[int64]int
}

func (p *publications) Publish(_ context.Context, target weights.Target) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seen[target.Weights.Version]++
	if p.seen[target.Weights.Version] == 1 {
		return errors.New("no coordinator")
	}
	return nil
}

func (p *publications) count(version int64) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.seen[version]
}

// faultyLogs fails some of its first appends, after they were kept or before.
type faultyLogs struct {
	LogOpener
	mu      sync.Mutex
	appends int
}

const maxFaultyAppends = 100

type faultyLog struct {
	Log
	logs *faultyLogs
}

func (f *faultyLogs) Open(ctx context.Context, name string, term leadership.Term, zones []string) (Log, error) {
	opened, err := f.LogOpener.Open(ctx, name, term, zones)
	return faultyLog{opened, f}, err
}

func (f *faultyLogs) next() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.appends++
	return f.appends
}

func (f *faultyLogs) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.appends
}

func (f faultyLog) Append(ctx context.Context, entries []Entry) error {
	count := f.logs.next()
	switch {
	case count > maxFaultyAppends:
	case count%11 == 5:
		return errors.New("append refused")
	case count%11 == 8:
		return errors.Join(f.Log.Append(ctx, entries), errors.New("append's reply lost"))
	}
	return f.Log.Append(ctx, entries)
}

// testCluster is nodes over loopback; the last one is not in the election.
type testCluster struct {
	managers   []*Manager
	table      *leaseTable
	dispatcher *scripted
	published  *publications
	service    Service
}

func testView(spec v1.TrainerSpec) *cluster.View {
	spec.Pool = "pool"
	return &cluster.View{
		Pools: map[string]*v1.Pool{"pool": {Spec: v1.PoolSpec{PermittedZones: []string{"z"}}}, "far": {}},
		Trainers: map[string]*v1.Trainer{
			"t": {Spec: spec}, "far": {Spec: v1.TrainerSpec{Pool: "far"}},
		},
		Serving: true,
	}
}

func startCluster(t *testing.T, spec v1.TrainerSpec, logs LogOpener) *testCluster {
	c := &testCluster{
		table:      &leaseTable{changed: make(chan struct{})},
		dispatcher: newScripted(), published: &publications{seen: make(map[int64]int)},
	}
	source := cluster.NewHolder()
	source.Update(func(*cluster.View) *cluster.View { return testView(spec) })
	for index := range 3 {
		c.startNode(t, fmt.Sprintf("n%d", index), index < 2, source, logs)
	}
	c.service = c.managers[2].Service()
	return c
}

func (c *testCluster) startNode(t *testing.T, name string, elects bool, source cluster.Source, logs LogOpener) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	self := cluster.Node{Name: name, Zone: "z", Address: listener.Addr().String()}
	client := rpc.NewClient(rpc.Peer{Name: name, Zone: "z"}, nil)
	m := New(Params{
		Self: self, Source: source, Dispatcher: c.dispatcher, Elector: tableElector{c.table, self}, Client: client,
		Publisher: c.published, Logs: logs, Scorer: HTTPScorer{Client: http.DefaultClient},
		Limits: settings.Default().Limits, Logger: log.NewNopLogger(),
	})
	server := rpc.NewServer(log.NewNopLogger())
	m.Register(server)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = server.Serve(listener) })
	if elects {
		running.Go(func() { _ = m.Run(ctx) })
	}
	c.managers = append(c.managers, m)
	t.Cleanup(func() {
		cancel()
		client.Close()
		server.Close()
		listener.Close()
		running.Wait()
		http.DefaultClient.CloseIdleConnections()
	})
}

// consume is a trainer that follows the contract until the batch is done. between is called after each reply with their count.
func (c *testCluster) consume(ctx context.Context, batch string, version *int64, between func(replies int)) map[int]v1.Sample {
	got := make(map[int]v1.Sample)
	var cursor int64
	for replies := 1; ; replies++ {
		request := v1.FetchRequest{After: cursor, Version: *version, Limit: 64, Wait: time.Second}
		response, err := c.service.Fetch(ctx, "t", batch, request)
		So(err, ShouldBeNil)
		for _, sample := range response.Samples {
			_, twice := got[sample.Index]
			if twice || *version-sample.OldestVersion() > 1 || sample.Text != joinTokens(wordsOf(
				fmt.Sprintf("t/%s/%d", batch, sample.Index))) {
				So(fmt.Sprintf("sample %d twice, stale or not whole", sample.Index), ShouldBeEmpty)
			}
			got[sample.Index] = sample
		}
		cursor = response.Next
		_, err = c.service.Ack(ctx, "t", batch, v1.AckRequest{Position: cursor})
		So(err, ShouldBeNil)
		if response.Done {
			return got
		}
		between(replies)
	}
}

// fixedElector always names one holder.
type fixedElector struct {
	leadership.Elector
	holder atomic.Pointer[cluster.Node]
}

func (e *fixedElector) Holder(string) (cluster.Node, bool) { return *e.holder.Load(), true }

// eventually polls a condition until it holds, for at most testDeadline.
func eventually(holds func() bool) bool {
	for deadline := time.Now().Add(testDeadline); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}
