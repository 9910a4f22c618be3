package quorumlog

import (
	"slices"
	"time"
)

// Config configures a Writer.
type Config struct {
	Epoch Epoch
	// Candidates are the replicas that may keep the log, those wanted most as members of a new log first.
	Candidates []string
	// Replicas is the number of members of a new log; fewer are taken if fewer candidates answer.
	Replicas int
	// Create makes a new log if no candidate keeps it.
	Create bool
	// MaySilent is how many candidates may fail to answer while the others say that they don't keep the log. It must be
	// less than a majority of the members of any log that the candidates may keep.
	MaySilent int

	// Patience is how long the writer waits for the answers of all candidates, and for a majority, before it gives up.
	Patience time.Duration
	// RetryAfter is how long a request may stay without a reply.
	RetryAfter time.Duration
	// MaxBatchBytes bounds the entries or the part of a snapshot in one message.
	MaxBatchBytes int
	// WindowBytes bounds the entries appended and not yet committed.
	WindowBytes int

	weakened weakened
}

// The defaults of Config, where it says zero.
const (
	DefaultReplicas      = 3
	DefaultPatience      = 5 * time.Second
	DefaultRetryAfter    = time.Second
	DefaultMaxBatchBytes = 1 << 20
	DefaultWindowBytes   = 64 << 20
)

func (c Config) withDefaults() Config {
	c.Replicas = cmpOr(c.Replicas, DefaultReplicas)
	c.Patience = cmpOr(c.Patience, DefaultPatience)
	c.RetryAfter = cmpOr(c.RetryAfter, DefaultRetryAfter)
	c.MaxBatchBytes = cmpOr(c.MaxBatchBytes, DefaultMaxBatchBytes)
	c.WindowBytes = cmpOr(c.WindowBytes, DefaultWindowBytes)
	return c
}

func cmpOr[T int | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}

// Message is a request on its way to a replica.
type Message struct {
	To      string
	Request Request
}

// stage is what a writer is doing.
type stage uint8

const (
	stageDiscovering stage = iota + 1
	stageProposing
	stageEstablishing
	stageFetching
	stageRecovering
	stageServing
	stageFailed
)

// Writer is the one writer of a log in an epoch. It is not safe for concurrent use.
//
// The caller sends the messages that Outgoing returns, hands every reply to Step, and calls Tick now and then, a few
// times within Config.RetryAfter. Once Serving it may append; an entry is committed when Committed has reached its index.
type Writer struct {
	config   Config
	stage    stage
	deadline time.Time
	failure  error
	sequence uint64
	peers    map[string]*peer
	order    []string // of peers, so that messages come in a fixed order
	outgoing []Message

	// members is the set of the newest entry of KindMembers, at membersIndex; previous is the one before.
	members      []Member
	previous     []Member
	membersIndex uint64
	change       change

	source    string // the peer that is fetched from
	snapshot  Snapshot
	entries   []Entry // follow the snapshot
	commit    uint64
	truncated uint64 // index of the last Truncate
	inFlight  int    // bytes of entries above commit
	recovered uint64 // index of the barrier
}

// change is a member replacement under way.
type change struct {
	out, in string
	active  bool
	logged  bool
}

// NewWriter returns a writer that has begun to look for the log.
func NewWriter(now time.Time, config Config) *Writer {
	w := &Writer{config: config.withDefaults(), peers: make(map[string]*peer)}
	for _, name := range config.Candidates {
		w.addPeer(name)
	}
	w.deadline = now.Add(w.config.Patience)
	w.discover(now)
	return w
}

func (w *Writer) addPeer(name string) *peer {
	if known, ok := w.peers[name]; ok {
		return known
	}
	added := &peer{name: name}
	w.peers[name] = added
	w.order = append(w.order, name)
	return added
}

// discover asks all candidates for their state. Starting over gains no time, so that it ends.
func (w *Writer) discover(now time.Time) {
	w.stage = stageDiscovering
	for _, p := range w.peers {
		*p = peer{name: p.name}
	}
	w.pump(now)
}

// Outgoing returns the messages to send, and forgets them.
func (w *Writer) Outgoing() []Message {
	outgoing := w.outgoing
	w.outgoing = nil
	return outgoing
}

// Serving reports whether the log is recovered and may be appended to.
func (w *Writer) Serving() bool { return w.stage == stageServing }

// Err returns why the writer failed, or nil: a *FencedError, ErrLost, ErrUnavailable or ErrNotFound.
func (w *Writer) Err() error { return w.failure }

// Committed returns the highest committed index, once Serving.
func (w *Writer) Committed() uint64 { return w.commit }

// Last returns the index of the last entry appended.
func (w *Writer) Last() uint64 { return w.snapshot.Index + uint64(len(w.entries)) }

// Members returns the members in force.
func (w *Writer) Members() []Member { return slices.Clone(w.members) }

// Recovered returns the snapshot's data and the caller's data appended after it, in order. It must be called once Serving and
// before the first Append or Truncate.
func (w *Writer) Recovered() (snapshot []byte, data [][]byte) {
	for _, entry := range w.entries {
		if entry.Kind == KindData {
			data = append(data, entry.Data)
		}
	}
	return w.snapshot.Data, data
}

// Append appends one entry for each item and returns the index of the last. ErrWindowFull, ErrNotServing, or Err.
func (w *Writer) Append(now time.Time, data ...[]byte) (uint64, error) {
	if err := w.ready(); err != nil {
		return 0, err
	}
	size := 0
	for _, item := range data {
		size += entryOverhead + len(item)
	}
	// An append larger than the window goes alone.
	if w.inFlight > 0 && w.inFlight+size > w.config.WindowBytes {
		return 0, ErrWindowFull
	}
	for _, item := range data {
		w.push(Entry{Kind: KindData, Data: item})
	}
	w.pump(now)
	return w.Last(), nil
}

func (w *Writer) ready() error {
	if w.failure != nil {
		return w.failure
	}
	if w.stage != stageServing {
		return ErrNotServing
	}
	return nil
}

func (w *Writer) push(entry Entry) {
	entry.Index = w.Last() + 1
	entry.Epoch = w.config.Epoch
	w.entries = append(w.entries, entry)
	w.inFlight += entry.Size()
}

// Truncate replaces the entries up to a committed index by a snapshot of the caller's state there. Truncated tells when
// the members have it.
func (w *Writer) Truncate(now time.Time, index uint64, data []byte) error {
	if err := w.ready(); err != nil {
		return err
	}
	if index > w.commit || index <= w.snapshot.Index {
		return ErrNotCommitted
	}
	head := SnapshotHead{Index: index, Epoch: w.epochAt(index), Members: w.membersAt(index), Size: len(data)}
	w.entries = slices.Clone(w.entries[index-w.snapshot.Index:])
	w.snapshot = Snapshot{SnapshotHead: head, Data: data}
	w.truncated = index
	w.pump(now)
	return nil
}

// Truncated reports whether a majority of the members keeps the last snapshot.
func (w *Writer) Truncated() bool {
	return w.agreed(func(p *peer) bool { return p.snapshot >= w.truncated })
}

// membersAt returns the set in force at a committed index.
func (w *Writer) membersAt(index uint64) []Member {
	members := w.snapshot.Members
	for _, entry := range w.entries[:index-w.snapshot.Index] {
		if entry.Kind == KindMembers {
			members = entry.Members
		}
	}
	return members
}

// epochAt returns the epoch of an entry that the writer holds, or of the snapshot's last.
func (w *Writer) epochAt(index uint64) Epoch {
	if index == w.snapshot.Index {
		return w.snapshot.Epoch
	}
	return w.entries[index-w.snapshot.Index-1].Epoch
}

// agreed reports whether a majority of the members satisfies the condition, and of the previous set too while a change
// of members is not committed.
func (w *Writer) agreed(condition func(*peer) bool) bool {
	if !w.majority(w.members, condition) {
		return false
	}
	return w.membersIndex <= w.commit || w.majority(w.previous, condition)
}

func (w *Writer) majority(set []Member, condition func(*peer) bool) bool {
	count := 0
	for _, member := range set {
		p, ok := w.peers[member.Name]
		if ok && (p.incarnation == member.Incarnation || w.config.weakened.countEmpty) && condition(p) {
			count++
		}
	}
	return count >= w.quorum(len(set))
}

func (w *Writer) quorum(size int) int {
	if w.config.weakened.halfQuorum {
		return max(1, size/2)
	}
	return size/2 + 1
}

// Step handles a reply. Replies that nobody waits for are ignored.
func (w *Writer) Step(now time.Time, from string, reply Reply) {
	p, ok := w.peers[from]
	if !ok || w.failure != nil || !p.waiting || p.request.Sequence != reply.Sequence {
		return
	}
	p.waiting = false
	p.heardAt = now
	if reply.Status == StatusFenced {
		w.fail(&FencedError{Promised: reply.Promised})
		return
	}
	w.take(now, p, reply)
	if w.failure == nil {
		w.pump(now)
	}
}

// Tick lets time pass: requests without a reply are sent again, and waiting ends.
func (w *Writer) Tick(now time.Time) {
	if w.failure != nil {
		return
	}
	if w.stage == stageDiscovering {
		w.decide(now)
	}
	if w.stage != stageServing && w.failure == nil && !now.Before(w.deadline) {
		w.fail(ErrUnavailable)
		return
	}
	if w.failure == nil {
		w.pump(now)
	}
}

func (w *Writer) fail(err error) {
	w.stage = stageFailed
	w.failure = err
	w.outgoing = nil
}
