package engine

import (
	"errors"
	"slices"

	v1 "github.com/covelink/covelink/api/v1"

	"github.com/covelink/covelink/api/enginev1"
)

// reorderWindow is how many events ahead of the next one are held back.
const reorderWindow = 16

// The reasons for which a stream is broken. What was verified before stays good, except after ErrChecksum.
var (
	ErrGap       = errors.New("stream has a gap")
	ErrUnstamped = errors.New("stream has tokens without a version")
	ErrVersion   = errors.New("stream has tokens of a version that was not allowed")
	ErrChecksum  = errors.New("answer does not match its count and checksum")
	ErrTooLarge  = errors.New("answer is too large")
	ErrTruncated = errors.New("stream ended before its final event")
	ErrCancelled = errors.New("engine cancelled the stream")
)

// finishCancelled is the finish reason of an attempt that was cancelled or exported.
const finishCancelled = "cancelled"

// Chunk is a run of verified new tokens, in order, without gaps, all of one version.
type Chunk struct {
	// Index is the index of the first token within the answer, resumed tokens included.
	Index   int
	Tokens  []string
	Version int64
}

// Expectation says what the stream of one attempt must look like.
type Expectation struct {
	RequestID   string
	Attempt     uint32
	Incarnation string
	// Engine names the engine in the segments.
	Engine     string
	MinVersion int64
	// Resume holds the tokens that the answer starts with, and ResumeSegments their versions.
	Resume         []string
	ResumeSegments []v1.Segment
	// MaxTokens and MaxBytes bound the whole answer; zero means no bound.
	MaxTokens int
	MaxBytes  int
}

// Assembly puts the events of one attempt together. It is a pure state machine: late, repeated and foreign events are
// dropped, early ones held in a bounded window; any other fault breaks the stream for good.
type Assembly struct {
	expect   Expectation
	tokens   []string
	bytes    int
	segments []v1.Segment
	next     uint64
	held     map[uint64]enginev1.TokenEvent
	final    *enginev1.FinalEvent
	err      error
	dropped  int
}

// NewAssembly returns the assembly of an attempt of which nothing has arrived.
func NewAssembly(expect Expectation) *Assembly {
	a := &Assembly{expect: expect, held: make(map[uint64]enginev1.TokenEvent)}
	a.rewind()
	return a
}

// Accept takes one event and returns the chunks that it completes. It returns the reason once the stream is broken.
func (a *Assembly) Accept(event enginev1.TokenEvent) ([]Chunk, error) {
	if a.err != nil {
		return nil, a.err
	}
	if a.final != nil || a.foreign(&event) || event.Sequence < a.next {
		a.dropped++
		return nil, nil
	}
	if event.Sequence > a.next {
		return nil, a.hold(event)
	}
	return a.advance(event)
}

// End takes note that no more events arrive. It returns nil when the whole answer was verified.
func (a *Assembly) End() error {
	if a.err == nil && a.final == nil {
		a.err = ErrTruncated
	}
	return a.err
}

// Done reports whether the whole answer was verified.
func (a *Assembly) Done() bool { return a.final != nil && a.err == nil }

// Final returns the final event once Done, else nil.
func (a *Assembly) Final() *enginev1.FinalEvent {
	if !a.Done() {
		return nil
	}
	return a.final
}

// Result returns the outcome of a stream that was read until err; nil means that the final event was read.
func (a *Assembly) Result(err error) StreamResult { return conclude(a, err) }

// Tokens returns the verified tokens, resumed ones included.
func (a *Assembly) Tokens() []string { return a.tokens }

// Segments returns the versions of the verified tokens.
func (a *Assembly) Segments() []v1.Segment { return a.segments }

// Dropped counts the late, repeated and foreign events.
func (a *Assembly) Dropped() int { return a.dropped }

func (a *Assembly) foreign(event *enginev1.TokenEvent) bool {
	return event.RequestID != a.expect.RequestID ||
		event.Attempt != a.expect.Attempt ||
		event.Incarnation != a.expect.Incarnation
}

func (a *Assembly) hold(event enginev1.TokenEvent) error {
	if event.Sequence-a.next > reorderWindow {
		return a.fail(ErrGap)
	}
	if _, repeated := a.held[event.Sequence]; repeated {
		a.dropped++
		return nil
	}
	a.held[event.Sequence] = event
	return nil
}

// advance takes the next event and every held one that follows it.
func (a *Assembly) advance(event enginev1.TokenEvent) ([]Chunk, error) {
	var chunks []Chunk
	for ready := true; ready; event, ready = a.unhold() {
		chunk, err := a.append(event)
		if err != nil {
			return chunks, a.fail(err)
		}
		if len(chunk.Tokens) > 0 {
			chunks = append(chunks, chunk)
		}
		a.next++
		if event.Final == nil {
			continue
		}
		if err := a.finish(event.Final); err != nil {
			return chunks, a.fail(err)
		}
		break
	}
	return chunks, nil
}

func (a *Assembly) unhold() (enginev1.TokenEvent, bool) {
	event, ok := a.held[a.next]
	delete(a.held, a.next)
	return event, ok
}

func (a *Assembly) append(event enginev1.TokenEvent) (Chunk, error) {
	if len(event.Tokens) == 0 {
		return Chunk{}, nil
	}
	if event.Index != len(a.tokens) {
		return Chunk{}, ErrGap
	}
	if event.Version <= 0 {
		return Chunk{}, ErrUnstamped
	}
	if event.Version < a.expect.MinVersion {
		return Chunk{}, ErrVersion
	}
	if !a.fits(event.Tokens) {
		return Chunk{}, ErrTooLarge
	}
	a.tokens = append(a.tokens, event.Tokens...)
	a.segments = AppendSegment(a.segments, v1.Segment{
		Version: event.Version, Engine: a.expect.Engine, FirstToken: event.Index, Tokens: len(event.Tokens),
	})
	return Chunk{Index: event.Index, Tokens: event.Tokens, Version: event.Version}, nil
}

func (a *Assembly) fits(tokens []string) bool {
	for _, token := range tokens {
		a.bytes += len(token)
	}
	if a.expect.MaxBytes > 0 && a.bytes > a.expect.MaxBytes {
		return false
	}
	return a.expect.MaxTokens <= 0 || len(a.tokens)+len(tokens) <= a.expect.MaxTokens
}

func (a *Assembly) finish(final *enginev1.FinalEvent) error {
	if final.FinishReason == finishCancelled {
		return ErrCancelled
	}
	if final.Tokens != len(a.tokens) || final.Checksum != enginev1.Checksum(a.tokens) {
		a.rewind()
		return ErrChecksum
	}
	a.final = final
	return nil
}

// rewind goes back to the resumed tokens: a failed checksum voids everything after them.
func (a *Assembly) rewind() {
	a.tokens = slices.Clone(a.expect.Resume)
	a.segments = slices.Clone(a.expect.ResumeSegments)
}

func (a *Assembly) fail(err error) error {
	a.err = err
	return err
}

// AppendSegment appends a segment, joining it with the last one when version and engine are the same.
func AppendSegment(segments []v1.Segment, next v1.Segment) []v1.Segment {
	if len(segments) > 0 {
		last := &segments[len(segments)-1]
		if last.Version == next.Version && last.Engine == next.Engine && last.FirstToken+last.Tokens == next.FirstToken {
			last.Tokens += next.Tokens
			return segments
		}
	}
	return append(segments, next)
}
