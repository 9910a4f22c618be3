// Package lease elects the holder of any number of named leases by a majority of voters that keep no disk, after the
// published PaxosLease idea. It has no I/O, no goroutine and no clock: Voter and Candidate are state machines that are
// given messages and the time and return messages to send. Messages may be lost, repeated, delayed and reordered.
//
// # Exclusion
//
// A candidate asks every voter of the set. A voter grants a name to one candidate at a time, for Length by its own
// monotonic clock from when the ask arrived, and keeps the promise in memory. A candidate with grants of a majority holds
// the lease for Length·(1−Drift)/(1+Drift) by its own clock from before it asked. Any two majorities share a voter; that
// voter's promise to the first candidate began after the candidate's count and ends after it, whatever both clocks do
// within the drift. So no two candidates hold a name at one real time, provided that each acts as the holder only while
// Held says so for a fresh now: after a pause of any length Held is false. Since a monotonic clock may stand still while
// the whole machine is stopped, a lease lapses when either the monotonic or the wall clock says so.
//
// A voter that starts does not know what it granted before: it grants nothing for one Length, by when each of those
// grants has lapsed. A candidate that starts has another Incarnation and is bound by the grants of its former life.
//
// # Tokens
//
// Each term has a fencing token: the milliseconds of the wall clock shifted left by ten bits, or one above the highest
// token heard, whichever is higher. A voter grants a new term only under a token above every one that it has heard of for
// the name, and a renewal only to the present holder. So a term's token is above those of all earlier terms that a voter
// of its majority remembers. If the voters that remember have restarted, at least a Length lies between the two asks,
// and the token is higher still unless the candidates' wall clocks differ by more. If they do, a Guard refuses the holder
// and tells the highest token it has seen; ObserveToken ends the term and the next one is above it. Exclusion never depends
// on the wall clocks.
//
// # Voter sets
//
// Sets are numbered. A voter takes over a higher number from any message and refuses asks under a lower one, and a
// candidate counts only grants under the number that it asked under. See voterset for how one set follows another and why
// leases of one set are safe under the next.
package lease

// clockShift leaves room for the tokens of one millisecond. With ten bits, tokens of this century and the next stay below
// 2⁵³, so that every JSON reader keeps them exact.
const clockShift = 10
