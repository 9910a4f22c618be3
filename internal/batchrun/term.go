package batchrun

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/batch"
	"github.com/covelink/covelink/internal/batchlog"
	"github.com/covelink/covelink/internal/decay"
	"github.com/covelink/covelink/internal/itemwork"
	"github.com/covelink/covelink/internal/pause"
)

// Lead runs the jobs of the store until ctx ends or a later term has started. token is the fencing token of the term.
func (r *Runner) Lead(ctx context.Context, token int64) {
	ctx, endTerm := context.WithCancel(ctx)
	defer endTerm()
	started := r.now()
	log := batchlog.New(r.Store, token)
	log.Permit = r.mayStore
	opened, ok := r.readJobs(ctx, log)
	if !ok {
		return
	}
	r.mu.Lock()
	r.resetState()
	for _, id := range opened.Sealed {
		r.endedAt[id] = r.now()
	}
	r.token, r.term, r.endTerm, r.log = token, ctx, endTerm, log
	texts := r.restoreTexts()
	for _, found := range opened.Jobs {
		r.awaitAdoption(r.add(found))
	}
	r.mu.Unlock()
	if r.Dispatcher != nil {
		r.goroutines.Go(func() { r.Dispatcher.Lead(ctx, token, r) })
	}
	level.Info(r.Logger).Log("msg", "leading", "token", token, "jobs", len(opened.Jobs), "withheld", len(opened.Withheld), "took", r.now().Sub(started).Round(time.Millisecond))
	for i := range opened.Withheld {
		r.logExcluded("job not read", &opened.Withheld[i])
	}
	if len(opened.Withheld) > 0 {
		r.goroutines.Go(func() { r.loadExcluded(ctx, opened.Withheld) })
	}
	r.goroutines.Go(func() { r.enforceRetention(ctx) })
	if texts != nil {
		r.goroutines.Go(func() { r.runCheckpoints(ctx, texts) })
	}
	r.scheduleUntil(ctx)
	r.mu.Lock()
	r.term = nil
	r.mu.Unlock()
	r.goroutines.Wait()
	level.Info(r.Logger).Log("msg", "no longer leading")
}

// resetState drops the state of the previous term. The mutex must be held.
func (r *Runner) resetState() {
	r.jobs, r.order = make(map[string]*job), nil
	r.endedAt, r.endedBytes = make(map[string]time.Time), 0
	r.submitted, r.submittedTime = make(map[string]decay.Value), make(map[string]decay.Value)
	r.offered = make(map[string]*offeredLoad)
	r.runs, r.runCount = make(map[itemwork.RunID]*run), 0
	r.detached, r.carryOverOffsets = make(map[string]*run), make(map[string]int64)
	r.unfinished = newUnfinishedTexts()
	r.engines = make(map[string]*engineRecord)
	r.prefixHolders = make(map[string][]string)
	r.lengths, r.fleetInterval = newLengthModel(), fleetInterval{}
	r.draining = drainingZones{}
	r.subsets = newEngineSubsets()
}

// awaitAdoption delays the items of a job from an earlier term, so that workers that still run them can report first. The mutex must be held.
func (r *Runner) awaitAdoption(j *job) {
	if r.Dispatcher == nil {
		return
	}
	for _, it := range j.items {
		it.notBefore = r.now().Add(adoptionWait)
	}
}

// readJobs reads the open jobs once their allowed regions are known, and retries until the store answers. ok is false if ctx ends first.
func (r *Runner) readJobs(ctx context.Context, log *batchlog.Store) (opened batchlog.Opened, ok bool) {
	for r.awaitResidency(ctx) && ctx.Err() == nil {
		opened, err := log.Open(ctx)
		if err == nil {
			return opened, true
		}
		level.Warn(r.Logger).Log("msg", "failed to read open jobs from store; retrying", "err", err)
		pause.For(ctx, readRetryDelay)
	}
	return batchlog.Opened{}, false
}

// readRetryDelay is the delay before the open jobs are read again after a failure. No job runs until this succeeds.
const readRetryDelay = 150 * time.Millisecond

// termLog returns the job log of the term, or batch.ErrUnavailable.
func (r *Runner) termLog() (*batchlog.Store, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.leads() {
		return nil, batch.ErrUnavailable
	}
	return r.log, nil
}

// leads reports whether the term is active. The mutex must be held.
func (r *Runner) leads() bool { return r.term != nil && r.term.Err() == nil }
