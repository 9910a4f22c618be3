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

// Lead runs the jobs of the store until ctx ends or a later term has begun. token is the fencing token of the term.
func (r *Runner) Lead(ctx context.Context, token int64) {
	ctx, depose := context.WithCancel(ctx)
	defer depose()
	started := r.now()
	log := batchlog.New(r.Store, token)
	log.Permit = r.mayKeep
	opened, ok := r.readJobs(ctx, log)
	if !ok {
		return
	}
	r.mu.Lock()
	r.forgetTerm()
	for _, id := range opened.Sealed {
		r.ends[id] = r.now()
	}
	r.token, r.term, r.depose, r.log = token, ctx, depose, log
	texts := r.openTexts()
	for _, found := range opened.Jobs {
		r.awaitAdoption(r.add(found))
	}
	r.mu.Unlock()
	if r.Desk != nil {
		r.running.Go(func() { r.Desk.Lead(ctx, token, r) })
	}
	level.Info(r.Logger).Log("msg", "leading", "token", token, "jobs", len(opened.Jobs), "withheld", len(opened.Withheld), "took", r.now().Sub(started).Round(time.Millisecond))
	for i := range opened.Withheld {
		r.logExcluded("job not read", &opened.Withheld[i])
	}
	if len(opened.Withheld) > 0 {
		r.running.Go(func() { r.readmit(ctx, opened.Withheld) })
	}
	r.running.Go(func() { r.retain(ctx) })
	if texts != nil {
		r.running.Go(func() { r.checkpoint(ctx, texts) })
	}
	r.scheduleUntil(ctx)
	r.mu.Lock()
	r.term = nil
	r.mu.Unlock()
	r.running.Wait()
	level.Info(r.Logger).Log("msg", "no longer leading")
}

// forgetTerm drops all that the runner knows from an earlier term. The mutex must be held.
func (r *Runner) forgetTerm() {
	r.jobs, r.order = make(map[string]*job), nil
	r.ends, r.endedBytes = make(map[string]time.Time), 0
	r.submitted = make(map[string]decay.Value)
	r.runs, r.runCount = make(map[itemwork.RunID]*run), 0
	r.detached, r.returnOffsets = make(map[string]*run), make(map[string]int64)
	r.kept = newUnfinishedTexts()
	r.engines = make(map[string]*engineRecord)
	r.holders = make(map[string][]string)
	r.lengths, r.usual = newLengthModel(), usualPause{}
	r.emptying = emptyingZones{}
	r.focus = newFocus()
}

// awaitAdoption delays the items of an earlier term, so that workers which still run them can report first. The mutex must be held.
func (r *Runner) awaitAdoption(j *job) {
	if r.Desk == nil {
		return
	}
	for _, it := range j.items {
		it.notBefore = r.now().Add(adoptTime)
	}
}

// readJobs reads the open jobs once their bounds are known, and repeats until the store answers. ok is false if ctx ends first.
func (r *Runner) readJobs(ctx context.Context, log *batchlog.Store) (opened batchlog.Opened, ok bool) {
	for r.awaitBounds(ctx) && ctx.Err() == nil {
		opened, err := log.Open(ctx)
		if err == nil {
			return opened, true
		}
		level.Warn(r.Logger).Log("msg", "open jobs not read", "err", err)
		pause.For(ctx, recoverPause)
	}
	return batchlog.Opened{}, false
}

// recoverPause is the pause before the store is asked again for the open jobs: nothing is run until it answers.
const recoverPause = 150 * time.Millisecond

// leading returns the log of the term, or batch.ErrUnavailable.
func (r *Runner) leading() (*batchlog.Store, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.leads() {
		return nil, batch.ErrUnavailable
	}
	return r.log, nil
}

// leads reports whether the term lasts. The mutex must be held.
func (r *Runner) leads() bool { return r.term != nil && r.term.Err() == nil }
