package batchrun

import (
	"time"

	"github.com/covelink/covelink/internal/batch"
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
