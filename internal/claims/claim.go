package claims

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/cluster"
	"github.com/covelink/covelink/internal/gateway"
	"github.com/covelink/covelink/internal/rpc"
)

const (
	retryAfterUnreachable = 2 * time.Second
	retryAfterAbstaining  = 5 * time.Second
	retryAfterContended   = time.Second
	// releaseWait bounds the wait for a release, which goes on in the background.
	releaseWait    = 300 * time.Millisecond
	noteFirstDelay = 50 * time.Millisecond
	noteMaxDelay   = 2 * time.Second
	// noteAttemptTimeout bounds one message to one keeper.
	noteAttemptTimeout = 2 * time.Second
)

// errNotNoted is the answer of a keeper that could not take a statement in.
var errNotNoted = errors.New("claims: a keeper could not note the outcome")

// attempt is one claim of this gateway.
type attempt struct {
	key         Key
	id          string
	fingerprint uint64
	// nodes are the keepers that may have heard of the claim.
	nodes []cluster.Node
	// home are the keepers that granted it or were asked to; empty until granted.
	home []cluster.Node
}

// Claim implements gateway.Claims. It returns as soon as a majority has granted, another claim is known to be finished,
// or the rest of the answers cannot change anything. Every error is a *v1.Error with outcome not_run: unreachable or
// abstaining majority, full table, or a zone where the pool's data may not be.
func (m *Manager) Claim(ctx context.Context, request gateway.ClaimRequest) (gateway.ClaimResult, error) {
	started := time.Now()
	result, err := m.claim(ctx, request)
	m.metrics.observeClaim(result, err, time.Since(started))
	return result, err
}

func (m *Manager) claim(ctx context.Context, request gateway.ClaimRequest) (gateway.ClaimResult, error) {
	view := m.params.Source.Current()
	key := Key{Caller: request.Caller, Pool: request.Pool, Key: request.Key}
	if !view.Permitted(key.Pool, m.params.Self.Zone) {
		return gateway.ClaimResult{}, v1.NotRun(v1.CodeUnavailable, retryAfterUnreachable, "the pool is not permitted in this zone")
	}
	keepers := home(view, key.Pool, m.params.Seeds)
	if len(keepers) == 0 {
		return gateway.ClaimResult{}, v1.NotRun(v1.CodeUnavailable, retryAfterUnreachable, "no node keeps claims for the pool")
	}
	a := &attempt{key: key, id: request.ID, fingerprint: request.Fingerprint}
	if !m.track(a) {
		return gateway.ClaimResult{}, v1.NotRun(v1.CodeUnavailable, retryAfterUnreachable, "the node is stopping")
	}
	votes, other := m.ask(ctx, a, keepers, view.Revision)
	if usable(view, key.Pool, other) && votes.result() == resultFailed && ctx.Err() == nil {
		votes, _ = m.ask(ctx, a, other, view.Revision)
	}
	return m.conclude(ctx, a, votes)
}

// usable reports whether a home that keepers named may hold the pool's claims.
func usable(view *cluster.View, pool string, members []cluster.Node) bool {
	forbidden := func(node cluster.Node) bool { return !view.Permitted(pool, node.Zone) }
	return len(members) > 0 && len(members) <= maxKeepers && !slices.ContainsFunc(members, forbidden)
}

// ask collects answers until the result stands. When keepers name another home, it returns that of the most.
func (m *Manager) ask(ctx context.Context, a *attempt, keepers []cluster.Node, revision uint64) (*tally, []cluster.Node) {
	m.addNodes(a, keepers)
	message := claimMessage{Key: a.key, ID: a.id, Fingerprint: a.fingerprint, Members: names(keepers), Revision: revision}
	asking, cancel := context.WithTimeout(m.ctx, claimWindow)
	answers := make(chan answerOf[claimReply], len(keepers))
	started := m.spawn(func() {
		defer cancel()
		for answer := range askAll(asking, keepers, m.claimer(message)) {
			answers <- answer
		}
	})
	if !started {
		cancel()
	}
	votes := newTally(len(keepers), m.guards)
	homes := newPoll()
	window := time.NewTimer(claimWindow)
	defer window.Stop()
	for votes.result() == resultOpen {
		select {
		case answer := <-answers:
			votes.add(answer.value, answer.err != nil)
			homes.add(answer.value.Home)
		case <-ctx.Done():
			votes.end()
		case <-window.C:
			votes.end()
		}
	}
	if votes.result() == resultGranted {
		m.setHome(a, keepers)
	}
	return votes, homes.winner()
}

func (m *Manager) claimer(message claimMessage) func(context.Context, cluster.Node) (claimReply, error) {
	return func(ctx context.Context, node cluster.Node) (claimReply, error) {
		if node.Name == m.params.Self.Name {
			return m.answer(message, m.params.Self.Zone), nil
		}
		return rpc.Call[claimMessage, claimReply](ctx, m.params.Client, node.Address, message)
	}
}

// conclude turns the votes into the gateway's answer. A claim that is not granted is released in the background.
func (m *Manager) conclude(ctx context.Context, a *attempt, votes *tally) (gateway.ClaimResult, error) {
	outcome := votes.result()
	if outcome == resultGranted {
		return gateway.ClaimResult{State: gateway.ClaimGranted}, nil
	}
	if outcome == resultFinished || outcome == resultHeld {
		m.forget(a.id)
		m.spawn(func() { m.releaseEverywhere(m.ctx, a) })
		return votes.existing(), nil
	}
	// The gateway now calls Finish with not_run, which releases.
	return gateway.ClaimResult{}, refusal(ctx, votes)
}

// refusal explains why a claim got no majority.
func refusal(ctx context.Context, votes *tally) error {
	switch {
	case ctx.Err() != nil:
		return v1.NotRun(v1.CodeDeadlineExceeded, retryAfterContended, "the request ended before it was claimed")
	case votes.refusals[verdictFull] > 0:
		return v1.NotRun(v1.CodeOverloaded, retryAfterAbstaining, "the table of claims is full")
	case votes.refusals[verdictForbidden] > 0:
		return v1.NotRun(v1.CodeUnavailable, retryAfterUnreachable, "a keeper of claims may not hold the pool's data")
	case votes.refusals[verdictAbstains] > 0:
		return v1.NotRun(v1.CodeUnavailable, retryAfterAbstaining, "too many keepers of claims abstain after a start or a change")
	case len(votes.holders) > 0:
		wait := retryAfterContended + rand.N(retryAfterContended)
		return v1.NotRun(v1.CodeUnavailable, wait, "several requests with this key met")
	}
	return v1.NotRun(v1.CodeUnavailable, retryAfterUnreachable, "no majority of the keepers of claims can be reached")
}

// Finish implements gateway.Claims. It returns once a majority of the keepers has noted the outcome; the others are told
// in the background. A release waits for a moment only, since nothing but a repeated request depends on it. A claim that
// this Manager has not taken, or has finished, is left alone.
func (m *Manager) Finish(ctx context.Context, request gateway.ClaimRequest, stored gateway.StoredOutcome) error {
	a := m.forget(request.ID)
	if a == nil {
		return nil
	}
	if stored.Outcome == v1.OutcomeNotRun || len(a.home) == 0 {
		return m.releaseSoon(ctx, a)
	}
	if answerSize(stored.Answer) > maxAnswerBytes {
		stored.Answer = nil
	}
	record := Record{ID: a.id, State: StateFinished, Fingerprint: a.fingerprint, Stored: stored}
	return m.tellMajority(ctx, a.home, m.teller(learnMessage{Key: a.key, Record: record}))
}

// releaseSoon releases the claim and does not hold up a refusal when keepers cannot be reached.
func (m *Manager) releaseSoon(ctx context.Context, a *attempt) error {
	ctx, cancel := context.WithTimeout(ctx, releaseWait)
	defer cancel()
	err := m.releaseEverywhere(ctx, a)
	if errors.Is(err, context.DeadlineExceeded) {
		return nil
	}
	return err
}

func (m *Manager) releaseEverywhere(ctx context.Context, a *attempt) error {
	message := releaseMessage{Key: a.key, ID: a.id}
	return m.tellMajority(ctx, a.nodes, func(ctx context.Context, node cluster.Node) (noteReply, error) {
		if node.Name == m.params.Self.Name {
			return m.keeper.release(message), nil
		}
		return rpc.Call[releaseMessage, noteReply](ctx, m.params.Client, node.Address, message)
	})
}

func (m *Manager) teller(message learnMessage) func(context.Context, cluster.Node) (noteReply, error) {
	return func(ctx context.Context, node cluster.Node) (noteReply, error) {
		if node.Name == m.params.Self.Name {
			return m.keeper.learn(message, m.params.Self.Zone), nil
		}
		return rpc.Call[learnMessage, noteReply](ctx, m.params.Client, node.Address, message)
	}
}

// renew states again that the running claims run, so that their records outlive the retention time and reach keepers
// that have lost them.
func (m *Manager) renew() {
	m.mu.Lock()
	running := make([]attempt, 0, len(m.attempts))
	for _, a := range m.attempts {
		if len(a.home) > 0 {
			running = append(running, *a)
		}
	}
	m.mu.Unlock()
	m.spawn(func() {
		for _, a := range running {
			if err := m.tellMajority(m.ctx, a.home, m.teller(learnMessage{Key: a.key, Record: heldRecord(a.id, a.fingerprint)})); err != nil {
				m.metrics.renewFailures.Inc()
			}
		}
	})
}

// tellMajority tells every node, again after failures, and returns once a majority has noted it. What is left goes on
// in the background.
func (m *Manager) tellMajority(ctx context.Context, nodes []cluster.Node, tell func(context.Context, cluster.Node) (noteReply, error)) error {
	if len(nodes) == 0 {
		return nil
	}
	answers := make(chan error, len(nodes))
	telling, cancel := context.WithTimeout(m.ctx, noteWindow)
	started := m.spawn(func() {
		defer cancel()
		for answer := range askAll(telling, nodes, persistently(tell)) {
			answers <- answer.err
		}
	})
	if !started {
		cancel()
		return errNotNoted
	}
	return awaitMajority(ctx, answers, len(nodes))
}

// awaitMajority returns nil when more than half of the answers are good.
func awaitMajority(ctx context.Context, answers <-chan error, total int) error {
	noted, failed := 0, 0
	var last error
	for noted <= total/2 {
		if failed*2 >= total {
			return last
		}
		select {
		case err := <-answers:
			if err == nil {
				noted++
				continue
			}
			failed++
			last = err
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// persistently repeats tell until the node has noted it, may not, or ctx ends.
func persistently(tell func(context.Context, cluster.Node) (noteReply, error)) func(context.Context, cluster.Node) (noteReply, error) {
	return func(ctx context.Context, node cluster.Node) (noteReply, error) {
		delays := backoff.NewExponentialBackOff()
		delays.InitialInterval = noteFirstDelay
		delays.MaxInterval = noteMaxDelay
		return backoff.Retry(ctx, func() (noteReply, error) {
			once, cancel := context.WithTimeout(ctx, noteAttemptTimeout)
			defer cancel()
			reply, err := tell(once, node)
			switch {
			case err != nil:
				return reply, err
			case reply.Forbidden:
				return reply, backoff.Permanent(errNotNoted)
			case !reply.Noted:
				return reply, errNotNoted
			}
			return reply, nil
		}, backoff.WithBackOff(delays), backoff.WithMaxElapsedTime(0))
	}
}

// track remembers the attempt until forget. It reports false once the Manager is closed.
func (m *Manager) track(a *attempt) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return false
	}
	m.attempts[a.id] = a
	return true
}

// forget returns a copy of the attempt and forgets it; nil if there is none.
func (m *Manager) forget(id string) *attempt {
	m.mu.Lock()
	defer m.mu.Unlock()
	a, ok := m.attempts[id]
	if !ok {
		return nil
	}
	delete(m.attempts, id)
	return a
}

func (m *Manager) addNodes(a *attempt, nodes []cluster.Node) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, node := range nodes {
		if !slices.Contains(a.nodes, node) {
			a.nodes = append(a.nodes, node)
		}
	}
}

func (m *Manager) setHome(a *attempt, nodes []cluster.Node) {
	m.mu.Lock()
	defer m.mu.Unlock()
	a.home = nodes
}

// poll counts the homes that keepers name.
type poll struct {
	homes  map[string][]cluster.Node
	counts map[string]int
}

func newPoll() *poll {
	return &poll{homes: make(map[string][]cluster.Node), counts: make(map[string]int)}
}

func (p *poll) add(members []cluster.Node) {
	if len(members) == 0 {
		return
	}
	label := label(members)
	p.homes[label] = members
	p.counts[label]++
}

// winner returns the home that was named most; nil if there was none.
func (p *poll) winner() []cluster.Node {
	best := ""
	for label, count := range p.counts {
		if count > p.counts[best] || (count == p.counts[best] && label < best) {
			best = label
		}
	}
	return p.homes[best]
}
