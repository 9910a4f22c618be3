package itemwork

import (
	"math"
	"time"

	"github.com/covelink/covelink/coord/rendezvous"
	"github.com/covelink/covelink/internal/decay"
)

const (
	// runsPerWorker is how many open items each worker is expected to bear: their streams are some 1,000 events a second and a tenth of the processor
	// of the smallest gateways.
	runsPerWorker = 8
	// minWorkers is the least number of gateways that run items: enough that the loss of one interrupts few runs, and that each zone has some.
	minWorkers = 64
	// workerStep is the step in which the number grows: a share that follows each item would have workers come and go.
	workerStep = 16
	// needLife is the time in which the most open items that are remembered fall to a part of 1/e: longer than the pauses between a trainer's jobs.
	needLife = 30 * time.Second
)

// Need decides how many gateways run items, by the items that are open. It belongs to one goroutine. The zero value has seen none.
type Need struct {
	// most is the most items that were open, as it fades.
	most decay.Value
}

// Share returns the share of the processes that are to run items, from 0 to 1; zero for all of them.
func (n *Need) Share(open, processes int, now time.Time) float64 {
	most := max(n.most.At(now, needLife), float64(open))
	n.most = decay.Of(most, now)
	steps := math.Ceil(most / runsPerWorker / workerStep)
	wanted := max(minWorkers, workerStep*int(steps))
	if processes <= wanted {
		return 0
	}
	return float64(wanted) / float64(processes)
}

// Chosen reports whether the process of a name is among a share of all. A larger share includes a smaller one's processes, so that few change as it
// changes. Zero includes all.
func Chosen(name string, share float64) bool {
	if share <= 0 || share >= 1 {
		return true
	}
	// A key of its own keeps this choice apart from others by the hash of the name.
	const key = 0x776f726b
	return rendezvous.Fraction(key, rendezvous.Hash(name)) < share
}
