// Package membership tells each process of a cluster which others are alive. It is a failure detector in the manner of
// SWIM with the Lifeguard extensions, as a state machine: no I/O, no goroutines, no clock of its own.
//
// The caller gives every message that arrives to Step, calls Tick at NextWake, and sends what both return. Messages may be
// lost, repeated and reordered.
//
// What holds:
//   - Completeness: a member that stops is dead at every live member of its zone after a bounded time, if messages pass.
//   - Accuracy: a member is declared dead only if neither probes of its own nor through others were answered and no
//     refutation came within the suspicion timeout. A process that misses its own deadlines widens its timeouts first.
//   - Convergence: after a partition heals, the tables of both sides become equal.
//   - Cost: messages and bytes a second don't grow with the number of members.
//
// Members of the own zone are all known. A zone speaks for its members: of another zone, each process knows a few bridges,
// which are those of the zone's live members that rank highest by rendezvous hashing, as that zone last told them.
package membership
