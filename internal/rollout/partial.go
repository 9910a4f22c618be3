package rollout

import (
	"slices"

	v1 "github.com/covelink/covelink/api/v1"
)

// partialState is the prefix of an unfinished sample that is kept. Its slices are never written to: attempts hold them too.
type partialState struct {
	Tokens   []string
	Segments []v1.Segment
}

// with returns the prefix with an entry applied whose From and Segments have been checked.
func (p partialState) with(e PartialSaved) partialState {
	if e.From == 0 {
		return partialState{Tokens: e.Tokens, Segments: e.Segments}
	}
	return partialState{
		Tokens:   slices.Concat(p.Tokens, e.Tokens),
		Segments: joinSegments(p.Segments, e.Segments),
	}
}

// entry returns the entry that makes the tokens and segments the kept prefix. It holds only what the prefix lacks, unless
// the tokens are those of another attempt, which did not start from the prefix.
func (p partialState) entry(id Identity, tokens []string, segments []v1.Segment) PartialSaved {
	saved := len(p.Tokens)
	whole := PartialSaved{Identity: id, Tokens: slices.Clone(tokens), Segments: slices.Clone(segments)}
	if saved == 0 || saved >= len(tokens) || !slices.Equal(p.Tokens, tokens[:saved]) {
		return whole
	}
	rest := segmentsFrom(segments, saved)
	if !slices.Equal(joinSegments(p.Segments, rest), segments) {
		return whole
	}
	return PartialSaved{Identity: id, From: saved, Tokens: slices.Clone(tokens[saved:]), Segments: rest}
}

// segmentsFrom returns what the segments say of the tokens from first on.
func segmentsFrom(segments []v1.Segment, first int) []v1.Segment {
	var rest []v1.Segment
	for _, segment := range segments {
		end := segment.FirstToken + segment.Tokens
		if end <= first {
			continue
		}
		segment.FirstToken = max(segment.FirstToken, first)
		segment.Tokens = end - segment.FirstToken
		rest = append(rest, segment)
	}
	return rest
}

// joinSegments returns the segments followed by those of the tokens after them. Two that meet and name the same version
// and engine become one.
func joinSegments(segments, rest []v1.Segment) []v1.Segment {
	joined := slices.Clone(segments)
	for _, segment := range rest {
		if last := len(joined) - 1; last >= 0 && joined[last].Version == segment.Version && joined[last].Engine == segment.Engine {
			joined[last].Tokens += segment.Tokens
			continue
		}
		joined = append(joined, segment)
	}
	return joined
}
