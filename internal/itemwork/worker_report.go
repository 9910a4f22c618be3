package itemwork

import (
	"context"
	"errors"
	"time"

	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/pause"
)

func (w *Worker) reportUntil(ctx context.Context) {
	for ctx.Err() == nil {
		timer := time.NewTimer(progressInterval)
		select {
		case <-w.reportNow:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		w.evictEnded()
		if more, err := w.reportOnce(ctx); err != nil || more {
			w.wakeReporter()
			if err != nil {
				pause.For(ctx, retryPause)
			}
		}
		w.mu.Lock()
		interval := w.interval
		w.mu.Unlock()
		pause.For(ctx, interval)
	}
}

// flush sends the remaining reports at shutdown.
func (w *Worker) flush() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	for ctx.Err() == nil {
		more, err := w.reportOnce(ctx)
		if err == nil && !more {
			return
		}
		pause.For(ctx, retryPause)
	}
}

// errReportsNotAccepted reports that no coordinator of the worker's term accepted the reports.
var errReportsNotAccepted = errors.New("itemwork: reports not accepted by a coordinator of the term")

// reportOnce sends one batch of reports. It returns true if more is left to report.
func (w *Worker) reportOnce(ctx context.Context) (more bool, err error) {
	w.mu.Lock()
	term := w.term
	w.mu.Unlock()
	address := w.Coordinator()
	request, more := w.nextReports(address, term)
	if len(request.Reports) == 0 {
		return more, nil
	}
	if address == "" {
		return true, errReportsNotAccepted
	}
	ctx, cancel := w.whileCoordinator(ctx, address)
	defer cancel()
	ctx, stop := context.WithTimeout(ctx, callMargin)
	defer stop()
	started := boottime.Now()
	reply, err := w.Report(ctx, address, request)
	if err != nil {
		return true, err
	}
	if !reply.Leading || reply.Term < request.Term {
		return true, errReportsNotAccepted
	}
	w.recordContact(started, reply.Term, reply.Meeting)
	if !w.acknowledge(request, reply, started) {
		return true, nil
	}
	return more, nil
}

func (w *Worker) mayReport(address string, run *workerRun) bool {
	return w.MayReport == nil || w.MayReport(address, run.assignment.Run.Term, run.assignment.Residency)
}

// nextReports returns the reports for the process at an address, limited to one call, and whether more is left. term must have been read before the
// address: if a later term has started since, the address may be that of the former coordinator, and runs withheld from it would count as reported
// to the new one.
func (w *Worker) nextReports(address string, term int64) (request ReportRequest, more bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.term != term {
		return ReportRequest{}, true
	}
	request = ReportRequest{Worker: w.identity(), Term: w.term, Meeting: w.registration}
	defer w.updateReportsDue()
	size := 0
	for _, id := range w.runOrder {
		run := w.runs[id]
		if run == nil || !run.hasUpdates() {
			continue
		}
		if !w.mayReport(address, run) {
			// A process that may not receive the run cannot want it canceled.
			run.announced = run.announced || address != ""
			if address != "" && run.finished() {
				// Counts as reported so that it expires after endedRunTTL; a later term may still receive it until then.
				run.endReported = time.Now()
			}
			continue
		}
		if size > maxReportBytes {
			return request, true
		}
		report := run.report()
		size += sizeOf(report.Segments)
		request.Reports = append(request.Reports, report)
	}
	return request, false
}

// acknowledge records that the reports of a call that started at a moment were accepted. It returns false if the term or registration has changed
// since, so that everything must be reported again.
func (w *Worker) acknowledge(request ReportRequest, reply ReportReply, started time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if request.Term != w.term || request.Meeting != w.registration {
		return false
	}
	w.interval = reply.Interval
	for i := range request.Reports {
		if run := w.runs[request.Reports[i].Run]; run != nil {
			run.markReported(&request.Reports[i])
		}
	}
	for _, id := range reply.Unwanted {
		w.drop(id)
	}
	// Must precede renewPermission: the order that releases a run may arrive after this reply, and a reward call of an ended job could be made in
	// between.
	for _, id := range reply.Released {
		if run := w.runs[id]; run != nil {
			run.release()
		}
	}
	w.updateReportsDue()
	w.renewPermission(started)
	return true
}

// drop cancels an unwanted run and removes it once its end has been reported. The mutex must be held.
func (w *Worker) drop(id RunID) {
	run := w.runs[id]
	if run == nil {
		return
	}
	run.cancel()
	if !run.endReported.IsZero() {
		delete(w.runs, id)
	}
}

// evictEnded removes ended runs that were reported more than endedRunTTL ago or that exceed maxEndedBytes.
func (w *Worker) evictEnded() {
	w.mu.Lock()
	defer w.mu.Unlock()
	bytes := 0
	for i := len(w.runOrder) - 1; i >= 0; i-- {
		run := w.runs[w.runOrder[i]]
		if run == nil || run.endReported.IsZero() {
			continue
		}
		bytes += run.text.Size()
		if bytes > maxEndedBytes || time.Since(run.endReported) > endedRunTTL {
			delete(w.runs, w.runOrder[i])
		}
	}
	kept := w.runOrder[:0]
	for _, id := range w.runOrder {
		if _, ok := w.runs[id]; ok {
			kept = append(kept, id)
		}
	}
	w.runOrder = kept
}
