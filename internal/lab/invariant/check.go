package invariant

import (
	"fmt"
	"slices"
	"time"

	v1 "github.com/covelink/covelink/api/v1"
)

// Check judges a history. The same history gives the same report.
func Check(history *History) Report {
	c := &checker{history: history, index: buildIndex(history.Executions), requests: map[identity]v1.SampleRequest{}}
	c.report.Executions = len(history.Executions)
	c.checkExecutions()
	c.checkSamples()
	c.checkMissing()
	c.checkCalls()
	return c.report
}

// identity names a sample.
type identity struct {
	trainer, batch string
	index          int
}

// String implements fmt.Stringer.
func (i identity) String() string { return fmt.Sprintf("%s/%s/%d", i.trainer, i.batch, i.index) }

func identityOf(sample *v1.Sample) identity {
	return identity{trainer: sample.Trainer, batch: sample.Batch, index: sample.Index}
}

type checker struct {
	history  *History
	index    index
	requests map[identity]v1.SampleRequest
	report   Report
}

func (c *checker) checkExecutions() {
	for i := range c.history.Executions {
		execution := &c.history.Executions[i]
		subject := fmt.Sprintf("%s#%d on %s", execution.RequestID, execution.Attempt, execution.Engine)
		if !slices.Contains(c.history.Permitted[execution.Pool], execution.Zone) {
			c.report.add(PromiseZones, subject, "ran in zone %q for pool %q", execution.Zone, execution.Pool)
		}
		c.checkEmitted(execution, subject)
	}
}

// checkEmitted compares an execution with what its weights must emit.
func (c *checker) checkEmitted(execution *Execution, subject string) {
	if c.history.Expect == nil {
		return
	}
	for _, token := range execution.Tokens {
		want := c.history.Expect(execution.Prompt, execution.Seed, token.Version, token.Index)
		if token.Text != want {
			c.report.add(PromiseEngine, subject, "token %d is not what version %d emits", token.Index, token.Version)
			return
		}
	}
}

func (c *checker) checkSamples() {
	for _, batch := range c.history.Batches {
		for i, request := range batch.Spec.Samples {
			c.requests[identity{batch.Trainer, batch.Name, i}] = request
		}
	}
	good := map[identity]bool{}
	for i := range c.history.Deliveries {
		delivery := &c.history.Deliveries[i]
		before := len(c.report.Violations)
		c.checkContent(&delivery.Sample)
		c.checkFreshness(delivery)
		id := identityOf(&delivery.Sample)
		if len(c.report.Violations) == before {
			good[id] = true
		}
	}
	c.checkOnce()
	c.report.Whole = len(good)
}

// checkContent compares a sample with what the engines emitted for its request.
func (c *checker) checkContent(sample *v1.Sample) {
	id := identityOf(sample)
	request, ok := c.requests[id]
	if !ok {
		c.report.add(PromiseWhole, id.String(), "nobody asked for this sample")
		return
	}
	pool := c.history.Terms[sample.Trainer].Pool
	emitted, ok := c.index[promptKey{pool: pool, prompt: request.Prompt, seed: request.Seed}]
	if !ok {
		c.report.add(PromiseWhole, id.String(), "no engine ran its request")
		return
	}
	if !emitted.lengths(sample.Text, anyOrigin)[sample.Tokens] {
		c.report.add(PromiseWhole, id.String(), "its text is not %d tokens that engines emitted for it", sample.Tokens)
		return
	}
	if !emitted.ended(sample.Tokens, sample.FinishReason) {
		c.report.add(PromiseWhole, id.String(), "no execution ended after %d tokens with %q", sample.Tokens, sample.FinishReason)
		return
	}
	c.checkSegments(sample, emitted)
}

// checkSegments checks that the segments cover the answer and that each names the true origin of its tokens.
func (c *checker) checkSegments(sample *v1.Sample, emitted *emissions) {
	id := identityOf(sample)
	claimed := make([]origin, 0, sample.Tokens)
	for _, segment := range sample.Segments {
		if segment.FirstToken != len(claimed) || segment.Tokens <= 0 || len(claimed)+segment.Tokens > sample.Tokens {
			c.report.add(PromiseVersions, id.String(), "its segments do not cover its tokens in order")
			return
		}
		for range segment.Tokens {
			claimed = append(claimed, origin{engine: segment.Engine, version: segment.Version})
		}
	}
	if len(claimed) != sample.Tokens {
		c.report.add(PromiseVersions, id.String(), "its segments name %d of %d tokens", len(claimed), sample.Tokens)
		return
	}
	truly := func(index int, origins map[origin]bool) bool { return index < len(claimed) && origins[claimed[index]] }
	if !emitted.lengths(sample.Text, truly)[sample.Tokens] {
		c.report.add(PromiseVersions, id.String(), "a segment names an engine or a version that did not emit its tokens")
	}
}

func (c *checker) checkFreshness(delivery *Delivery) {
	sample := &delivery.Sample
	bound := c.history.Terms[sample.Trainer].StalenessBound
	at := c.statedBy(sample.Trainer, delivery)
	if age := at - sample.OldestVersion(); age > bound {
		c.report.add(PromiseFresh, identityOf(sample).String(), "%d versions old at hand-over, bound %d", age, bound)
	}
}

// statedBy returns the highest version that the trainer had stated when it began the fetch.
func (c *checker) statedBy(trainer string, delivery *Delivery) int64 {
	highest := delivery.StatedVersion
	for _, statement := range c.history.Statements {
		if statement.Trainer == trainer && !statement.At.After(delivery.FetchedAt) {
			highest = max(highest, statement.Version)
		}
	}
	return highest
}

// checkOnce finds samples handed over again after the trainer had taken them, and positions used twice.
func (c *checker) checkOnce() {
	type position struct {
		trainer, batch string
		number         int64
	}
	seen := map[identity]*Delivery{}
	used := map[position]identity{}
	for i := range c.history.Deliveries {
		delivery := &c.history.Deliveries[i]
		id := identityOf(&delivery.Sample)
		place := position{id.trainer, id.batch, delivery.Sample.Position}
		if other, ok := used[place]; ok && other != id {
			c.report.add(PromiseOnce, id.String(), "position %d already held %s", place.number, other)
		}
		used[place] = id
		if earlier, ok := seen[id]; ok {
			c.checkAgain(earlier, delivery)
		}
		seen[id] = delivery
	}
}

// checkAgain judges a second delivery of a sample. It is allowed when the trainer read again from a cursor before the
// first one: the same sample at the same position, or a rerun because the first had gone stale.
func (c *checker) checkAgain(earlier, again *Delivery) {
	id := identityOf(&again.Sample)
	if again.After >= earlier.Sample.Position {
		c.report.add(PromiseOnce, id.String(), "handed over at position %d and again at %d", earlier.Sample.Position, again.Sample.Position)
		return
	}
	if again.Sample.Position == earlier.Sample.Position {
		if again.Sample.Text != earlier.Sample.Text {
			c.report.add(PromiseOnce, id.String(), "position %d changed between two reads", again.Sample.Position)
		}
		return
	}
	bound := c.history.Terms[id.trainer].StalenessBound
	if c.statedBy(id.trainer, again)-earlier.Sample.OldestVersion() <= bound {
		c.report.add(PromiseOnce, id.String(), "moved from position %d to %d though it was fresh", earlier.Sample.Position, again.Sample.Position)
	}
}

func (c *checker) checkMissing() {
	delivered := map[identity]bool{}
	for i := range c.history.Deliveries {
		delivered[identityOf(&c.history.Deliveries[i].Sample)] = true
	}
	for _, batch := range c.history.Batches {
		if !batch.Expected {
			continue
		}
		c.report.Expected += len(batch.Spec.Samples)
		for i := range batch.Spec.Samples {
			id := identity{batch.Trainer, batch.Name, i}
			if !delivered[id] {
				c.report.add(PromiseDelivered, id.String(), "never handed over")
			}
		}
	}
}

func (c *checker) checkCalls() {
	byRequest := map[string][]*Call{}
	var order []string
	for i := range c.history.Calls {
		call := &c.history.Calls[i]
		if byRequest[call.Request] == nil {
			order = append(order, call.Request)
		}
		byRequest[call.Request] = append(byRequest[call.Request], call)
		c.count(call.Outcome)
	}
	for _, request := range order {
		c.checkRequest(request, byRequest[request])
	}
}

func (c *checker) count(outcome v1.Outcome) {
	switch outcome {
	case v1.OutcomeCompleted:
		c.report.Answers++
	case v1.OutcomeNotRun:
		c.report.NotRun++
	default:
		c.report.Unknown++
	}
}

// checkRequest judges every call of one request together.
func (c *checker) checkRequest(request string, calls []*Call) {
	first := calls[0]
	emitted := c.index[promptKey{pool: first.Pool, prompt: first.Prompt, seed: first.Seed}]
	var executions []*Execution
	if emitted != nil {
		executions = emitted.executions
	}
	if first.NotRepeatable && len(executions) > 1 {
		c.report.add(PromiseAtMostOnce, request, "ran %d times", len(executions))
	}
	for _, call := range calls {
		switch call.Outcome {
		case v1.OutcomeCompleted:
			c.checkAnswer(call, emitted)
		case v1.OutcomeNotRun:
			c.checkNotRun(call, calls, executions)
		}
	}
}

// checkAnswer checks that a completed answer is whole and belongs to its request.
func (c *checker) checkAnswer(call *Call, emitted *emissions) {
	if emitted == nil {
		c.report.add(PromiseOwnAnswer, call.Request, "answered though no engine ran it")
		return
	}
	lengths := emitted.lengths(call.Text, anyOrigin)
	if len(lengths) == 0 {
		c.report.add(PromiseOwnAnswer, call.Request, "its answer is not what engines emitted for it")
		return
	}
	for length := range lengths {
		if emitted.ended(length, call.FinishReason) {
			return
		}
	}
	c.report.add(PromiseOwnAnswer, call.Request, "its answer ends where no execution ended")
}

// checkNotRun looks for an execution that can only belong to the refused call.
func (c *checker) checkNotRun(refused *Call, calls []*Call, executions []*Execution) {
	for _, execution := range executions {
		if !since(refused, execution.Started) {
			continue
		}
		if !slices.ContainsFunc(calls, func(other *Call) bool {
			return other.Outcome != v1.OutcomeNotRun && since(other, execution.Started)
		}) {
			c.report.add(PromiseNotRun, refused.Request, "refused as not run, yet %s ran it", execution.Engine)
			return
		}
	}
}

// since reports whether the moment may lie after the start of the call; an unknown moment may. An execution after the
// end of a refused call still belongs to it: the system must not run later what it has refused.
func since(call *Call, moment time.Time) bool {
	return moment.IsZero() || !moment.Before(call.Started)
}
