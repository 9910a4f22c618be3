package survival

import (
	"fmt"
	"time"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/claims"
	"github.com/covelink/covelink/internal/dispatch"
	"github.com/covelink/covelink/internal/gateway"
	"github.com/covelink/covelink/internal/lab/invariant"
)

const (
	callerRequests = 24
	callerSpan     = 8 * time.Second
	callerTimeout  = 4 * time.Second
	callerPause    = 200 * time.Millisecond
	callerTries    = 8
	claimWindow    = time.Second
	noteInterval   = 100 * time.Millisecond
	noteTries      = 50
	applicationKey = "application"
)

// callers asks for answers to requests that must not run twice.
type callers struct {
	world *world
	// left counts the requests that are asked for still.
	left   int
	claims uint64
	// twice makes every request go to two gateways at once.
	twice bool
}

// answer is what a gateway tells a caller.
type answer struct {
	outcome v1.Outcome
	text    string
	reason  string
}

func newCallers(w *world) *callers {
	c := &callers{world: w, left: callerRequests}
	for index := range callerRequests {
		w.clock.After(w.between(leaseLength/2, callerSpan), func() { c.begin(index) })
	}
	return c
}

func (c *callers) begin(index int) {
	at := c.world.rand.IntN(len(c.world.nodes))
	if c.twice {
		c.left++
		c.ask(index, at+1, callerTries)
	}
	c.ask(index, at, callerTries)
}

func prompt(index int) string { return fmt.Sprintf("question %d", index) }

// ask makes one call, and asks again under the same key at the next gateway while it has no answer.
func (c *callers) ask(index, at, tries int) {
	w := c.world
	target := w.nodes[at%len(w.nodes)]
	started := w.now()
	over := false
	conclude := func(got answer) {
		if over {
			return
		}
		over = true
		c.record(index, started, got)
		if got.outcome == v1.OutcomeCompleted || tries == 1 {
			c.left--
			return
		}
		w.clock.After(callerPause, func() { c.ask(index, at+1, tries-1) })
	}
	w.clock.After(w.latency(), func() {
		target.run(func() {
			target.handle(index, func(got answer) { w.clock.After(w.latency(), func() { conclude(got) }) })
		})
	})
	w.clock.After(callerTimeout, func() { conclude(answer{outcome: v1.OutcomeUnknown}) })
}

func (c *callers) record(index int, started time.Time, got answer) {
	c.world.history.Calls = append(c.world.history.Calls, invariant.Call{
		Request: fmt.Sprint(index), Pool: poolName, Prompt: prompt(index), Seed: int64(index), NotRepeatable: true,
		Outcome: got.outcome, Text: got.text, FinishReason: got.reason, Started: started, Ended: c.world.now(),
	})
}

// claim is one request at its gateway.
type claim struct {
	gateway *node
	index   int
	key     claims.Key
	id      string
	votes   *claims.Votes
	// counted tells the keepers whose answer was counted: a repeated message has a repeated answer.
	counted map[string]bool
	decided bool
	reply   func(answer)
}

// handle claims a request at the keepers and runs it once the claim is granted.
func (n *node) handle(index int, reply func(answer)) {
	w := n.world
	w.callers.claims++
	members := len(w.nodes)
	if w.guards.halfMajority {
		members = members/2 + 1 // a majority of these is half of all, rounded down
	}
	c := &claim{
		gateway: n, index: index, id: fmt.Sprintf("claim-%d", w.callers.claims),
		key:   claims.Key{Caller: applicationKey, Pool: poolName, Key: fmt.Sprint(index)},
		votes: claims.NewVotes(members), counted: make(map[string]bool), reply: reply,
	}
	if w.guards.sendFirst {
		c.execute()
		return
	}
	for _, keeper := range w.nodes {
		w.send(n, keeper, func() { c.vote(keeper) })
	}
	n.after(claimWindow, func() {
		if !c.decided {
			c.votes.End()
			c.decide()
		}
	})
}

// vote is the claim at a keeper.
func (c *claim) vote(at *node) {
	decision, record, granting := at.keeper.claim(c.key, c.id)
	at.world.send(at, c.gateway, func() {
		if c.counted[at.name] || c.decided {
			return
		}
		c.counted[at.name] = true
		if granting {
			c.votes.Add(decision, record)
		} else {
			c.votes.Abstain()
		}
		c.decide()
	})
}

func (c *claim) decide() {
	result := c.votes.Result()
	if result == claims.VoteOpen {
		return
	}
	c.decided = true
	switch result {
	case claims.VoteGranted:
		c.granted()
	case claims.VoteFinished, claims.VoteHeld:
		c.release()
		c.reply(stored(c.votes.Seen().Stored))
	default:
		c.release()
		c.reply(answer{outcome: v1.OutcomeNotRun})
	}
}

func stored(known gateway.StoredOutcome) answer {
	got := answer{outcome: known.Outcome}
	if known.Answer != nil {
		for _, token := range known.Answer.Tokens {
			got.text += token
		}
		got.reason = known.Answer.FinishReason
	}
	return got
}

func (c *claim) granted() {
	w := c.gateway.world
	if w.claimDeath {
		w.claimDeath = false
		w.clock.After(w.between(0, diesWithin), func() { w.kill(c.gateway, deadFor) })
		if w.rand.IntN(2) == 0 {
			return // it dies before it sends
		}
	}
	c.execute()
}

func (c *claim) execute() {
	task := dispatch.Task{
		RequestID: "call/" + c.id, Attempt: 1, Class: dispatch.ClassInteractive, Pool: poolName, Caller: applicationKey,
		Prompt: prompt(c.index), MaxTokens: maxTokens, Seed: int64(c.index),
	}
	c.gateway.startStream(task, func(dispatch.Progress) {}, c.finish)
}

// finish notes the outcome at the keepers before the caller is told.
func (c *claim) finish(result dispatch.Result) {
	if result.Outcome == v1.OutcomeNotRun {
		c.release()
		c.reply(answer{outcome: v1.OutcomeNotRun})
		return
	}
	outcome := gateway.StoredOutcome{Outcome: result.Outcome}
	if result.Outcome == v1.OutcomeCompleted {
		outcome.Answer = &gateway.StoredAnswer{RequestID: c.id, Tokens: result.Tokens, FinishReason: result.FinishReason}
	}
	record := claims.Record{ID: c.id, State: claims.StateFinished, Stored: outcome}
	noted := 0
	c.tell(func(at *node) bool {
		ok, _ := at.keeper.register.Learn(at.world.now(), c.key, record)
		return ok
	}, func() {
		noted++
		if noted == len(c.gateway.world.nodes)/2+1 {
			c.reply(stored(outcome))
		}
	})
}

func (c *claim) release() {
	c.tell(func(at *node) bool {
		ok, _ := at.keeper.register.Release(at.world.now(), c.key, c.id)
		return ok
	}, func() {})
}

// tell states something to every keeper until it has noted it.
func (c *claim) tell(state func(*node) bool, noted func()) {
	for _, at := range c.gateway.world.nodes {
		done := false
		c.tellOne(at, state, func() {
			if !done {
				done = true
				noted()
			}
		}, &done, noteTries)
	}
}

func (c *claim) tellOne(at *node, state func(*node) bool, noted func(), done *bool, tries int) {
	w := c.gateway.world
	if *done || tries == 0 {
		return
	}
	w.send(c.gateway, at, func() {
		if state(at) {
			w.send(at, c.gateway, noted)
		}
	})
	c.gateway.after(noteInterval, func() { c.tellOne(at, state, noted, done, tries-1) })
}
