package forward

import (
	"math/rand/v2"
	"time"

	"github.com/covelink/covelink/internal/fleet"
)

const (
	// reportMaxAge is the age beyond which a reported load counts for nothing: requests take 25 to 200 ms, so that an older one says little.
	reportMaxAge = time.Second
	// slowPace is the reported pace, in percent of usual, above which an engine is avoided while others are faster. Paces change many times a second;
	// a lower bound would avoid engines for their noise.
	slowPace = 150
)

// loadReport is the newest load that an engine reported.
type loadReport struct {
	EngineLoad
	// at is the boottime of the report.
	at time.Time
	// answered is true if the report came with the whole answer of a request, which has left its slot since.
	answered bool
	// refused is true if the engine did not accept a request and has answered none since, whatever it reports.
	refused bool
	// sent counts this process's sends to the engine since the report.
	sent int
	// share is this process's share of the reported free slots, rounded at random. Other processes take the rest.
	share int
}

func (r *loadReport) young(now time.Time) bool { return now.Sub(r.at) < reportMaxAge }

// free returns the number of requests that the engine can start at once. A refusal takes precedence over what the engine reports.
func (r *loadReport) free() int {
	if r.refused {
		return 0
	}
	free := r.Slots - r.Running - r.Waiting
	if r.answered && r.Waiting == 0 {
		// The engine may count the request that it has just answered as running.
		free = max(free, 1)
	}
	return max(free-r.sent, 0)
}

// inProgress returns the number of requests that the engine runs and queues; zero without a young report.
func (r *loadReport) inProgress(now time.Time) int {
	if r == nil || !r.young(now) {
		return 0
	}
	return r.Running + r.Waiting + r.sent
}

// usable returns the number of free slots that this process may use, so that the processes that know of the same free slots do not all send to them:
// its share of them, and at least the slot of the request that was just answered.
func (r *loadReport) usable() int {
	usable := r.share
	if r.answered && r.Waiting == 0 {
		usable = max(usable, 1)
	}
	return min(max(usable-r.sent, 0), r.free())
}

// shareOf returns how many of an engine's free slots a process takes that has a number of the engine's running requests. draw is uniform in [0, 1).
func shareOf(load EngineLoad, own int, draw float64) int {
	free := max(load.Slots-load.Running-load.Waiting, 0)
	own = max(own, 1)
	return int(float64(free)*float64(own)/float64(max(load.Running, own)) + draw)
}

// preference orders engines by their reported loads; the lowest is selected first.
type preference int

// The preferences. An engine without a young report is preferred to one that is known to be slow or full: it shows how it is by its next answer.
const (
	preferFree preference = iota
	preferUnknown
	preferSlow
	preferFull
)

// preferenceOf returns the preference of an engine with a report, or with none (nil).
func preferenceOf(report *loadReport, now time.Time) preference {
	switch {
	case report == nil || !report.young(now):
		return preferUnknown
	case report.free() == 0:
		return preferFull
	case report.Pace > slowPace:
		return preferSlow
	}
	return preferFree
}

// capacity is what the engines of a service report together.
type capacity struct {
	// known is true if at least half of the engines have a young report.
	known bool
	// free is the sum of the free slots of the reporting engines, and usable the part of them that this process may use.
	free, usable int
	// slots is the sum of the slots of the reporting engines.
	slots int
	// reporting counts the engines with a young report.
	reporting int
	// until is when the oldest young report ceases to count.
	until time.Time
}

// capacityOf sums the young reports of a number of engines.
func capacityOf(reports []*loadReport, engines int, now time.Time) capacity {
	var sum capacity
	for _, report := range reports {
		if !report.young(now) {
			continue
		}
		sum.reporting++
		sum.slots += report.Slots
		sum.free += report.free()
		sum.usable += report.usable()
		if until := report.at.Add(reportMaxAge); sum.until.IsZero() || until.Before(sum.until) {
			sum.until = until
		}
	}
	sum.known = sum.reporting > 0 && 2*sum.reporting >= engines
	return sum
}

// full reports whether the engines are known to have no free slot.
func (c capacity) full() bool { return c.known && c.free == 0 }

// hasHeadroom reports whether more than headroom of the slots would be free beside a number of requests.
func (c capacity) hasHeadroom(requests int) bool {
	return float64(c.free-requests) > headroom*float64(c.slots)
}

// judge combines a learned load with the reported capacity, which decides where it is known. overtakes is true if requests already wait: only the
// queue may then send to free slots, in its order.
func (c capacity) judge(learned Load, overtakes bool) Load {
	switch {
	case !c.known:
		return learned
	case c.usable > 0 && !overtakes:
		return LoadNormal
	}
	return max(learned, LoadFull)
}

// loadReports holds the newest report of each engine. Reports that are too old to count are dropped, and with them those of engines that left, so
// that memory is bounded by the engines of the last seconds. It is not safe for concurrent use.
type loadReports struct {
	byEngine map[string]*loadReport
	sweptAt  time.Time
}

// record stores an engine's report. answered is true if it came with the whole answer of a request that the engine executed,
// and own is the number of this process's requests in progress there, that one included.
func (r *loadReports) record(now time.Time, engine string, load EngineLoad, answered bool, own int) {
	r.sweep(now)
	report, ok := r.byEngine[engine]
	if !ok {
		report = &loadReport{}
		r.byEngine[engine] = report
	}
	*report = loadReport{EngineLoad: load, at: now, answered: answered, refused: report.refused && !answered, share: shareOf(load, own, rand.Float64())}
}

// recordRefused records that an engine did not accept a request.
func (r *loadReports) recordRefused(engine string) {
	if report := r.byEngine[engine]; report != nil {
		report.refused = true
	}
}

// recordSent counts a send to an engine.
func (r *loadReports) recordSent(engine string) {
	if report := r.byEngine[engine]; report != nil {
		report.sent++
	}
}

// capacity returns the reported capacity of some engines.
func (r *loadReports) capacity(now time.Time, engines []*fleet.Engine) capacity {
	if len(r.byEngine) == 0 {
		return capacity{}
	}
	reports := make([]*loadReport, 0, min(len(engines), len(r.byEngine)))
	for _, engine := range engines {
		if report := r.byEngine[engine.ID]; report != nil {
			reports = append(reports, report)
		}
	}
	return capacityOf(reports, len(engines), now)
}

// sweep drops reports that are too old to count, and those of refusing engines after staleAfter.
func (r *loadReports) sweep(now time.Time) {
	if now.Sub(r.sweptAt) < reportMaxAge {
		return
	}
	r.sweptAt = now
	for id, report := range r.byEngine {
		if age := now.Sub(report.at); age > staleAfter || (!report.refused && age > reportMaxAge) {
			delete(r.byEngine, id)
		}
	}
}
