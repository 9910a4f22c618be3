// Package quarantine isolates and refuses requests that crash the engines running them, across all gateways and retries of the caller.
//
// A request is identified by its Fingerprint. When an attempt's connection breaks, a Detector probes the engine; if it exited, the crash is
// recorded in the Table for every request that it ran. A successful run clears a request. A request with minHoldCrashes crashes is held: it
// is refused, except for a few trial runs that the coordinator grants with backoff, few at a time, so that a request that merely ran beside the
// cause is released. A trial that comes to no outcome is returned and does not count for the backoff.
//
// A request runs at one engine at a time, so it cannot be what many engines that exit together have in common. One that ran at fewer than half of the
// engines that exited at the times of its last crashes (Record.Exits) is neither isolated nor held before it has maxHoldCrashes.
//
// Tables converge: a Record is a grow-only set of engine starts, merged by union within an epoch that each clearing increments. Gateways
// send their findings to the coordinator with a Reporter and receive the others' through their polls.
//
// Guarantees, while processes reach the coordinator: a request that crashes every engine crashes at most minHoldCrashes of them, plus those
// already running it at the last of these, plus one per trial; at most maxHoldCrashes while other engines exit beside it. The number of records is
// bounded, and none outlives heldTTL after its last crash or trial.
package quarantine
