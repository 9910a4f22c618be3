package sendguard_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/forward"
	"github.com/covelink/covelink/internal/sendguard"
)

const maxAge = 2700 * time.Millisecond

var errNotReady = errors.New("engine is not ready")

// harness is a Transport whose engine list and engines the test controls. It implements forward.Transport for what the Transport sends.
type harness struct {
	*sendguard.Transport
	state *fleet.State

	mu sync.Mutex
	// confirmedAt is the boottime of the list, and notReady the answer of engines.
	confirmedAt time.Time
	notReady    error
	// answerTime is how long an engine takes to answer.
	answerTime time.Duration
	asked      int
	sent       []forward.SendOptions
	evidence   []sendguard.Evidence
}

func newHarness() *harness {
	h := &harness{state: fleet.NewState(), confirmedAt: boottime.Now()}
	h.list(true)
	h.Transport = sendguard.New(sendguard.Params{
		Next:            h.next(),
		State:           h.state,
		ListConfirmedAt: func() time.Time { return locked(h, func() time.Time { return h.confirmedAt }) },
		AskReady:        h.askReady,
		MaxAge:          maxAge,
		Observe:         h.observe,
		Logger:          log.NewNopLogger(),
	})
	return h
}

func locked[T any](h *harness, read func() T) T {
	h.mu.Lock()
	defer h.mu.Unlock()
	return read()
}

func (h *harness) observe(evidence sendguard.Evidence) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.evidence = append(h.evidence, evidence)
}

// list replaces the engine list by one engine.
func (h *harness) list(ready bool) {
	h.state.SetEngineList([]*fleet.Engine{{ID: "e", Service: "s", Ready: ready}})
}

func (h *harness) askReady(context.Context, *fleet.Engine) error {
	time.Sleep(locked(h, func() time.Duration { h.asked++; return h.answerTime }))
	return locked(h, func() error { return h.notReady })
}

// nextTransport records what is sent.
type nextTransport struct{ *harness }

func (h *harness) next() forward.Transport { return nextTransport{h} }

func (n nextTransport) Send(_ context.Context, _ *fleet.Engine, _ *forward.Request, options forward.SendOptions) (*forward.Answer, error) {
	return locked(n.harness, func() *forward.Answer { n.sent = append(n.sent, options); return &forward.Answer{} }), nil
}

// send sends a request to an engine by ID.
func (h *harness) send(id string, options forward.SendOptions) error {
	_, err := h.Transport.Send(context.Background(), &fleet.Engine{ID: id, Service: "s", Ready: true}, &forward.Request{ID: "r"}, options)
	return err
}

func run(t *testing.T, name string, scenario func(h *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { Convey(name, t, func() { scenario(newHarness()) }) })
}

// Guards against requests that leave by a list from before an engine's drain.
func TestSendByOldEngineList(t *testing.T) {
	run(t, "By a young list a request leaves, until the list is too old, and no engine is asked", func(h *harness) {
		time.Sleep(maxAge - time.Millisecond)
		So(h.send("e", forward.SendOptions{}), ShouldBeNil)
		So(h.sent[0].LeaveBy, ShouldEqual, h.confirmedAt.Add(maxAge))
		So(h.asked, ShouldEqual, 0)
		earlier := boottime.Now().Add(time.Microsecond)
		So(h.send("e", forward.SendOptions{LeaveBy: earlier}), ShouldBeNil)
		So(h.sent[1].LeaveBy, ShouldEqual, earlier)
	})
	run(t, "By an old list a request leaves if the engine says that it is ready, for as long from the question on", func(h *harness) {
		h.answerTime = 100 * time.Millisecond
		time.Sleep(maxAge)
		asked := boottime.Now()
		So(h.send("e", forward.SendOptions{}), ShouldBeNil)
		So(h.sent[0].LeaveBy, ShouldEqual, asked.Add(maxAge))
		So(h.send("e", forward.SendOptions{}), ShouldBeNil)
		So(h.asked, ShouldEqual, 1)
		time.Sleep(maxAge)
		So(h.send("e", forward.SendOptions{}), ShouldBeNil)
		So(h.asked, ShouldEqual, 2)
		So(h.evidence, ShouldResemble, []sendguard.Evidence{sendguard.EvidenceEngine, sendguard.EvidenceEngine, sendguard.EvidenceEngine})
	})
	run(t, "By an old list nothing leaves for an engine that is not ready, which is not asked by each request", func(h *harness) {
		h.notReady = errNotReady
		time.Sleep(maxAge)
		for range 10 {
			err := h.send("e", forward.SendOptions{})
			So(errors.Is(err, forward.ErrNotSent) && errors.Is(err, sendguard.ErrUnconfirmed) && errors.Is(err, errNotReady), ShouldBeTrue)
		}
		So(h.asked, ShouldEqual, 1)
		So(h.sent, ShouldBeEmpty)
	})
	run(t, "An engine that does not answer withholds a request for a bounded time", func(h *harness) {
		h.answerTime, h.notReady = 300*time.Millisecond, errNotReady
		time.Sleep(maxAge)
		began := time.Now()
		var sends sync.WaitGroup
		for range 5 {
			sends.Go(func() { _ = h.send("e", forward.SendOptions{}) })
		}
		sends.Wait()
		So(time.Since(began), ShouldEqual, 300*time.Millisecond)
		So(h.asked, ShouldEqual, 1)
	})
	run(t, "After a suspension of the machine the list counts as old, and so does an answer from before it", func(h *harness) {
		boottime.SimulateSuspension(maxAge)
		So(h.send("e", forward.SendOptions{}), ShouldBeNil)
		So(h.asked, ShouldEqual, 1)
		boottime.SimulateSuspension(maxAge)
		So(h.send("e", forward.SendOptions{}), ShouldBeNil)
		So(h.asked, ShouldEqual, 2)
	})
}

func TestSendToDrainingEngine(t *testing.T) {
	run(t, "Nothing leaves for an engine that the list marks as draining, whatever the list's age", func(h *harness) {
		h.list(false)
		So(errors.Is(h.send("e", forward.SendOptions{Assigned: true}), sendguard.ErrDraining), ShouldBeTrue)
		time.Sleep(maxAge)
		So(errors.Is(h.send("e", forward.SendOptions{}), sendguard.ErrDraining), ShouldBeTrue)
		So(h.asked, ShouldEqual, 0)
	})
	run(t, "Nothing leaves for an engine that is not listed, unless another process has chosen it and it says that it is ready", func(h *harness) {
		So(errors.Is(h.send("gone", forward.SendOptions{}), sendguard.ErrDraining), ShouldBeTrue)
		So(h.send("new", forward.SendOptions{Assigned: true}), ShouldBeNil)
		So(h.asked, ShouldEqual, 1)
		h.notReady = errNotReady
		So(errors.Is(h.send("gone", forward.SendOptions{Assigned: true}), sendguard.ErrUnconfirmed), ShouldBeTrue)
	})
}
