// Package quarantine keeps requests that end the engines that run them from ending one engine after the other, at whichever gateway their
// callers repeat them.
//
// A request is known by its Fingerprint: what its caller repeats. When the connection of an attempt breaks, a Detector asks whether the
// engine has ended. Each end is noted in a Table, as the start of the engine that ended, for all requests that the engine ran: which of them
// was the cause is not known. A run that ends well clears a request. One that has seen holdAfter ends without such a run is held: it is
// refused at once, except for a few trials that the coordinating process grants, one at a time and with growing pauses, so that a bystander
// is not held for good.
//
// Tables of all processes hold the same after a while: a Record is a grow-only set of engine starts, merged by union, in an epoch that a
// clearing raises. Gateways tell the coordinating process what they find out with a Teller, and learn the rest with their polls of it.
//
// Guarantees, while processes reach the coordinating one: a request that ends each engine that begins to run it ends at most holdAfter of
// them, those that were under way when the last of these ended, and one a trial. Records are bounded in number, and none lasts longer than
// heldLife after the last end or trial.
package quarantine
