package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/quarantine"
	"github.com/covelink/covelink/internal/routing"
)

// allEnginesEnded is a quarantine.Prober that reports every engine as ended.
type allEnginesEnded struct{}

func (allEnginesEnded) Probe(context.Context, *fleet.Engine) quarantine.Evidence {
	return quarantine.EngineExited
}

func breaks(context.Context) (*Answer, error) { return nil, ErrConnectionBroken }

// newGuardedForwarder returns a Forwarder to four engines with a guard that grants no trials.
func newGuardedForwarder(engines Transport, kind routing.Kind) *Forwarder {
	state := fleet.NewState()
	route := routing.Route{Host: "h", Prefix: "/", Kind: kind, Targets: []routing.Target{{Service: "s", Weight: 1}}, MaxAttempts: 4, LatencyObjective: 200 * time.Millisecond}
	state.SetRoutes(routing.NewTable(1, []routing.Route{route}, nil, routing.Limits{}))
	var listed []*fleet.Engine
	for _, id := range []string{"a", "b", "c", "d"} {
		listed = append(listed, &fleet.Engine{ID: id, Service: "s", Slots: 4, Ready: true})
	}
	state.SetEngineList(listed)
	forwarder := New(state, engines, NewPicker(time.Now), log.NewNopLogger())
	forwarder.Guard = quarantine.NewGuard(quarantine.GuardParams{
		Table:    quarantine.NewTable(time.Now),
		Detector: quarantine.NewDetector(quarantine.DetectorParams{Prober: allEnginesEnded{}, Logger: log.NewNopLogger()}),
		CallTrial: func(context.Context, quarantine.TrialRequest) (quarantine.TrialReply, error) {
			return quarantine.TrialReply{Leading: true, Wait: time.Second}, nil
		},
		Logger: log.NewNopLogger(),
	})
	return forwarder
}

func doRequest(t *testing.T, forwarder *Forwarder, id string) Result {
	t.Helper()
	request := &Request{ID: id, Method: http.MethodPost, Host: "h", Target: "/1", Body: []byte("same")}
	return forwarder.Do(t.Context(), forwarder.state.View().Routes.Match("h", "/1"), request, boottime.Now().Add(time.Second))
}

func TestCrashingRequestIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		everywhere := map[string]action{"a": breaks, "b": breaks, "c": breaks, "d": breaks}
		engines := &scriptedTransport{actions: everywhere}
		forwarder := newGuardedForwarder(engines, routing.KindIdempotent)
		// Of the four permitted engines, the first attempt may end two and the second one more; later attempts must not run.
		for try, expected := range []int{2, 3, 3, 3} {
			result := doRequest(t, forwarder, fmt.Sprint("r", try))
			if len(engines.sends) != expected {
				t.Errorf("attempt %d: %d sends in total, want %d", try, len(engines.sends), expected)
			}
			switch {
			case try < 2 && result.Outcome != Unknown:
				t.Errorf("attempt %d ran: outcome %v, want unknown", try, result.Outcome)
			case try >= 2 && (result.Outcome != NotRun || result.Reason != ReasonHeld || result.RetryAfter <= 0):
				t.Errorf("attempt %d must be refused as held: result %+v", try, result)
			}
		}
		engines.actions = nil
		forwarder.Guard.Release(quarantine.FingerprintOf("", http.MethodPost, "h", "/1", []byte("same")))
		if result := doRequest(t, forwarder, "released"); result.Status != http.StatusOK {
			t.Errorf("after the release: result %+v", result)
		}
	})
}

func TestCompletedRequestIsCleared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := &scriptedTransport{actions: map[string]action{"a": breaks}}
		forwarder := newGuardedForwarder(engines, routing.KindIdempotent)
		for range 20 {
			if result := doRequest(t, forwarder, "r"); result.Status != http.StatusOK {
				t.Fatalf("result %+v", result)
			}
		}
		if held, suspect := forwarder.Guard.Table.Count(); held+suspect != 0 {
			t.Errorf("%d held and %d suspect requests after a completed run", held, suspect)
		}
	})
}

func TestCrashingStreamIsQuarantined(t *testing.T) {
	cutStream := func(context.Context) (*Answer, error) {
		a := answer(http.StatusOK, "")
		a.Body = brokenBody{io.MultiReader(strings.NewReader("half"), errReader{})}
		return a, nil
	}
	synctest.Test(t, func(t *testing.T) {
		engines := &scriptedTransport{actions: map[string]action{"start-0": cutStream, "start-1": cutStream, "start-2": cutStream}}
		forwarder := newGuardedForwarder(engines, routing.KindStream)
		for start := range 3 {
			forwarder.state.SetEngineList([]*fleet.Engine{{ID: fmt.Sprint("start-", start), Service: "s", Slots: 4, Ready: true}})
			result := doRequest(t, forwarder, "r")
			if result.Stream == nil {
				t.Fatalf("result without a stream: %+v", result)
			}
			_, _ = io.ReadAll(result.Stream)
			result.Stream.Close()
		}
		if result := doRequest(t, forwarder, "r"); result.Reason != ReasonHeld {
			t.Errorf("after three engines ended: result %+v", result)
		}
	})
}
