package batchrun

import (
	"slices"
	"time"

	"github.com/covelink/covelink/internal/batch"
	"github.com/covelink/covelink/internal/batchlog"
	"github.com/covelink/covelink/internal/itemwork"
	"github.com/covelink/covelink/internal/quarantine"
)

// phase is the state of an item.
type phase int

const (
	phaseWaiting phase = iota
	phaseRunning
	// phaseScoring means that the text is complete and the reward call is in progress.
	phaseScoring
	// phaseFinished means that the result is listed or pending.
	phaseFinished
)

// item is one request of an open job.
type item struct {
	batch.Item
	job   *job
	group *itemGroup
	phase phase
	text  checkpointedText
	// failures counts responses with status 500 from engines.
	failures int
	// carriedOver is true if an earlier job had the item too.
	carriedOver bool
	// notBefore is the earliest start of the next run.
	notBefore time.Time
	// moves counts the moves to faster engines.
	moves int
	// renewing is true while the item's run is being canceled to restart the item from scratch.
	renewing bool
	// preferVersion is the oldest weight version preferred for the next run, until preferUntil.
	preferVersion int64
	preferUntil   time.Time
	// run is the newest run, or nil.
	run *run
	// cachedFingerprint is the fingerprint of the item's request, or nil until it is first needed.
	cachedFingerprint *quarantine.Fingerprint
	trial             trial
	// isolatedSince is when the isolated item began to wait for an engine without another isolated run; zero if it does not.
	isolatedSince time.Time
	// trialRun is the granted trial, in state trialGranted.
	trialRun quarantine.TrialRun
}

// textKey returns the key of the item's text for later jobs, in memory and on disk. It includes the tenant, so that no tenant gets another's text.
func (it *item) textKey() string { return it.job.Tenant + textKeySeparator + it.ID }

// textKeySeparator cannot occur in a tenant name, because headers cannot contain it.
const textKeySeparator = "\x00"

// job is a batch job that this process runs. The runner's mutex guards it, unless a field says otherwise.
type job struct {
	batch.Job
	// total is the number of the job's items. items is empty for a job that had ended before this process loaded it.
	total  int
	items  []*item
	groups []*itemGroup
	byID   map[string]*item
	// dead counts the items that were given up.
	dead int
	// bytes is the size of the items in memory; zero once their bodies were released. released is true if that was before the end of the job.
	bytes    int64
	released bool
	// longest is the expected remaining time of the longest group that the trainer waits for, as of the last scheduling pass.
	longest time.Duration
	// accepted is when this process started to run the job.
	accepted time.Time
	runs     []itemwork.RunID
	// noWorkerLogged limits the log line about missing workers in allowed regions to one per job.
	noWorkerLogged bool
	// ended is true once the end was requested, and sealed is true once the end is durable.
	ended  bool
	sealed bool
	// listed holds the durable results, by position.
	listed []batch.Result
	// furthestRead is the highest position up to which results were returned, and newestRead the start of the read that reached it.
	furthestRead, newestRead int
	// pending holds results that are not durable yet, pendingSince is when the first was added, and groupPending is true if one completes a group.
	pending      []batch.Result
	pendingSince time.Time
	groupPending bool
	// changed is closed when the listed results or the sealed state change.
	changed chan struct{}
	// commitWake signals pending results or the end of the job to the committer.
	commitWake chan struct{}
	// stored belongs to the committer.
	stored *batchlog.Stored
}

func newJob(stored *batchlog.Stored, now time.Time) *job {
	j := &job{
		Job:        stored.Job,
		total:      stored.ItemCount,
		byID:       make(map[string]*item, len(stored.Job.Items)),
		accepted:   now,
		ended:      stored.Sealed,
		sealed:     stored.Sealed,
		listed:     slices.Clone(stored.Results),
		changed:    make(chan struct{}),
		commitWake: make(chan struct{}, 1),
		stored:     stored,
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
	j.bytes = batch.SizeOf(stored.Job.Items)
	// The items are held in j.items; release the stored copies.
	j.Job.Items, stored.Job.Items = nil, nil
	if j.sealed {
		j.dropBodies()
	}
	return j
}

// dropBodies releases the requests of an ended job's items.
func (j *job) dropBodies() {
	for _, it := range j.items {
		it.Item = batch.Item{ID: it.ID}
	}
	j.bytes = 0
}

// releaseListed releases the bodies of the items of a job whose results are all listed, and returns their size: nothing asks for them any more, while
// the job may stay open for as long as its caller likes.
func (j *job) releaseListed() int64 {
	if len(j.listed) < j.total || j.bytes == 0 {
		return 0
	}
	for _, it := range j.items {
		it.Body = nil
		if it.Reward != nil {
			it.Reward = &batch.Reward{ID: it.Reward.ID, Host: it.Reward.Host, Path: it.Reward.Path}
		}
	}
	released := j.bytes
	j.bytes, j.released = 0, true
	return released
}

// wakeCommitter signals pending work to the committer.
func (j *job) wakeCommitter() {
	select {
	case j.commitWake <- struct{}{}:
	default:
	}
}

// publish makes durable results, and the end of the job if sealed, visible to readers.
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

func (it *item) finish() {
	it.phase = phaseFinished
	it.stop()
}

// stop cancels the run of an item.
func (it *item) stop() {
	if it.run != nil && !it.run.finished {
		it.run.cancel()
	}
}
