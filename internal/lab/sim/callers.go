package sim

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/dispatch"
	"github.com/covelink/covelink/internal/lab/invariant"
)

// callers make the interactive requests.
type callers struct {
	sim *simulation
	// open counts the requests without an outcome and those of the scenario that are to come; streams counts the
	// applications that will send more whatever the trainers do.
	open    int
	streams int
	// byTask finds the request of a task that a dead node took with it.
	byTask map[*task]*call
	next   map[string]int
}

// call is one interactive request.
type call struct {
	callers *callers
	request Request
	index   int // in Result.Requests
	arrived time.Time
	via     *zone
	closed  bool
}

func newCallers(s *simulation) *callers {
	c := &callers{sim: s, byTask: make(map[*task]*call), next: make(map[string]int)}
	for _, request := range s.scenario.Requests {
		c.open++
		s.at(epoch.Add(request.At), func() {
			c.open--
			c.arrive(request)
		})
	}
	for index, application := range s.scenario.Applications {
		c.addApplication(uint64(index), application)
	}
	return c
}

func (c *callers) done() bool { return c.open == 0 && c.streams == 0 }

func (c *callers) addApplication(index uint64, application Application) {
	end := c.sim.end
	bounded := application.End > 0 || len(c.sim.trainers) == 0
	if application.End > 0 {
		end = epoch.Add(application.End)
	}
	a := &arrivals{callers: c, spec: application, end: end, bounded: bounded, random: c.sim.random(streamArrivals, index)}
	if bounded {
		c.streams++
	}
	a.next(epoch.Add(application.Start))
}

// arrivals is the stream of an application's requests.
type arrivals struct {
	callers *callers
	spec    Application
	end     time.Time
	bounded bool
	random  *rand.Rand
	number  int
}

// next plans the arrival after a moment. Thinning makes the process follow the bursts.
func (a *arrivals) next(moment time.Time) {
	peak := a.spec.RequestsPerSecond * max(a.spec.BurstFactor, 1)
	for {
		moment = moment.Add(time.Duration(a.random.ExpFloat64() / peak * float64(time.Second)))
		if moment.After(a.end) {
			if a.bounded {
				a.callers.streams--
			}
			return
		}
		if a.random.Float64()*peak < a.rate(moment) {
			break
		}
	}
	a.callers.sim.at(moment, func() {
		if !a.bounded && a.callers.sim.working == 0 {
			return
		}
		a.callers.arrive(a.request())
		a.next(moment)
	})
}

func (a *arrivals) rate(moment time.Time) float64 {
	if a.spec.BurstEvery <= 0 {
		return a.spec.RequestsPerSecond
	}
	if moment.Sub(epoch)%a.spec.BurstEvery < a.spec.BurstLength {
		return a.spec.RequestsPerSecond * a.spec.BurstFactor
	}
	return a.spec.RequestsPerSecond
}

func (a *arrivals) request() Request {
	a.number++
	id := fmt.Sprintf("%s-%06d", a.spec.Name, a.number)
	return Request{
		ID: id, Application: a.spec.Name, Pool: a.spec.Pool, Zone: a.spec.Zone, Prompt: prompt(id, a.spec.PromptWords),
		Seed: int64(a.number), MaxTokens: a.spec.MaxTokens, Timeout: a.spec.Timeout,
		NotRepeatable: a.random.Float64() < a.spec.NotRepeatableShare,
	}
}

// arrive sends a request to a node: one of its zone, or else of the nearest zone that has one.
func (c *callers) arrive(request Request) {
	c.open++
	one := &call{callers: c, request: request, arrived: c.sim.now, index: len(c.sim.result.Requests)}
	c.sim.result.Requests = append(c.sim.result.Requests, RequestResult{
		ID: request.ID, Application: request.Application, Pool: request.Pool, Arrived: c.sim.since(c.sim.now),
	})
	n := c.node(request.Zone)
	if n == nil {
		one.end(dispatch.Result{Outcome: v1.OutcomeNotRun, Err: v1.NotRun(v1.CodeUnavailable, time.Second, "no node")})
		return
	}
	one.via = n.zone
	if n.zone.name == request.Zone {
		one.send(n)
		return
	}
	c.sim.after(c.sim.network.delay(request.Zone, n.zone.name), func() { one.send(n) })
}

func (c *callers) node(from string) *node {
	var best []*node
	for _, n := range c.sim.nodes {
		if !n.up || n.draining || c.sim.network.cut(from, n.zone.name) {
			continue
		}
		switch {
		case len(best) == 0 || c.sim.network.delay(from, n.zone.name) < c.sim.network.delay(from, best[0].zone.name):
			best = []*node{n}
		case n.zone == best[0].zone:
			best = append(best, n)
		}
	}
	if len(best) == 0 {
		return nil
	}
	c.next[from]++
	return best[c.next[from]%len(best)]
}

func (o *call) send(n *node) {
	if !n.up {
		o.end(dispatch.Result{Outcome: v1.OutcomeNotRun, Err: v1.NotRun(v1.CodeUnavailable, time.Second, "no node")})
		return
	}
	o.result().Node = n.name
	work := dispatch.Task{
		RequestID: o.request.ID, Attempt: 1, Class: dispatch.ClassInteractive, Pool: o.request.Pool,
		Caller: o.request.Application, Prompt: o.request.Prompt, MaxTokens: o.request.MaxTokens, Seed: o.request.Seed,
		Repeatable: !o.request.NotRepeatable, ExpectedTokens: o.request.MaxTokens, Deadline: o.arrived.Add(o.request.Timeout),
	}
	progress := func(dispatch.Progress) {
		if result := o.result(); result.FirstToken == 0 {
			result.FirstToken = o.callers.sim.since(o.callers.sim.now)
		}
	}
	t := n.dispatch(work, progress, o.end)
	if !t.ended {
		o.callers.byTask[t] = o
	}
}

func (o *call) result() *RequestResult { return &o.callers.sim.result.Requests[o.index] }

// lost is the death of a node with a request of a caller on it.
func (c *callers) lost(t *task) {
	if one := c.byTask[t]; one != nil {
		delete(c.byTask, t)
		one.end(dispatch.Result{Outcome: v1.OutcomeUnknown, Err: v1.Errorf(v1.CodeUnavailable, "connection lost")})
	}
}

func (o *call) end(outcome dispatch.Result) {
	if o.closed {
		return
	}
	o.closed = true
	s := o.callers.sim
	o.callers.open--
	result := o.result()
	result.Outcome, result.Ended = outcome.Outcome, s.since(s.now)
	result.Tokens, result.Attempts, result.Engine = len(outcome.Tokens), outcome.Attempts, outcome.Engine
	if outcome.Err != nil {
		result.Code = outcome.Err.Code
	}
	if outcome.Outcome == v1.OutcomeCompleted {
		s.result.DeliveredTokens += int64(len(outcome.Tokens))
	}
	if s.scenario.SkipInvariants {
		return
	}
	s.history.Calls = append(s.history.Calls, invariant.Call{
		Request: o.request.ID, Pool: o.request.Pool, Prompt: o.request.Prompt, Seed: o.request.Seed,
		NotRepeatable: o.request.NotRepeatable, Outcome: outcome.Outcome, Text: strings.Join(outcome.Tokens, ""),
		FinishReason: outcome.FinishReason, Started: o.arrived, Ended: s.now,
	})
}

// conclude sums the requests up.
func (c *callers) conclude(result *Result) {
	latency, first := newLatencies(), newLatencies()
	sum := &result.Interactive
	for index := range result.Requests {
		request := &result.Requests[index]
		for len(sum.PerAttempts) <= request.Attempts {
			sum.PerAttempts = append(sum.PerAttempts, 0)
		}
		sum.PerAttempts[request.Attempts]++
		switch request.Outcome {
		case v1.OutcomeCompleted:
			sum.Completed++
			_ = latency.RecordValue((request.Ended - request.Arrived).Microseconds())
			if request.FirstToken > 0 {
				_ = first.RecordValue((request.FirstToken - request.Arrived).Microseconds())
			}
		case v1.OutcomeNotRun:
			sum.NotRun++
		case v1.OutcomeUnknown:
			sum.Unknown++
		}
	}
	sum.Latency, sum.FirstToken = percentiles(latency), percentiles(first)
}

func newLatencies() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, time.Hour.Microseconds(), 3)
}

func percentiles(histogram *hdrhistogram.Histogram) Percentiles {
	at := func(quantile float64) time.Duration {
		return time.Duration(histogram.ValueAtQuantile(quantile)) * time.Microsecond
	}
	return Percentiles{P50: at(50), P99: at(99), P999: at(99.9), Max: time.Duration(histogram.Max()) * time.Microsecond}
}
