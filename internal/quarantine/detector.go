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
	// probeTimeout bounds the first probe, which delays the request's next attempt. A live host without the process refuses within a round
	// trip; an unreachable one does not answer.
	probeTimeout = 100 * time.Millisecond
	// Engines that did not answer the first probe are probed again: a lost SYN is retransmitted after a second, and an engine takes some
	// seconds to restart.
	reprobeCount    = 4
	reprobeInterval = 150 * time.Millisecond
	reprobeTimeout  = 400 * time.Millisecond
)

// Prober checks whether an engine process is running.
type Prober interface {
	// Probe reports EngineExited if the engine's address refuses connections, and EngineUnknown if ctx ends first.
	Probe(ctx context.Context, engine *fleet.Engine) Evidence
}

// Evidence is the result of probing an engine after the connection of an attempt broke.
type Evidence int

// Evidence values.
const (
	// EngineUnknown means that the probe was not answered.
	EngineUnknown Evidence = iota
	// EngineListening means that the engine is running, so the connection broke for another reason.
	EngineListening
	// EngineExited means that the engine process exited while it ran the request, and possibly others.
	EngineExited
)

var evidenceNames = [...]string{"engine unknown", "engine listens", "engine ended"}

// String returns the name used in logs and metrics.
func (e Evidence) String() string { return evidenceNames[e] }

// DetectorParams configures a Detector.
type DetectorParams struct {
	// Prober may be nil; every result is then EngineUnknown.
	Prober Prober
	// Observe receives each result for metrics; may be nil.
	Observe func(evidence Evidence)
	Logger  log.Logger
}

// Detector checks whether engines exited during attempts whose connections broke. It is safe for concurrent use.
type Detector struct {
	DetectorParams
	probes singleflight.Group
}

// NewDetector returns a Detector.
func NewDetector(params DetectorParams) *Detector { return &Detector{DetectorParams: params} }

// CheckEngine probes the engine of an attempt whose connection broke without a local cause; the connection alone may have been reset in
// transit. Concurrent calls for one engine share a probe. If the probe is not answered, it is repeated in the background, and onExited is
// called if the engine turns out to have exited.
func (d *Detector) CheckEngine(request string, fingerprint Fingerprint, engine *fleet.Engine, onExited func()) Evidence {
	evidence := d.probe(engine, probeTimeout)
	d.logEvidence(request, fingerprint, engine, evidence)
	if evidence == EngineUnknown && d.Prober != nil {
		go d.reprobe(request, fingerprint, engine, onExited)
	}
	return evidence
}

// reprobe repeats the probe of an engine that did not answer.
func (d *Detector) reprobe(request string, fingerprint Fingerprint, engine *fleet.Engine, onExited func()) {
	for range reprobeCount {
		time.Sleep(reprobeInterval)
		evidence := d.probe(engine, reprobeTimeout)
		if evidence == EngineUnknown {
			continue
		}
		d.logEvidence(request, fingerprint, engine, evidence)
		if evidence == EngineExited {
			onExited()
		}
		return
	}
}

func (d *Detector) logEvidence(request string, fingerprint Fingerprint, engine *fleet.Engine, evidence Evidence) {
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
