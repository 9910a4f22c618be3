package claims

import (
	"github.com/covelink/covelink/internal/cluster"
)

// claimMessage requests a grant from a keeper. The type names of requests are rpc method names and must not change.
type claimMessage struct {
	Key         Key
	ID          string
	Fingerprint uint64
	// Members is the keeper set of the sender's view; Revision is the revision of that view.
	Members  []string
	Revision uint64
}

// verdict is a keeper's reply to a claim: the decision of its table or the reason for not consulting it.
type verdict string

// The verdicts are also values of the metric label verdict.
const (
	verdictGranted  verdict = "granted"
	verdictExisting verdict = "existing"
	verdictReleased verdict = "released"
	verdictFull     verdict = "full"
	// verdictKeeperSetMismatch: the keeper's view gives another keeper set, which is in the reply.
	verdictKeeperSetMismatch verdict = "other_home"
	// verdictAbstains: the keeper is not in the set, may have lost claims, or its set changed too recently.
	verdictAbstains verdict = "abstains"
	// verdictNotServing: the keeper's view may be stale.
	verdictNotServing verdict = "not_serving"
	// verdictForbidden: the pool is not permitted in the zone of the keeper or of the sender.
	verdictForbidden verdict = "forbidden"
	// verdictStorage: the keeper cannot write its claims file.
	verdictStorage verdict = "storage"
)

// claimReply is the reply to a claimMessage.
type claimReply struct {
	Verdict verdict
	// Record is set with verdictExisting.
	Record Record
	// Home is the keeper set of the keeper's view, set with verdictKeeperSetMismatch.
	Home []cluster.Node
}

// learnMessage carries a renewal or the final outcome from a claim's holder. Record.Expires is ignored.
type learnMessage struct {
	Key    Key
	Record Record
}

// releaseMessage releases a claim.
type releaseMessage struct {
	Key Key
	ID  string
}

// noteReply is the reply to a learnMessage or a releaseMessage.
type noteReply struct {
	// Noted is false if the keeper's table is full or its claims file cannot be written.
	Noted bool
	// Forbidden is set if the pool is not permitted in the zone of the keeper or of the sender.
	Forbidden bool
}

// startMessage is a bootstrap query: it asks a keeper whether it has granted claims before.
type startMessage struct {
	// Life is the random ID of the sending process.
	Life string
}

// startReply is the reply to a startMessage. Life is the ID of the replying process.
type startReply struct {
	Life string
	// New is set if the keeper has never been allowed to grant and knows of no earlier grants, and no claim sent to an
	// earlier process of it can still be in flight.
	New bool
	// Cleared is set if the bootstrap of the replying keeper found the sending process new.
	Cleared bool
}
