package itemwork

import (
	"math"
	"time"

	"github.com/covelink/covelink/coord/rendezvous"
	"github.com/covelink/covelink/internal/decay"
)

const (
	runsPerWorker = 8
	// minWorkers is the minimum number of gateways that run items, so that the loss of one interrupts few runs and each zone has some.
	minWorkers = 64
	// workerStep is the step by which the number of workers changes; it prevents workers from joining and leaving with each item.
	workerStep = 16
	// peakDecay is the time constant with which the remembered peak of open items decays; it spans the pauses between a trainer's jobs.
	peakDecay = 30 * time.Second
)

// Autoscaler computes how many gateways should run items from the number of open items. It is not safe for concurrent use. The zero value is ready
// to use.
type Autoscaler struct {
	// peak is the decaying peak of open items.
	peak decay.Value
}

// Share returns the share of the processes that should run items, from 0 to 1; zero means all of them.
func (a *Autoscaler) Share(open, processes int, now time.Time) float64 {
	peak := max(a.peak.At(now, peakDecay), float64(open))
	a.peak = decay.New(peak, now)
	steps := math.Ceil(peak / runsPerWorker / workerStep)
	workers := max(minWorkers, workerStep*int(steps))
	if processes <= workers {
		return 0
	}
	return float64(workers) / float64(processes)
}

// InShare reports whether a process is part of a share of all, by a hash of its name. A larger share includes the processes of a smaller one, so
// that few change when the share does. Zero includes all.
func InShare(name string, share float64) bool {
	if share <= 0 || share >= 1 {
		return true
	}
	// Keeps this selection independent of others by the hash of the name.
	const key = 0x776f726b
	return rendezvous.Fraction(key, rendezvous.Hash(name)) < share
}
