package claims

// VoteResult is what the keepers' answers to one claim have come to.
type VoteResult int

// The results.
const (
	// VoteOpen: more answers are needed.
	VoteOpen VoteResult = iota
	// VoteGranted: a majority granted.
	VoteGranted
	// VoteFinished: another claim of the key is finished.
	VoteFinished
	// VoteHeld: another claim may hold the key.
	VoteHeld
	// VoteFailed: no majority, and no other claim can have one.
	VoteFailed
)

// Votes counts the answers of the keepers of one home as a Manager does, for those who carry the messages themselves,
// such as a simulation. It is pure.
type Votes struct{ tally *tally }

// NewVotes returns the count of a claim of which no keeper has answered.
func NewVotes(members int) *Votes { return &Votes{tally: newTally(members, allGuards)} }

// Add counts a keeper's decision; the record is set with DecisionExisting.
func (v *Votes) Add(decision Decision, record Record) {
	v.tally.add(claimReply{Verdict: verdictOf(decision), Record: record}, false)
}

// Abstain counts a keeper that may have forgotten claims, or could not be asked.
func (v *Votes) Abstain() { v.tally.add(claimReply{Verdict: verdictAbstains}, false) }

// End takes the keepers that have not answered for silent.
func (v *Votes) End() { v.tally.end() }

// Result returns what is decided so far.
func (v *Votes) Result() VoteResult { return VoteResult(v.tally.result()) }

// Seen returns the most telling record of another claim.
func (v *Votes) Seen() Record { return v.tally.seen }
