package rollout

import (
	"cmp"
	"slices"
	"time"

	v1 "github.com/covelink/covelink/api/v1"
)

// The contract of delivery, as a trainer sees it.
//
// A sample is handed over at a position, which is logged before the bytes are sent. A trainer keeps a cursor with its own
// durable state: the position up to which it has consumed samples. It moves the cursor in the same step that makes the
// consumption durable, and acknowledges it. An acknowledged sample is final: it never comes again under any position.
//
//   - A trainer fetches with its cursor, one fetch at a time per batch. If the reply is lost, or the trainer crashes before
//     it has moved its cursor, it fetches again with the same cursor and must discard whatever it received above it: those
//     samples come again. They keep their positions and bytes, save those that have since gone stale. The position of such a
//     sample is tombstoned for good; its rerun has the same identity (trainer, batch, index) under a new position.
//   - So each identity is consumed exactly once by a trainer that discards what lies above its cursor. One that keeps such
//     samples, fetched and not acknowledged, may meet their identities a second time: those are its own to discard.
//   - A lost acknowledgement is sent again; a lower or equal one changes nothing. An acknowledgement that covers a tombstoned
//     position counts nothing for it: its identity is still to come. A trainer that is set back below what it
//     acknowledged does not get those samples again.
//   - Positions may be missing in a reply; Next covers the missing ones.
//   - Staleness is judged at hand-over and at each re-read against the highest version the trainer has ever stated, this fetch
//     included. A fetch that states a lower version than the highest (0 states none) is either a late copy of an old
//     request or a trainer set back. It gets fresh samples as any other, but never tombstones an offered one, since the trainer
//     may have consumed it: it is refused as a conflict, and the trainer fetches again stating the highest version.

const defaultFetchLimit = 256

// Fetch hands samples over. ready is false when there is nothing to answer yet: the caller may wait and ask again.
func (o *Owner) Fetch(now time.Time, batch string, request v1.FetchRequest) (response v1.FetchResponse, ready bool, err error) {
	response.Next = max(request.After, 0)
	b := o.ledger.batch(batch)
	switch {
	case b == nil:
		return response, false, v1.Errorf(v1.CodeNotFound, "no batch %s of trainer %s", batch, o.ledger.Trainer())
	case b.Cancelled:
		return response, false, v1.Errorf(v1.CodeGone, "batch %s is cancelled", batch)
	case request.Version < 0:
		return response, false, &v1.Error{Code: v1.CodeInvalid, Field: "version", Message: "must not be negative"}
	}
	if request.Version > o.ledger.Version() {
		o.stateVersion(now, VersionStated{Version: request.Version})
	}
	o.fetched = batch
	if b.Closed {
		response.Done = true
		return response, true, nil
	}
	if response.Next > b.last() {
		return response, false, v1.Errorf(v1.CodeConflict, "cursor %d is beyond the last position %d", request.After, b.last())
	}
	if err := o.withdrawStale(now, b, request); err != nil {
		return response, false, err
	}
	o.collect(b, request, &response)
	response.Done = b.Delivered == b.Size && response.Next == b.last()
	return response, len(response.Samples) > 0 || response.Done, nil
}

// withdrawStale tombstones the offered samples above the cursor that have gone stale.
func (o *Owner) withdrawStale(now time.Time, b *batchState, request v1.FetchRequest) error {
	for position := max(request.After, 0) + 1; position <= b.last(); position++ {
		s := b.offered(position)
		if s == nil || s.Acked || o.fresh(s.Answer.Segments) {
			continue
		}
		if request.Version < o.ledger.Version() {
			return v1.Errorf(v1.CodeConflict,
				"a sample above the cursor is stale at version %d, which the trainer has stated: fetch again with it", o.ledger.Version())
		}
		o.withdraw(now, s)
	}
	return nil
}

// withdraw tombstones a committed sample and queues its rerun.
func (o *Owner) withdraw(now time.Time, s *sampleState) {
	id, tokens := s.Answer.Identity, s.Answer.Tokens
	o.append(Tombstoned{Identity: id, Position: s.Position, Reason: ReasonStale})
	o.observer.Tombstone()
	o.rerun(now, id, ReasonStale, tokens)
}

// collect fills the response: first what is offered above the cursor, then newly handed over samples.
func (o *Owner) collect(b *batchState, request v1.FetchRequest, response *v1.FetchResponse) {
	limit := request.Limit
	if limit <= 0 {
		limit = defaultFetchLimit
	}
	bytes := 0
	fits := func(s *sampleState) bool {
		size := len(s.Answer.Text)
		if len(response.Samples) >= limit || (bytes > 0 && bytes+size > o.config.MaxFetchBytes) {
			return false
		}
		bytes += max(size, 1)
		return true
	}
	for response.Next < b.last() {
		s := b.offered(response.Next + 1)
		if s != nil && !s.Acked {
			if !fits(s) {
				return
			}
			response.Samples = append(response.Samples, s.sample())
		}
		response.Next++
	}
	o.handOver(b, response, fits)
}

func (o *Owner) handOver(b *batchState, response *v1.FetchResponse, fits func(*sampleState) bool) {
	ready := o.ready[b.Name]
	taken := 0
	for _, index := range ready {
		s := &b.Samples[index]
		if !fits(s) {
			break
		}
		taken++
		o.consumed++
		o.append(HandedOver{Identity: s.Answer.Identity, Position: b.last() + 1})
		o.observer.HandOver()
		response.Samples = append(response.Samples, s.sample())
		response.Next = b.last()
	}
	o.ready[b.Name] = ready[taken:]
}

// Ack takes note that the trainer has taken over every sample up to a position.
func (o *Owner) Ack(batch string, request v1.AckRequest) (v1.BatchStatus, error) {
	b := o.ledger.batch(batch)
	if b == nil || b.ended() || request.Position <= b.Cursor {
		return o.Status(batch)
	}
	if request.Position > b.last() {
		return v1.BatchStatus{}, &v1.Error{
			Code: v1.CodeInvalid, Field: "position", Message: "is beyond the last position handed over",
		}
	}
	o.append(Acked{Batch: batch, Position: request.Position})
	if b.Acked == b.Size {
		o.append(BatchClosed{Batch: batch})
		o.forgetBatch(batch)
	}
	return o.Status(batch)
}

// offerUndelivered makes every committed sample that was not handed over ready, or asks for its score.
func (o *Owner) offerUndelivered() {
	clear(o.ready)
	for _, id := range o.ledger.Undelivered() {
		if _, s, err := o.ledger.sample(id); err == nil {
			o.offerOrScore(id, s)
		}
	}
}

// offerOrScore makes a committed sample ready for hand-over, or asks for its score first.
func (o *Owner) offerOrScore(id Identity, s *sampleState) {
	if o.config.Scorer != "" && !s.Scored {
		o.actions = append(o.actions, Score{
			Identity: id, Attempt: s.Answer.Attempt, Scorer: o.config.Scorer, Text: s.Answer.Text,
		})
		return
	}
	o.makeReady(id, s)
}

// makeReady puts a sample among those to hand over: the one with the oldest version first, because it is the first to go
// stale.
func (o *Owner) makeReady(id Identity, s *sampleState) {
	ready := o.ready[id.Batch]
	if slices.Contains(ready, id.Index) {
		return
	}
	b := o.ledger.batch(id.Batch)
	oldest := v1.OldestVersion(s.Answer.Segments)
	at, _ := slices.BinarySearchFunc(ready, oldest+1, func(index int, target int64) int {
		return cmp.Compare(v1.OldestVersion(b.Samples[index].Answer.Segments), target)
	})
	o.ready[id.Batch] = slices.Insert(ready, at, id.Index)
}

// Scored attaches the score of an answer. A score of an answer that is no longer the sample is dropped.
func (o *Owner) Scored(id Identity, attempt uint32, score float64) {
	if !o.NeedsScore(id, attempt) {
		return
	}
	o.append(ScoreAttached{Identity: id, Attempt: attempt, Score: score})
	if _, s, err := o.ledger.sample(id); err == nil {
		o.makeReady(id, s)
	}
}

// NeedsScore reports whether the answer still waits for its score.
func (o *Owner) NeedsScore(id Identity, attempt uint32) bool {
	_, s, err := o.ledger.sample(id)
	return err == nil && s.Committed && !s.Scored && s.Answer.Attempt == attempt && s.Position == 0
}

// dropStale cancels running work and withdraws waiting answers that can no longer meet the bound. Samples already
// offered are left alone: the trainer may hold them.
func (o *Owner) dropStale(now time.Time) {
	for batch, ready := range o.ready {
		o.ready[batch] = o.freshOnly(batch, ready)
	}
	for _, id := range o.ledger.Undelivered() {
		if _, s, err := o.ledger.sample(id); err == nil && !o.fresh(s.Answer.Segments) {
			o.withdraw(now, s)
		}
	}
	for _, id := range o.running() {
		o.cancelStale(now, id)
	}
}

// freshOnly returns the ready samples that are not stale.
func (o *Owner) freshOnly(batch string, ready []int) []int {
	b := o.ledger.batch(batch)
	var kept []int
	for _, index := range ready {
		if o.fresh(b.Samples[index].Answer.Segments) {
			kept = append(kept, index)
		}
	}
	return kept
}
