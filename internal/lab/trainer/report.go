package trainer

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxStaleness is the highest staleness that the histogram tells apart, in versions.
	maxStaleness = 1_000_000
	// stalenessDigits is the number of significant digits of the histogram.
	stalenessDigits = 3
)

// Report is what a trainer measured.
type Report struct {
	Batches  int
	Received int
	Versions int
	// Idle is the time the trainer waited for a sample while it had nothing to learn from.
	Idle time.Duration
	// Wall is the time from the first batch to the last sample.
	Wall time.Duration
	// Staleness counts, for each sample at its hand-over, the trainer's version less the oldest version of the sample.
	Staleness *hdrhistogram.Histogram
}

func newReport() Report {
	return Report{Staleness: hdrhistogram.New(0, maxStaleness, stalenessDigits)}
}

// idleMeter measures idle time without learning for real: it keeps the moment at which the trainer, learning from
// all it has, would run out of samples.
type idleMeter struct {
	perSample time.Duration
	busyUntil time.Time
	idle      time.Duration
}

// start begins the measurement: the trainer has nothing to learn from.
func (m *idleMeter) start(now time.Time) { m.busyUntil = now }

// received adds samples.
func (m *idleMeter) received(now time.Time, samples int) {
	if now.After(m.busyUntil) {
		m.idle += now.Sub(m.busyUntil)
		m.busyUntil = now
	}
	m.busyUntil = m.busyUntil.Add(time.Duration(samples) * m.perSample)
}
