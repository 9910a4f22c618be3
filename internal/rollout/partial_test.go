package rollout

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/dispatch"
)

// tell lets an attempt produce the tokens from index up to end.
func (b *bench) tell(a Start, version int64, engine string, index, end int) {
	var tokens []string
	for at := index; at < end; at++ {
		tokens = append(tokens, fmt.Sprintf("%d ", at))
	}
	b.Progress(b.time, a.Identity, a.Attempt, dispatch.Progress{Index: index, Tokens: tokens, Version: version, Engine: engine})
}

// partials returns the partials that the owner wants logged, and all its entries.
func (b *bench) partials() (saved []PartialSaved, entries []Entry) {
	for _, action := range b.Actions() {
		group, ok := action.(Append)
		if !ok {
			continue
		}
		entries = append(entries, group.Entries...)
		for _, entry := range group.Entries {
			if e, ok := entry.(PartialSaved); ok {
				saved = append(saved, e)
			}
		}
	}
	return saved, entries
}

// recovered returns the ledger of the entries, by replay and, from the middle on, over a snapshot.
func recovered(entries []Entry) []*Ledger {
	replayed, first := NewLedger("t"), NewLedger("t")
	for index, entry := range entries {
		So(replayed.Apply(entry), ShouldBeNil)
		if index < len(entries)/2 {
			So(first.Apply(entry), ShouldBeNil)
		}
	}
	snapshot, err := first.Snapshot()
	So(err, ShouldBeNil)
	restored, err := RestoreLedger(snapshot)
	So(err, ShouldBeNil)
	for _, entry := range entries[len(entries)/2:] {
		So(restored.Apply(entry), ShouldBeNil)
	}
	return []*Ledger{replayed, restored}
}

func TestOwnerSavesOnlyWhatIsNew(t *testing.T) {
	Convey("Given an attempt that has told three checkpoints of tokens, from two engines' versions", t, func() {
		config := benchConfig()
		config.MaxTokens = 8 * checkpointTokens
		b := newBench(config)
		_, opened := b.partials()
		b.state(1)
		b.put("b", v1.SampleRequest{})
		b.Schedule(b.time)
		var start Start
		for _, action := range b.Actions() {
			switch a := action.(type) {
			case Append:
				opened = append(opened, a.Entries...)
			case Start:
				start = a
			}
		}
		const half = checkpointTokens / 2
		for index := 0; index < 3*checkpointTokens; index += half {
			version := int64(1)
			if index >= 3*half {
				version = 2
			}
			b.tell(start, version, "e", index, index+half)
		}
		b.tell(start, 2, "e", 3*checkpointTokens, 3*checkpointTokens+7)
		saved, entries := b.partials()

		Convey("each partial holds the tokens since the one before", func() {
			So(len(saved), ShouldEqual, 3)
			for index, partial := range saved {
				So(partial.From, ShouldEqual, index*checkpointTokens)
				So(len(partial.Tokens), ShouldEqual, checkpointTokens)
			}
			So(saved[2].Segments, ShouldResemble, []v1.Segment{
				{Version: 2, Engine: "e", FirstToken: 2 * checkpointTokens, Tokens: checkpointTokens},
			})
		})
		Convey("the next owner resumes from all of them exactly, after a crash and after a planned stop", func() {
			running := b.attempts[start.Identity][0]
			crashed := append(opened, entries...)
			b.Suspend()
			_, rest := b.partials()
			for _, trial := range []struct {
				entries []Entry
				tokens  int
			}{{crashed, 3 * checkpointTokens}, {append(crashed, rest...), 3*checkpointTokens + 7}} {
				for _, ledger := range recovered(trial.entries) {
					next, err := NewOwner(b.time, ledger, 2, config, NewMetrics(nil))
					So(err, ShouldBeNil)
					again, _ := (&bench{Owner: next, time: b.time}).act()
					So(again[0].Task.Resume, ShouldResemble, running.tokens[:trial.tokens])
					So(again[0].Task.ResumeSegments, ShouldResemble, []v1.Segment{
						{Version: 1, Engine: "e", Tokens: 3 * half},
						{Version: 2, Engine: "e", FirstToken: 3 * half, Tokens: trial.tokens - 3*half},
					})
				}
			}
		})
		Convey("a delta that does not start where the kept prefix ends is refused", func() {
			for _, from := range []int{1, checkpointTokens, 3*checkpointTokens - 1, 3*checkpointTokens + 1} {
				gap := PartialSaved{Identity: start.Identity, From: from, Tokens: []string{"x"}, Segments: []v1.Segment{
					{Version: 2, Engine: "e", FirstToken: from, Tokens: 1},
				}}
				So(b.ledger.Apply(gap), ShouldEqual, ErrPartial)
			}
		})
		Convey("an attempt that did not start from the kept prefix replaces it", func() {
			other := make([]string, 4*checkpointTokens)
			So(b.savePartial(start.Identity, other, segments(2, len(other))), ShouldBeTrue)
			replaced, _ := b.partials()
			So(replaced[0].From, ShouldEqual, 0)
			So(len(replaced[0].Tokens), ShouldEqual, len(other))
		})
	})
}

// BenchmarkLogBytes runs samples of some thousand tokens, told in pieces, and counts the bytes of log for each.
func BenchmarkLogBytes(b *testing.B) {
	for _, tokens := range []int{512, 4096} {
		b.Run(fmt.Sprint(tokens), func(b *testing.B) { benchmarkLogBytes(b, tokens) })
	}
}

func benchmarkLogBytes(b *testing.B, tokens int) {
	const samples, piece = 64, 32
	now := time.Unix(1000, 0)
	config := benchConfig()
	config.MaxInFlight, config.MaxTokens = samples, tokens
	owner, err := NewOwner(now, NewLedger("t"), 1, config, NewMetrics(nil))
	if err != nil {
		b.Fatal(err)
	}
	whole := make([]string, tokens)
	for index := range whole {
		whole[index] = fmt.Sprintf(" w%03d", index%1000)
	}
	result := dispatch.Result{Outcome: v1.OutcomeCompleted, Tokens: whole, Segments: segments(1, tokens)}
	logged := 0
	act := func() (starts []Start) {
		owner.Schedule(now)
		for _, action := range owner.Actions() {
			switch a := action.(type) {
			case Append:
				data, err := EncodeEntries(a.Entries)
				if err != nil {
					b.Fatal(err)
				}
				logged += len(data)
			case Start:
				starts = append(starts, a)
			}
		}
		return starts
	}
	for count := 0; b.Loop(); count++ {
		batch := fmt.Sprint(count)
		if _, err := owner.PutBatch(now, batch, v1.BatchSpec{Samples: make([]v1.SampleRequest, samples)}); err != nil {
			b.Fatal(err)
		}
		for running := act(); len(running) > 0; running = act() {
			for _, start := range running {
				for index := 0; index < tokens; index += piece {
					owner.Progress(now, start.Identity, start.Attempt, dispatch.Progress{
						Index: index, Tokens: whole[index : index+piece], Version: 1, Engine: "engine",
					})
				}
				owner.Finished(now, start.Identity, start.Attempt, result)
			}
		}
		if _, err := owner.CancelBatch(batch); err != nil {
			b.Fatal(err)
		}
	}
	act()
	b.ReportMetric(float64(logged)/float64(b.N*samples), "log-B/sample")
}
