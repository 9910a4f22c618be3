package batchrun

import (
	"time"

	"github.com/covelink/covelink/internal/batch"
)

// HandOver is the reason why an item is assigned another run, or a run another job. Its value is the reason's name in metrics.
type HandOver string

// Reasons for a hand-over.
const (
	// HandOverSlow means that the item was moved from a slow engine and resumes at another, because it was expected to end its job.
	HandOverSlow HandOver = "slow_engine"
	// HandOverDue means that the item was moved from a slow engine and resumes at another, because it would have missed its due time.
	HandOverDue HandOver = "slow_engine_due"
	// HandOverRenewed means that the item is restarted with newer weights for the later job into which it will be carried over.
	HandOverRenewed HandOver = "renewed"
	// HandOverDetached means that the run continues after the end of its job.
	HandOverDetached HandOver = "detached"
	// HandOverAttached means that a later job has taken over a detached run.
	HandOverAttached HandOver = "attached"
	// HandOverEvacuated means that the run was ended because its zone is evacuated; the item resumes elsewhere.
	HandOverEvacuated HandOver = "evacuated_zone"
	// HandOverAdopted means that a worker has continued a run of an earlier term.
	HandOverAdopted HandOver = "adopted"
)

// Observer receives events of a Runner, for metrics.
type Observer interface {
	// AttemptEnded reports the end of a run of an item at an engine.
	AttemptEnded(verdict string, took time.Duration)
	// HandedOver reports that an item is assigned another run, or a run another job.
	HandedOver(reason HandOver)
	// Listed reports a listed result.
	Listed(state batch.State)
	// JobEnded reports the end of a job, and the time since this process started to run the job.
	JobEnded(after time.Duration)
	// Restored reports that an item or run continues a text of an ended job or an earlier process, and the text's number of events.
	Restored(events int)
	// Checkpointed reports a write of unfinished texts to this process's disk.
	Checkpointed(texts int, err error)
	// Committed reports a write of results to the store.
	Committed(took time.Duration)
}

// nopObserver is an Observer that does nothing.
type nopObserver struct{}

func (nopObserver) AttemptEnded(string, time.Duration) {}
func (nopObserver) HandedOver(HandOver)                {}
func (nopObserver) JobEnded(time.Duration)             {}
func (nopObserver) Restored(int)                       {}
func (nopObserver) Checkpointed(int, error)            {}
func (nopObserver) Listed(batch.State)                 {}
func (nopObserver) Committed(time.Duration)            {}
