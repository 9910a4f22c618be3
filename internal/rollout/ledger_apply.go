package rollout

import "fmt"

// Apply changes the ledger by one entry. An error wraps ErrRefused and leaves the ledger as it was.
func (l *Ledger) Apply(entry Entry) error {
	switch e := entry.(type) {
	case TermStarted:
		return l.termStarted(e)
	case BatchOpened:
		return l.batchOpened(e)
	case VersionStated:
		return l.versionStated(e)
	case PartialSaved:
		return l.partialSaved(e)
	case SampleCommitted:
		return l.sampleCommitted(e)
	case ScoreAttached:
		return l.scoreAttached(e)
	case HandedOver:
		return l.handedOver(e)
	case Tombstoned:
		return l.tombstoned(e)
	case Acked:
		return l.acked(e)
	case BatchCancelled:
		return l.batchCancelled(e)
	case BatchClosed:
		return l.batchClosed(e)
	}
	return fmt.Errorf("%w: unknown type %T", ErrRefused, entry)
}

func (l *Ledger) termStarted(e TermStarted) error {
	if e.Token < l.state.Token {
		return ErrToken
	}
	l.state.Token = e.Token
	l.state.Epoch++
	return nil
}

func (l *Ledger) batchOpened(e BatchOpened) error {
	if l.batch(e.Batch) != nil {
		return ErrBatchExists
	}
	size := len(e.Spec.Samples)
	if size == 0 {
		return fmt.Errorf("%w: batch without samples", ErrRefused)
	}
	b := &batchState{
		Name: e.Batch, Digest: e.Digest, Spec: e.Spec, Replicas: e.Replicas,
		Samples: make([]sampleState, size), Size: size,
	}
	l.state.Batches = append(l.state.Batches, b)
	l.index[e.Batch] = b
	return nil
}

func (l *Ledger) versionStated(e VersionStated) error {
	if e.Version < l.state.Version {
		return ErrVersion
	}
	l.state.Version = e.Version
	if e.Weights.Version > 0 {
		l.state.Weights = e.Weights
	}
	return nil
}

func (l *Ledger) partialSaved(e PartialSaved) error {
	_, s, err := l.sample(e.Identity)
	if err != nil {
		return err
	}
	if s.Committed {
		return ErrAlreadyCommitted
	}
	if e.From != 0 && e.From != len(s.Partial.Tokens) {
		return ErrPartial
	}
	if len(e.Tokens) == 0 || !coversRange(e.Segments, e.From, e.From+len(e.Tokens)) {
		return ErrSegments
	}
	s.Partial = s.Partial.with(e)
	return nil
}

func (l *Ledger) sampleCommitted(e SampleCommitted) error {
	b, s, err := l.sample(e.Identity)
	if err != nil {
		return err
	}
	if s.Committed {
		return ErrAlreadyCommitted
	}
	if !covers(e.Segments, e.Tokens) {
		return ErrSegments
	}
	s.Answer = e
	s.Committed = true
	s.Commits++
	s.Partial = partialState{}
	b.Committed++
	return nil
}

func (l *Ledger) scoreAttached(e ScoreAttached) error {
	_, s, err := l.sample(e.Identity)
	if err != nil {
		return err
	}
	if !s.Committed || s.Answer.Attempt != e.Attempt || s.Scored {
		return ErrNotCommitted
	}
	s.Score = e.Score
	s.Scored = true
	return nil
}

func (l *Ledger) handedOver(e HandedOver) error {
	b, s, err := l.sample(e.Identity)
	if err != nil {
		return err
	}
	if !s.Committed {
		return ErrNotCommitted
	}
	if s.Position != 0 || e.Position != b.last()+1 {
		return ErrPosition
	}
	s.Position = e.Position
	b.Offers = append(b.Offers, offerState{Index: e.Identity.Index})
	b.Delivered++
	return nil
}

func (l *Ledger) tombstoned(e Tombstoned) error {
	b, s, err := l.sample(e.Identity)
	if err != nil {
		return err
	}
	if !s.Committed {
		return ErrNotCommitted
	}
	if s.Acked {
		return ErrAlreadyAcked
	}
	if s.Position != e.Position {
		return ErrPosition
	}
	if e.Position > 0 {
		b.Offers[e.Position-1].Tombstoned = true
		b.Delivered--
	}
	*s = sampleState{Commits: s.Commits}
	b.Committed--
	b.Reruns++
	return nil
}

func (l *Ledger) acked(e Acked) error {
	b, err := l.active(e.Batch)
	if err != nil {
		return err
	}
	if e.Position > b.last() {
		return ErrNotHandedOver
	}
	if e.Position <= b.Cursor {
		return ErrAlreadyAcked
	}
	for position := b.Cursor + 1; position <= e.Position; position++ {
		if s := b.offered(position); s != nil {
			s.Acked = true
			s.Answer.Text = ""
			b.Acked++
		}
	}
	b.Cursor = e.Position
	return nil
}

func (l *Ledger) batchCancelled(e BatchCancelled) error {
	b, err := l.active(e.Batch)
	if err != nil {
		return err
	}
	b.Cancelled = true
	l.end(b)
	return nil
}

func (l *Ledger) batchClosed(e BatchClosed) error {
	b, err := l.active(e.Batch)
	if err != nil {
		return err
	}
	if b.Acked != b.Size {
		return ErrNotDelivered
	}
	b.Closed = true
	l.end(b)
	return nil
}

// end drops the bodies of an ended batch and forgets the oldest ended batches above the bound.
func (l *Ledger) end(b *batchState) {
	b.Spec.Samples = nil
	b.Samples = nil
	b.Offers = nil
	ended := 0
	for _, other := range l.state.Batches {
		if other.ended() {
			ended++
		}
	}
	for index := 0; ended > maxEndedBatches; index++ {
		if l.state.Batches[index].ended() {
			delete(l.index, l.state.Batches[index].Name)
			l.state.Batches = append(l.state.Batches[:index], l.state.Batches[index+1:]...)
			return
		}
	}
}
