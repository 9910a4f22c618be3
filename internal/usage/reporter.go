package usage

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/duty"
	"github.com/covelink/covelink/internal/fleettime"
	"github.com/covelink/covelink/internal/metastore"
	"github.com/covelink/covelink/internal/pause"
	"github.com/covelink/covelink/internal/permits"
)

const (
	// KindLedgers is the kind of the ledger's object, and ledgerName its name.
	KindLedgers = "usage-ledgers"
	ledgerName  = "ledger"
	// Subject is that of all reports of use in the journal of duties.
	Subject = "usage"
	// settleTime is how long after its end a window is fixed: gateways tell within half a second of the end of a request, and a lookup
	// lasts up to 1.5 s.
	settleTime = 2500 * time.Millisecond
	// hearTime is how long after the start of a term nothing is fixed, unless it is urgent: gateways find a new coordinating process within
	// two seconds and tell it everything again.
	hearTime = 3 * time.Second
	// urgentShare is the share of the time until a report is due after which a window is fixed whatever is missing: what is left is for a
	// store and a platform that are slow.
	urgentShare = 0.65
	// reporterInterval is the pause between two looks at what is to be done.
	reporterInterval = 250 * time.Millisecond
	// keepInterval is the least time between two writes of the ledger that fix nothing, and keepBytesPerSecond bounds what they amount to:
	// a gateway and the coordinating process may be lost together, and take along what was told since.
	keepInterval       = time.Second
	keepBytesPerSecond = 64 << 10
	// storeTimeout bounds one call to the store.
	storeTimeout = 1500 * time.Millisecond
	// keepLastTimeout bounds the last write of a term, for which the next holder waits.
	keepLastTimeout = 500 * time.Millisecond
	// sendRetry is the pause after a report that was not taken, and refusedRetry after one that the platform refused as such.
	sendRetry    = 300 * time.Millisecond
	refusedRetry = 2 * time.Second
	// maxSends bounds the reports that are under way at once.
	maxSends = 4
)

// Platform takes reports.
type Platform interface {
	// ReportUsage sends a report, which must not leave after a moment. It returns nil once it is taken, duty.ErrNotSent, duty.ErrUnanswered
	// or a *duty.RefusedError. A repeat has no effect.
	ReportUsage(ctx context.Context, stamp duty.Stamp, leaveBy time.Time, report Report) error
}

// ReporterParams are what a Reporter works with.
type ReporterParams struct {
	Platform Platform
	Store    metastore.Client
	Clock    fleettime.Clock
	// Length is that of a window, and Due how long after its end its report is due.
	Length time.Duration
	Due    time.Duration
	Logger log.Logger
	// Observer may be nil.
	Observer Observer
}

// Observer is told of what a Reporter does, for metrics.
type Observer interface {
	// Reported is told of each report that was taken, with how long after the window's end.
	Reported(after time.Duration, inTime bool)
	// CountsLost is told of requests that were told after their window was fixed.
	CountsLost(requests int64)
}

type nobody struct{}

func (nobody) Reported(time.Duration, bool) {}
func (nobody) CountsLost(int64)             {}

// Reporter reports while it leads. It implements Receiver.
type Reporter struct {
	ReporterParams
	mu     sync.Mutex
	ledger *ledger
	// leading is true from when the predecessors' ledger was read until the end of the term.
	leading bool
	// dirty is true if the store lacks something of the ledger.
	dirty bool
	// cell is the object in the store. It belongs to Lead.
	cell *metastore.Cell
	// kept is when the ledger was last written, and keepPause how long the next write that fixes nothing waits.
	kept      time.Time
	keepPause time.Duration
	// sendable are the reports that the store holds as fixed.
	sendable []Report
	// sending are the windows whose reports are under way.
	sending map[Window]struct{}
	// leftBehind are the revisions of the objects of KindCounts that were read, and leftUntil the newest window in each, by name.
	leftBehind map[string]metastore.Revision
	leftUntil  map[string]Window
}

// NewReporter returns a Reporter that does nothing until Lead.
func NewReporter(params ReporterParams) *Reporter {
	if params.Observer == nil {
		params.Observer = nobody{}
	}
	cell := metastore.NewCell(params.Store, KindLedgers, ledgerName, storeTimeout)
	return &Reporter{ReporterParams: params, ledger: newLedger(), cell: cell}
}

// Receive implements Receiver.
func (r *Reporter) Receive(request TellRequest) TellReply {
	reply := TellReply{Now: r.Clock.At(boottime.Now())}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.leading {
		return reply
	}
	r.takeIn(request)
	reply.Taken = true
	return reply
}

// takeIn adds counts to the ledger. The mutex must be held.
func (r *Reporter) takeIn(request TellRequest) {
	changed, late := r.ledger.take(request)
	r.dirty = r.dirty || changed
	if late > 0 {
		r.Observer.CountsLost(late)
		level.Warn(r.Logger).Log("msg", "counts came after their window was fixed", "source", request.Source, "requests", late)
	}
}

// Lead reports until ctx ends, or a later term does. duties records the calls.
func (r *Reporter) Lead(ctx context.Context, duties *duty.Executor) {
	if !r.takeOver(ctx, duties.Stamp.Token) {
		return
	}
	began := boottime.Now()
	r.setLeading(true)
	defer r.setLeading(false)
	var sends sync.WaitGroup
	for ctx.Err() == nil {
		if err := r.look(ctx, duties.Stamp.Token, began); errors.Is(err, permits.ErrSuperseded) {
			break
		}
		r.startSends(ctx, duties, &sends)
		pause.For(ctx, reporterInterval)
	}
	sends.Wait()
	r.keepLast(ctx, duties.Stamp.Token)
}

func (r *Reporter) setLeading(leading bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leading = leading
}

// takeOver reads the ledger of earlier terms and writes it under the term's token, as often as it takes.
func (r *Reporter) takeOver(ctx context.Context, token int64) bool {
	r.mu.Lock()
	r.ledger = newLedger()
	r.cell.Forget()
	r.sendable, r.sending = nil, make(map[Window]struct{})
	r.leftBehind, r.leftUntil = make(map[string]metastore.Revision), make(map[string]Window)
	// A deployment without a ledger reports from here on, however long it takes to write one.
	r.ledger.begin(WindowOf(r.Clock.At(boottime.Now()), r.Length))
	r.mu.Unlock()
	for ctx.Err() == nil {
		err := r.keep(ctx, token)
		if err == nil {
			level.Info(r.Logger).Log("msg", "ledger taken over", "token", token, "first", r.ledger.first, "reported_to", r.ledger.reportedTo)
			return true
		}
		level.Warn(r.Logger).Log("msg", "ledger not taken over", "token", token, "err", err)
		if errors.Is(err, permits.ErrSuperseded) {
			return false
		}
		pause.For(ctx, sendRetry)
	}
	return false
}

// look fixes the windows that are to be, and keeps the ledger.
func (r *Reporter) look(ctx context.Context, token int64, began time.Time) error {
	due := r.toFix(boottime.Now(), began)
	if len(due) > 0 {
		r.readLeftBehind(ctx)
		return r.fix(ctx, token, due)
	}
	r.mu.Lock()
	needed := r.dirty && time.Since(r.kept) >= r.keepPause
	r.mu.Unlock()
	if !needed {
		return nil
	}
	return r.keep(ctx, token)
}

// toFix returns the windows to be fixed now.
func (r *Reporter) toFix(now, began time.Time) []Window {
	r.mu.Lock()
	defer r.mu.Unlock()
	trueNow := r.Clock.At(now)
	settled := now.Sub(began) >= hearTime
	var due []Window
	for window := r.ledger.reportedTo + 1; ; window++ {
		over := trueNow.Sub(window.End(r.Length))
		if over < settleTime {
			return due
		}
		if known, ok := r.ledger.windows[window]; ok && known.State != windowOpen {
			continue
		}
		if settled || over >= r.urgentAfter() {
			due = append(due, window)
		}
	}
}

// urgentAfter is how long after its end a window is fixed whatever is missing.
func (r *Reporter) urgentAfter() time.Duration {
	return time.Duration(urgentShare * float64(r.Due))
}

// fix makes the counts of windows final, in the store first. Until that is known to be done, nothing of them is reported.
func (r *Reporter) fix(ctx context.Context, token int64, due []Window) error {
	r.mu.Lock()
	for _, window := range due {
		r.ledger.fix(window)
	}
	r.dirty = true
	r.mu.Unlock()
	return r.keep(ctx, token)
}

// startSends begins to send the reports whose counts the store holds as fixed.
func (r *Reporter) startSends(ctx context.Context, duties *duty.Executor, sends *sync.WaitGroup) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, report := range r.sendable {
		_, underWay := r.sending[report.Window]
		if underWay || r.ledger.isReported(report.Window) {
			continue
		}
		if len(r.sending) >= maxSends {
			return
		}
		r.sending[report.Window] = struct{}{}
		sends.Go(func() { r.send(ctx, duties, report) })
	}
}

// send sends a report until it is taken or the term ends.
func (r *Reporter) send(ctx context.Context, duties *duty.Executor, report Report) {
	for ctx.Err() == nil {
		err := duties.Do(ctx, Subject, func(ctx context.Context, stamp duty.Stamp, leaveBy time.Time) error {
			return r.Platform.ReportUsage(ctx, stamp, leaveBy, report)
		})
		after := r.Clock.At(boottime.Now()).Sub(report.Window.End(r.Length))
		level.Info(r.Logger).Log("msg", "usage reported", "window", strconv.FormatInt(int64(report.Window), 10), "tenants", len(report.Counts),
			"requests", report.Counts.total(), "token", duties.Stamp.Token, "after", after.Round(time.Millisecond), "err", err)
		if err == nil {
			r.noteReported(report.Window, after)
			return
		}
		if errors.Is(err, permits.ErrSuperseded) {
			return
		}
		pause.For(ctx, retryAfter(err))
	}
}

func retryAfter(err error) time.Duration {
	var refused *duty.RefusedError
	if errors.As(err, &refused) {
		return refusedRetry
	}
	return sendRetry
}

func (r *Reporter) noteReported(window Window, after time.Duration) {
	r.Observer.Reported(after, after <= r.Due)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ledger.reported(window)
	delete(r.sending, window)
	r.dirty = true
}
