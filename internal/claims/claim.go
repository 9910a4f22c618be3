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
	// releaseWait bounds how long Finish waits for a release; the release continues in the background.
	releaseWait          = 300 * time.Millisecond
	updateInitialBackoff = 50 * time.Millisecond
	updateMaxBackoff     = 2 * time.Second
	// updateCallTimeout bounds a single call to a keeper.
	updateCallTimeout = 2 * time.Second
)

// errNotRecorded reports a keeper that did not record an update or a release.
var errNotRecorded = errors.New("claims: keeper did not record the update")

// attempt is a claim made by this gateway that is not finished.
type attempt struct {
	key         Key
	id          string
	fingerprint uint64
	// nodes are the keepers that may have received the claim.
	nodes []cluster.Node
	// grantedBy is the keeper set whose majority granted the claim; empty until then.
	grantedBy []cluster.Node
}

// Claim implements gateway.Claims. It returns as soon as the replies received so far decide the result. Every error is
// a *v1.Error with outcome not_run: majority unreachable or abstaining, table full, or zone not permitted for the pool.
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
	keepers := keeperSet(view, key.Pool, m.params.Seeds)
	if len(keepers) == 0 {
		return gateway.ClaimResult{}, v1.NotRun(v1.CodeUnavailable, retryAfterUnreachable, "the pool has no claim keepers")
	}
	a := &attempt{key: key, id: request.ID, fingerprint: request.Fingerprint}
	if !m.addAttempt(a) {
		return gateway.ClaimResult{}, v1.NotRun(v1.CodeUnavailable, retryAfterUnreachable, "the node is stopping")
	}
	votes, other := m.collectVotes(ctx, a, keepers, view.Revision)
	if validKeeperSet(view, key.Pool, other) && votes.result() == resultFailed && ctx.Err() == nil {
		votes, _ = m.collectVotes(ctx, a, other, view.Revision)
	}
	return m.claimResult(ctx, a, votes)
}

// validKeeperSet reports whether a keeper set from a reply is non-empty, of valid size and entirely in permitted zones.
func validKeeperSet(view *cluster.View, pool string, members []cluster.Node) bool {
	forbidden := func(node cluster.Node) bool { return !view.Permitted(pool, node.Zone) }
	return len(members) > 0 && len(members) <= maxKeepers && !slices.ContainsFunc(members, forbidden)
}

// collectVotes sends the claim to the keepers and counts their replies until the result is decided, the claim window
// ends or ctx is done. It also returns the keeper set that most mismatch replies named, or nil.
func (m *Manager) collectVotes(ctx context.Context, a *attempt, keepers []cluster.Node, revision uint64) (*voteCounter, []cluster.Node) {
	m.addContactedNodes(a, keepers)
	message := claimMessage{Key: a.key, ID: a.id, Fingerprint: a.fingerprint, Members: names(keepers), Revision: revision}
	callCtx, cancel := context.WithTimeout(m.ctx, claimWindow)
	answers := make(chan nodeReply[claimReply], len(keepers))
	started := m.startBackground(func() {
		defer cancel()
		for answer := range broadcast(callCtx, keepers, m.claimCall(message)) {
			answers <- answer
		}
	})
	if !started {
		cancel()
	}
	votes := newVoteCounter(len(keepers), m.guards)
	sets := newKeeperSetVotes()
	window := time.NewTimer(claimWindow)
	defer window.Stop()
	for votes.result() == resultOpen {
		select {
		case answer := <-answers:
			votes.add(answer.value, answer.err != nil)
			sets.add(answer.value.Home)
		case <-ctx.Done():
			votes.closeVoting()
		case <-window.C:
			votes.closeVoting()
		}
	}
	if votes.result() == resultGranted {
		m.setGrantedBy(a, keepers)
	}
	return votes, sets.winner()
}

func (m *Manager) claimCall(message claimMessage) func(context.Context, cluster.Node) (claimReply, error) {
	return func(ctx context.Context, node cluster.Node) (claimReply, error) {
		if node.Name == m.params.Self.Name {
			return m.serveClaim(message, m.params.Self.Zone), nil
		}
		return rpc.Call[claimMessage, claimReply](ctx, m.params.Client, node.Address, message)
	}
}

// claimResult converts the votes to the result of Claim. If another claim holds the key, it releases this one in the
// background.
func (m *Manager) claimResult(ctx context.Context, a *attempt, votes *voteCounter) (gateway.ClaimResult, error) {
	outcome := votes.result()
	if outcome == resultGranted {
		return gateway.ClaimResult{State: gateway.ClaimGranted}, nil
	}
	if outcome == resultFinished || outcome == resultHeld {
		m.removeAttempt(a.id)
		m.startBackground(func() { m.releaseAll(m.ctx, a) })
		return votes.existingResult(), nil
	}
	// After an error the gateway calls Finish with not_run, which releases the claim.
	return gateway.ClaimResult{}, notGrantedError(ctx, votes)
}

// notGrantedError returns the error for a claim that was not granted by a majority.
func notGrantedError(ctx context.Context, votes *voteCounter) error {
	switch {
	case ctx.Err() != nil:
		return v1.NotRun(v1.CodeDeadlineExceeded, retryAfterContended, "the request was canceled or timed out before its claim was granted")
	case votes.refusals[verdictFull] > 0:
		return v1.NotRun(v1.CodeOverloaded, retryAfterAbstaining, "the claim table of a keeper is full")
	case votes.refusals[verdictForbidden] > 0:
		return v1.NotRun(v1.CodeUnavailable, retryAfterUnreachable, "the pool is not permitted in the zone of a claim keeper")
	case votes.refusals[verdictAbstains] > 0:
		return v1.NotRun(v1.CodeUnavailable, retryAfterAbstaining, "too many claim keepers abstain after a restart or a change of the keeper set")
	case len(votes.otherGrants) > 0:
		wait := retryAfterContended + rand.N(retryAfterContended)
		return v1.NotRun(v1.CodeUnavailable, wait, "concurrent requests with this key conflict")
	}
	return v1.NotRun(v1.CodeUnavailable, retryAfterUnreachable, "cannot reach a majority of the claim keepers")
}

// Finish implements gateway.Claims. It returns once a majority of the keepers has recorded the outcome; the remaining
// keepers are updated in the background. The wait for a release is bounded by releaseWait. Finish does nothing for a
// claim that this Manager did not make or has already finished.
func (m *Manager) Finish(ctx context.Context, request gateway.ClaimRequest, stored gateway.StoredOutcome) error {
	a := m.removeAttempt(request.ID)
	if a == nil {
		return nil
	}
	if stored.Outcome == v1.OutcomeNotRun || len(a.grantedBy) == 0 {
		return m.releaseBounded(ctx, a)
	}
	if answerSize(stored.Answer) > maxAnswerBytes {
		stored.Answer = nil
	}
	record := Record{ID: a.id, State: StateFinished, Fingerprint: a.fingerprint, Stored: stored}
	return m.callMajority(ctx, a.grantedBy, m.updateCall(learnMessage{Key: a.key, Record: record}))
}

// releaseBounded releases the claim. It waits at most releaseWait, so that unreachable keepers do not delay a refusal.
func (m *Manager) releaseBounded(ctx context.Context, a *attempt) error {
	ctx, cancel := context.WithTimeout(ctx, releaseWait)
	defer cancel()
	err := m.releaseAll(ctx, a)
	if errors.Is(err, context.DeadlineExceeded) {
		return nil
	}
	return err
}

func (m *Manager) releaseAll(ctx context.Context, a *attempt) error {
	message := releaseMessage{Key: a.key, ID: a.id}
	return m.callMajority(ctx, a.nodes, func(ctx context.Context, node cluster.Node) (noteReply, error) {
		if node.Name == m.params.Self.Name {
			return m.keeper.release(message), nil
		}
		return rpc.Call[releaseMessage, noteReply](ctx, m.params.Client, node.Address, message)
	})
}

func (m *Manager) updateCall(message learnMessage) func(context.Context, cluster.Node) (noteReply, error) {
	return func(ctx context.Context, node cluster.Node) (noteReply, error) {
		if node.Name == m.params.Self.Name {
			return m.keeper.update(message, m.params.Self.Zone), nil
		}
		return rpc.Call[learnMessage, noteReply](ctx, m.params.Client, node.Address, message)
	}
}

// renew resends the running claims to their keepers, so that the records do not expire and keepers that lost them
// regain them.
func (m *Manager) renew() {
	m.mu.Lock()
	running := make([]attempt, 0, len(m.attempts))
	for _, a := range m.attempts {
		if len(a.grantedBy) > 0 {
			running = append(running, *a)
		}
	}
	m.mu.Unlock()
	m.startBackground(func() {
		for _, a := range running {
			if err := m.callMajority(m.ctx, a.grantedBy, m.updateCall(learnMessage{Key: a.key, Record: runningRecord(a.id, a.fingerprint)})); err != nil {
				m.metrics.renewFailures.Inc()
			}
		}
	})
}

// callMajority sends an update to every node with retries and returns once a majority has recorded it. Remaining calls
// continue in the background for up to updateWindow.
func (m *Manager) callMajority(ctx context.Context, nodes []cluster.Node, call func(context.Context, cluster.Node) (noteReply, error)) error {
	if len(nodes) == 0 {
		return nil
	}
	answers := make(chan error, len(nodes))
	callCtx, cancel := context.WithTimeout(m.ctx, updateWindow)
	started := m.startBackground(func() {
		defer cancel()
		for answer := range broadcast(callCtx, nodes, withRetries(call)) {
			answers <- answer.err
		}
	})
	if !started {
		cancel()
		return errNotRecorded
	}
	return awaitMajority(ctx, answers, len(nodes))
}

// awaitMajority returns nil once more than half of total succeeded, or the last error once that is impossible.
func awaitMajority(ctx context.Context, answers <-chan error, total int) error {
	succeeded, failed := 0, 0
	var last error
	for succeeded <= total/2 {
		if failed*2 >= total {
			return last
		}
		select {
		case err := <-answers:
			if err == nil {
				succeeded++
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

// withRetries retries call with backoff until the node records the update, answers Forbidden, or ctx ends.
func withRetries(call func(context.Context, cluster.Node) (noteReply, error)) func(context.Context, cluster.Node) (noteReply, error) {
	return func(ctx context.Context, node cluster.Node) (noteReply, error) {
		policy := backoff.NewExponentialBackOff()
		policy.InitialInterval = updateInitialBackoff
		policy.MaxInterval = updateMaxBackoff
		return backoff.Retry(ctx, func() (noteReply, error) {
			callCtx, cancel := context.WithTimeout(ctx, updateCallTimeout)
			defer cancel()
			reply, err := call(callCtx, node)
			switch {
			case err != nil:
				return reply, err
			case reply.Forbidden:
				return reply, backoff.Permanent(errNotRecorded)
			case !reply.Noted:
				return reply, errNotRecorded
			}
			return reply, nil
		}, backoff.WithBackOff(policy), backoff.WithMaxElapsedTime(0))
	}
}

// addAttempt registers an unfinished attempt. It reports false once the Manager is closed.
func (m *Manager) addAttempt(a *attempt) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return false
	}
	m.attempts[a.id] = a
	return true
}

// removeAttempt removes the attempt and returns it, or nil if there is none.
func (m *Manager) removeAttempt(id string) *attempt {
	m.mu.Lock()
	defer m.mu.Unlock()
	a, ok := m.attempts[id]
	if !ok {
		return nil
	}
	delete(m.attempts, id)
	return a
}

func (m *Manager) addContactedNodes(a *attempt, nodes []cluster.Node) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, node := range nodes {
		if !slices.Contains(a.nodes, node) {
			a.nodes = append(a.nodes, node)
		}
	}
}

func (m *Manager) setGrantedBy(a *attempt, nodes []cluster.Node) {
	m.mu.Lock()
	defer m.mu.Unlock()
	a.grantedBy = nodes
}

// keeperSetVotes counts the keeper sets named by mismatch replies.
type keeperSetVotes struct {
	sets   map[string][]cluster.Node
	counts map[string]int
}

func newKeeperSetVotes() *keeperSetVotes {
	return &keeperSetVotes{sets: make(map[string][]cluster.Node), counts: make(map[string]int)}
}

func (p *keeperSetVotes) add(members []cluster.Node) {
	if len(members) == 0 {
		return
	}
	label := joinNames(members)
	p.sets[label] = members
	p.counts[label]++
}

// winner returns the keeper set named most often, or nil. Ties are broken by the joined member names.
func (p *keeperSetVotes) winner() []cluster.Node {
	best := ""
	for label, count := range p.counts {
		if count > p.counts[best] || (count == p.counts[best] && label < best) {
			best = label
		}
	}
	return p.sets[best]
}
