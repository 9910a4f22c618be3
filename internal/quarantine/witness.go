package quarantine

import (
	"context"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/sync/singleflight"

	"github.com/covelink/covelink/internal/fleet"
)

// probeTimeout bounds the question whether an engine has ended, which the next attempt of a request waits for: a machine whose process has
// ended refuses within a round trip, 2.8 ms between zones; one that is cut off does not answer at all.
const probeTimeout = 100 * time.Millisecond

// Prober tells whether an engine has ended.
type Prober interface {
	// Ended reports whether the process that was the engine has ended, as its address refuses connections. It is false also if that cannot
	// be told.
	Ended(ctx context.Context, engine *fleet.Engine) bool
}

// Evidence is what a Witness found out about an attempt whose connection broke.
type Evidence int

// The kinds of evidence.
const (
	// EngineListens: the engine is there, or it cannot be told; the request is not to blame.
	EngineListens Evidence = iota
	// EngineEnded: the engine has ended while it ran the request, and perhaps others.
	EngineEnded
)

var evidenceNames = [...]string{"engine listens", "engine ended"}

// String returns the evidence's name in logs and metrics.
func (e Evidence) String() string { return evidenceNames[e] }

// WitnessParams are what a Witness works with.
type WitnessParams struct {
	// Prober may be nil; no attempt is then found to have ended its engine.
	Prober Prober
	// Observe is told of each finding, for metrics; nil for nobody.
	Observe func(evidence Evidence)
	Logger  log.Logger
}

// Witness finds out whether engines have ended under the attempts that broke off. It is safe for concurrent use.
type Witness struct {
	WitnessParams
	probes singleflight.Group
}

// NewWitness returns a Witness.
func NewWitness(params WitnessParams) *Witness { return &Witness{WitnessParams: params} }

// Broke takes in that the connection of an attempt broke, without a cause on this side. A broken connection alone tells nothing of the
// engine: it may have been reset in between. Attempts that broke at one engine at the same time share one question.
func (w *Witness) Broke(request string, fingerprint Fingerprint, engine *fleet.Engine) Evidence {
	evidence := EngineListens
	if w.ended(engine) {
		evidence = EngineEnded
	}
	if w.Observe != nil {
		w.Observe(evidence)
	}
	level.Info(w.Logger).Log("msg", "attempt broke", "request", request, "fingerprint", fingerprint.Short(), "engine", engine.ID, "evidence", evidence)
	return evidence
}

func (w *Witness) ended(engine *fleet.Engine) bool {
	if w.Prober == nil {
		return false
	}
	ended, _, _ := w.probes.Do(engine.ID, func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		return w.Prober.Ended(ctx, engine), nil
	})
	return ended.(bool)
}
