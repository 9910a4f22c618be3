package claims

import (
	"github.com/covelink/covelink/internal/cluster"
)

// claimMessage asks a keeper for a claim.
type claimMessage struct {
	Key         Key
	ID          string
	Fingerprint uint64
	// Members names the keepers that the claimant takes for the home; Revision is that of its view.
	Members  []string
	Revision uint64
}

// verdict is a keeper's answer to a claim, beyond the decisions of its register.
type verdict string

// The verdicts. They are the values of the metric label verdict.
const (
	verdictGranted  verdict = "granted"
	verdictExisting verdict = "existing"
	verdictReleased verdict = "released"
	verdictFull     verdict = "full"
	// verdictOtherHome: the keeper's view gives another home, which the answer tells.
	verdictOtherHome verdict = "other_home"
	// verdictAbstains: the keeper may have forgotten claims, or may not grant so soon after the home changed.
	verdictAbstains verdict = "abstains"
	// verdictNotServing: the keeper's view may be old.
	verdictNotServing verdict = "not_serving"
	// verdictForbidden: the pool's data may not be in the zone of the keeper or of the claimant.
	verdictForbidden verdict = "forbidden"
	// verdictStorage: the keeper cannot write its file.
	verdictStorage verdict = "storage"
)

// claimReply answers a claimMessage.
type claimReply struct {
	Verdict verdict
	// Record is set with verdictExisting.
	Record Record
	// Home is set with verdictOtherHome.
	Home []cluster.Node
}

// learnMessage states what the holder of a granted claim knows of it. Record.Expires is not used.
type learnMessage struct {
	Key    Key
	Record Record
}

// releaseMessage gives a claim up.
type releaseMessage struct {
	Key Key
	ID  string
}

// noteReply answers a learnMessage or a releaseMessage.
type noteReply struct {
	// Noted is false if the keeper's table is full or its file cannot be written.
	Noted bool
	// Forbidden tells that the keeper must not hold data of the pool.
	Forbidden bool
}

// startMessage asks a keeper whether it has ever granted anything.
type startMessage struct {
	// Life is drawn anew by each process.
	Life string
}

// startReply answers a startMessage.
type startReply struct {
	Life string
	// New tells that the keeper has granted nothing in any life that it knows of, and that claims of an earlier life
	// that it does not know of can no longer be in flight.
	New bool
	// Cleared tells that the answering keeper found every keeper new, the asking life among them.
	Cleared bool
}
