package claims

// VoteResult is the state of a claim's vote.
type VoteResult int

// The results.
const (
	// VoteOpen: more replies are needed.
	VoteOpen VoteResult = iota
	// VoteGranted: a majority granted.
	VoteGranted
	// VoteFinished: another claim of the key is finished.
	VoteFinished
	// VoteHeld: another claim may have been granted.
	VoteHeld
	// VoteFailed: neither this claim nor another one can have a majority.
	VoteFailed
)

// Votes counts the replies of one keeper set as a Manager does, for callers with their own transport, such as a
// simulation.
type Votes struct{ counter *voteCounter }

// NewVotes returns the vote of a claim without replies.
func NewVotes(members int) *Votes { return &Votes{counter: newVoteCounter(members, allGuards)} }

// Add counts a keeper's decision. The record is used with DecisionExisting only.
func (v *Votes) Add(decision Decision, record Record) {
	v.counter.add(claimReply{Verdict: verdictOf(decision), Record: record}, false)
}

// Abstain counts a keeper that abstained or could not be reached.
func (v *Votes) Abstain() { v.counter.add(claimReply{Verdict: verdictAbstains}, false) }

// End counts the keepers without a reply as indeterminate.
func (v *Votes) End() { v.counter.closeVoting() }

// Result returns the current state of the vote.
func (v *Votes) Result() VoteResult { return VoteResult(v.counter.result()) }

// ExistingRecord returns the first record of another claim with the most advanced state.
func (v *Votes) ExistingRecord() Record { return v.counter.existingRecord }
