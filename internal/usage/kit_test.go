package usage

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/covelink/covelink/internal/duty"
	"github.com/covelink/covelink/internal/election"
	"github.com/covelink/covelink/internal/fleettime"
	"github.com/covelink/covelink/internal/metastore"
	"github.com/covelink/covelink/internal/metastore/metastoretest"
	"github.com/covelink/covelink/internal/permits"
)

const (
	windowLength = 5 * time.Second
	reportDue    = 10 * time.Second
	leaseLength  = 3 * time.Second
	dutyTransit  = 800 * time.Millisecond
)

// taken is a report as the platform saw it.
type taken struct {
	holder string
	token  int64
	report Report
	at     time.Time
}

// fakePlatform keeps what it was sent, and notes each broken promise of a reporter.
type fakePlatform struct {
	mu   sync.Mutex
	fail func(report Report) error
	// travel draws how long after the last moment at which it may leave a call arrives, at most; nil for at once.
	travel func(latest time.Duration) time.Duration
	seen   []taken
	counts map[Window]Counts
	broken []string
}

func newFakePlatform() *fakePlatform { return &fakePlatform{counts: make(map[Window]Counts)} }

// ReportUsage implements Platform.
func (p *fakePlatform) ReportUsage(_ context.Context, stamp duty.Stamp, leaveBy time.Time, report Report) error {
	if time.Now().After(leaveBy) {
		return duty.ErrNotSent
	}
	if p.travel != nil {
		time.Sleep(p.travel(time.Until(leaveBy) + dutyTransit))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var err error
	if p.fail != nil {
		err = p.fail(report)
	}
	if errors.Is(err, duty.ErrNotSent) {
		return err
	}
	p.judge(taken{holder: stamp.Holder, token: stamp.Token, report: report, at: time.Now()})
	return err
}

// judge checks a call against the promises, and keeps it.
func (p *fakePlatform) judge(call taken) {
	if known, ok := p.counts[call.report.Window]; ok && !maps.Equal(known, call.report.Counts) {
		p.broken = append(p.broken, fmt.Sprintf("window %d reported as %v, then as %v", call.report.Window, known, call.report.Counts))
	}
	p.counts[call.report.Window] = maps.Clone(call.report.Counts)
	for i, earlier := range p.seen {
		if earlier.token > call.token {
			p.broken = append(p.broken, fmt.Sprintf("token %d after %d", call.token, earlier.token))
		}
		if earlier.token == call.token && earlier.holder != call.holder {
			p.broken = append(p.broken, fmt.Sprintf("token %d of two holders", call.token))
		}
		if earlier.holder == call.holder && call.at.Sub(earlier.at) < leaseLength && p.otherSince(i, call.holder) {
			p.broken = append(p.broken, "holders by turns within a lease length")
		}
	}
	p.seen = append(p.seen, call)
}

func (p *fakePlatform) otherSince(from int, holder string) bool {
	for _, call := range p.seen[from:] {
		if call.holder != holder {
			return true
		}
	}
	return false
}

// reported returns the counts of a window, and whether it was reported.
func (p *fakePlatform) reported(window Window) (Counts, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts, ok := p.counts[window]
	return counts, ok
}

// calls returns what was seen so far.
func (p *fakePlatform) calls() []taken {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.seen)
}

// setFail chooses how reports are answered from now on; nil for as they should be.
func (p *fakePlatform) setFail(fail func(report Report) error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fail = fail
}

// brokenPromises returns what was noted.
func (p *fakePlatform) brokenPromises() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.broken)
}

// wallClock is true time in tests with virtual time.
type wallClock struct{}

// At implements fleettime.Clock.
func (wallClock) At(moment time.Time) time.Time { return moment }

var _ fleettime.Clock = wallClock{}

// holder is one process that may report.
type holder struct {
	reporter *Reporter
	client   *metastoretest.Client
	mu       sync.Mutex
	fault    func(operation, kind string, write bool) metastoretest.Fault
	cancel   context.CancelFunc
	done     chan struct{}
}

// lead begins a term.
func lead(store *metastoretest.Store, platform Platform, name string, token int64) *holder {
	h := &holder{client: store.Client(), done: make(chan struct{})}
	h.client.Fault = h.chosenFault
	h.reporter = NewReporter(ReporterParams{
		Platform: platform,
		Store:    h.client,
		Clock:    wallClock{},
		Length:   windowLength,
		Due:      reportDue,
		Logger:   log.NewNopLogger(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	performer := &duty.Executor{
		Stamp:   duty.Stamp{Holder: name, Token: token},
		Journal: permits.New(permits.Params{Store: h.client, Name: "duties", Holder: name, Token: token, LeaseLength: leaseLength, Transit: dutyTransit}),
	}
	go func() {
		defer close(h.done)
		performer.TakeOver(ctx)
		h.reporter.Lead(ctx, performer)
	}()
	return h
}

// setFault chooses what happens to the holder's calls to the store from now on; nil for nothing.
func (h *holder) setFault(fault func(operation, kind string, write bool) metastoretest.Fault) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fault = fault
}

func (h *holder) chosenFault(operation, kind string, write bool) metastoretest.Fault {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.fault == nil {
		return metastoretest.None
	}
	return h.fault(operation, kind, write)
}

// stop ends the term as planned.
func (h *holder) stop() {
	h.cancel()
	<-h.done
}

// kill ends the term without another call to the store.
func (h *holder) kill() {
	h.setFault(func(string, string, bool) metastoretest.Fault { return metastoretest.Refused })
	h.stop()
}

// gateway is a meter with its teller.
type gateway struct {
	meter   *Meter
	cancel  context.CancelFunc
	done    chan struct{}
	mu      sync.Mutex
	current *holder
	term    election.Term
}

// startGateway starts a gateway that tells whoever is set with follow.
func startGateway(store metastore.Client) *gateway {
	g := &gateway{done: make(chan struct{})}
	clock := fleettime.NewRemote(time.Now)
	g.meter = NewMeter(windowLength, clock)
	teller := NewTeller(TellerParams{
		Meter:       g.meter,
		Clock:       clock,
		Coordinator: func() election.Term { g.mu.Lock(); defer g.mu.Unlock(); return g.term },
		Send:        g.send,
		Store:       store,
		Logger:      log.NewNopLogger(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	go func() {
		defer close(g.done)
		teller.Run(ctx)
	}()
	return g
}

var errUnreached = errors.New("not reached")

func (g *gateway) send(_ context.Context, _ string, request TellRequest) (TellReply, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.current == nil {
		return TellReply{}, errUnreached
	}
	return g.current.reporter.Receive(request), nil
}

// follow makes the gateway reach a holder; nil for nobody.
func (g *gateway) follow(h *holder, token int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.current = h
	if h != nil {
		g.term = election.Term{Address: "holder", Token: token}
	}
}

func (g *gateway) stop() {
	g.cancel()
	<-g.done
}

// began counts requests now.
func (g *gateway) began(tenant string, requests int) {
	for range requests {
		g.meter.Began(tenant, time.Now())
	}
}
