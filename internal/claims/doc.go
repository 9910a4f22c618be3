// Package claims makes requests that are not repeatable run at most once.
//
// A gateway that is about to run such a request claims its key at the keepers of the pool's home: up to five nodes of
// the region of the pool's first permitted zone, all of them in permitted zones. The claim is granted by a majority.
// Of two claims of one key at most one is granted within the retention time, since two majorities share a keeper and
// the first claim wins there. A claim whose holder is gone stays: later requests learn that the outcome is unknown.
// A claim that does not get its majority is released, and the request is refused as not run.
//
// The guarantee rests on four rules. A keeper that does not know what it granted in the past (memory only, or a lost
// disk) grants nothing for one retention time. A released claim leaves a tombstone, so that a late message does not
// revive it. A keeper grants only for the set of nodes that its own view gives, and after a change of that set only
// while majorities of the old and of the new set must share a node. The holder of a running claim renews it.
package claims
