// Package coord is the root of the coordination library of covelink. Its packages know nothing of covelink, start no
// goroutine, read no clock and open no connection: each is a state machine that is handed messages and the time, and
// returns messages to send. The same code runs in the daemons, in virtual time and under the model checkers.
//
//   - lease: named leases by a majority of voters without disks, with fencing tokens that only grow
//   - voterset: numbered sets of voters
//   - fence: guards that refuse lower tokens
//   - quorumlog: a replicated log with one writer at a time, fenced by epochs
//   - membership: failure detection and the list of members, at a bounded cost per member
//   - rendezvous: ranking of members for a key, with bounded load
//
// To embed one, carry its messages by any transport that may lose, repeat, delay and reorder them, call Tick at NextWake,
// and use one goroutine, or a lock, for each state machine. The examples of lease and quorumlog show a whole group in
// one process; internal/leadership and internal/ledgerlog are how the daemon does it.
package coord
