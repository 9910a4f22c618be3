package itemwork

import (
	"context"
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

// verdictSink keeps the verdict of a run.
type verdictSink struct {
	Sink
	verdict Verdict
}

func (s *verdictSink) StreamStarted(int64)       {}
func (s *verdictSink) EventReceived(Event)       {}
func (s *verdictSink) StreamEnded(end End) bool  { s.verdict = end.Verdict; return false }
func (s *verdictSink) RewardCallEnded(Judgement) {}

// Guards against an item whose engine crashed before its first event and that is complete with an empty text.
func TestItemCutBeforeItsFirstEvent(t *testing.T) {
	for body, want := range map[string]Verdict{"": VerdictBroken, "id: 1\nda": VerdictBroken, "id: 1\ndata: a\n\n": VerdictComplete} {
		state := fleet.NewState()
		executor := &Executor{State: state, Transport: closingEngines{body: body}}
		state.SetEngineList([]*fleet.Engine{{ID: "e", Service: "s", Slots: 1, Ready: true}})
		sink := &verdictSink{}
		assignment := &Assignment{Item: "i", TimeLeft: time.Minute, Residency: placement.Residency{}}
		assignment.Engine.ID, assignment.Engine.Service = "e", "s"
		executor.Run(context.Background(), assignment, sink)
		if sink.verdict != want {
			t.Errorf("after %q: verdict %v, want %v", body, sink.verdict, want)
		}
	}
}
