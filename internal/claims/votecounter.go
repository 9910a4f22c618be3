package claims

import (
	"github.com/covelink/covelink/internal/gateway"
)

// result is the state of a claim's vote.
type result int

const (
	resultOpen result = iota
	// resultGranted: a majority granted.
	resultGranted
	// resultFinished: another claim of the key is finished.
	resultFinished
	// resultHeld: another claim may have been granted and may be running.
	resultHeld
	// resultFailed: neither this claim nor another one can have a majority.
	resultFailed
)

// voteCounter counts the replies of one keeper set to a claim.
type voteCounter struct {
	guards  guards
	members int
	granted int
	// answered counts replies and failures; indeterminate counts those that may conceal a grant to another claim.
	answered      int
	indeterminate int
	// otherGrants counts, per other claim ID, the keepers where it holds the key.
	otherGrants map[string]int
	// existingRecord is the first record of another claim with the most advanced state.
	existingRecord Record
	// refusals counts replies that are neither grants nor existing claims.
	refusals map[verdict]int
}

func newVoteCounter(members int, rules guards) *voteCounter {
	return &voteCounter{guards: rules, members: members, otherGrants: make(map[string]int), refusals: make(map[verdict]int)}
}

// add counts one reply; failed means that the call to the keeper failed.
func (t *voteCounter) add(reply claimReply, failed bool) {
	t.answered++
	switch {
	case failed:
		t.indeterminate++
	case reply.Verdict == verdictGranted:
		t.granted++
	case reply.Verdict == verdictExisting:
		t.otherGrants[reply.Record.ID]++
		if t.existingRecord.State < reply.Record.State {
			t.existingRecord = reply.Record
		}
	default:
		t.indeterminate++
		t.refusals[reply.Verdict]++
	}
}

// closeVoting counts the keepers without a reply as indeterminate.
func (t *voteCounter) closeVoting() {
	t.indeterminate += t.members - t.answered
	t.answered = t.members
}

// result returns the state of the vote. A finished record decides at once, since its holder had a majority. A claim
// without a majority fails only if no other claim can have one.
func (t *voteCounter) result() result {
	majority := t.guards.majority(t.members)
	waiting := t.members - t.answered
	switch {
	case t.granted >= majority:
		return resultGranted
	case t.existingRecord.State == StateFinished:
		return resultFinished
	case t.maxOtherGrants() >= majority:
		return resultHeld
	case waiting > 0:
		return resultOpen
	case t.maxOtherGrants() > 0 && t.maxOtherGrants()+t.indeterminate >= majority:
		return resultHeld
	}
	return resultFailed
}

// maxOtherGrants returns the highest number of keepers held by one other claim.
func (t *voteCounter) maxOtherGrants() int {
	most := 0
	for _, count := range t.otherGrants {
		most = max(most, count)
	}
	return most
}

// existingResult returns the gateway result for a key held by another claim.
func (t *voteCounter) existingResult() gateway.ClaimResult {
	return gateway.ClaimResult{State: gateway.ClaimExisting, Stored: t.existingRecord.Stored, Fingerprint: t.existingRecord.Fingerprint}
}
