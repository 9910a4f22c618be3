package engine

import (
	"fmt"
	"slices"
	"time"

	"github.com/covelink/covelink/api/enginev1"
	"github.com/covelink/covelink/internal/lab/enginesim"
)

// FinishLost is the finish of an execution that a crash or a restart ended.
const FinishLost = "lost"

// Execution is the record of one request that the engine accepted. It outlives restarts of the engine.
type Execution struct {
	RequestID string `json:"request_id"`
	Attempt   uint32 `json:"attempt"`
	// PromptHash is enginesim.PromptHash of the prompt in hex.
	PromptHash  string `json:"prompt_hash"`
	Engine      string `json:"engine"`
	Zone        string `json:"zone"`
	Incarnation string `json:"incarnation"`
	// Started is when the request was accepted, and Ended when its execution ended; zero while it goes on.
	Started time.Time `json:"started"`
	Ended   time.Time `json:"ended"`
	// FirstVersion produced the first token, and LastVersion the last one so far; 0 without any.
	FirstVersion int64 `json:"first_version"`
	LastVersion  int64 `json:"last_version"`
	// Resumed counts the tokens that the request came with, and Tokens those produced here.
	Resumed int `json:"resumed"`
	Tokens  int `json:"tokens"`
	// Seed is the seed of the request.
	Seed int64 `json:"seed"`
	// Spans names the version of each token produced here, in order.
	Spans []Span `json:"spans"`
	// Finish is the finish reason or FinishLost; empty while the execution goes on.
	Finish string `json:"finish"`
}

func newExecution(now time.Time, identity enginesim.Identity, request enginev1.CompletionRequest) *Execution {
	return &Execution{
		RequestID:   request.RequestID,
		Attempt:     request.Attempt,
		PromptHash:  fmt.Sprintf("%016x", enginesim.PromptHash(request.Prompt)),
		Engine:      identity.Name,
		Zone:        identity.Zone,
		Incarnation: identity.Incarnation,
		Started:     now,
		Resumed:     len(request.Resume),
		Seed:        request.Seed,
	}
}

// observe takes an event into the record.
func (x *Execution) observe(now time.Time, event enginev1.TokenEvent) {
	if len(event.Tokens) > 0 {
		x.Tokens += len(event.Tokens)
		x.LastVersion = event.Version
		x.Spans = appendSpan(x.Spans, event)
	}
	if x.FirstVersion == 0 {
		x.FirstVersion = x.LastVersion
	}
	if event.Final != nil {
		x.end(now, event.Final.FinishReason)
	}
}

func (x *Execution) end(now time.Time, finish string) {
	x.Ended = now
	x.Finish = finish
}

// executionLog holds the newest executions, oldest first.
type executionLog struct {
	limit   int
	entries []*Execution
}

func (l *executionLog) add(execution *Execution) {
	if len(l.entries) >= 2*l.limit {
		l.entries = append(l.entries[:0], l.entries[len(l.entries)-l.limit+1:]...)
	}
	l.entries = append(l.entries, execution)
}

func (l *executionLog) snapshot() []Execution {
	newest := l.entries[max(0, len(l.entries)-l.limit):]
	executions := make([]Execution, 0, len(newest))
	for _, entry := range newest {
		copied := *entry
		copied.Spans = slices.Clone(entry.Spans)
		executions = append(executions, copied)
	}
	return executions
}
