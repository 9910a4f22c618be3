// Package enginev1 is the contract between covelink and a model engine: HTTP with JSON bodies and
// server-sent events. An engine adapter meets this contract; docs/API.md describes it in prose.
//
// Paths: POST PathCompletions, POST PathOrders, GET PathLoad, GET PathCacheEvents (?after=N),
// POST PathCancel, POST PathExport, POST PathImport.
package enginev1

import "time"

// The paths of an engine.
const (
	PathCompletions = "/v1/completions"
	PathOrders      = "/covelink/v1/orders"
	PathLoad        = "/covelink/v1/load"
	PathCacheEvents = "/covelink/v1/cache-events"
	PathCancel      = "/covelink/v1/cancel"
	PathExport      = "/covelink/v1/kv/export"
	PathImport      = "/covelink/v1/kv/import"
	// PathWeights, followed by "/" and a version in decimal, answers GET with the bytes of weights that the
	// engine loaded by order and still holds, so that another engine can copy them (Order.Source); else 404.
	PathWeights = "/covelink/v1/weights"
)

// KeepAliveInterval is the longest time that an engine leaves an open stream without a line, also while the request waits.
// With nothing to tell it writes KeepAliveLine, which is a comment in the format of server-sent events. covelink takes a
// stream that is silent for several intervals for lost.
const (
	KeepAliveInterval = 2 * time.Second
	KeepAliveLine     = ":"
)

// Priority orders requests within an engine; a higher value is served first.
type Priority int

// The priorities.
const (
	PriorityRollout     Priority = 0
	PriorityInteractive Priority = 10
)

// CompletionRequest asks an engine for a stream of tokens.
type CompletionRequest struct {
	Model string `json:"model"`
	// RequestID and Attempt identify the execution; every event of the stream repeats them.
	RequestID string `json:"request_id"`
	Attempt   uint32 `json:"attempt"`
	// Incarnation is the engine incarnation the caller means; another one refuses with 409 (RefusedIncarnation).
	Incarnation string `json:"incarnation"`
	Prompt      string `json:"prompt"`
	// Resume holds tokens already produced; the stream continues after them.
	Resume    []string `json:"resume,omitempty"`
	MaxTokens int      `json:"max_tokens"`
	Seed      int64    `json:"seed"`
	Priority  Priority `json:"priority"`
	// MinVersion refuses the request when the engine runs lower weights.
	MinVersion int64 `json:"min_version,omitempty"`
	// PermittedZones lets the engine itself refuse work outside its zone.
	PermittedZones []string `json:"permitted_zones"`
	Stream         bool     `json:"stream"`
	// MaxInFlight refuses the request as full when the engine already holds that many, running and waiting; 0 leaves it to
	// the engine's own bounds. It bounds what all callers together put on an engine without their knowing of each other.
	MaxInFlight int `json:"max_in_flight,omitempty"`
}

// TokenEvent is one data event of a completion stream. It carries one or more tokens, all produced by Version.
type TokenEvent struct {
	RequestID string `json:"request_id"`
	Attempt   uint32 `json:"attempt"`
	// Sequence numbers the events of one attempt from 0.
	Sequence uint64 `json:"seq"`
	// Index is the index of the first token of this event within the answer, resumed tokens included.
	Index  int      `json:"index"`
	Tokens []string `json:"tokens,omitempty"`
	// Version is the weight version that produced the tokens. An event with tokens and no version is void.
	Version     int64  `json:"version"`
	Incarnation string `json:"incarnation"`
	// Final is set on the last event only.
	Final *FinalEvent `json:"final,omitempty"`
}

// FinalEvent closes a stream.
type FinalEvent struct {
	// Tokens is the length of the whole answer, resumed tokens included.
	Tokens int `json:"tokens"`
	// Checksum is the 64-bit xxHash of every token of the answer, each followed by a zero byte, in lower-case hex.
	Checksum     string `json:"checksum"`
	FinishReason string `json:"finish_reason"` // "stop", "length" or "cancelled"
	Load         Load   `json:"load"`
}

// RefusalReason says why an engine refused a request or an order; nothing was executed.
type RefusalReason string

// The refusal reasons.
const (
	RefusedDraining    RefusalReason = "draining"
	RefusedIncarnation RefusalReason = "incarnation"
	RefusedVersion     RefusalReason = "version"
	RefusedZone        RefusalReason = "zone"
	RefusedFull        RefusalReason = "full"
	RefusedFence       RefusalReason = "fence"
	RefusedLoading     RefusalReason = "loading"
	RefusedInvalid     RefusalReason = "invalid"
)

// Refusal is the JSON body of a 4xx or 503 answer by which an engine itself refuses: nothing was executed.
type Refusal struct {
	Reason  RefusalReason `json:"reason"`
	Message string        `json:"message"`
	// HighestFence is the highest fencing token the engine has seen; set with RefusedFence.
	HighestFence uint64 `json:"highest_fence,omitempty"`
	Load         *Load  `json:"load,omitempty"`
}

// OrderKind names what an order asks of an engine.
type OrderKind string

// The order kinds.
const (
	OrderPrepare  OrderKind = "prepare"  // load a version beside the one that serves
	OrderActivate OrderKind = "activate" // serve a prepared version from the next token on
	OrderUnload   OrderKind = "unload"   // drop a prepared version
	OrderRole     OrderKind = "role"     // change the role
	OrderDrain    OrderKind = "drain"    // refuse new work; Drain false undoes it
)

// Order is a fenced command to an engine. An engine refuses an order whose fence is lower than the highest it has seen.
type Order struct {
	Kind        OrderKind `json:"kind"`
	Fence       uint64    `json:"fence"`
	Incarnation string    `json:"incarnation"`
	Version     int64     `json:"version,omitempty"`
	Digest      string    `json:"digest,omitempty"`
	Location    string    `json:"location,omitempty"`
	// Source is the base URL of an engine that already holds the version; empty means the weight store.
	Source string `json:"source,omitempty"`
	Role   string `json:"role,omitempty"`
	Drain  bool   `json:"drain,omitempty"`
}

// OrderResult is the answer to an accepted order. Prepare works on after the answer; Load shows when it is done.
type OrderResult struct {
	Load Load `json:"load"`
}

// Load is an engine's report of itself. GET PathLoad answers with a report that lags.
type Load struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	Zone        string `json:"zone"`
	Model       string `json:"model"`
	Draining    bool   `json:"draining"`
	// DrainFence is the fence of the drain order in effect; 0 while the engine drains by itself or not at all.
	// It lets a later coordinator undo an order without overruling the engine.
	DrainFence uint64 `json:"drain_fence,omitempty"`
	Role       string `json:"role"`
	// ActiveVersion serves now; PreparedVersions are loaded beside it; Preparing is being loaded (0: none).
	ActiveVersion    int64   `json:"active_version"`
	PreparedVersions []int64 `json:"prepared_versions"`
	Preparing        int64   `json:"preparing"`
	PrepareError     string  `json:"prepare_error,omitempty"`
	Running          int     `json:"running"`
	Waiting          int     `json:"waiting"`
	MaxRunning       int     `json:"max_running"`
	// CachedTokens and CacheTokens are the use and the size of the prefix cache.
	CachedTokens int    `json:"cached_tokens"`
	CacheTokens  int    `json:"cache_tokens"`
	HighestFence uint64 `json:"highest_fence"`
}

// CacheEvent tells of a prompt prefix that entered or left the cache. Events are late and may be missing.
type CacheEvent struct {
	Sequence uint64 `json:"seq"`
	// Prefix is the xxHash of the cached prompt prefix.
	Prefix  uint64 `json:"prefix"`
	Evicted bool   `json:"evicted"`
}

// CancelRequest cancels one attempt. Cancelling an unknown attempt is not an error.
type CancelRequest struct {
	RequestID string `json:"request_id"`
	Attempt   uint32 `json:"attempt"`
}

// ExportRequest asks for the KV cache of a running attempt, which ends with finish reason "cancelled".
type ExportRequest struct {
	RequestID string `json:"request_id"`
	Attempt   uint32 `json:"attempt"`
}

// KVState is an exported KV cache: the answer of export and the body of import.
// Import makes a later CompletionRequest with the same RequestID and Resume skip the prefill.
type KVState struct {
	RequestID string   `json:"request_id"`
	Version   int64    `json:"version"`
	Prompt    string   `json:"prompt"`
	Tokens    []string `json:"tokens"`
	Seed      int64    `json:"seed"`
}
