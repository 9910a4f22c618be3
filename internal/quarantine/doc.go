// Package quarantine isolates and refuses requests that crash the engines running them, across all gateways and retries of the caller.
//
// A request is identified by its Fingerprint. When an attempt's connection breaks, a Detector probes the engine; if it exited, the crash is
// recorded in the Table for every request that it ran. A successful run clears a request. A request with holdThreshold crashes is held: it
// is refused, except for a few trial runs that the coordinator grants one at a time with backoff, so that a request that merely ran beside
// the cause is released. A trial that comes to no outcome is returned and does not count for the backoff.
//
// Tables converge: a Record is a grow-only set of engine starts, merged by union within an epoch that each clearing increments. Gateways
// send their findings to the coordinator with a Reporter and receive the others' through their polls.
//
// Guarantees, while processes reach the coordinator: a request that crashes every engine crashes at most holdThreshold of them, plus those
// already running it at the last of these, plus one per trial. The number of records is bounded, and none outlives heldTTL after its last
// crash or trial.
package quarantine
