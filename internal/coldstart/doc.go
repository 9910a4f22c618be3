// Package coldstart bounds what is sent to engines that bear only a part of their load for some seconds after a start.
//
// A Warmth knows which engines of a process's view are cold. A Keeper, in the coordinating process, is the only one that grants sends to them,
// from a token bucket for each engine; an Asker in every process asks it, and a send without a grant is not made.
//
// Guarantees, for an engine that all senders know to be cold, whether or not processes reach each other: in any second at most Depth plus the
// service's cold rate times (1 s + GrantLife) requests leave for it by the grants of the process that coordinates. One that coordinates no more
// and cannot know adds at most StaleShare of that, for StaleLife. Together that is below the cold rate times 1.5 plus 5. Services without a
// cold rate take no time and no messages.
package coldstart
