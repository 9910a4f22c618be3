package itemwork

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/forward"
	"github.com/covelink/covelink/internal/placement"
)

// closingEngines is a Transport to engines whose answers end with their connection.
type closingEngines struct{ body string }

// Send implements forward.Transport.
func (e closingEngines) Send(context.Context, *fleet.Engine, *forward.Request, forward.SendOptions) (*forward.Answer, error) {
	return &forward.Answer{Status: http.StatusOK, Valid: true, Signature: "s", Header: http.Header{}, Body: io.NopCloser(strings.NewReader(e.body)), UntilClose: true}, nil
}

// verdictSink keeps the verdict of a run, and whether its text was dropped.
type verdictSink struct {
	Sink
	verdict   Verdict
	restarted bool
}

func (s *verdictSink) StreamStarted(int64)       {}
func (s *verdictSink) EventReceived(Event)       {}
func (s *verdictSink) Restarted()                { s.restarted = true }
func (s *verdictSink) StreamEnded(end End) bool  { s.verdict = end.Verdict; return false }
func (s *verdictSink) RewardCallEnded(Judgement) {}

// Guards against an item whose engine crashed before its first event and that is complete with an empty text.
func TestItemCutBeforeItsFirstEvent(t *testing.T) {
	for body, want := range map[string]Verdict{"": VerdictBroken, "id: 1\nda": VerdictBroken, "id: 1\ndata: a\n\n": VerdictComplete} {
		if sink := runBody(body, 0, Text{}); sink.verdict != want {
			t.Errorf("after %q: verdict %v, want %v", body, sink.verdict, want)
		}
	}
}

// Guards against an engine in trouble whose events do not end, and whose text takes all memory.
func TestTextBeyondItsBounds(t *testing.T) {
	var many strings.Builder
	for number := 1; number <= 12; number++ {
		fmt.Fprintf(&many, "id: %d\ndata: %s\n\n", number, strings.Repeat("x", 100<<10))
	}
	earlier := Text{Segments: []Segment{{Version: 0, Events: []string{"a"}}}, LastID: 1}
	for name, c := range map[string]struct {
		body      string
		maxEvents int
		text      Text
		want      Verdict
		restarted bool
	}{
		"too many bytes":              {body: many.String(), want: VerdictBroken, restarted: true},
		"as many events as allowed":   {body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", maxEvents: 2, want: VerdictComplete},
		"an event more":               {body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", maxEvents: 1, want: VerdictBroken, restarted: true},
		"an event more, resumed":      {body: "id: 2\ndata: a\n\nid: 3\ndata: b\n\n", maxEvents: 2, text: earlier, want: VerdictBroken, restarted: true},
		"an event without end":        {body: "id: 1\n" + strings.Repeat("data: "+strings.Repeat("x", 1000)+"\n", 300), want: VerdictBroken},
		"a line of an event too long": {body: "id: 1\ndata: " + strings.Repeat("x", 300<<10) + "\n\n", want: VerdictBroken},
	} {
		sink := runBody(c.body, c.maxEvents, c.text)
		if sink.verdict != c.want || sink.restarted != c.restarted {
			t.Errorf("%s: verdict %v, restarted %v; want %v, %v", name, sink.verdict, sink.restarted, c.want, c.restarted)
		}
	}
}

// runBody runs an item at an engine whose answer has a body that ends with its connection.
func runBody(body string, maxEvents int, text Text) *verdictSink {
	state := fleet.NewState()
	executor := &Executor{State: state, Transport: closingEngines{body: body}}
	state.SetEngineList([]*fleet.Engine{{ID: "e", Service: "s", Slots: 1, Ready: true}})
	sink := &verdictSink{}
	assignment := &Assignment{Item: "i", TimeLeft: time.Minute, Residency: placement.Residency{}, MaxEvents: maxEvents, Text: text}
	assignment.Engine.ID, assignment.Engine.Service = "e", "s"
	executor.Run(context.Background(), assignment, sink)
	return sink
}
