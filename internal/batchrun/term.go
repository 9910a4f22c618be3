package batchrun

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/batch"
	"github.com/covelink/covelink/internal/batchlog"
	"github.com/covelink/covelink/internal/itemwork"
	"github.com/covelink/covelink/internal/pause"
	"github.com/covelink/covelink/internal/textlog"
)

// Lead runs the jobs of the store until ctx ends or a later term has started. token is the fencing token of the term. Jobs are accepted, and
// workers register, from the start; items run once the jobs of earlier terms were read.
func (r *Runner) Lead(ctx context.Context, token int64) {
	ctx, endTerm := context.WithCancel(ctx)
	defer endTerm()
	log := r.beginTerm(ctx, endTerm, token)
	opened := make(chan struct{})
	if r.Dispatcher != nil {
		r.goroutines.Go(func() { r.Dispatcher.Lead(ctx, token, r, opened) })
	}
	if found, ok := r.readTerm(ctx, log); ok {
		r.openTerm(ctx, &found)
		close(opened)
		r.scheduleUntil(ctx)
	}
	r.mu.Lock()
	r.term, r.opened, r.accepted = nil, false, nil
	r.mu.Unlock()
	r.goroutines.Wait()
	level.Info(r.Logger).Log("msg", "no longer leading")
}

// beginTerm makes this process accept jobs for a term. The jobs are not run before openTerm.
func (r *Runner) beginTerm(ctx context.Context, endTerm context.CancelFunc, token int64) *batchlog.Store {
	log := batchlog.New(r.Store, token)
	log.Permit = r.mayStore
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resetState()
	r.token, r.term, r.endTerm, r.log = token, ctx, endTerm, log
	r.opened, r.accepted, r.began = false, nil, r.now()
	return log
}

// termContent is what a term finds when it begins.
type termContent struct {
	batchlog.Opened
	texts textlog.Restored
}

// readTerm reads the open jobs from the store and, meanwhile, the checkpoints from the disk. ok is false if ctx ends first.
func (r *Runner) readTerm(ctx context.Context, log *batchlog.Store) (found termContent, ok bool) {
	var texts sync.WaitGroup
	texts.Go(func() { found.texts = r.readTexts() })
	defer texts.Wait()
	found.Opened, ok = r.readJobs(ctx, log)
	return found, ok
}

// openTerm begins to run the jobs that were found, and those that were accepted meanwhile.
func (r *Runner) openTerm(ctx context.Context, found *termContent) {
	r.mu.Lock()
	accepted := len(r.accepted)
	for _, id := range found.Sealed {
		r.endedAt[id] = r.now()
	}
	texts := r.takeTexts(found.texts)
	r.opened = true
	r.addFound(found.Jobs)
	r.mu.Unlock()
	level.Info(r.Logger).Log("msg", "leading", "token", r.token, "jobs", len(found.Jobs), "accepted_meanwhile", accepted, "withheld", len(found.Withheld),
		"took", r.now().Sub(r.began).Round(time.Millisecond))
	for id, err := range found.Damaged {
		level.Error(r.Logger).Log("msg", "job can't be read; the others are served without it", "request", id, "err", err)
	}
	for i := range found.Withheld {
		r.logExcluded("job not read", &found.Withheld[i])
	}
	if len(found.Withheld) > 0 {
		r.goroutines.Go(func() { r.loadExcluded(ctx, found.Withheld) })
	}
	r.goroutines.Go(func() { r.enforceRetention(ctx) })
	if texts != nil {
		r.goroutines.Go(func() { r.runCheckpoints(ctx, texts) })
	}
}

// addFound adds the jobs of earlier terms and then, in their order, those that this term accepted while it read. The mutex must be held.
func (r *Runner) addFound(jobs []*batchlog.Stored) {
	created := make(map[string]bool)
	for _, stored := range r.accepted {
		created[stored.Job.ID] = created[stored.Job.ID] || stored.Created
	}
	now := r.now()
	// Workers could register from the begin of the term; those whose report was refused since repeat it after the jobs were read.
	adoptedBy := slices.MaxFunc([]time.Time{r.began.Add(adoptionWait), now.Add(reportWait)}, time.Time.Compare)
	for _, found := range jobs {
		if !created[found.Job.ID] {
			r.awaitReports(r.add(found), adoptedBy)
		}
	}
	for _, stored := range r.accepted {
		if r.jobs[stored.Job.ID] != nil {
			continue
		}
		until := adoptedBy
		if stored.Created && (r.Dispatcher == nil || r.Dispatcher.Workers() > 0) {
			until = now.Add(heldReportWait)
		}
		r.awaitReports(r.add(stored), until)
		r.unfinished.dropOutdated(stored.Job.Model, stored.Job.MinVersion)
	}
	r.accepted = nil
}

// resetState drops the state of the previous term. The mutex must be held.
func (r *Runner) resetState() {
	r.jobs, r.order = make(map[string]*job), nil
	r.endedAt, r.endedBytes = make(map[string]time.Time), 0
	r.submitted = make(map[string]*submittedWork)
	r.openBytes = 0
	r.runs, r.runCount = make(map[itemwork.RunID]*run), 0
	r.detached, r.carryOverOffsets = make(map[string]*run), make(map[string]int64)
	r.unfinished = newUnfinishedTexts()
	r.engines = make(map[string]*engineRecord)
	r.prefixHolders = make(map[string][]string)
	r.lengths, r.fleetInterval = newLengthModel(), fleetInterval{}
	r.draining = drainingZones{}
	r.subsets = newEngineSubsets()
}

// awaitReports delays the items of a job until a time, so that workers that still run them can report first. The mutex must be held.
func (r *Runner) awaitReports(j *job, until time.Time) {
	if r.Dispatcher == nil {
		return
	}
	for _, it := range j.items {
		it.notBefore = until
	}
	// The next scheduling pass may be later.
	time.AfterFunc(until.Sub(r.now()), r.wakeScheduler)
}

// readJobs reads the open jobs, and retries until the store answers. What jobs there are is read before their allowed regions are known, the jobs
// themselves after. ok is false if ctx ends first.
func (r *Runner) readJobs(ctx context.Context, log *batchlog.Store) (opened batchlog.Opened, ok bool) {
	opening := log.Opening()
	for ctx.Err() == nil {
		err := opening.List(ctx)
		if err == nil && r.awaitResidency(ctx) {
			opened, err = opening.TakeOver(ctx)
		}
		if ctx.Err() != nil {
			break
		}
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

// termLog returns the job log of the term, or batch.ErrUnavailable until the jobs of earlier terms were read.
func (r *Runner) termLog() (*batchlog.Store, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.leads() {
		return nil, batch.ErrUnavailable
	}
	return r.log, nil
}

// acceptingLog returns the job log of the term, from its start if the routes that bound jobs are known, or batch.ErrUnavailable.
func (r *Runner) acceptingLog() (*batchlog.Store, error) {
	routes := r.State.View().Routes
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.termLasts() || !r.opened && routes == nil {
		return nil, batch.ErrUnavailable
	}
	return r.log, nil
}

// termLasts reports whether a term has begun and not ended. The mutex must be held.
func (r *Runner) termLasts() bool { return r.term != nil && r.term.Err() == nil }

// leads reports whether the term is active and its jobs are known. The mutex must be held.
func (r *Runner) leads() bool { return r.opened && r.termLasts() }
