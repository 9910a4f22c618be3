package quarantine_test

import (
	"bytes"
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/quarantine"
)

// proberFunc adapts a function to quarantine.Prober.
type proberFunc func(ctx context.Context, engine *fleet.Engine) quarantine.Evidence

func (f proberFunc) Probe(ctx context.Context, engine *fleet.Engine) quarantine.Evidence {
	return f(ctx, engine)
}

// neverCalled returns a callback that fails the test if it is called.
func neverCalled(t *testing.T) func() { return func() { t.Error("late exit reported") } }

func TestDetector(t *testing.T) {
	fingerprint := quarantine.FingerprintOf("", "POST", "h", "/a", []byte("body"))
	engine := &fleet.Engine{ID: "e", Address: "nowhere"}
	Convey("A broken attempt is logged with the request's fingerprint and the probe's result", t, func() {
		var lines bytes.Buffer
		var observed []quarantine.Evidence
		found := quarantine.EngineExited
		detector := quarantine.NewDetector(quarantine.DetectorParams{
			Prober:  proberFunc(func(context.Context, *fleet.Engine) quarantine.Evidence { return found }),
			Observe: func(evidence quarantine.Evidence) { observed = append(observed, evidence) },
			Logger:  log.NewLogfmtLogger(&lines),
		})
		So(detector.CheckEngine("r1", fingerprint, engine, neverCalled(t)), ShouldEqual, quarantine.EngineExited)
		found = quarantine.EngineListening
		So(detector.CheckEngine("r2", fingerprint, engine, neverCalled(t)), ShouldEqual, quarantine.EngineListening)
		So(observed, ShouldResemble, []quarantine.Evidence{quarantine.EngineExited, quarantine.EngineListening})
		So(lines.String(), ShouldContainSubstring, `request=r1 fingerprint=`+fingerprint.Short()+` engine=e evidence="engine ended"`)
		So(lines.String(), ShouldContainSubstring, `request=r2 fingerprint=`+fingerprint.Short()+` engine=e evidence="engine listens"`)
	})
	Convey("An engine that does not answer the probe is not reported as exited, and the probe times out", t, func() {
		synctest.Test(t, func(t *testing.T) {
			unresponsive := proberFunc(func(ctx context.Context, _ *fleet.Engine) quarantine.Evidence {
				<-ctx.Done()
				return quarantine.EngineUnknown
			})
			detector := quarantine.NewDetector(quarantine.DetectorParams{Prober: unresponsive, Logger: log.NewNopLogger()})
			started := time.Now()
			evidence := detector.CheckEngine("r", fingerprint, engine, neverCalled(t))
			if evidence != quarantine.EngineUnknown || time.Since(started) > 100*time.Millisecond {
				t.Errorf("found %v after %v", evidence, time.Since(started))
			}
			// The background probes run in this time.
			time.Sleep(5 * time.Second)
		})
	})
	Convey("An engine that does not answer is probed again, and its exit is reported late", t, func() {
		synctest.Test(t, func(t *testing.T) {
			var probes, reported atomic.Int32
			late := proberFunc(func(ctx context.Context, _ *fleet.Engine) quarantine.Evidence {
				if probes.Add(1) < 3 {
					<-ctx.Done()
					return quarantine.EngineUnknown
				}
				return quarantine.EngineExited
			})
			detector := quarantine.NewDetector(quarantine.DetectorParams{Prober: late, Logger: log.NewNopLogger()})
			evidence := detector.CheckEngine("r", fingerprint, engine, func() { reported.Add(1) })
			time.Sleep(5 * time.Second)
			if evidence != quarantine.EngineUnknown || reported.Load() != 1 || probes.Load() != 3 {
				t.Errorf("found %v, reported %d times after %d probes", evidence, reported.Load(), probes.Load())
			}
		})
	})
	Convey("Attempts that break concurrently at one engine share one probe", t, func() {
		synctest.Test(t, func(t *testing.T) {
			var probes atomic.Int32
			slow := proberFunc(func(context.Context, *fleet.Engine) quarantine.Evidence {
				probes.Add(1)
				time.Sleep(10 * time.Millisecond)
				return quarantine.EngineExited
			})
			detector := quarantine.NewDetector(quarantine.DetectorParams{Prober: slow, Logger: log.NewNopLogger()})
			var attempts sync.WaitGroup
			for range 6 {
				attempts.Go(func() { detector.CheckEngine("r", fingerprint, engine, neverCalled(t)) })
			}
			attempts.Wait()
			if probes.Load() != 1 {
				t.Errorf("probed %d times", probes.Load())
			}
		})
	})
}

func TestFingerprint(t *testing.T) {
	base := quarantine.FingerprintOf("tenant", "POST", "host", "/path", []byte("body"))
	Convey("A fingerprint depends on tenant, method, host, path and body, and on the boundaries between them", t, func() {
		So(quarantine.FingerprintOf("tenant", "POST", "host", "/path", []byte("body")), ShouldEqual, base)
		for _, other := range []quarantine.Fingerprint{
			quarantine.FingerprintOf("other", "POST", "host", "/path", []byte("body")),
			quarantine.FingerprintOf("tenant", "PUT", "host", "/path", []byte("body")),
			quarantine.FingerprintOf("tenant", "POST", "other", "/path", []byte("body")),
			quarantine.FingerprintOf("tenant", "POST", "host", "/path?a", []byte("body")),
			quarantine.FingerprintOf("tenant", "POST", "host", "/path", []byte("bod")),
			quarantine.FingerprintOf("tenant", "POST", "host/", "path", []byte("body")),
		} {
			So(other, ShouldNotEqual, base)
		}
	})
}
