// Package batchrun runs batch jobs: it places their items on engines, resumes streams that break, has whole texts judged,
// and lists results once they are kept for good. One process at a time runs the jobs of a deployment; it hands the runs of their
// items to the workers of its desk (package itemwork), or carries them out itself if there are none.
package batchrun

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/batch"
	"github.com/covelink/covelink/internal/batchlog"
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/forward"
	"github.com/covelink/covelink/internal/itemwork"
	"github.com/covelink/covelink/internal/metastore"
	"github.com/covelink/covelink/internal/pause"
	"github.com/covelink/covelink/internal/quarantine"
)

const (
	// acceptTimeout bounds the time to keep a new job.
	acceptTimeout = 3500 * time.Millisecond
	// endTimeout bounds the time to keep the end of a job.
	endTimeout = 3500 * time.Millisecond
	// findTimeout bounds the search for a job that this process does not know.
	findTimeout = time.Second
	// maxReadBytes bounds one reading, which may take 1 MB in the callers' encoding: a trainer that reads twice a second must keep up
	// with some hundred short results a second.
	maxReadBytes = 600 << 10
	// maxRepeatBytes bounds a reading of results that were handed out before the last reading that went further: whoever asks for
	// them again has them, as a rule, and bytes between zones are dear.
	maxRepeatBytes = 128 << 10
	// resultOverhead stands for what a result takes beyond its text.
	resultOverhead = 256
	// maxWait bounds how long a reading waits for a result.
	maxWait = 2 * time.Second
	// DefaultMaxEndedBytes bounds the results of ended jobs that stay in memory.
	DefaultMaxEndedBytes = 24 << 20
)

// HandOver is why an item or a run of one goes on otherwise than it began. Its value is the name in metrics.
type HandOver string

// The reasons.
const (
	// HandOverSlow: the item goes on elsewhere, off a slow engine.
	HandOverSlow HandOver = "slow_engine"
	// HandOverRenewed: the item is begun anew for the job in which it will come again.
	HandOverRenewed HandOver = "renewed"
	// HandOverDetached: the run goes on after the end of its job.
	HandOverDetached HandOver = "detached"
	// HandOverAttached: a later job has taken the run over.
	HandOverAttached HandOver = "attached"
	// HandOverEvacuated: the run was ended because its zone is evacuated; the item goes on elsewhere.
	HandOverEvacuated HandOver = "evacuated_zone"
	// HandOverAdopted: a worker has gone on with a run of an earlier term.
	HandOverAdopted HandOver = "adopted"
)

// Observer is told of what a Runner does, for metrics.
type Observer interface {
	// AttemptEnded reports the end of a run of an item at an engine.
	AttemptEnded(verdict string, took time.Duration)
	// HandedOver reports an item or a run of one that goes on otherwise than it began.
	HandedOver(reason HandOver)
	// Listed reports a result that was listed.
	Listed(state batch.State)
	// JobEnded reports the end of a job, with the time since this process began to run it.
	JobEnded(after time.Duration)
	// Restored reports an item or a run that goes on after a text that was left by an ended job or an earlier process.
	Restored(events int)
	// Checkpointed reports a write of unfinished texts to this process's disk.
	Checkpointed(texts int, err error)
	// Committed reports a write of results.
	Committed(took time.Duration)
}

// nobody is an Observer that takes no notice.
type nobody struct{}

func (nobody) AttemptEnded(string, time.Duration) {}
func (nobody) HandedOver(HandOver)                {}
func (nobody) JobEnded(time.Duration)             {}
func (nobody) Restored(int)                       {}
func (nobody) Checkpointed(int, error)            {}
func (nobody) Listed(batch.State)                 {}
func (nobody) Committed(time.Duration)            {}

// Params are what a Runner works with.
type Params struct {
	State     *fleet.State
	Transport forward.Transport
	Forwarder *forward.Forwarder
	// Guard knows under which items engines have ended, and is told of runs of this process; nil holds none back.
	Guard *quarantine.Guard
	Store metastore.Client
	// Zone is this process's: jobs that may not be in its region are neither taken nor read.
	Zone string
	// Quota grants runs at engines that have just started; nil if no engine is cold.
	Quota Quota
	// Desk hands runs to workers; nil if this process carries out all of them.
	Desk *itemwork.Desk
	// EvacuateTime is within how long no request may reach a zone once its evacuation was acknowledged; zero if zones are not evacuated.
	EvacuateTime time.Duration
	// Retention is how long a job is kept after its end; zero means DefaultRetention.
	Retention time.Duration
	// MaxEndedBytes bounds the results of ended jobs that stay in memory; those of others are read from the store when they are
	// asked for. Zero means DefaultMaxEndedBytes.
	MaxEndedBytes int
	// TextFolder is where unfinished texts are kept on this process's disk; empty for nowhere. They take up to TextLimit bytes, and
	// twice that while they are written anew.
	TextFolder string
	TextLimit  int64
	// Observer may be nil.
	Observer Observer
	Logger   log.Logger
}

// Runner runs batch jobs while it leads. It implements batch.Service.
type Runner struct {
	Params
	now      func() time.Time
	executor *itemwork.Executor

	mu sync.Mutex
	// token is that of the term.
	token int64
	// runs are those of open jobs, and of ended ones whose stream lasts.
	runs map[itemwork.RunID]*run
	// runCount is the number of runs that the term has begun.
	runCount uint64
	// term ends with the leadership; nil while this process does not lead.
	term context.Context
	// depose ends the term.
	depose  context.CancelFunc
	log     *batchlog.Store
	jobs    map[string]*job
	order   []*job
	engines map[string]*engineRecord
	// holders are the engines that were sent a shared prompt lately, by the prompt's ID.
	holders map[string][]string
	// lengths expects how long texts become.
	lengths *lengthModel
	// usual is the pause between two events over all engines.
	usual usualPause
	// detached are the runs that go on after the end of their jobs, by their items' IDs.
	detached map[string]*run
	// returnOffsets is, by model, by how much the last job in which items came again demanded newer weights than their first.
	returnOffsets map[string]int64
	// emptying are the evacuated zones from which runs are ended.
	emptying emptyingZones
	// kept is what ended jobs have left of items that may come again.
	kept *unfinishedTexts
	// ends are the jobs whose end is kept for good, with the time when this process learnt of it.
	ends map[string]time.Time
	// submitted is the work that came in lately, by model.
	submitted map[string]submissions
	// endedBytes is the size of the results of ended jobs in memory.
	endedBytes int
	// running are the goroutines of the term; it grows only while the term lasts.
	running sync.WaitGroup
	wake    chan struct{}
}

var _ batch.Service = (*Runner)(nil)

// New returns a Runner that does nothing until Lead.
func New(params Params) *Runner {
	if params.Observer == nil {
		params.Observer = nobody{}
	}
	if params.Retention == 0 {
		params.Retention = DefaultRetention
	}
	if params.MaxEndedBytes == 0 {
		params.MaxEndedBytes = DefaultMaxEndedBytes
	}
	executor := &itemwork.Executor{State: params.State, Transport: params.Transport, Forwarder: params.Forwarder, Guard: params.Guard}
	return &Runner{Params: params, now: time.Now, executor: executor, wake: make(chan struct{}, 1)}
}

// Lead runs the jobs of the store until ctx ends or a later term has begun. token is the term's.
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
	r.jobs = make(map[string]*job)
	r.order = nil
	r.engines = make(map[string]*engineRecord)
	r.holders = make(map[string][]string)
	r.runs = make(map[itemwork.RunID]*run)
	r.token, r.runCount = token, 0
	r.kept = newUnfinishedTexts()
	r.detached, r.returnOffsets = make(map[string]*run), make(map[string]int64)
	r.lengths, r.usual = newLengthModel(), usualPause{}
	r.emptying = emptyingZones{}
	r.ends = make(map[string]time.Time, len(opened.Sealed))
	r.endedBytes = 0
	r.submitted = make(map[string]submissions)
	for _, id := range opened.Sealed {
		r.ends[id] = r.now()
	}
	r.term, r.depose, r.log = ctx, depose, log
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

// awaitAdoption leaves the items of an earlier term to the workers that hold a run of them. The mutex must be held.
func (r *Runner) awaitAdoption(j *job) {
	if r.Desk == nil {
		return
	}
	for _, it := range j.items {
		it.notBefore = r.now().Add(adoptTime)
	}
}

// readJobs reads the open jobs, as often as it takes, once their bounds are known.
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

const recoverPause = 150 * time.Millisecond

// add begins to run a job. The mutex must be held and the term last.
func (r *Runner) add(stored *batchlog.Stored) *job {
	if known, ok := r.jobs[stored.Job.ID]; ok {
		return known
	}
	j := newJob(stored, r.now())
	r.jobs[j.ID] = j
	r.order = append(r.order, j)
	if stored.Sealed {
		r.noteEnd(j)
		return j
	}
	r.noteSubmitted(j)
	for _, it := range j.items {
		r.reuse(it)
	}
	if !r.knowsEarlier(j) {
		j.assumeCarried()
	}
	term := r.term
	r.running.Go(func() { r.commit(term, j) })
	r.poke()
	return j
}

// reuse gives an item what an ended job has kept of its text, or its run, if that fits.
func (r *Runner) reuse(it *item) {
	if earlier := r.earlierJob(it); earlier != nil {
		it.carried = true
		r.noteReturn(it.job.Model, earlier.MinVersion, it.job.MinVersion)
	}
	if it.phase != phaseWaiting {
		return
	}
	if detached, ok := r.detached[it.textName()]; ok {
		r.attach(detached, it)
		return
	}
	kept, ok := r.kept.take(it.textName())
	if !ok {
		return
	}
	if kept.Fits(itemwork.Bounds{MinVersion: it.job.MinVersion, SingleVersion: r.singleVersion(it)}) {
		it.text = kept
		r.Observer.Restored(kept.Len())
	}
}

// earlierJob returns the ended job from which an item comes again, or nil.
func (r *Runner) earlierJob(it *item) *job {
	for _, earlier := range r.order {
		if !earlier.ended || !earlier.precedes(it.job, 2*stepsAhead) {
			continue
		}
		if _, ok := earlier.byID[it.ID]; ok {
			return earlier
		}
	}
	return nil
}

// precedes reports whether a job is of one of so many steps before another of the same tenant and model.
func (j *job) precedes(other *job, steps int64) bool {
	return j.Tenant == other.Tenant && j.Model == other.Model && j.Step < other.Step && j.Step >= other.Step-steps
}

// knowsEarlier reports whether this process knows the items of the jobs from which groups may come again in a job: those of the
// steps before it. It does not if they ended in an earlier term.
func (r *Runner) knowsEarlier(j *job) bool {
	missing := min(j.Step, stepsAhead)
	for _, known := range r.order {
		if known.precedes(j, stepsAhead) && len(known.items) > 0 {
			missing--
		}
	}
	return missing <= 0
}

// stepsAhead is how many steps before a trainer's newest job may still be open: it asks for one while another lasts.
const stepsAhead = 2

// poke makes the scheduler look again.
func (r *Runner) poke() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

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

// NoteVersion takes in the weight version that an engine is known to hold.
func (r *Runner) NoteVersion(engineID, model string, version int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.leads() {
		return
	}
	r.engine(engineID).noteVersion(model, version, r.now())
	r.poke()
}

// NoteLoading takes in that an engine loads weights, and takes no new work, or that this is over.
func (r *Runner) NoteLoading(engineID string, loading bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.leads() {
		return
	}
	r.engine(engineID).loading = loading
	r.poke()
}

// Pause returns the expected pause between two events at an engine.
func (r *Runner) Pause(engineID string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.leads() {
		return assumedPause
	}
	return r.engine(engineID).pause(r.now())
}

// stopItems ends all work on a job and keeps what was made of its items for later jobs.
func (r *Runner) stopItems(j *job) {
	if j.ended {
		return
	}
	j.ended = true
	for _, it := range j.items {
		if r.detach(it) {
			continue
		}
		it.stop()
		r.keep(it)
	}
	r.forgetRuns(j)
}
