// Package coldstart limits the rate of requests to cold engines. For some seconds after its start, an engine can serve only the cold rate of its
// service and fails under more.
//
// A Tracker determines which engines of a process's view are cold. The Limiter in the coordinator grants sends to cold engines from one token
// bucket per engine. The Client in each process requests grants from it; nothing is sent to a cold engine without one.
//
// Guarantees, for an engine that all senders know to be cold, with or without network partitions: in any second, at most Depth plus the cold rate
// times (1 s + GrantLife) requests are sent to it under the grants of the current coordinator. A former coordinator that has not detected its
// replacement adds at most StaleShare of that, for StaleLife. The sum is below the cold rate times 1.5 plus 5. Services without a cold rate cost no
// time and no messages.
package coldstart
