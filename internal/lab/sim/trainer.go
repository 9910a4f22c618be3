package sim

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/lab/invariant"
	"github.com/covelink/covelink/internal/rollout"
)

// retryInterval is the wait of a trainer after a call that failed.
const retryInterval = 200 * time.Millisecond

// trainerHost is a trainer and what outlives the owners of its batches.
type trainerHost struct {
	sim  *simulation
	spec Trainer

	// log holds the encoded groups of entries made durable; terms counts the owners.
	log   [][]byte
	terms uint64

	// submitted counts the trainer's own batches, consume holds the names of the batches to consume next.
	submitted int
	consume   []string
	awaited   int
	version   int64
	cursor    int64
	learnt    int
	held      int // samples of the batch that is consumed, not yet learnt from
	started   time.Time
	// busyUntil is when the trainer has learnt from all that it holds; idle is the time it had nothing before that.
	busyUntil time.Time
	idle      time.Duration
	opened    map[string]time.Time

	result    TrainerResult
	staleness *hdrhistogram.Histogram
}

func (s *simulation) addTrainers() {
	for _, spec := range s.scenario.Trainers {
		t := &trainerHost{
			sim: s, spec: spec, opened: make(map[string]time.Time), staleness: hdrhistogram.New(0, 1_000_000, 3),
		}
		t.result.Name = spec.Name
		s.trainers = append(s.trainers, t)
		s.history.Terms[spec.Name] = invariant.Terms{Pool: spec.Pool, StalenessBound: spec.StalenessBound}
		t.awaited = spec.Batches
		t.elect()
		t.planBatches()
		if t.awaited > 0 {
			s.working++
		}
		s.at(epoch, t.begin)
	}
	for _, publication := range s.scenario.Publications {
		s.at(epoch.Add(publication.At), func() { s.trainer(publication.Trainer).publish(publication.Version) })
	}
}

func (s *simulation) trainer(name string) *trainerHost {
	at := slices.IndexFunc(s.trainers, func(t *trainerHost) bool { return t.spec.Name == name })
	return s.trainers[at]
}

// planBatches plans the single batches of the scenario.
func (t *trainerHost) planBatches() {
	for _, batch := range t.sim.scenario.Batches {
		if batch.Trainer != t.spec.Name {
			continue
		}
		t.awaited++
		t.sim.at(epoch.Add(batch.At), func() { t.submit(batch.Name, v1.BatchSpec{Samples: batch.Samples}) })
	}
}

// elect gives the trainer's batches to a node: one of its own zone if there is one, else of another permitted zone.
func (t *trainerHost) elect() {
	if t.sim.owners[t.spec.Name] != nil {
		return
	}
	if n := t.nextNode(); n != nil {
		t.sim.newOwner(t, n)
		return
	}
	t.sim.after(t.sim.scenario.System.TakeOver, t.elect)
}

func (t *trainerHost) nextNode() *node {
	var candidates []*node
	for _, n := range t.sim.nodes {
		if n.up && !n.draining && t.permitted(n.zone.name) {
			candidates = append(candidates, n)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *node) int {
		return cmp.Compare(t.sim.network.delay(t.spec.Zone, a.zone.name), t.sim.network.delay(t.spec.Zone, b.zone.name))
	})
	if len(candidates) == 0 {
		return nil
	}
	nearest := slices.IndexFunc(candidates, func(n *node) bool { return n.zone != candidates[0].zone })
	if nearest < 0 {
		nearest = len(candidates)
	}
	// Trainers of one zone are spread over its nodes.
	own := slices.IndexFunc(t.sim.trainers, func(other *trainerHost) bool { return other == t })
	return candidates[(max(own, 0)+int(t.terms))%nearest]
}

func (t *trainerHost) permitted(zone string) bool {
	return slices.ContainsFunc(t.sim.scenario.Pools, func(pool Pool) bool {
		return pool.Name == t.spec.Pool && slices.Contains(pool.PermittedZones, zone)
	})
}

// takesOver are the faults after which an owner is recovered from its log.
var takesOver = []FaultKind{
	FaultOwnerCrash, FaultOwnerPause, FaultCommitLost, FaultNodeStop, FaultNodeCrash, FaultZoneLoss,
}

// needsLog reports whether the log of a batch owner can ever be read.
func (s *Scenario) needsLog() bool {
	return slices.ContainsFunc(s.Faults, func(fault Fault) bool { return slices.Contains(takesOver, fault.Kind) })
}

// keep makes entries durable. A log that nobody can read is not kept.
func (t *trainerHost) keep(entries []rollout.Entry) {
	if !t.sim.scenario.needsLog() {
		return
	}
	data, err := rollout.EncodeEntries(entries)
	if err != nil {
		panic("sim: entries cannot be encoded: " + err.Error())
	}
	t.log = append(t.log, data)
}

func (t *trainerHost) begin() {
	t.started, t.busyUntil = t.sim.now, t.sim.now
	t.publish(t.spec.FirstVersion)
	t.submitOwn()
}

// submitOwn keeps as many own batches submitted as the trainer wants ahead.
func (t *trainerHost) submitOwn() {
	for t.submitted < t.spec.Batches && t.submitted <= t.result.Batches+t.spec.Ahead {
		name := batchName(t.submitted)
		t.submitted++
		t.submit(name, t.batch(name))
	}
}

func batchName(number int) string { return fmt.Sprintf("step-%04d", number) }

func (t *trainerHost) batch(name string) v1.BatchSpec {
	var spec v1.BatchSpec
	for index := range t.spec.Samples {
		group := fmt.Sprintf("%s-group-%04d", name, index/t.spec.GroupSize)
		spec.Samples = append(spec.Samples, v1.SampleRequest{
			Prompt: prompt(fmt.Sprintf("%s-%d-%s", t.spec.Name, t.sim.scenario.Seed, group), t.spec.PromptWords),
			Group:  group, MaxTokens: t.spec.MaxTokens, Seed: int64(index),
		})
	}
	return spec
}

// prompt returns a text of a number of words that begins with a name.
func prompt(name string, words int) string {
	parts := make([]string, 0, words)
	for word := range max(words, 1) {
		parts = append(parts, fmt.Sprintf("%s-%d", name, word))
	}
	return strings.Join(parts, " ")
}

func (t *trainerHost) submit(name string, spec v1.BatchSpec) {
	t.opened[name] = t.sim.now
	t.sim.history.Batches = append(t.sim.history.Batches, invariant.Batch{
		Trainer: t.spec.Name, Name: name, Spec: spec, Expected: t.spec.Batches > 0,
	})
	t.call(func(h *ownerHost, reply func(error)) {
		h.submit(func(now time.Time) {
			_, err := h.owner.PutBatch(now, name, spec)
			h.replies = append(h.replies, func() { reply(err) })
		})
	}, func() {
		t.consume = append(t.consume, name)
		if len(t.consume) == 1 {
			t.cursor = 0
			t.fetch()
		}
	})
}

// publish states new weights.
func (t *trainerHost) publish(version int64) {
	wanted := v1.WeightVersion{Version: version, Digest: fmt.Sprintf("%064x", version), Location: fmt.Sprintf("weights/%d", version)}
	t.result.Versions++
	t.call(func(h *ownerHost, reply func(error)) {
		h.submit(func(now time.Time) {
			err := h.owner.PutVersion(now, wanted)
			h.replies = append(h.replies, func() { reply(err) })
		})
	}, func() {
		t.version = max(t.version, version)
		t.sim.history.Statements = append(t.sim.history.Statements, invariant.Statement{
			Trainer: t.spec.Name, Version: version, At: t.sim.now,
		})
	})
}

// fetch asks for the samples after the cursor.
func (t *trainerHost) fetch() {
	batch, began := t.consume[0], t.sim.now
	request := v1.FetchRequest{After: t.cursor, Version: t.version, Limit: t.spec.FetchLimit, Wait: t.spec.FetchWait}
	var response v1.FetchResponse
	t.try(func(h *ownerHost, reply func(error)) {
		h.submit(func(now time.Time) {
			h.waiters = append(h.waiters, &fetchWaiter{
				batch: batch, request: request, deadline: now.Add(request.Wait),
				reply: func(got v1.FetchResponse, err error) {
					response = got
					reply(err)
				},
			})
		})
	}, func(err error) {
		if err != nil {
			t.sim.after(retryInterval, t.fetch)
			return
		}
		t.received(batch, request, began, response)
	}, func() { t.sim.after(retryInterval, t.fetch) })
}

// received takes samples over, acknowledges them and asks for more.
func (t *trainerHost) received(batch string, request v1.FetchRequest, began time.Time, response v1.FetchResponse) {
	for _, sample := range response.Samples {
		t.take(sample, request, began)
	}
	if response.Next > t.cursor {
		t.cursor = response.Next
		t.acknowledge(batch, t.cursor)
	}
	if !response.Done {
		t.fetchWhenNeeded()
		return
	}
	for ; t.held > 0; t.held-- {
		t.learn()
	}
	t.result.Batches++
	t.awaited--
	t.consume = t.consume[1:]
	t.submitOwn()
	t.cursor = 0
	if len(t.consume) > 0 {
		t.fetchWhenNeeded()
	}
	if t.awaited == 0 {
		t.sim.at(t.busyUntil, func() { t.sim.working-- })
	}
}

// fetchWhenNeeded fetches once the trainer holds no more than half a fetch.
func (t *trainerHost) fetchWhenNeeded() {
	half := time.Duration(t.spec.FetchLimit/2) * t.spec.LearnPerSample
	if t.spec.WholeBatch {
		half = t.busyUntil.Sub(t.sim.now) // the next batch is collected meanwhile
	}
	t.sim.at(t.busyUntil.Add(-half), t.fetch)
}

func (t *trainerHost) take(sample v1.Sample, request v1.FetchRequest, began time.Time) {
	now := t.sim.now
	t.result.Samples++
	t.sim.result.DeliveredTokens += int64(sample.Tokens)
	age := request.Version - sample.OldestVersion()
	_ = t.staleness.RecordValue(max(0, age))
	if age > t.spec.StalenessBound {
		t.result.Staleness.OverBound++
	}
	taken := SampleResult{
		Trainer: sample.Trainer, Batch: sample.Batch, Index: sample.Index, At: t.sim.since(now),
		Opened: t.sim.since(t.opened[sample.Batch]), Tokens: sample.Tokens, Staleness: age,
	}
	for _, segment := range sample.Segments {
		if !slices.Contains(taken.Engines, segment.Engine) {
			taken.Engines = append(taken.Engines, segment.Engine)
		}
	}
	t.sim.result.Samples = append(t.sim.result.Samples, taken)
	if !t.sim.scenario.SkipInvariants {
		t.sim.history.Deliveries = append(t.sim.history.Deliveries, invariant.Delivery{
			Sample: sample, After: request.After, StatedVersion: request.Version, FetchedAt: began,
		})
	}
	if t.spec.WholeBatch {
		t.held++
		return
	}
	t.learn()
}

// learn takes the time to learn from a sample, and publishes the next version when enough will have been learnt from.
func (t *trainerHost) learn() {
	if t.sim.now.After(t.busyUntil) {
		t.idle += t.sim.now.Sub(t.busyUntil)
		t.busyUntil = t.sim.now
	}
	t.busyUntil = t.busyUntil.Add(t.spec.LearnPerSample)
	t.learnt++
	every := t.spec.PublishEverySamples
	if every > 0 && t.learnt%every == 0 {
		next := t.spec.FirstVersion + int64(t.learnt/every)
		t.sim.at(t.busyUntil, func() { t.publish(next) })
	}
}

func (t *trainerHost) acknowledge(batch string, position int64) {
	t.call(func(h *ownerHost, reply func(error)) {
		h.submit(func(time.Time) {
			_, err := h.owner.Ack(batch, v1.AckRequest{Position: position})
			h.replies = append(h.replies, func() { reply(err) })
		})
	}, func() {})
}

func (t *trainerHost) conclude() TrainerResult {
	result := t.result
	result.Idle = t.idle
	result.Wall = min(t.busyUntil.Sub(t.started), t.sim.end.Sub(t.started))
	if t.awaited > 0 {
		// What the trainer still waits for is idle time too.
		result.Wall = t.sim.now.Sub(t.started)
		result.Idle += max(0, t.sim.now.Sub(t.busyUntil))
	}
	result.Staleness.P50 = t.staleness.ValueAtQuantile(50)
	result.Staleness.P99 = t.staleness.ValueAtQuantile(99)
	result.Staleness.Max = t.staleness.Max()
	result.TakeOvers = max(int(t.terms)-1, 0)
	return result
}

// Commit implements rollout.Observer.
func (t *trainerHost) Commit() {}

// HandOver implements rollout.Observer.
func (t *trainerHost) HandOver() {}

// Tombstone implements rollout.Observer.
func (t *trainerHost) Tombstone() {}

// BatchComplete implements rollout.Observer.
func (t *trainerHost) BatchComplete(time.Duration) {}

// Rerun implements rollout.Observer.
func (t *trainerHost) Rerun(reason rollout.Reason) {
	switch reason {
	case rollout.ReasonStale:
		t.result.RerunsStale++
	case rollout.ReasonFailed:
		t.result.RerunsFailed++
	default:
		t.result.RerunsUnstamped++
	}
}

// Wasted implements rollout.Observer.
func (t *trainerHost) Wasted(tokens int) { t.result.WastedTokens += tokens }
