package batchrun

import (
	"time"

	"github.com/covelink/covelink/internal/batch"
)

// HandOver is why an item changes its run, or a run its job. Its value is the name in metrics.
type HandOver string

// The reasons.
const (
	// HandOverSlow: the item left a slow engine and continues elsewhere.
	HandOverSlow HandOver = "slow_engine"
	// HandOverRenewed: the item is begun anew, with newer weights, for the later job in which it will come again.
	HandOverRenewed HandOver = "renewed"
	// HandOverDetached: the run continues after the end of its job.
	HandOverDetached HandOver = "detached"
	// HandOverAttached: a later job has taken over a detached run.
	HandOverAttached HandOver = "attached"
	// HandOverEvacuated: the run was ended because its zone is evacuated; the item continues elsewhere.
	HandOverEvacuated HandOver = "evacuated_zone"
	// HandOverAdopted: a worker has continued a run of an earlier term.
	HandOverAdopted HandOver = "adopted"
)

// Observer is told of what a Runner does, for metrics.
type Observer interface {
	// AttemptEnded reports the end of a run of an item at an engine.
	AttemptEnded(verdict string, took time.Duration)
	// HandedOver reports an item that changes its run, or a run that changes its job.
	HandedOver(reason HandOver)
	// Listed reports a result that was listed.
	Listed(state batch.State)
	// JobEnded reports the end of a job, with the time since this process began to run it.
	JobEnded(after time.Duration)
	// Restored reports an item or run that continues a text left by an ended job or an earlier process, with the text's number of events.
	Restored(events int)
	// Checkpointed reports a write of unfinished texts to this process's disk.
	Checkpointed(texts int, err error)
	// Committed reports a write of results.
	Committed(took time.Duration)
}

// noObserver is an Observer that does nothing.
type noObserver struct{}

func (noObserver) AttemptEnded(string, time.Duration) {}
func (noObserver) HandedOver(HandOver)                {}
func (noObserver) JobEnded(time.Duration)             {}
func (noObserver) Restored(int)                       {}
func (noObserver) Checkpointed(int, error)            {}
func (noObserver) Listed(batch.State)                 {}
func (noObserver) Committed(time.Duration)            {}
