package quorumlog

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"
)

// chooser makes the choices of a schedule.
type chooser func(n int) int

// sim runs writers and replicas under a schedule of lost, repeated, reordered and late messages, crashes and pauses. It
// keeps the history of what the writers were told.
type sim struct {
	choose   chooser
	weakened weakened
	now      time.Time
	clock    int64
	names    []string
	replicas map[string]*simReplica
	writers  []*simWriter
	flying   []simMessage
	token    uint64
	values   int
	wiped    string // a replica that lost its storage and has not rejoined
	history  []*simOp
	serving  int
}

type simReplica struct {
	replica     *Replica
	storage     *MemoryStorage
	incarnation uint64
}

type simWriter struct {
	writer  *Writer
	open    *simOp
	state   []string // of the recovered log and all appended since
	pending []simPending
}

type simPending struct {
	index uint64
	op    *simOp
}

type simMessage struct {
	writer  int
	to      string
	request Request
	reply   *Reply
}

// simOp is one operation: an append of value, or a recovery that read the log.
type simOp struct {
	value  string
	read   string
	call   int64
	done   int64 // 0: unknown
	client int
}

func newSim(choose chooser, weak weakened) *sim {
	s := &sim{
		choose: choose, weakened: weak, now: time.Unix(0, 0), names: []string{"a", "b", "c", "d"},
		replicas: make(map[string]*simReplica),
	}
	for _, name := range s.names {
		s.replicas[name] = &simReplica{storage: &MemoryStorage{}}
		s.restart(name)
	}
	return s
}

func (s *sim) tick() int64 { s.clock++; return s.clock }

func (s *sim) restart(name string) {
	r := s.replicas[name]
	r.incarnation++
	replica, err := NewReplica(r.storage, r.incarnation)
	if err != nil {
		panic(err)
	}
	replica.weakened = s.weakened
	r.replica = replica
}

func (s *sim) open() {
	s.token++
	// Now and then the token stays and the opening tells the writers apart.
	epoch := Epoch{Token: s.token - s.token%2, Opening: s.token}
	order := slices.Clone(s.names)
	for i := range order {
		j := i + s.choose(len(order)-i)
		order[i], order[j] = order[j], order[i]
	}
	w := &simWriter{writer: NewWriter(s.now, Config{
		Epoch: epoch, Candidates: order, Replicas: 3, Create: true, MaySilent: 1, Patience: time.Minute,
		RetryAfter: time.Second, MaxBatchBytes: 200, weakened: s.weakened,
	})}
	w.open = &simOp{call: s.tick(), client: len(s.writers)}
	s.writers = append(s.writers, w)
	s.collect(len(s.writers) - 1)
}

// collect sends what a writer has to send, and notes what it has come to know.
func (s *sim) collect(index int) {
	w := s.writers[index]
	for _, message := range w.writer.Outgoing() {
		s.flying = append(s.flying, simMessage{writer: index, to: message.To, request: message.Request})
	}
	if w.open != nil && w.writer.Serving() {
		snapshot, data := w.writer.Recovered()
		if len(snapshot) > 0 {
			w.state = strings.Split(string(snapshot), ",")
		}
		for _, item := range data {
			w.state = append(w.state, string(item))
		}
		w.open.read = strings.Join(w.state, ",")
		w.open.done = s.tick()
		s.history = append(s.history, w.open)
		w.open = nil
		s.serving++
	}
	for len(w.pending) > 0 && w.pending[0].index <= w.writer.Committed() {
		w.pending[0].op.done = s.tick()
		w.pending = w.pending[1:]
	}
}

func (s *sim) append(index int) {
	w := s.writers[index]
	s.values++
	value := fmt.Sprint("v", s.values)
	last, err := w.writer.Append(s.now, []byte(value))
	if err != nil {
		return
	}
	op := &simOp{value: value, call: s.tick(), client: index}
	s.history = append(s.history, op)
	w.state = append(w.state, value)
	w.pending = append(w.pending, simPending{index: last, op: op})
	s.collect(index)
}

// truncate cuts the log when everything appended is committed, so that state is the state at the last index.
func (s *sim) truncate(index int) {
	w := s.writers[index]
	if !w.writer.Serving() || w.writer.Committed() != w.writer.Last() {
		return
	}
	_ = w.writer.Truncate(s.now, w.writer.Last(), []byte(strings.Join(w.state, ",")))
	s.collect(index)
}

// deliver hands over the message at a place: a request to its replica, whose reply flies back, or a reply.
func (s *sim) deliver(place int, keep bool) {
	message := s.flying[place]
	if !keep {
		s.flying = slices.Delete(s.flying, place, place+1)
	}
	if message.reply == nil {
		reply := s.replicas[message.to].replica.Step(message.request)
		s.flying = append(s.flying, simMessage{writer: message.writer, to: message.to, reply: &reply})
		return
	}
	s.writers[message.writer].writer.Step(s.now, message.to, *message.reply)
	s.collect(message.writer)
}

// wipe empties one replica, unless another one has not rejoined yet, or the log has too few members to bear it.
func (s *sim) wipe(name string) {
	if s.wiped != "" {
		return
	}
	for _, r := range s.replicas {
		if state := r.replica.describe(); state.Phase == PhaseEstablished && len(state.Members) < 3 {
			return
		}
	}
	s.wiped = name
	s.replicas[name].storage = &MemoryStorage{}
	s.restart(name)
}

// tend makes a writer take a wiped member back, or replace a member.
func (s *sim) tend(index int) {
	w := s.writers[index].writer
	if !w.Serving() || w.Changing() {
		return
	}
	members := w.Members()
	inside := slices.ContainsFunc(members, func(m Member) bool { return m.Name == s.wiped })
	switch {
	case s.wiped != "" && inside:
		_ = w.Replace(s.now, s.wiped, s.wiped)
	case s.wiped == "" && len(members) < 3:
		_ = w.Replace(s.now, "", s.names[s.choose(len(s.names))])
	case s.wiped == "":
		out := members[s.choose(len(members))].Name
		in := s.names[s.choose(len(s.names))]
		_ = w.Replace(s.now, out, in)
	}
	s.collect(index)
}

// healed notes a wiped replica that the newest writer counts in its new incarnation, or does not count at all.
func (s *sim) healed() {
	if s.wiped == "" || len(s.writers) == 0 {
		return
	}
	w := s.writers[len(s.writers)-1].writer
	if !w.Serving() || w.Changing() || w.membersIndex > w.commit {
		return
	}
	for _, member := range w.Members() {
		if member.Name == s.wiped && member.Incarnation != s.replicas[s.wiped].replica.stored.State.Incarnation {
			return
		}
	}
	s.wiped = ""
}

func (s *sim) step() {
	if len(s.writers) == 0 {
		s.open()
	}
	newest := len(s.writers) - 1
	any := newest
	if s.choose(3) == 0 {
		any = s.choose(len(s.writers))
	}
	switch choice := s.choose(200); {
	case choice < 130:
		s.deliverAny(false)
	case choice < 136:
		s.deliverAny(true)
	case choice < 142:
		if len(s.flying) > 0 {
			place := s.choose(len(s.flying))
			s.flying = slices.Delete(s.flying, place, place+1)
		}
	case choice < 162:
		s.append(any)
	case choice < 170:
		s.append(newest)
	case choice < 180:
		s.now = s.now.Add(time.Second)
		s.writers[any].writer.Tick(s.now)
		s.collect(any)
	case choice < 183:
		s.open()
	case choice < 187:
		s.truncate(any)
	case choice < 191:
		s.restart(s.names[s.choose(len(s.names))])
	case choice < 194:
		s.wipe(s.names[s.choose(len(s.names))])
	default:
		s.tend(any)
	}
	s.healed()
}

func (s *sim) deliverAny(keep bool) {
	if len(s.flying) > 0 {
		s.deliver(s.choose(len(s.flying)), keep)
	}
}

// settle opens a last writer on a network without faults and reports whether it serves.
func (s *sim) settle() error {
	s.open()
	last := s.writers[len(s.writers)-1].writer
	for range 200 {
		for len(s.flying) > 0 {
			s.deliver(0, false)
		}
		if last.Serving() {
			return nil
		}
		s.now = s.now.Add(time.Second)
		last.Tick(s.now)
		s.collect(len(s.writers) - 1)
	}
	return fmt.Errorf("last writer does not serve: %w", last.Err())
}

// check reports a history that no append-only log explains.
func (s *sim) check() bool {
	var operations []porcupine.Operation
	for _, op := range s.history {
		if op.done == 0 && !s.seen(op.value) {
			continue // never acknowledged and never read: it may as well not have happened
		}
		done := op.done
		if done == 0 {
			done = math.MaxInt64
		}
		operations = append(operations, porcupine.Operation{ClientId: op.client, Input: op.value, Output: op.read, Call: op.call, Return: done})
	}
	return porcupine.CheckOperations(logModel(s.final()), operations)
}

// final returns the log that the last recovery read.
func (s *sim) final() []string {
	for _, op := range slices.Backward(s.history) {
		if op.value == "" && op.read != "" {
			return strings.Split(op.read, ",")
		}
	}
	return nil
}

func (s *sim) seen(value string) bool {
	for _, op := range s.history {
		if op.value == "" && slices.Contains(strings.Split(op.read, ","), value) {
			return true
		}
	}
	return false
}

// logModel is a log that is appended to (the input is the value) and read whole (the input is empty). Its state is its
// length: what it holds is a beginning of the log read last, as nothing is ever taken back.
func logModel(final []string) porcupine.Model {
	return porcupine.Model{
		Init: func() any { return 0 },
		Step: func(state, input, output any) (bool, any) {
			length := state.(int)
			if input == "" {
				return output == strings.Join(final[:length], ","), state
			}
			return length < len(final) && final[length] == input, length + 1
		},
	}
}
