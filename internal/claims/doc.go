// Package claims makes non-repeatable requests run at most once. Before a gateway runs such a request, it claims the
// key at the pool's keepers, up to five nodes in permitted zones of one region. A majority grants a claim, so at most
// one claim of a key is granted within the retention time. Without a majority the request is refused as not run.
//
// A claim outlives its gateway: later requests with the key get the outcome unknown. The guarantee needs four rules:
//   - A keeper that may have lost grants (no disk, or a lost disk) abstains for one retention time.
//   - A released claim leaves a tombstone, so that a delayed message cannot restore it.
//   - A keeper grants only for the keeper set of its own view, and after a change of that set only while every majority
//     of the old set intersects every majority of the new one.
//   - The holder of a running claim renews it.
package claims
