package eventstream

import (
	"errors"
	"io"
)

// WholeBody passes the bytes of a stream on as they are. It returns ErrCutOff in place of io.EOF if the stream has no event or ends within one: a body
// that lasts until its connection is closed also ends so when its sender crashes.
type WholeBody struct {
	io.ReadCloser
	// lineLength is the length of the current line without carriage returns.
	lineLength int
	comment    bool
	// open is true within an event, and whole once one has ended.
	open, whole bool
}

// Read implements io.Reader.
func (b *WholeBody) Read(into []byte) (int, error) {
	n, err := b.ReadCloser.Read(into)
	for _, next := range into[:n] {
		b.take(next)
	}
	if errors.Is(err, io.EOF) && (b.lineLength > 0 || b.open || !b.whole) {
		return n, ErrCutOff
	}
	return n, err
}

func (b *WholeBody) take(next byte) {
	switch {
	case next == '\r':
	case next != '\n':
		b.comment = b.comment || b.lineLength == 0 && next == ':'
		b.lineLength++
	case b.lineLength == 0:
		b.whole = b.whole || b.open
		b.open = false
	default:
		b.open = b.open || !b.comment
		b.lineLength, b.comment = 0, false
	}
}
