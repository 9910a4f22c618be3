package engine

import "github.com/covelink/covelink/api/enginev1"

// Span is a run of tokens of one execution that one version produced.
type Span struct {
	// First is the index of the first token within the answer, resumed tokens included.
	First   int   `json:"first"`
	Tokens  int   `json:"tokens"`
	Version int64 `json:"version"`
}

// appendSpan adds the tokens of an event to the last span or begins a new one.
func appendSpan(spans []Span, event enginev1.TokenEvent) []Span {
	if len(spans) > 0 {
		last := &spans[len(spans)-1]
		if last.Version == event.Version && last.First+last.Tokens == event.Index {
			last.Tokens += len(event.Tokens)
			return spans
		}
	}
	return append(spans, Span{First: event.Index, Tokens: len(event.Tokens), Version: event.Version})
}
