package engine_test

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	v1 "github.com/covelink/covelink/api/v1"

	"github.com/covelink/covelink/api/enginev1"
	"github.com/covelink/covelink/internal/engine"
)

// window is how far an event may come early; it must not be above what the assembly holds.
const window = 8

func answer(tokens int) []string {
	made := make([]string, tokens)
	for index := range made {
		made[index] = fmt.Sprintf("t%d ", index)
	}
	return made
}

// events returns the stream of an answer, one token an event, with a version swap at every tenth token.
func events(tokens []string, from int) []enginev1.TokenEvent {
	var stream []enginev1.TokenEvent
	for index := from; index < len(tokens); index++ {
		stream = append(stream, enginev1.TokenEvent{
			RequestID: "r", Attempt: 1, Incarnation: "i", Sequence: uint64(index - from),
			Index: index, Tokens: tokens[index : index+1], Version: int64(1 + index/10),
		})
	}
	return append(stream, enginev1.TokenEvent{
		RequestID: "r", Attempt: 1, Incarnation: "i", Sequence: uint64(len(tokens) - from),
		Final: &enginev1.FinalEvent{Tokens: len(tokens), Checksum: enginev1.Checksum(tokens), FinishReason: "stop"},
	})
}

func expectation() engine.Expectation {
	return engine.Expectation{RequestID: "r", Attempt: 1, Incarnation: "i", Engine: "e"}
}

// feed gives the events to an assembly and returns the tokens it passed on.
func feed(assembly *engine.Assembly, stream []enginev1.TokenEvent) (passed []string, err error) {
	for _, event := range stream {
		chunks, failure := assembly.Accept(event)
		for _, chunk := range chunks {
			passed = append(passed, chunk.Tokens...)
		}
		if failure != nil {
			return passed, failure
		}
	}
	return passed, assembly.End()
}

func TestAssemblyOfDisturbedStreams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tokens := answer(rapid.IntRange(0, 60).Draw(t, "tokens"))
		stream := disturb(t, events(tokens, 0))
		assembly := engine.NewAssembly(expectation())
		passed, err := feed(assembly, stream)
		if err != nil || !assembly.Done() {
			t.Fatalf("whole answer not accepted: %v", err)
		}
		if !slices.Equal(passed, tokens) || !slices.Equal(assembly.Tokens(), tokens) {
			t.Fatalf("passed on %d of %d tokens", len(passed), len(tokens))
		}
		covered := 0
		for _, segment := range assembly.Segments() {
			if segment.FirstToken != covered || segment.Version != int64(1+covered/10) || segment.Engine != "e" {
				t.Fatalf("wrong segment %+v", segment)
			}
			covered += segment.Tokens
		}
		if covered != len(tokens) {
			t.Fatalf("segments cover %d of %d tokens", covered, len(tokens))
		}
	})
}

// disturb swaps neighbours within the window, repeats events and mixes in foreign ones.
func disturb(t *rapid.T, stream []enginev1.TokenEvent) []enginev1.TokenEvent {
	var disturbed []enginev1.TokenEvent
	for start := 0; start < len(stream); start += window {
		block := slices.Clone(stream[start:min(start+window, len(stream))])
		for index := range block {
			other := rapid.IntRange(0, len(block)-1).Draw(t, "swap")
			block[index], block[other] = block[other], block[index]
		}
		disturbed = append(disturbed, block...)
		repeated := block[rapid.IntRange(0, len(block)-1).Draw(t, "repeat")]
		foreign := repeated
		foreign.Tokens = []string{"foreign"}
		switch rapid.IntRange(0, 2).Draw(t, "foreign") {
		case 0:
			foreign.RequestID = "other"
		case 1:
			foreign.Attempt = 2
		default:
			foreign.Incarnation = "old"
		}
		disturbed = append([]enginev1.TokenEvent{foreign}, append(disturbed, repeated, foreign)...)
	}
	return disturbed
}

func TestBrokenStreams(t *testing.T) {
	tokens := answer(25)
	cases := []struct {
		name   string
		change func([]enginev1.TokenEvent) []enginev1.TokenEvent
		err    error
		good   int
	}{
		{"truncated", func(s []enginev1.TokenEvent) []enginev1.TokenEvent { return s[:12] }, engine.ErrTruncated, 12},
		{"gap", func(s []enginev1.TokenEvent) []enginev1.TokenEvent { return slices.Delete(s, 5, 6) }, engine.ErrGap, 5},
		{"gap near the end", func(s []enginev1.TokenEvent) []enginev1.TokenEvent { return slices.Delete(s, 23, 24) },
			engine.ErrTruncated, 23},
		{"wrong index", func(s []enginev1.TokenEvent) []enginev1.TokenEvent { s[7].Index = 8; return s }, engine.ErrGap, 7},
		{"unstamped", func(s []enginev1.TokenEvent) []enginev1.TokenEvent { s[9].Version = 0; return s }, engine.ErrUnstamped, 9},
		{"wrong count", func(s []enginev1.TokenEvent) []enginev1.TokenEvent { s[25].Final.Tokens++; return s }, engine.ErrChecksum, 0},
		{"wrong token", func(s []enginev1.TokenEvent) []enginev1.TokenEvent { s[3].Tokens = []string{"x"}; return s },
			engine.ErrChecksum, 0},
		{"cancelled", func(s []enginev1.TokenEvent) []enginev1.TokenEvent { s[25].Final.FinishReason = "cancelled"; return s },
			engine.ErrCancelled, 25},
	}
	for _, c := range cases {
		Convey("Broken: "+c.name, t, func() {
			assembly := engine.NewAssembly(expectation())
			_, err := feed(assembly, c.change(events(tokens, 0)))
			So(err, ShouldEqual, c.err)
			So(assembly.Done(), ShouldBeFalse)
			So(assembly.Tokens(), ShouldHaveLength, c.good)
			_, again := assembly.Accept(events(tokens, 0)[c.good])
			So(again, ShouldEqual, c.err)
		})
	}
	Convey("Limits on version and size hold", t, func() {
		bounded := expectation()
		bounded.MaxTokens = 24
		_, err := feed(engine.NewAssembly(bounded), events(tokens, 0))
		So(err, ShouldEqual, engine.ErrTooLarge)
		bounded = expectation()
		bounded.MaxBytes = 30
		_, err = feed(engine.NewAssembly(bounded), events(tokens, 0))
		So(err, ShouldEqual, engine.ErrTooLarge)
		bounded = expectation()
		bounded.MinVersion = 2
		_, err = feed(engine.NewAssembly(bounded), events(tokens, 0))
		So(err, ShouldEqual, engine.ErrVersion)
	})
	Convey("A resumed stream continues the segments, and the checksum covers the whole answer", t, func() {
		resumed := expectation()
		resumed.Resume = tokens[:15]
		resumed.ResumeSegments = []v1.Segment{{Version: 1, Engine: "d", Tokens: 10}, {Version: 2, Engine: "d", FirstToken: 10, Tokens: 5}}
		assembly := engine.NewAssembly(resumed)
		passed, err := feed(assembly, events(tokens, 15))
		So(err, ShouldBeNil)
		So(passed, ShouldResemble, tokens[15:])
		So(assembly.Segments(), ShouldResemble, []v1.Segment{
			{Version: 1, Engine: "d", Tokens: 10}, {Version: 2, Engine: "d", FirstToken: 10, Tokens: 5},
			{Version: 2, Engine: "e", FirstToken: 15, Tokens: 5}, {Version: 3, Engine: "e", FirstToken: 20, Tokens: 5},
		})
	})
}
