package survival

import (
	"cmp"
	"maps"
	"slices"
	"time"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/coord/quorumlog"
	"github.com/covelink/covelink/internal/dispatch"
	"github.com/covelink/covelink/internal/rollout"
)

// The product's own values, of ledgerlog and rollout.
const (
	logReplicas   = 3
	logPatience   = 3 * time.Second
	logRetryAfter = time.Second
	replaceAfter  = 30 * time.Second
	commitTimeout = 10 * time.Second
	openingBits   = 32
	termTick      = 100 * time.Millisecond
	reopenAfter   = 100 * time.Millisecond
)

const (
	stalenessBound = 1
	unbounded      = 1 << 40
	maxTokens      = 64
	maxInFlight    = 4
	maxFetchBytes  = 1 << 16
)

// term is one term of the batch owner: it opens the log, recovers, and then calls the owner, makes its entries durable, and
// only then answers and acts.
type term struct {
	node   *node
	token  uint64
	round  uint64
	epoch  quorumlog.Epoch
	ended  bool
	writer *quorumlog.Writer
	owner  *rollout.Owner

	inputs  []func(now time.Time)
	waiters []*waiter
	replies []func()
	running map[attemptKey]*stream

	// pending waits for the log; nil when nothing does.
	pending *pendingGroup
}

type attemptKey struct {
	identity rollout.Identity
	number   uint32
}

// pendingGroup is what may be done once the log has the index.
type pendingGroup struct {
	index   uint64
	encoded []byte
	since   time.Duration
	actions []rollout.Action
	replies []func()
}

// waiter is a fetch that waits for a first sample.
type waiter struct {
	request  v1.FetchRequest
	deadline time.Time
	reply    func(v1.FetchResponse, error)
}

func newTerm(n *node, token, round uint64) *term {
	t := &term{node: n, token: token, round: round, running: make(map[attemptKey]*stream)}
	names := make([]string, 0, len(n.world.nodes))
	for _, other := range n.world.nodes {
		names = append(names, other.name)
	}
	t.epoch = quorumlog.Epoch{Token: token, Opening: round<<openingBits | uint64(n.world.rand.Uint32())}
	t.writer = quorumlog.NewWriter(n.world.now(), quorumlog.Config{
		Epoch: t.epoch, Candidates: names, Replicas: logReplicas, Create: true, MaySilent: 1,
		Patience: logPatience, RetryAfter: logRetryAfter,
	})
	n.world.wakeSleeper(n)
	t.flush()
	t.tick()
	return t
}

// end cancels what runs. The trainer's calls get no answer.
func (t *term) end() {
	t.ended = true
	for _, s := range sortedStreams(t.running) {
		s.cancel()
	}
}

func sortedStreams(running map[attemptKey]*stream) []*stream {
	streams := slices.Collect(maps.Values(running))
	slices.SortFunc(streams, func(a, b *stream) int { return cmp.Compare(a.id, b.id) })
	return streams
}

func (t *term) tick() {
	if t.ended {
		return
	}
	t.writer.Tick(t.node.world.now())
	t.tend()
	t.step()
	t.node.after(termTick, t.tick)
}

// flush sends what the writer has to send.
func (t *term) flush() {
	w := t.node.world
	for _, message := range t.writer.Outgoing() {
		for _, to := range w.nodes {
			if to.name == message.To {
				w.send(t.node, to, func() { t.serve(to, message.Request) })
			}
		}
	}
}

func (t *term) serve(at *node, request quorumlog.Request) {
	reply := at.keeper.step(request)
	if t.node.world.commitLost && request.Op == quorumlog.OpAppend {
		return
	}
	t.node.world.send(at, t.node, func() {
		if !t.ended {
			t.writer.Step(t.node.world.now(), at.name, reply)
			t.step()
		}
	})
}

// step goes on as far as the log has come.
func (t *term) step() {
	t.flush()
	if t.writer.Err() != nil {
		t.reopen()
		return
	}
	if t.owner == nil && t.writer.Serving() {
		t.recover()
	}
	if t.pending != nil {
		t.settle()
	}
	if t.owner != nil && t.pending == nil && !t.ended {
		t.turn()
	}
}

// reopen begins anew in the same term, if the lease is still held then.
func (t *term) reopen() {
	t.end()
	n := t.node
	n.after(reopenAfter, func() {
		if n.term == t {
			n.term = newTerm(n, t.token, t.round+1)
		}
	})
}

func (t *term) recover() {
	ledger := rollout.NewLedger(trainerName)
	_, groups := t.writer.Recovered()
	t.node.world.commits.recover(t.epoch, groups)
	for _, group := range groups {
		entries, err := rollout.DecodeEntries(group)
		if err != nil {
			t.node.world.breach("a committed group of the ledger cannot be read: %v", err)
			continue
		}
		for _, entry := range entries {
			if err := ledger.Apply(entry); err != nil {
				t.node.world.breach("the ledger refuses a committed %T: %v", entry, err)
			}
		}
	}
	owner, err := rollout.NewOwner(t.node.world.now(), ledger, t.token, t.config(), silentObserver{})
	if err != nil {
		t.node.world.breach("an owner cannot start on the ledger: %v", err)
		t.end()
		return
	}
	t.owner = owner
}

func (t *term) config() rollout.Config {
	bound := int64(stalenessBound)
	if t.node.world.guards.noStaleness {
		bound = unbounded
	}
	return rollout.Config{
		Pool: poolName, Bound: bound, MaxInFlight: maxInFlight, Weight: 1, MaxTokens: maxTokens,
		MaxBatchSamples: batchSamples, MaxFetchBytes: maxFetchBytes,
	}
}

// submit calls the owner in its next turn.
func (t *term) submit(input func(now time.Time)) {
	if t.ended {
		return
	}
	t.inputs = append(t.inputs, input)
	if t.owner != nil && t.pending == nil {
		t.turn()
	}
}

func (t *term) turn() {
	now := t.node.world.now()
	inputs := t.inputs
	t.inputs = nil
	for _, input := range inputs {
		input(now)
	}
	t.owner.Schedule(now)
	t.serveWaiters(now)
	actions, replies := t.owner.Actions(), t.replies
	t.replies = nil
	group, durable := firstAppend(actions)
	if !durable {
		t.act(actions, replies)
		return
	}
	t.commit(group.Entries, actions[1:], replies)
}

func firstAppend(actions []rollout.Action) (rollout.Append, bool) {
	if len(actions) == 0 {
		return rollout.Append{}, false
	}
	group, ok := actions[0].(rollout.Append)
	return group, ok
}

func (t *term) commit(entries []rollout.Entry, actions []rollout.Action, replies []func()) {
	encoded, err := rollout.EncodeEntries(entries)
	if err != nil {
		panic(err) // entries are always encodable
	}
	index, err := t.writer.Append(t.node.world.now(), encoded)
	if err != nil {
		t.reopen()
		return
	}
	t.pending = &pendingGroup{
		index: index, encoded: encoded, since: t.node.world.clock.Now(), actions: actions, replies: replies,
	}
	t.flush()
}

// settle carries out what waited for the log. An owner that cannot tell whether its entries were kept ends.
func (t *term) settle() {
	waited := t.node.world.clock.Now() - t.pending.since
	if t.writer.Committed() < t.pending.index {
		if waited > commitTimeout {
			t.reopen()
		}
		return
	}
	done := t.pending
	t.pending = nil
	t.node.world.commits.tell(t.epoch, done.encoded)
	t.act(done.actions, done.replies)
}

func (t *term) act(actions []rollout.Action, replies []func()) {
	for _, reply := range replies {
		reply()
	}
	for _, action := range actions {
		switch a := action.(type) {
		case rollout.Start:
			t.start(a)
		case rollout.Cancel:
			key := attemptKey{a.Identity, a.Attempt}
			if s, ok := t.running[key]; ok {
				delete(t.running, key)
				s.cancel()
			}
		}
	}
}

func (t *term) serveWaiters(now time.Time) {
	t.waiters = slices.DeleteFunc(t.waiters, func(w *waiter) bool {
		response, ready, err := t.owner.Fetch(now, batchName, w.request)
		if !ready && err == nil && now.Before(w.deadline) {
			return false
		}
		t.replies = append(t.replies, func() { w.reply(response, err) })
		return true
	})
}

func (t *term) start(a rollout.Start) {
	key := attemptKey{a.Identity, a.Attempt}
	progress := func(told dispatch.Progress) {
		t.submit(func(now time.Time) { t.owner.Progress(now, a.Identity, a.Attempt, told) })
	}
	done := func(result dispatch.Result) {
		delete(t.running, key)
		t.submit(func(now time.Time) { t.owner.Finished(now, a.Identity, a.Attempt, result) })
	}
	t.running[key] = t.node.startStream(a.Task, progress, done)
}

// tend takes back a replica that has lost its disk, and replaces one that is silent, as ledgerlog does.
func (t *term) tend() {
	if !t.writer.Serving() || t.writer.Changing() {
		return
	}
	now := t.node.world.now()
	members := t.writer.Status()
	for _, member := range members {
		if member.Lost {
			_ = t.writer.Replace(now, member.Name, member.Name)
			return
		}
		if member.Waiting && now.Sub(member.HeardAt) > replaceAfter && !member.HeardAt.IsZero() {
			_ = t.writer.Replace(now, member.Name, t.spare(members))
			return
		}
	}
}

// spare returns a node that is up and no member.
func (t *term) spare(members []quorumlog.ReplicaStatus) string {
	for _, other := range t.node.world.nodes {
		isMember := slices.ContainsFunc(members, func(m quorumlog.ReplicaStatus) bool { return m.Name == other.name })
		if !isMember && !other.down {
			return other.name
		}
	}
	return ""
}

// silentObserver takes no notice.
type silentObserver struct{}

func (silentObserver) Commit()                     {}
func (silentObserver) HandOver()                   {}
func (silentObserver) Tombstone()                  {}
func (silentObserver) Rerun(rollout.Reason)        {}
func (silentObserver) Wasted(int)                  {}
func (silentObserver) BatchComplete(time.Duration) {}
