package itemwork

import (
	"context"
	"errors"
	"time"

	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/pause"
)

// reportUntil reports until ctx ends.
func (w *Worker) reportUntil(ctx context.Context) {
	for ctx.Err() == nil {
		timer := time.NewTimer(progressInterval)
		select {
		case <-w.ended:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		w.forget()
		if more, err := w.reportOnce(ctx); err != nil || more {
			w.poke()
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

// flush reports what is left at the end.
func (w *Worker) flush() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTime)
	defer cancel()
	for ctx.Err() == nil {
		more, err := w.reportOnce(ctx)
		if err == nil && !more {
			return
		}
		pause.For(ctx, retryPause)
	}
}

// errNotTaken reports a call that no coordinating process of the worker's term took in.
var errNotTaken = errors.New("itemwork: reports not taken")

// reportOnce reports what is new. It reports whether there is more.
func (w *Worker) reportOnce(ctx context.Context) (more bool, err error) {
	w.mu.Lock()
	term := w.term
	w.mu.Unlock()
	address := w.Coordinator()
	request, more := w.batch(address, term)
	if len(request.Reports) == 0 {
		return more, nil
	}
	if address == "" {
		return true, errNotTaken
	}
	ctx, cancel := context.WithTimeout(ctx, callMargin)
	defer cancel()
	started := boottime.Now()
	reply, err := w.Report(ctx, address, request)
	if err != nil {
		return true, err
	}
	if !reply.Leading || reply.Term < request.Term {
		return true, errNotTaken
	}
	w.hear(started, reply.Term, reply.Meeting)
	if !w.acknowledge(request, reply, started) {
		return true, nil
	}
	return more, nil
}

// mayTell reports whether the process at an address may be told of a run.
func (w *Worker) mayTell(address string, run *workerRun) bool {
	return w.MayTell == nil || w.MayTell(address, run.assignment.Run.Term, run.assignment.Residency)
}

// batch returns the reports of what is new for the process at an address, as much as fits one call, and whether there is more. term is the one that
// was known before the address was: if a later one has begun since, the address may be that of the earlier holder, and what is withheld from
// it would count as told to the later one.
func (w *Worker) batch(address string, term int64) (request ReportRequest, more bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.term != term {
		return ReportRequest{}, true
	}
	request = ReportRequest{Worker: w.identity(), Term: w.term, Meeting: w.meeting}
	defer w.noteTold()
	size := 0
	for _, id := range w.order {
		run := w.runs[id]
		if run == nil || !run.news() {
			continue
		}
		if !w.mayTell(address, run) {
			// There is nothing that this process could want ended.
			run.told = run.told || address != ""
			if address != "" && run.over() {
				// Counts as reported, so that it is kept for a later term for keepEnded and no longer.
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

// acknowledge notes that the reports of a call, which began at a moment, were taken in. It returns false if they belong to an earlier term or meeting:
// all is told again then.
func (w *Worker) acknowledge(request ReportRequest, reply ReportReply, started time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if request.Term != w.term || request.Meeting != w.meeting {
		return false
	}
	w.interval = reply.Interval
	for i := range request.Reports {
		if run := w.runs[request.Reports[i].Run]; run != nil {
			run.take(&request.Reports[i])
		}
	}
	for _, id := range reply.Unwanted {
		w.refuse(id)
	}
	// Before calls are permitted: the order that releases a run may come later than this answer, and a reward call of an ended job left in between.
	for _, id := range reply.Released {
		if run := w.runs[id]; run != nil {
			run.release()
		}
	}
	w.noteTold()
	w.renewPermission(started)
	return true
}

// refuse ends a run that is not wanted. Its end is reported before it is forgotten. The mutex must be held.
func (w *Worker) refuse(id RunID) {
	run := w.runs[id]
	if run == nil {
		return
	}
	run.cancel()
	if !run.endReported.IsZero() {
		delete(w.runs, id)
	}
}

// forget drops ended runs that were reported long ago, or that are too large together.
func (w *Worker) forget() {
	w.mu.Lock()
	defer w.mu.Unlock()
	bytes := 0
	for i := len(w.order) - 1; i >= 0; i-- {
		run := w.runs[w.order[i]]
		if run == nil || run.endReported.IsZero() {
			continue
		}
		bytes += run.text.Size()
		if bytes > maxKeptBytes || time.Since(run.endReported) > keepEnded {
			delete(w.runs, w.order[i])
		}
	}
	kept := w.order[:0]
	for _, id := range w.order {
		if _, ok := w.runs[id]; ok {
			kept = append(kept, id)
		}
	}
	w.order = kept
}
