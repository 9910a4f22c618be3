package batchrun

import (
	"slices"
	"time"

	"github.com/covelink/covelink/internal/batch"
	"github.com/covelink/covelink/internal/batchlog"
	"github.com/covelink/covelink/internal/itemwork"
	"github.com/covelink/covelink/internal/quarantine"
)

// phase is where an item stands.
type phase int

const (
	// waiting for an engine.
	phaseWaiting phase = iota
	// running at an engine.
	phaseRunning
	// judging: the text is whole, the reward call is under way.
	phaseJudging
	// finished: the result is listed or about to be.
	phaseFinished
)

// item is one request of a job while the job is open.
type item struct {
	batch.Item
	job   *job
	group *itemGroup
	phase phase
	text  itemwork.Text
	// failures counts the engines' answers of 500.
	failures int
	// carried is true if an earlier job held the item too.
	carried bool
	// notBefore is when the next attempt may begin.
	notBefore time.Time
	// moves is how often the item was moved off a slower engine.
	moves int
	// checkpointed is the number of events that the disk holds, and checkpointedWhole is true if it holds that they are all.
	checkpointed      int
	checkpointedWhole bool
	// renewing is true while the item's run is ended so that it begins anew.
	renewing bool
	// preferVersion is the oldest weight version that the next run had better be made by, and preferUntil how long it waits for it.
	preferVersion int64
	preferUntil   time.Time
	// run is the newest run; nil if there was none.
	run *run
	// identity is the fingerprint of the item's request; nil until it is needed.
	identity *quarantine.Fingerprint
	// trial is how far the item's trial has come, if it is held.
	trial trial
}

// textName is the name under which what was made of the item is kept for a later job, in memory and on disk: an item that comes again
// has its ID and its tenant, and nobody else gets its text.
func (it *item) textName() string { return it.job.Tenant + textNameSeparator + it.ID }

// textNameSeparator occurs in no name of a tenant, as it may stand in no header.
const textNameSeparator = "\x00"

// job is a batch job that this process runs. The runner's mutex guards it, unless a field says otherwise.
type job struct {
	batch.Job
	// total is the number of the job's items. A job that had ended when this process learnt of it has none in items.
	total  int
	items  []*item
	groups []*itemGroup
	byID   map[string]*item
	// dead is the number of items that were given up.
	dead int
	// longest is how long the longest group is expected to take that the trainer waits for, when the scheduler looked last.
	longest time.Duration
	// accepted is when this process began to run the job.
	accepted time.Time
	// runs are those of the job's items.
	runs []itemwork.RunID
	// noWorkerLogged is true once a line was logged that no worker is in an allowed region: one line a job is enough.
	noWorkerLogged bool
	// ended is true once the end was asked for, and sealed once it is kept for good.
	ended  bool
	sealed bool
	// listed are the results that are kept for good, by position.
	listed []batch.Result
	// furthestRead is the position up to which results were handed out, and newestRead where the reading began that went there.
	furthestRead, newestRead int
	// pending are results that are not yet kept, pendingSince is when the first of them came, and groupPending is true if one of them
	// makes a group whole.
	pending      []batch.Result
	pendingSince time.Time
	groupPending bool
	// changed is closed when there are more results.
	changed chan struct{}
	// wake tells the committer of pending results or of the end.
	wake chan struct{}
	// stored belongs to the committer.
	stored *batchlog.Stored
}

func newJob(stored *batchlog.Stored, now time.Time) *job {
	j := &job{
		Job:      stored.Job,
		total:    stored.ItemCount,
		byID:     make(map[string]*item, len(stored.Job.Items)),
		accepted: now,
		ended:    stored.Sealed,
		sealed:   stored.Sealed,
		listed:   slices.Clone(stored.Results),
		changed:  make(chan struct{}),
		wake:     make(chan struct{}, 1),
		stored:   stored,
	}
	for i := range stored.Job.Items {
		it := &item{Item: stored.Job.Items[i], job: j}
		j.items = append(j.items, it)
		j.byID[it.ID] = it
	}
	j.groups = newGroups(j.items)
	for _, result := range stored.Results {
		if it, ok := j.byID[result.ID]; ok {
			it.finish()
		}
	}
	// Each item holds its own part.
	j.Job.Items, stored.Job.Items = nil, nil
	if j.sealed {
		j.dropBodies()
	}
	return j
}

// dropBodies lets go of what the items of an ended job were made from.
func (j *job) dropBodies() {
	for _, it := range j.items {
		it.Item = batch.Item{ID: it.ID}
	}
}

// signal tells the committer that there is something to do.
func (j *job) signal() {
	select {
	case j.wake <- struct{}{}:
	default:
	}
}

// publish shows the results that are kept for good, and whether the job's end is.
func (j *job) publish(results []batch.Result, sealed bool) {
	for _, result := range results[len(j.listed):] {
		j.listed = append(j.listed, result)
		if it, ok := j.byID[result.ID]; ok {
			it.finish()
		}
	}
	j.sealed = sealed
	if sealed {
		j.dropBodies()
	}
	close(j.changed)
	j.changed = make(chan struct{})
}

// finish ends all work on an item whose result is kept for good.
func (it *item) finish() {
	it.phase = phaseFinished
	it.stop()
}

// stop ends the run of an item.
func (it *item) stop() {
	if it.run != nil && !it.run.over {
		it.run.cancel()
	}
}
