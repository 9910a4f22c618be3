package rollout

import (
	"errors"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	v1 "github.com/covelink/covelink/api/v1"
)

func segments(version int64, tokens int) []v1.Segment {
	return []v1.Segment{{Version: version, Engine: "engine", Tokens: tokens}}
}

// naive judges entries by scanning everything accepted so far.
type naive struct{ accepted []Entry }

type naiveSample struct {
	committed, acked, scored bool
	attempt                  uint32
	position                 int64
	saved                    int // tokens of the kept prefix
}

func (n *naive) ended(batch string) (known, ended bool) {
	for _, entry := range n.accepted {
		switch e := entry.(type) {
		case BatchOpened:
			known = known || e.Batch == batch
		case BatchCancelled:
			ended = ended || e.Batch == batch
		case BatchClosed:
			ended = ended || e.Batch == batch
		}
	}
	return known, ended
}

func (n *naive) sample(id Identity) (s naiveSample) {
	for _, entry := range n.accepted {
		switch e := entry.(type) {
		case SampleCommitted:
			if e.Identity == id {
				s = naiveSample{committed: true, attempt: e.Attempt}
			}
		case PartialSaved:
			if e.Identity == id {
				s.saved = e.From + len(e.Tokens)
			}
		case ScoreAttached:
			s.scored = s.scored || e.Identity == id
		case HandedOver:
			if e.Identity == id {
				s.position = e.Position
			}
		case Tombstoned:
			if e.Identity == id {
				s = naiveSample{}
			}
		case Acked:
			s.acked = s.acked || (e.Batch == id.Batch && s.position > 0 && s.position <= e.Position)
		}
	}
	return s
}

func (n *naive) lastPosition(batch string) (last, acked int64) {
	for _, entry := range n.accepted {
		switch e := entry.(type) {
		case HandedOver:
			if e.Identity.Batch == batch {
				last = max(last, e.Position)
			}
		case Acked:
			if e.Batch == batch {
				acked = max(acked, e.Position)
			}
		}
	}
	return last, acked
}

func (n *naive) version() (highest int64, token uint64) {
	for _, entry := range n.accepted {
		switch e := entry.(type) {
		case VersionStated:
			highest = max(highest, e.Version)
		case TermStarted:
			token = max(token, e.Token)
		}
	}
	return highest, token
}

const modelSamples = 3

func (n *naive) allAcked(batch string) bool {
	for index := range modelSamples {
		if !n.sample(Identity{"t", batch, index}).acked {
			return false
		}
	}
	return true
}

// accepts says whether the ledger must take the entry.
func (n *naive) accepts(entry Entry) bool {
	active := func(batch string) bool {
		known, ended := n.ended(batch)
		return known && !ended
	}
	sampled := func(id Identity) (naiveSample, bool) {
		ok := id.Trainer == "t" && id.Index >= 0 && id.Index < modelSamples && active(id.Batch)
		return n.sample(id), ok
	}
	version, token := n.version()
	switch e := entry.(type) {
	case TermStarted:
		return e.Token >= token
	case BatchOpened:
		known, _ := n.ended(e.Batch)
		return !known
	case VersionStated:
		return e.Version >= version
	case PartialSaved:
		s, ok := sampled(e.Identity)
		starts := e.From == 0 || e.From == s.saved
		return ok && !s.committed && starts && e.Segments[0].FirstToken == e.From && e.Segments[0].Tokens == len(e.Tokens)
	case SampleCommitted:
		s, ok := sampled(e.Identity)
		return ok && !s.committed && e.Segments[0].Tokens == e.Tokens
	case ScoreAttached:
		s, ok := sampled(e.Identity)
		return ok && s.committed && !s.scored && s.attempt == e.Attempt
	case HandedOver:
		s, ok := sampled(e.Identity)
		last, _ := n.lastPosition(e.Identity.Batch)
		return ok && s.committed && s.position == 0 && e.Position == last+1
	case Tombstoned:
		s, ok := sampled(e.Identity)
		return ok && s.committed && !s.acked && s.position == e.Position
	case Acked:
		last, acked := n.lastPosition(e.Batch)
		return active(e.Batch) && e.Position <= last && e.Position > acked
	case BatchCancelled:
		return active(e.Batch)
	case BatchClosed:
		return active(e.Batch) && n.allAcked(e.Batch)
	}
	return false
}

func drawEntry(t *rapid.T) Entry {
	batch := rapid.SampledFrom([]string{"a", "a", "a", "b"}).Draw(t, "batch")
	id := Identity{"t", batch, rapid.IntRange(-1, modelSamples).Draw(t, "index")}
	position := rapid.Int64Range(0, 8).Draw(t, "position")
	attempt := rapid.Uint32Range(1, 2).Draw(t, "attempt")
	covered := rapid.IntRange(1, 6).Draw(t, "covered")
	if covered > 2 {
		covered = 2 // mostly right
	}
	version := rapid.Int64Range(1, 5).Draw(t, "version")
	return rapid.SampledFrom([]Entry{
		SampleCommitted{Identity: id, Attempt: attempt, Text: "xy", Tokens: 2, Segments: segments(version, covered)},
		SampleCommitted{Identity: id, Attempt: attempt, Text: "xy", Tokens: 2, Segments: segments(version, covered)},
		HandedOver{Identity: id, Position: position},
		HandedOver{Identity: id, Position: position},
		Acked{Batch: batch, Position: position},
		Tombstoned{Identity: id, Position: position, Reason: ReasonStale},
		ScoreAttached{Identity: id, Attempt: attempt, Score: 0},
		PartialSaved{Identity: id, Tokens: []string{"x", "y"}, Segments: segments(version, covered)},
		drawPartial(t, id, version, covered),
		drawPartial(t, id, version, covered),
		VersionStated{Version: version},
		TermStarted{Token: uint64(attempt)},
		BatchOpened{Batch: batch, Spec: v1.BatchSpec{Samples: make([]v1.SampleRequest, modelSamples)}},
		BatchClosed{Batch: batch},
		BatchCancelled{Batch: "b"},
	}).Draw(t, "entry")
}

// drawPartial draws a partial that continues a kept prefix, most of the time.
func drawPartial(t *rapid.T, id Identity, version int64, covered int) PartialSaved {
	from := rapid.SampledFrom([]int{2, 2, 4, 6, 1}).Draw(t, "from")
	made := segments(version, covered)
	made[0].FirstToken = rapid.SampledFrom([]int{from, from, from, 0}).Draw(t, "first")
	return PartialSaved{Identity: id, From: from, Tokens: []string{"z", "z"}, Segments: made}
}

// checkSamples compares every sample of batch a with the model.
func checkSamples(t *rapid.T, ledger *Ledger, model *naive) {
	var want []int64
	for index := range modelSamples {
		s := model.sample(Identity{"t", "a", index})
		if _, kept, err := ledger.sample(Identity{"t", "a", index}); err == nil && len(kept.Partial.Tokens) != s.saved {
			t.Fatalf("%d tokens of sample %d are kept, want %d", len(kept.Partial.Tokens), index, s.saved)
		}
		if s.position > 0 && !s.acked {
			want = append(want, s.position)
		}
	}
	slices.Sort(want)
	if _, ended := model.ended("a"); ended {
		want = nil
	}
	var got []int64
	for _, sample := range ledger.After("a", 0) {
		got = append(got, sample.Position)
		if sample.Text != "xy" || model.sample(Identity{"t", "a", sample.Index}).scored != (sample.Score != nil) {
			t.Fatalf("sample %d is not whole: %+v", sample.Index, sample)
		}
	}
	if !slices.Equal(got, want) {
		t.Fatalf("offered positions %v, want %v", got, want)
	}
}

func TestLedgerAgreesWithNaiveModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ledger, model := NewLedger("t"), &naive{}
		open := BatchOpened{Batch: "a", Spec: v1.BatchSpec{Samples: make([]v1.SampleRequest, modelSamples)}}
		if err := ledger.Apply(open); err != nil {
			t.Fatal(err)
		}
		model.accepted = append(model.accepted, open)
		for range 60 {
			entry := drawEntry(t)
			err := ledger.Apply(entry)
			if want := model.accepts(entry); want != (err == nil) {
				t.Fatalf("%T %+v: error %v, model accepts: %v", entry, entry, err, want)
			}
			if err != nil && !errors.Is(err, ErrRefused) {
				t.Fatalf("untyped refusal %v", err)
			}
			if err == nil {
				model.accepted = append(model.accepted, entry)
			}
			checkSamples(t, ledger, model)
		}
		checkCopies(t, ledger, model.accepted)
	})
}

// checkCopies checks that a snapshot and a replay of the encoded entries give the same ledger.
func checkCopies(t *rapid.T, ledger *Ledger, accepted []Entry) {
	snapshot, err := ledger.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored, err := RestoreLedger(snapshot)
	if err != nil {
		t.Fatal(err)
	}
	data, err := EncodeEntries(accepted)
	if err != nil {
		t.Fatal(err)
	}
	entries, err := DecodeEntries(data)
	if err != nil {
		t.Fatal(err)
	}
	replayed := NewLedger("t")
	for _, entry := range entries {
		if err := replayed.Apply(entry); err != nil {
			t.Fatal(err)
		}
	}
	// gob does not tell an empty slice from a nil one; the copies have both been through it.
	again, err := replayed.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if replayed, err = RestoreLedger(again); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(restored.state, replayed.state); diff != "" {
		t.Fatalf("snapshot and replay differ:\n%s", diff)
	}
}

func TestLedgerEnds(t *testing.T) {
	Convey("A ledger with many ended batches", t, func() {
		ledger := NewLedger("t")
		spec := v1.BatchSpec{Samples: make([]v1.SampleRequest, 1)}
		for index := range maxEndedBatches + 5 {
			name := string(rune('a' + index))
			if err := errors.Join(ledger.Apply(BatchOpened{Batch: name, Spec: spec}), ledger.Apply(BatchCancelled{Batch: name})); err != nil {
				t.Fatal(err)
			}
		}
		Convey("forgets the oldest only", func() {
			So(len(ledger.state.Batches), ShouldEqual, maxEndedBatches)
			_, first := ledger.Status("a")
			_, last := ledger.Status(string(rune('a' + maxEndedBatches + 4)))
			So(first, ShouldBeFalse)
			So(last, ShouldBeTrue)
		})
		Convey("refuses a snapshot of another format", func() {
			_, err := RestoreLedger([]byte("nonsense"))
			So(err, ShouldNotBeNil)
		})
	})
}

func TestSegmentsCoverTokens(t *testing.T) {
	Convey("Segments must name a version for every token", t, func() {
		So(covers(segments(1, 2), 2), ShouldBeTrue)
		So(covers(segments(3, 0), 0), ShouldBeTrue)
		So(covers(nil, 0), ShouldBeFalse)
		So(covers(segments(0, 2), 2), ShouldBeFalse)
		So(covers(segments(1, 1), 2), ShouldBeFalse)
		gap := []v1.Segment{{Version: 1, Tokens: 1}, {Version: 2, FirstToken: 2, Tokens: 1}}
		So(covers(gap, 3), ShouldBeFalse)
		overlap := []v1.Segment{{Version: 1, Tokens: 2}, {Version: 2, FirstToken: 1, Tokens: 1}}
		So(covers(overlap, 3), ShouldBeFalse)
	})
}
