package enginesim

import (
	"errors"
	"slices"
	"time"

	"github.com/covelink/covelink/api/enginev1"
)

// ErrActivateFailed is the answer to an activation that failed partway: it may have taken effect or not.
var ErrActivateFailed = errors.New("activation failed partway")

// ErrPrepareFailed is the error of a preparation that was made to fail.
var ErrPrepareFailed = errors.New("loading the weights failed")

// Loader tells how long it takes to load the weights of a prepare order, and whether it fails in the end.
type Loader func(order enginev1.Order) (time.Duration, error)

// LoaderAtRate returns a Loader that loads weights of a size in bytes at a rate in bytes a second.
func LoaderAtRate(size, bytesPerSecond int64) Loader {
	duration := time.Duration(float64(size) / float64(bytesPerSecond) * float64(time.Second))
	return func(enginev1.Order) (time.Duration, error) { return duration, nil }
}

// faults holds the failures that are to happen.
type faults struct {
	prepares    int
	activations []bool
}

// FailPrepares makes the next preparations fail.
func (e *Engine) FailPrepares(count int) { e.faults.prepares += count }

// FailNextActivate makes one more activation answer ErrActivateFailed, having taken effect or not.
func (e *Engine) FailNextActivate(takesEffect bool) {
	e.faults.activations = append(e.faults.activations, takesEffect)
}

// preparation is a version being loaded.
type preparation struct {
	version int64
	digest  string
	// end is zero when FinishPrepare ends the preparation.
	end time.Time
	err error
}

// versionTable holds the weight versions of the engine.
type versionTable struct {
	active       int64
	activeDigest string
	// prepared maps versions to digests.
	prepared     map[int64]string
	preparing    *preparation
	prepareError string
}

func (t *versionTable) preparedVersions() []int64 {
	versions := make([]int64, 0, len(t.prepared))
	for version := range t.prepared {
		versions = append(versions, version)
	}
	slices.Sort(versions)
	return versions
}

func (t *versionTable) preparingVersion() int64 {
	if t.preparing == nil {
		return 0
	}
	return t.preparing.version
}

// preparedAt returns when the preparation ends by itself, if it does.
func (t *versionTable) preparedAt() (time.Time, bool) {
	if t.preparing == nil || t.preparing.end.IsZero() {
		return time.Time{}, false
	}
	return t.preparing.end, true
}

// digestOf returns the digest of a version that is held or being loaded. An initial version has none.
func (t *versionTable) digestOf(version int64) (string, bool) {
	if version == t.active {
		return t.activeDigest, true
	}
	if t.preparing != nil && version == t.preparing.version {
		return t.preparing.digest, true
	}
	digest, ok := t.prepared[version]
	return digest, ok
}

// Order carries out a fenced order. A refusal means that nothing was done; an error that the order failed partway.
func (e *Engine) Order(now time.Time, order enginev1.Order) (enginev1.OrderResult, *enginev1.Refusal, error) {
	if refusal := e.checkOrder(now, order); refusal != nil {
		return enginev1.OrderResult{}, refusal, nil
	}
	e.fence = order.Fence
	refusal, err := e.execute(now, order)
	return enginev1.OrderResult{Load: e.Load(now)}, refusal, err
}

// checkOrder refuses orders for another incarnation and of an older holder of the lease.
func (e *Engine) checkOrder(now time.Time, order enginev1.Order) *enginev1.Refusal {
	if order.Incarnation != e.identity.Incarnation {
		return e.refusal(now, enginev1.RefusedIncarnation, "the engine has another incarnation")
	}
	if order.Fence < e.fence {
		refusal := e.refusal(now, enginev1.RefusedFence, "fence %d was seen", e.fence)
		refusal.HighestFence = e.fence
		return refusal
	}
	return nil
}

func (e *Engine) execute(now time.Time, order enginev1.Order) (*enginev1.Refusal, error) {
	switch order.Kind {
	case enginev1.OrderPrepare:
		return e.prepare(now, order), nil
	case enginev1.OrderActivate:
		return e.activate(now, order)
	case enginev1.OrderUnload:
		return e.unload(now, order), nil
	case enginev1.OrderRole:
		e.role = order.Role
		return nil, nil
	case enginev1.OrderDrain:
		e.draining = order.Drain
		return nil, nil
	default:
		return e.refusal(now, enginev1.RefusedInvalid, "the kind of order is unknown"), nil
	}
}

// prepare begins to load a version; one that is held or being loaded with the same digest changes nothing.
func (e *Engine) prepare(now time.Time, order enginev1.Order) *enginev1.Refusal {
	digest, known := e.versions.digestOf(order.Version)
	switch {
	case order.Version <= 0:
		return e.refusal(now, enginev1.RefusedInvalid, "the version is not positive")
	case known && digest != "" && digest != order.Digest:
		return e.refusal(now, enginev1.RefusedInvalid, "version %d has another digest", order.Version)
	case known:
		return nil
	case e.versions.preparing != nil:
		return e.refusal(now, enginev1.RefusedLoading, "version %d is being loaded", e.versions.preparing.version)
	case len(e.versions.prepared) >= e.config.MaxPrepared:
		return e.refusal(now, enginev1.RefusedFull, "%d versions are prepared", len(e.versions.prepared))
	}
	e.versions.prepareError = ""
	e.versions.preparing = e.newPreparation(now, order)
	return nil
}

func (e *Engine) newPreparation(now time.Time, order enginev1.Order) *preparation {
	begun := &preparation{version: order.Version, digest: order.Digest}
	if e.loader != nil {
		duration, err := e.loader(order)
		begun.end = now.Add(duration)
		begun.err = err
	}
	return begun
}

func (e *Engine) endDuePreparation(now time.Time) {
	end, ok := e.versions.preparedAt()
	if ok && !end.After(now) {
		e.FinishPrepare(e.versions.preparing.version, e.versions.preparing.err)
	}
}

// FinishPrepare ends the preparation of a version, as failed when err is not nil. It reports whether the version
// is now prepared; it does nothing when the version is not being loaded.
func (e *Engine) FinishPrepare(version int64, err error) bool {
	ended := e.versions.preparing
	if ended == nil || ended.version != version {
		return false
	}
	e.versions.preparing = nil
	if e.faults.prepares > 0 {
		e.faults.prepares--
		err = ErrPrepareFailed
	}
	if err != nil {
		e.versions.prepareError = err.Error()
		return false
	}
	if e.versions.prepared == nil {
		e.versions.prepared = map[int64]string{}
	}
	e.versions.prepared[version] = ended.digest
	return true
}

func (e *Engine) activate(now time.Time, order enginev1.Order) (*enginev1.Refusal, error) {
	if order.Version == e.versions.active && order.Version != 0 {
		return nil, nil
	}
	if order.Version != 0 && order.Version == e.versions.preparingVersion() {
		return e.refusal(now, enginev1.RefusedLoading, "version %d is being loaded", order.Version), nil
	}
	if _, ok := e.versions.prepared[order.Version]; !ok {
		return e.refusal(now, enginev1.RefusedVersion, "version %d is not prepared", order.Version), nil
	}
	if len(e.faults.activations) == 0 {
		e.switchVersion(now, order.Version)
		return nil, nil
	}
	takesEffect := e.faults.activations[0]
	e.faults.activations = e.faults.activations[1:]
	if takesEffect {
		e.switchVersion(now, order.Version)
	}
	return nil, ErrActivateFailed
}

// switchVersion drops the active version for a prepared one. The prefix cache of other weights is of no use
// any more; running sequences keep their KV state.
func (e *Engine) switchVersion(now time.Time, version int64) {
	e.versions.active = version
	e.versions.activeDigest = e.versions.prepared[version]
	delete(e.versions.prepared, version)
	e.cache.clear(now)
}

// unload drops a prepared version; one that is not held changes nothing.
func (e *Engine) unload(now time.Time, order enginev1.Order) *enginev1.Refusal {
	if order.Version == e.versions.active {
		return e.refusal(now, enginev1.RefusedVersion, "version %d is active", order.Version)
	}
	if order.Version != 0 && order.Version == e.versions.preparingVersion() {
		e.versions.preparing = nil
	}
	delete(e.versions.prepared, order.Version)
	return nil
}
