package batchrun

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/batch"
	"github.com/covelink/covelink/internal/eventstream"
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/forward"
	"github.com/covelink/covelink/internal/routing"
)

const (
	// silenceLimit is how long an engine may make no event before the item is moved.
	silenceLimit = 1600 * time.Millisecond
	// failurePause is the pause before an item that failed is tried again.
	failurePause = 50 * time.Millisecond
)

// verdict is how an attempt ended.
type verdict int

const (
	// verdictWhole: the text is complete.
	verdictWhole verdict = iota
	// verdictBroken: the stream broke off or never began; the item goes on elsewhere.
	verdictBroken
	// verdictRefused: the engine did not take the item.
	verdictRefused
	// verdictGone: the address belongs to another engine.
	verdictGone
	// verdictFailed: the engine answered 500.
	verdictFailed
	// verdictImpossible: the item can never be done.
	verdictImpossible
	// verdictOutdated: the engine's weights are too old for the item.
	verdictOutdated
	// verdictCanceled: the attempt was ended from here.
	verdictCanceled
)

var verdictNames = [...]string{"whole", "broken", "refused", "gone", "failed", "impossible", "outdated", "canceled"}

// String returns the verdict's name in logs.
func (v verdict) String() string { return verdictNames[v] }

// attempt is one run of an item at an engine.
type attempt struct {
	runner  *Runner
	item    *item
	request *forward.Request
	engine  *fleet.Engine
	route   *routing.Route
	options forward.SendOptions
	cancel  context.CancelFunc
	// version is the engine's weight version, as far as it is known.
	version int64
	started time.Time
	events  int
}

// run makes the attempt and hands its end to the runner.
func (a *attempt) run(ctx context.Context) {
	a.started = a.runner.now()
	result, err := a.execute(ctx)
	if ctx.Err() != nil && result != verdictWhole && result != verdictOutdated && !errors.Is(err, errSilent) {
		result = verdictCanceled
	}
	a.runner.finish(a, result, err)
}

// errSilent reports an engine that made no event for too long.
var errSilent = errors.New("batchrun: engine silent")

func (a *attempt) execute(ctx context.Context) (verdict, error) {
	silence := time.AfterFunc(silenceLimit, a.cancel)
	defer silence.Stop()
	answer, err := a.runner.Transport.Send(ctx, a.engine, a.request, a.options)
	if err != nil {
		return verdictBroken, a.silent(silence, err)
	}
	defer answer.Body.Close()
	switch {
	case answer.Misdirected:
		return verdictGone, nil
	case answer.NotRun:
		return verdictRefused, nil
	case answer.Status == http.StatusUnprocessableEntity:
		return verdictImpossible, nil
	case answer.Status >= http.StatusInternalServerError && answer.Signature != "":
		return verdictFailed, nil
	case answer.Status != http.StatusOK || !answer.Valid:
		return verdictBroken, nil
	}
	if answer.WeightVersion > 0 {
		a.version = answer.WeightVersion
	}
	result, err := a.read(answer, silence)
	return result, a.silent(silence, err)
}

// silent turns the error of an attempt that was ended for its silence.
func (a *attempt) silent(silence *time.Timer, err error) error {
	if err != nil && !silence.Stop() {
		return errSilent
	}
	return err
}

// request returns what an engine is sent for the item.
func (it *item) request() *forward.Request {
	header := make(http.Header, len(it.Header))
	for name, value := range it.Header {
		header.Set(name, value)
	}
	return &forward.Request{ID: it.ID, Method: http.MethodPost, Host: it.job.Host, Target: it.Path, Header: header, Body: it.Item.Body}
}

// read takes in events until the stream ends.
func (a *attempt) read(answer *forward.Answer, silence *time.Timer) (verdict, error) {
	events := eventstream.NewReader(answer.Body, answer.VersionField)
	last := a.runner.now()
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			return verdictWhole, nil
		}
		if err != nil {
			return verdictBroken, err
		}
		silence.Reset(silenceLimit)
		now := a.runner.now()
		if event.Extra != "" {
			a.version, err = strconv.ParseInt(event.Extra, 10, 64)
			if err != nil {
				return verdictBroken, err
			}
		}
		if result, ok := a.runner.take(a, event, now.Sub(last)); !ok {
			return result, nil
		}
		last = now
	}
}

// take adds an event to an item. It returns false, and how the attempt ends, if the event cannot be used.
func (r *Runner) take(a *attempt, event eventstream.Event, pause time.Duration) (verdict, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	it := a.item
	record := r.engine(a.engine.ID)
	record.noteVersion(it.job.Model, a.version, r.now())
	if a.events > 0 {
		record.observe(pause, r.now())
	}
	a.events++
	if it.job.ended || it.phase != phaseRunning {
		return verdictCanceled, false
	}
	if a.version < it.job.MinVersion {
		return verdictOutdated, false
	}
	if a.route.SingleVersion && len(it.versions) > 0 && it.versions[0] != a.version {
		it.progress = progress{}
		return verdictOutdated, false
	}
	if !event.HasID || (len(it.events) > 0 && event.ID != it.lastID+1) {
		return verdictBroken, false
	}
	it.add(event.ID, event.Data, a.version)
	return 0, true
}

// finish takes in the end of an attempt and decides what comes next for the item.
func (r *Runner) finish(a *attempt, result verdict, cause error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	it := a.item
	now := r.now()
	r.engine(a.engine.ID).end(result, now)
	r.Observer.AttemptEnded(result.String(), now.Sub(a.started))
	line := level.Info(r.Logger)
	if result == verdictWhole || result == verdictCanceled {
		line = level.Debug(r.Logger)
	}
	line.Log("msg", "attempt ended", "request", it.ID, "job", it.job.ID, "engine", a.engine.ID, "verdict", result,
		"version", a.version, "events", a.events, "text_events", len(it.events), "took", now.Sub(a.started).Round(time.Millisecond), "err", cause)
	if it.job.ended || it.phase != phaseRunning || !r.leads() {
		return
	}
	it.cancel = nil
	switch result {
	case verdictWhole:
		it.whole = true
		r.judge(it)
	case verdictImpossible:
		r.giveUp(it, "engine says it can never be done")
	case verdictFailed:
		it.failures++
		if it.failures >= a.route.MaxAttempts {
			r.giveUp(it, "failed too often")
			return
		}
		it.retry(now)
	case verdictCanceled:
		it.phase = phaseWaiting
	default:
		it.retry(now)
	}
	r.poke()
}

// retry makes the item wait for another engine.
func (it *item) retry(now time.Time) {
	it.phase = phaseWaiting
	it.notBefore = now.Add(failurePause)
}

// giveUp ends an item without a text. The mutex must be held.
func (r *Runner) giveUp(it *item, reason string) {
	level.Info(r.Logger).Log("msg", "item given up", "request", it.ID, "job", it.job.ID, "reason", reason, "failures", it.failures)
	r.list(it, batch.Result{ID: it.ID, State: batch.Dead})
}

// list hands an item's result to the committer. The mutex must be held.
func (r *Runner) list(it *item, result batch.Result) {
	it.phase = phaseFinished
	it.cancel = nil
	it.job.pending = append(it.job.pending, result)
	it.job.signal()
}
