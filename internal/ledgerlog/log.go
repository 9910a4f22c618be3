package ledgerlog

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/coord/quorumlog"
	"github.com/covelink/covelink/internal/cluster"
	"github.com/covelink/covelink/internal/keeper"
	"github.com/covelink/covelink/internal/leadership"
	"github.com/covelink/covelink/internal/rollout"
	"github.com/covelink/covelink/internal/rpc"
)

// openLog is one opening of a log. It implements rollout.Log.
type openLog struct {
	opener *Opener
	name   string
	zones  []string
	epoch  quorumlog.Epoch

	ctx    context.Context
	cancel context.CancelFunc
	work   sync.WaitGroup

	mu      sync.Mutex
	writer  *quorumlog.Writer
	changed chan struct{} // closed at the writer's next step
	nodes   map[string]cluster.Node
	onDisk  map[string]bool // by node, as it said itself
	tended  tending

	snapshot []byte
	pieces   [][]byte
}

// newOpenLog starts an opening, which lives until ctx ends or close.
func newOpenLog(ctx context.Context, o *Opener, name string, term leadership.Term, zones []string, round uint64) *openLog {
	ctx, cancel := context.WithCancel(ctx)
	l := &openLog{
		opener: o, name: name, zones: zones, epoch: newEpoch(term.Token, round), ctx: ctx, cancel: cancel,
		changed: make(chan struct{}), nodes: make(map[string]cluster.Node), onDisk: make(map[string]bool),
	}
	ranked := l.refresh()
	now := time.Now()
	l.tended.since = now
	l.writer = quorumlog.NewWriter(now, quorumlog.Config{
		Epoch: l.epoch, Candidates: ranked, Replicas: replicas, Create: true, MaySilent: maySilent(len(ranked)),
		Patience: patience, RetryAfter: retryAfter,
	})
	l.mu.Lock()
	l.flush()
	l.mu.Unlock()
	l.work.Go(l.run)
	return l
}

// refresh reads the nodes known now and returns the candidates in order. Members that left the permitted zones stay
// known by name.
func (l *openLog) refresh() []string {
	nodes := l.opener.nodes()
	for _, node := range nodes {
		l.nodes[node.Name] = node
	}
	var names []string
	for _, node := range candidates(l.name, nodes, l.zones) {
		names = append(names, node.Name)
	}
	return names
}

// close ends the opening and waits for its goroutines.
func (l *openLog) close() {
	l.cancel()
	l.step(func() {}) // whoever starts a goroutine holds the lock, and sees from here on that the context has ended
	l.work.Wait()
}

// run lets time pass for the writer.
func (l *openLog) run() {
	ticker := time.NewTicker(retryAfter / 4)
	defer ticker.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case now := <-ticker.C:
			l.step(func() {
				l.writer.Tick(now)
				l.tend(now)
			})
		}
	}
}

// step changes the writer, sends what it has to send, and wakes whoever waits for it.
func (l *openLog) step(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
	l.flush()
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *openLog) flush() {
	if l.ctx.Err() != nil {
		return
	}
	for _, message := range l.writer.Outgoing() {
		node, ok := l.nodes[message.To]
		if ok {
			l.work.Go(func() { l.send(node, message.Request) })
		}
	}
}

// send carries one message and its reply. What fails is sent again by the writer.
func (l *openLog) send(node cluster.Node, message quorumlog.Request) {
	ctx, cancel := context.WithTimeout(l.ctx, retryAfter)
	defer cancel()
	request := keeper.Request{Log: l.name, Zones: l.zones, Message: message}
	reply, err := l.call(ctx, node, request)
	if err != nil {
		return
	}
	l.step(func() {
		l.onDisk[node.Name] = reply.HasDisk
		l.writer.Step(time.Now(), node.Name, reply.Message)
	})
}

func (l *openLog) call(ctx context.Context, node cluster.Node, request keeper.Request) (keeper.Reply, error) {
	if node.Name == l.opener.params.Self.Name {
		return l.opener.params.Local.Step(request)
	}
	return rpc.Call[keeper.Request, keeper.Reply](ctx, l.opener.params.Client, node.Address, request)
}

// await waits until done reports true. The error is the writer's, or of a context.
func (l *openLog) await(ctx context.Context, done func() bool) error {
	for {
		l.mu.Lock()
		reached, err, changed := done(), l.writer.Err(), l.changed
		l.mu.Unlock()
		if err != nil {
			return mapped(err)
		}
		if reached {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		case <-l.ctx.Done():
			return l.ended()
		}
	}
}

// ended returns why the opening ended: another one took its place, or its term is over.
func (l *openLog) ended() error {
	l.opener.mu.Lock()
	defer l.opener.mu.Unlock()
	if l.opener.opened[l.name] != l {
		return rollout.ErrFenced
	}
	return l.ctx.Err()
}

func (l *openLog) awaitServing(ctx context.Context) error {
	err := l.await(ctx, func() bool { return l.writer.Serving() })
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.snapshot, l.pieces = l.writer.Recovered()
	return nil
}

// awaitInTime is await bounded by the commit timeout.
func (l *openLog) awaitInTime(ctx context.Context, done func() bool) error {
	bounded, cancel := context.WithTimeout(ctx, l.opener.params.CommitTimeout)
	defer cancel()
	err := l.await(bounded, done)
	if errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil {
		return ErrTooSlow
	}
	return err
}

// Append implements rollout.Log.
func (l *openLog) Append(ctx context.Context, entries []rollout.Entry) error {
	encoded, err := rollout.EncodeEntries(entries)
	if err != nil {
		return err
	}
	var last uint64
	var refused error
	l.step(func() { last, refused = l.writer.Append(time.Now(), split(encoded)...) })
	if refused != nil {
		return mapped(refused)
	}
	return l.awaitInTime(ctx, func() bool { return l.writer.Committed() >= last })
}

// Recover implements rollout.Log. It returns what was there when the log was opened.
func (l *openLog) Recover(context.Context) (snapshot []byte, entries []rollout.Entry, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.writer.Err(); err != nil {
		return nil, nil, mapped(err)
	}
	for _, encoded := range join(l.pieces) {
		group, err := rollout.DecodeEntries(encoded)
		if err != nil {
			return nil, nil, err
		}
		entries = append(entries, group...)
	}
	snapshot = l.snapshot
	l.snapshot, l.pieces = nil, nil
	if len(snapshot) == 0 {
		snapshot = nil
	}
	return snapshot, entries, nil
}

// Truncate implements rollout.Log.
func (l *openLog) Truncate(ctx context.Context, snapshot []byte) error {
	var refused error
	l.step(func() { refused = l.writer.Truncate(time.Now(), l.writer.Committed(), snapshot) })
	if refused != nil {
		return fmt.Errorf("ledgerlog: truncate: %w", mapped(refused))
	}
	return l.awaitInTime(ctx, func() bool { return l.writer.Truncated() })
}

// Info implements rollout.Log.
func (l *openLog) Info() rollout.LogInfo {
	l.mu.Lock()
	defer l.mu.Unlock()
	info := rollout.LogInfo{}
	durable := 0
	for _, member := range l.writer.Members() {
		info.Replicas = append(info.Replicas, member.Name)
		onDisk, told := l.onDisk[member.Name]
		if onDisk || !told && l.nodes[member.Name].HasDisk {
			durable++
		}
	}
	slices.Sort(info.Replicas)
	info.MemoryOnly = durable < len(info.Replicas)/2+1
	return info
}

func (l *openLog) warn(msg string, keyvals ...any) {
	_ = level.Warn(l.opener.logger).Log(append([]any{"msg", msg, "log", l.name}, keyvals...)...)
}
