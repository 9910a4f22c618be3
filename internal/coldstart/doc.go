// Package coldstart limits the rate of requests to cold engines: for some seconds after a start an engine serves only its service's cold rate,
// and fails under more.
//
// A Warmth tells which engines of a process's view are cold. The Keeper of the coordinating process grants sends to cold engines, from one token
// bucket an engine. The Asker of each process asks it; nothing is sent to a cold engine without a grant.
//
// Guarantees, for an engine that all senders know to be cold, whether or not processes reach each other: in any second, at most Depth plus the
// cold rate times (1 s + GrantLife) requests leave for it by the grants of the present coordinating process. A former one that does not know
// that it was replaced adds at most StaleShare of that, for StaleLife. The sum is below the cold rate times 1.5 plus 5. Services without a cold
// rate cost no time and no messages.
package coldstart
