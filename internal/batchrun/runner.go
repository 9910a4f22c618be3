// Package batchrun runs batch jobs: it places their items on engines, resumes streams that break, has whole texts judged,
// and lists results once they are kept for good. One process at a time runs the jobs of a deployment; it hands the runs of their
// items to the workers of its desk (package itemwork), or carries them out itself if there are none.
package batchrun

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/covelink/covelink/internal/batch"
	"github.com/covelink/covelink/internal/batchlog"
	"github.com/covelink/covelink/internal/decay"
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/forward"
	"github.com/covelink/covelink/internal/itemwork"
	"github.com/covelink/covelink/internal/metastore"
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

// Params are what a Runner works with.
type Params struct {
	State     *fleet.State
	Transport forward.Transport
	Forwarder *forward.Forwarder
	// Guard knows under which items engines have ended, and is told of runs of this process; nil holds none back.
	Guard *quarantine.Guard
	Store metastore.Client
	// Zone is this process's: jobs whose bounds exclude its region are neither accepted nor read.
	Zone string
	// Quota grants runs at engines that have just started; nil if no engine is cold.
	Quota Quota
	// Desk hands runs to workers; nil if this process carries out all of them.
	Desk *itemwork.Desk
	// EvacuateTime is how soon after the acknowledgement of its evacuation a zone gets no more requests; zero if zones are not evacuated.
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
	// focus holds the engines among which items are placed.
	focus focus
	// emptying holds the evacuated zones, in which runs are ended.
	emptying emptyingZones
	// kept is what ended jobs have left of items that may come again.
	kept *unfinishedTexts
	// ends are the jobs whose end is kept for good, with the time when this process learnt of it.
	ends map[string]time.Time
	// submitted is the work that came in lately, by model.
	submitted map[string]decay.Value
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
		params.Observer = noObserver{}
	}
	if params.Retention == 0 {
		params.Retention = DefaultRetention
	}
	if params.MaxEndedBytes == 0 {
		params.MaxEndedBytes = DefaultMaxEndedBytes
	}
	executor := &itemwork.Executor{State: params.State, Transport: params.Transport, Forwarder: params.Forwarder, Guard: params.Guard}
	return &Runner{Params: params, now: time.Now, executor: executor, wake: make(chan struct{}, 1), focus: newFocus()}
}

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

// poke makes the scheduler look again.
func (r *Runner) poke() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// NoteVersion takes in the weight version that an engine is known to hold.
func (r *Runner) NoteVersion(engineID, model string, version int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.leads() {
		return
	}
	r.engine(engineID).noteVersion(model, version, r.now())
	r.noteFocus(engineID, model)
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
