package claims

import (
	"github.com/covelink/covelink/internal/gateway"
)

// result is what a claim has come to.
type result int

const (
	resultOpen result = iota
	// resultGranted: a majority granted.
	resultGranted
	// resultFinished: another claim of the key is finished.
	resultFinished
	// resultHeld: another claim may hold the key, and may be running.
	resultHeld
	// resultFailed: no majority, and no other claim can have one.
	resultFailed
)

// tally counts the answers of the keepers of one home. It is pure.
type tally struct {
	guards  guards
	members int
	granted int
	// answered counts answers and failures; silent are those that may hide a grant to another claim.
	answered int
	silent   int
	// holders counts the keepers that name each other claim.
	holders map[string]int
	// seen is the most telling record of another claim.
	seen Record
	// refusals counts the answers that are neither grants nor records.
	refusals map[verdict]int
}

func newTally(members int, rules guards) *tally {
	return &tally{guards: rules, members: members, holders: make(map[string]int), refusals: make(map[verdict]int)}
}

// add counts one answer; failed stands for a keeper that could not be asked or did not answer.
func (t *tally) add(reply claimReply, failed bool) {
	t.answered++
	switch {
	case failed:
		t.silent++
	case reply.Verdict == verdictGranted:
		t.granted++
	case reply.Verdict == verdictExisting:
		t.holders[reply.Record.ID]++
		if t.seen.State < reply.Record.State {
			t.seen = reply.Record
		}
	default:
		t.silent++
		t.refusals[reply.Verdict]++
	}
}

// end takes the keepers that have not answered for silent.
func (t *tally) end() {
	t.silent += t.members - t.answered
	t.answered = t.members
}

// result returns what is decided. A finished record decides at once, since its holder had a majority. Without one a
// claim that cannot win is failed only when no other can have won.
func (t *tally) result() result {
	majority := t.guards.majority(t.members)
	waiting := t.members - t.answered
	switch {
	case t.granted >= majority:
		return resultGranted
	case t.seen.State == StateFinished:
		return resultFinished
	case t.mostHeld() >= majority:
		return resultHeld
	case waiting > 0:
		return resultOpen
	case t.mostHeld() > 0 && t.mostHeld()+t.silent >= majority:
		return resultHeld
	}
	return resultFailed
}

// mostHeld returns how many keepers name the other claim that most name.
func (t *tally) mostHeld() int {
	most := 0
	for _, count := range t.holders {
		most = max(most, count)
	}
	return most
}

// existing returns what the gateway is told of another claim.
func (t *tally) existing() gateway.ClaimResult {
	return gateway.ClaimResult{State: gateway.ClaimExisting, Stored: t.seen.Stored, Fingerprint: t.seen.Fingerprint}
}
