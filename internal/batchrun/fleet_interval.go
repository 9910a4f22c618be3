package batchrun

import "time"

const (
	// defaultEventInterval is the assumed interval between two events until one is observed.
	defaultEventInterval = 40 * time.Millisecond
	// minFleetSmoothing is the minimum smoothing factor of the fleet average, which is updated once per report: about a hundred reports,
	// a second of a busy deployment.
	minFleetSmoothing = 0.01
)

// fleetInterval holds what the engines of the fleet have in common: the moving averages of the interval between two events and of the company of
// runs, and the effect of company. It is not safe for concurrent use.
type fleetInterval struct {
	average     time.Duration
	meanCompany float64
	count       int
	company     companyEffect
}

// value returns the average, or defaultEventInterval if there is none.
func (f *fleetInterval) value() time.Duration {
	if f.count == 0 {
		return defaultEventInterval
	}
	return f.average
}

// alone returns the average interval of a run that is alone at its engine.
func (f *fleetInterval) alone() time.Duration {
	return time.Duration(float64(f.value()) / f.company.slowdown(f.meanCompany))
}

// observe updates the averages with the mean interval and the company of a report.
func (f *fleetInterval) observe(interval time.Duration, company float64) {
	f.count++
	if f.count == 1 {
		f.average, f.meanCompany = interval, company
		return
	}
	interval = min(interval, maxIntervalFactor*f.average)
	smoothing := max(1/float64(f.count), minFleetSmoothing)
	f.average += time.Duration(smoothing * float64(interval-f.average))
	f.meanCompany += smoothing * (company - f.meanCompany)
}
