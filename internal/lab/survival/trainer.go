package survival

import (
	"fmt"
	"time"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/lab/invariant"
)

const (
	batchSamples = 60
	fetchLimit   = 4
	fetchWait    = 400 * time.Millisecond
	callTimeout  = time.Second
	callPause    = 30 * time.Millisecond
	// learnEach is how many samples the trainer consumes for a new version.
	learnEach  = 10
	trainerIn  = "c"
	swapWithin = 600 * time.Millisecond
	// rereadShare of the fetches are forgotten before the trainer has moved its cursor.
	rereadShare = 0.05
)

// trainer follows the contract of delivery: it fetches, learns, moves its cursor, acknowledges, and states its versions.
type trainer struct {
	world    *world
	spec     v1.BatchSpec
	node     int
	cursor   int64
	acked    int64
	version  int64
	learned  int
	consumed map[int]bool
	// stated is the version that the system has acknowledged.
	stated    int64
	submitted bool
	whole     bool
	done      bool
}

func newTrainer(w *world) *trainer {
	t := &trainer{world: w, version: 1, stated: 1, consumed: make(map[int]bool)}
	for index := range batchSamples {
		t.spec.Samples = append(t.spec.Samples, v1.SampleRequest{
			Prompt: fmt.Sprintf("sample %d", index), MaxTokens: maxTokens, Seed: int64(index), Group: fmt.Sprint(index / 4),
		})
	}
	w.history.Batches = []invariant.Batch{{Trainer: trainerName, Name: batchName, Spec: t.spec, Expected: true}}
	w.clock.After(callPause, t.next)
	return t
}

// next makes the next call.
func (t *trainer) next() {
	switch {
	case t.done:
	case !t.submitted:
		t.submit()
	case t.stated < t.version:
		t.state()
	case t.acked < t.cursor:
		t.ack()
	case t.whole:
		t.done = true
	default:
		t.fetch()
	}
}

// ask makes one call at a node; after it, with or without an answer, the trainer goes on.
func (t *trainer) ask(lost *bool, at func(*term, time.Time, func(answer func())), failed func()) {
	w := t.world
	target := w.nodes[t.node]
	over := false
	conclude := func(answer func()) {
		if over {
			return
		}
		over = true
		answer()
		w.clock.After(callPause, t.next)
	}
	giveUp := func() {
		t.node = (t.node + 1) % len(w.nodes)
		failed()
	}
	reply := func(answer func()) {
		if lost != nil && *lost {
			return
		}
		w.carry(target.zone, trainerIn, func() { conclude(answer) })
	}
	w.carry(trainerIn, target.zone, func() {
		target.run(func() {
			owner := target.term
			if owner == nil || owner.owner == nil {
				reply(giveUp)
				return
			}
			owner.submit(func(now time.Time) { at(owner, now, reply) })
		})
	})
	w.clock.After(callTimeout, func() { conclude(giveUp) })
}

func nothing() {}

func (t *trainer) submit() {
	t.ask(nil, func(owner *term, now time.Time, reply func(func())) {
		_, err := owner.owner.PutBatch(now, batchName, t.spec)
		owner.replies = append(owner.replies, func() { reply(func() { t.submitted = err == nil }) })
	}, nothing)
}

func (t *trainer) state() {
	version := t.version
	t.ask(&t.world.ackLost, func(owner *term, now time.Time, reply func(func())) {
		err := owner.owner.PutVersion(now, v1.WeightVersion{Version: version, Digest: fmt.Sprint(version)})
		owner.replies = append(owner.replies, func() {
			reply(func() {
				t.stated = max(t.stated, version)
				if err == nil {
					statement := invariant.Statement{Trainer: trainerName, Version: version, At: t.world.now()}
					t.world.history.Statements = append(t.world.history.Statements, statement)
				}
			})
		})
	}, nothing)
}

func (t *trainer) ack() {
	position := t.cursor
	t.ask(&t.world.ackLost, func(owner *term, _ time.Time, reply func(func())) {
		_, err := owner.owner.Ack(batchName, v1.AckRequest{Position: position})
		owner.replies = append(owner.replies, func() {
			reply(func() {
				if err == nil {
					t.acked = position
				}
			})
		})
	}, nothing)
}

func (t *trainer) fetch() {
	request := v1.FetchRequest{After: t.cursor, Version: t.version, Limit: fetchLimit, Wait: fetchWait}
	began := t.world.now()
	t.ask(&t.world.fetchLost, func(owner *term, now time.Time, reply func(func())) {
		owner.waiters = append(owner.waiters, &waiter{
			request: request, deadline: now.Add(fetchWait),
			reply: func(response v1.FetchResponse, err error) {
				reply(func() { t.take(request, began, response, err) })
			},
		})
	}, nothing)
}

// take consumes what a fetch brought, unless the trainer crashes before it has moved its cursor.
func (t *trainer) take(request v1.FetchRequest, began time.Time, response v1.FetchResponse, err error) {
	if err != nil {
		return
	}
	w := t.world
	for _, sample := range response.Samples {
		w.history.Deliveries = append(w.history.Deliveries, invariant.Delivery{
			Sample: sample, After: request.After, StatedVersion: request.Version, FetchedAt: began,
		})
	}
	if w.rand.Float64() < rereadShare {
		return
	}
	for _, sample := range response.Samples {
		if t.consumed[sample.Index] {
			w.breach("the trainer consumed sample %d twice", sample.Index)
		}
		t.consumed[sample.Index] = true
		t.learned++
		w.deliveries = append(w.deliveries, w.clock.Now())
	}
	t.cursor = response.Next
	t.whole = response.Done
	if t.learned >= learnEach {
		t.learned = 0
		t.learn()
	}
}

// learn makes a new version, which the engines serve before long. Half of the versions are stated before the next fetch.
func (t *trainer) learn() {
	t.version++
	version := t.version
	if t.world.rand.IntN(2) == 0 {
		t.stated = version
	}
	for _, host := range t.world.engines {
		t.world.clock.After(t.world.between(0, swapWithin), func() { host.swap(version) })
	}
}
