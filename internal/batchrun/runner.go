// Package batchrun runs batch jobs: it places items on engines, resumes broken streams, requests rewards and lists durable results. One process at a
// time runs the jobs of a deployment, and dispatches runs to workers (package itemwork) or executes them itself.
package batchrun

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/covelink/covelink/internal/batch"
	"github.com/covelink/covelink/internal/batchlog"
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/forward"
	"github.com/covelink/covelink/internal/itemwork"
	"github.com/covelink/covelink/internal/metastore"
	"github.com/covelink/covelink/internal/quarantine"
)

const (
	// acceptTimeout bounds the time to store a new job.
	acceptTimeout = 3500 * time.Millisecond
	// endTimeout bounds the time to store the end of a job.
	endTimeout  = 3500 * time.Millisecond
	findTimeout = time.Second
	// maxReadBytes bounds one read. Its encoded reply may take 1 MB.
	maxReadBytes = 600 << 10
	// maxRereadBytes bounds a read of results that were returned before the furthest read. Callers usually have these results already, and
	// traffic between zones is expensive.
	maxRereadBytes = 128 << 10
	// resultOverhead is the assumed size of a result beyond its text, in bytes.
	resultOverhead = 256
	// maxWait bounds how long a read waits for a result.
	maxWait = 2 * time.Second
	// DefaultMaxEndedBytes bounds the results of ended jobs in memory.
	DefaultMaxEndedBytes = 24 << 20
)

// Params configures a Runner.
type Params struct {
	State     *fleet.State
	Transport forward.Transport
	Forwarder *forward.Forwarder
	// Guard holds items that engines failed while running, and is notified of this process's runs. Nil disables quarantine.
	Guard *quarantine.Guard
	Store metastore.Client
	// Zone is the zone of this process. Jobs whose residency excludes its region are neither accepted nor loaded.
	Zone string
	// Quota grants runs at cold engines; nil if no engine is cold.
	Quota Quota
	// Dispatcher dispatches runs to workers; nil if this process executes all of them.
	Dispatcher *itemwork.Dispatcher
	// EvacuateTime is how soon after the acknowledgement of its evacuation a zone receives no more requests; zero if zones are not evacuated.
	EvacuateTime time.Duration
	// Retention is how long a job is kept after its end; zero means DefaultRetention.
	Retention time.Duration
	// MaxEndedBytes bounds the results of ended jobs in memory; other results are read from the store on demand. Zero means DefaultMaxEndedBytes.
	MaxEndedBytes int
	// MaxOpenBytes bounds the items of open jobs in memory: jobs beyond it are refused. Jobs of earlier terms are loaded regardless. Zero means no bound.
	MaxOpenBytes int64
	// TextFolder is the directory for checkpoints of unfinished texts; empty disables them. Checkpoints take up to TextLimit bytes, and
	// up to twice as much during a rewrite.
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
	// token is the fencing token of the term.
	token int64
	// runs holds the runs of open jobs, and those of ended jobs that are still streaming.
	runs     map[itemwork.RunID]*run
	runCount uint64
	// term is the context of the current term; nil while this process does not lead.
	term    context.Context
	endTerm context.CancelFunc
	// opened is true once the jobs of earlier terms were read, and began is when the term began.
	opened bool
	began  time.Time
	// accepted are the jobs that were accepted before that, in their order.
	accepted []*batchlog.Stored
	log      *batchlog.Store
	jobs     map[string]*job
	order    []*job
	engines  map[string]*engineRecord
	// prefixHolders lists, by prompt prefix, the engines that were recently sent it.
	prefixHolders map[string][]string
	lengths       *lengthModel
	fleetInterval fleetInterval
	// detached holds the runs that continue after the end of their jobs, by text key.
	detached map[string]*run
	// carryOverOffsets maps each model to the last increase in the required weight version of items carried over into a later job.
	carryOverOffsets map[string]int64
	subsets          engineSubsets
	draining         drainingZones
	// unfinished holds the texts that ended jobs left for later jobs.
	unfinished *unfinishedTexts
	// textStarts counts the texts that checkpoints began. It is not reset between terms.
	textStarts uint64
	// endedAt holds the time at which this process recorded the durable end of each job.
	endedAt map[string]time.Time
	// submitted is the work that was submitted in the term, by model.
	submitted map[string]*submittedWork
	// openBytes is the size of the items of open jobs, and storingBytes that of jobs that are being stored.
	openBytes, storingBytes int64
	// endedBytes is the size of the results of ended jobs in memory.
	endedBytes int
	// goroutines tracks the goroutines of the term. Goroutines are added only during the term.
	goroutines sync.WaitGroup
	wake       chan struct{}
}

var _ batch.Service = (*Runner)(nil)

// New returns a Runner that runs no jobs until Lead is called.
func New(params Params) *Runner {
	if params.Observer == nil {
		params.Observer = nopObserver{}
	}
	if params.Retention == 0 {
		params.Retention = DefaultRetention
	}
	if params.MaxEndedBytes == 0 {
		params.MaxEndedBytes = DefaultMaxEndedBytes
	}
	executor := &itemwork.Executor{State: params.State, Transport: params.Transport, Forwarder: params.Forwarder, Guard: params.Guard}
	return &Runner{Params: params, now: time.Now, executor: executor, wake: make(chan struct{}, 1), subsets: newEngineSubsets()}
}

// add adds a job, and runs it unless it has ended. The mutex must be held and the process must lead.
func (r *Runner) add(stored *batchlog.Stored) *job {
	if known, ok := r.jobs[stored.Job.ID]; ok {
		return known
	}
	j := newJob(stored, r.now())
	r.jobs[j.ID] = j
	r.order = append(r.order, j)
	if stored.Sealed {
		r.recordEnd(j)
		return j
	}
	r.openBytes += j.bytes
	r.addSubmitted(j)
	for _, it := range j.items {
		r.reuse(it)
	}
	if !r.hasEarlierJobs(j) {
		j.assumeCarriedOver()
	}
	term := r.term
	r.goroutines.Go(func() { r.commit(term, j) })
	r.wakeScheduler()
	return j
}

// wakeScheduler triggers a scheduling pass.
func (r *Runner) wakeScheduler() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// RecordVersion records the weight version that an engine holds.
func (r *Runner) RecordVersion(engineID, model string, version int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.leads() {
		return
	}
	r.recordOf(engineID).setVersion(model, version, r.now())
	r.addToSubsets(engineID, model)
	r.wakeScheduler()
}

// SetLoading records whether an engine is loading weights. Such an engine gets no new items.
func (r *Runner) SetLoading(engineID string, loading bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.leads() {
		return
	}
	r.recordOf(engineID).loading = loading
	r.wakeScheduler()
}

// SettledInterval returns the interval between two events of a run that is alone at an engine, without regard to recent changes.
func (r *Runner) SettledInterval(engineID string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.leads() {
		return defaultEventInterval
	}
	return r.recordOf(engineID).settledInterval(r.now())
}

// stopItems ends all work on a job and keeps the texts of its items for later jobs.
func (r *Runner) stopItems(j *job) {
	if j.ended {
		return
	}
	j.ended = true
	for _, it := range j.items {
		r.returnUnusedTrial(it)
		if r.detach(it) {
			continue
		}
		it.stop()
		r.keepText(it)
	}
	r.pruneRuns(j)
}
