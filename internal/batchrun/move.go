package batchrun

import "time"

const (
	// moveCost is the time that a move costs: the prompt is read again, the connection is new, and the text that was not reported yet is lost.
	moveCost = 300 * time.Millisecond
	// minMoveSpeedup is how many times longer than elsewhere an item must take before it is moved. Engines of equal speed differ by less.
	minMoveSpeedup = 1.15
	// minMoveAge is how long a run must have lasted before its item may be moved.
	minMoveAge = 400 * time.Millisecond
	// maxMoveBackoff bounds how often minMoveAge doubles with each move, so that items do not alternate between similar engines.
	maxMoveBackoff = 2
	// minMoveEvents is the weight of observations, in events, from which another engine's pace is known.
	minMoveEvents = 10.0
)

// moveReason tells why an item is moved or stays.
type moveReason string

const (
	// moveEndsJob means that the item is expected to end its job, which ends sooner if it is moved.
	moveEndsJob moveReason = "ends_job"
	// moveDue means that the item would miss its due time where it is.
	moveDue moveReason = "due_time"

	stayRecent       moveReason = "started_recently"
	stayUncertain    moveReason = "pace_uncertain"
	stayUnobserved   moveReason = "other_engine_unobserved"
	stayGain         moveReason = "gain_below_cost"
	staySpare        moveReason = "spare"
	stayOthersLonger moveReason = "other_items_end_later"
)

// moveInput is the snapshot from which decideMove decides.
type moveInput struct {
	// here is the expected remaining time of the item at its engine, and certainHere the time that it takes at least by the run's own recent events;
	// there is the expected time at the other engine.
	here, certainHere, there time.Duration
	// age is how long the run has lasted, and moves how often the item was moved before.
	age   time.Duration
	moves int
	// paceCertain is true if the run was observed long enough, and otherEvents the weight of the observations of the other engine.
	paceCertain bool
	otherEvents float64
	// others is when the last other item that the job waits for is expected to end, and spare is true if the job does not wait for this one.
	others time.Duration
	spare  bool
	// due is the time until the item's result is due; hasDue is false if there is no such time.
	due    time.Duration
	hasDue bool
}

// gain returns the time that a move saves for certain, without its cost.
func (in *moveInput) gain() time.Duration { return min(in.here, in.certainHere) - in.there }

// decideMove reports whether an item is moved to another engine, and why or why not. It is moved if its job is expected to end sooner, or if it would
// miss its due time where it is and not elsewhere. The gain must be certain and exceed moveCost.
func decideMove(in moveInput) (move bool, reason moveReason) {
	switch {
	case in.spare:
		return false, staySpare
	case in.here-in.there < moveCost || float64(in.here) < minMoveSpeedup*float64(in.there):
		return false, stayGain
	case in.age < minMoveAge<<min(in.moves, maxMoveBackoff):
		return false, stayRecent
	case !in.paceCertain:
		return false, stayUncertain
	case in.otherEvents < minMoveEvents:
		return false, stayUnobserved
	case in.gain() < moveCost || float64(in.certainHere) < minMoveSpeedup*float64(in.there):
		return false, stayUncertain
	case in.others-in.here <= in.gain():
		return true, moveEndsJob
	case in.hasDue && in.here > in.due && in.there+moveCost <= in.due:
		return true, moveDue
	}
	return false, stayOthersLonger
}

// handOver returns the metric of a move.
func (m moveReason) handOver() HandOver {
	if m == moveDue {
		return HandOverDue
	}
	return HandOverSlow
}
