// Package survival runs a small deployment under faults in virtual time and tells which promises it kept.
//
// Five nodes in three zones vote for the owner's lease, keep the ledger's log and the claims, and may own the trainer's
// batches. The decisions are the product's own: lease.Voter and Candidate, quorumlog.Replica and Writer, rollout.Owner and
// Ledger, engine.Assembly, claims.Register and Votes, and enginesim for the engines. What the product keeps in goroutines
// is done anew here: the loops of leadership.LeaseElector, rollout's term, ledgerlog's logs with their care for replicas, the
// dispatcher's choice of engines, and the messages of claims.Manager.
//
// The verdict is that of package invariant, from what the engines ran and the clients were told. The same seed and faults
// give the same result.
package survival
