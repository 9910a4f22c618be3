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

// proberFunc is a function as a quarantine.Prober.
type proberFunc func(ctx context.Context, engine *fleet.Engine) quarantine.Evidence

func (f proberFunc) Probe(ctx context.Context, engine *fleet.Engine) quarantine.Evidence {
	return f(ctx, engine)
}

// never fails a test if an engine is found to have ended late.
func never(t *testing.T) func() { return func() { t.Error("noted late") } }

func TestDetector(t *testing.T) {
	fingerprint := quarantine.FingerprintOf("", "POST", "h", "/a", []byte("body"))
	engine := &fleet.Engine{ID: "e", Address: "nowhere"}
	Convey("A broken attempt is told with the request's fingerprint and whether the engine has ended", t, func() {
		var lines bytes.Buffer
		var observed []quarantine.Evidence
		found := quarantine.EngineEnded
		detector := quarantine.NewDetector(quarantine.DetectorParams{
			Prober:  proberFunc(func(context.Context, *fleet.Engine) quarantine.Evidence { return found }),
			Observe: func(evidence quarantine.Evidence) { observed = append(observed, evidence) },
			Logger:  log.NewLogfmtLogger(&lines),
		})
		So(detector.Broke("r1", fingerprint, engine, never(t)), ShouldEqual, quarantine.EngineEnded)
		found = quarantine.EngineListens
		So(detector.Broke("r2", fingerprint, engine, never(t)), ShouldEqual, quarantine.EngineListens)
		So(observed, ShouldResemble, []quarantine.Evidence{quarantine.EngineEnded, quarantine.EngineListens})
		So(lines.String(), ShouldContainSubstring, `request=r1 fingerprint=`+fingerprint.Short()+` engine=e evidence="engine ended"`)
		So(lines.String(), ShouldContainSubstring, `request=r2 fingerprint=`+fingerprint.Short()+` engine=e evidence="engine listens"`)
	})
	Convey("An engine that does not answer the question is not taken for ended, and holds nobody up for long", t, func() {
		synctest.Test(t, func(t *testing.T) {
			silent := proberFunc(func(ctx context.Context, _ *fleet.Engine) quarantine.Evidence {
				<-ctx.Done()
				return quarantine.EngineUnknown
			})
			detector := quarantine.NewDetector(quarantine.DetectorParams{Prober: silent, Logger: log.NewNopLogger()})
			started := time.Now()
			evidence := detector.Broke("r", fingerprint, engine, never(t))
			if evidence != quarantine.EngineUnknown || time.Since(started) > 100*time.Millisecond {
				t.Errorf("found %v after %v", evidence, time.Since(started))
			}
			// It is asked again in the background for a while.
			time.Sleep(5 * time.Second)
		})
	})
	Convey("An engine that answers late is asked again, and its end is noted late", t, func() {
		synctest.Test(t, func(t *testing.T) {
			var asked, noted atomic.Int32
			late := proberFunc(func(ctx context.Context, _ *fleet.Engine) quarantine.Evidence {
				if asked.Add(1) < 3 {
					<-ctx.Done()
					return quarantine.EngineUnknown
				}
				return quarantine.EngineEnded
			})
			detector := quarantine.NewDetector(quarantine.DetectorParams{Prober: late, Logger: log.NewNopLogger()})
			evidence := detector.Broke("r", fingerprint, engine, func() { noted.Add(1) })
			time.Sleep(5 * time.Second)
			if evidence != quarantine.EngineUnknown || noted.Load() != 1 || asked.Load() != 3 {
				t.Errorf("found %v, noted %d times after %d questions", evidence, noted.Load(), asked.Load())
			}
		})
	})
	Convey("Attempts that break together at one engine ask once", t, func() {
		synctest.Test(t, func(t *testing.T) {
			var asked atomic.Int32
			slow := proberFunc(func(context.Context, *fleet.Engine) quarantine.Evidence {
				asked.Add(1)
				time.Sleep(10 * time.Millisecond)
				return quarantine.EngineEnded
			})
			detector := quarantine.NewDetector(quarantine.DetectorParams{Prober: slow, Logger: log.NewNopLogger()})
			var attempts sync.WaitGroup
			for range 6 {
				attempts.Go(func() { detector.Broke("r", fingerprint, engine, never(t)) })
			}
			attempts.Wait()
			if asked.Load() != 1 {
				t.Errorf("asked %d times", asked.Load())
			}
		})
	})
}

func TestFingerprint(t *testing.T) {
	base := quarantine.FingerprintOf("tenant", "POST", "host", "/path", []byte("body"))
	Convey("A fingerprint is that of tenant, method, host, path and body, and of their borders", t, func() {
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
