package quarantine

import (
	"context"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/sync/singleflight"

	"github.com/covelink/covelink/internal/fleet"
)

const (
	// probeTimeout bounds the question whether an engine has ended, which the next attempt of a request waits for: a machine whose process
	// has ended refuses within a round trip, 2.8 ms between zones; one that is cut off does not answer at all.
	probeTimeout = 100 * time.Millisecond
	// lateProbes is how often an engine that did not answer is asked again, with probePause in between: a packet that was lost is sent again
	// after a second, and an engine that has ended is away for some seconds.
	lateProbes    = 4
	probePause    = 150 * time.Millisecond
	lateProbeTime = 400 * time.Millisecond
)

// Prober tells whether an engine has ended.
type Prober interface {
	// Probe finds out whether the process that was the engine has ended, as its address refuses connections. It returns EngineUnknown if ctx
	// ends before that can be told.
	Probe(ctx context.Context, engine *fleet.Engine) Evidence
}

// Evidence is what is found out about an engine after the connection of an attempt broke.
type Evidence int

// The kinds of evidence.
const (
	// EngineUnknown: it cannot be told whether the engine is there.
	EngineUnknown Evidence = iota
	// EngineListens: the engine is there, and the connection broke for another cause.
	EngineListens
	// EngineEnded: the engine has ended while it ran the request, and perhaps others.
	EngineEnded
)

var evidenceNames = [...]string{"engine unknown", "engine listens", "engine ended"}

// String returns the evidence's name in logs and metrics.
func (e Evidence) String() string { return evidenceNames[e] }

// DetectorParams are what a Detector works with.
type DetectorParams struct {
	// Prober may be nil; no attempt is then found to have ended its engine.
	Prober Prober
	// Observe is told of each finding, for metrics; nil for nobody.
	Observe func(evidence Evidence)
	Logger  log.Logger
}

// Detector finds out whether engines have ended under the attempts that broke off. It is safe for concurrent use.
type Detector struct {
	DetectorParams
	probes singleflight.Group
}

// NewDetector returns a Detector.
func NewDetector(params DetectorParams) *Detector { return &Detector{DetectorParams: params} }

// Broke takes in that the connection of an attempt broke, without a cause on this side. A broken connection alone tells nothing of the
// engine: it may have been reset in between. Attempts that broke at one engine at the same time share one question. If it cannot be told at
// once, late is called should the engine turn out to have ended.
func (d *Detector) Broke(request string, fingerprint Fingerprint, engine *fleet.Engine, late func()) Evidence {
	evidence := d.probe(engine, probeTimeout)
	d.tell(request, fingerprint, engine, evidence)
	if evidence == EngineUnknown && d.Prober != nil {
		go d.probeLate(request, fingerprint, engine, late)
	}
	return evidence
}

// probeLate asks again for an engine that did not answer.
func (d *Detector) probeLate(request string, fingerprint Fingerprint, engine *fleet.Engine, late func()) {
	for range lateProbes {
		time.Sleep(probePause)
		evidence := d.probe(engine, lateProbeTime)
		if evidence == EngineUnknown {
			continue
		}
		d.tell(request, fingerprint, engine, evidence)
		if evidence == EngineEnded {
			late()
		}
		return
	}
}

func (d *Detector) tell(request string, fingerprint Fingerprint, engine *fleet.Engine, evidence Evidence) {
	if d.Observe != nil {
		d.Observe(evidence)
	}
	level.Info(d.Logger).Log("msg", "attempt broke", "request", request, "fingerprint", fingerprint.Short(), "engine", engine.ID, "evidence", evidence)
}

func (d *Detector) probe(engine *fleet.Engine, timeout time.Duration) Evidence {
	if d.Prober == nil {
		return EngineUnknown
	}
	evidence, _, _ := d.probes.Do(engine.ID, func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		return d.Prober.Probe(ctx, engine), nil
	})
	return evidence.(Evidence)
}
