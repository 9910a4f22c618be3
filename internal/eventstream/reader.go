// Package eventstream reads series of server-sent events. An event counts once the empty line behind it was read; what a
// broken stream leaves unfinished is no event.
package eventstream

import (
	"bufio"
	"errors"
	"io"
	"strconv"
	"strings"
)

// maxEventBytes bounds an event with all its lines, and a line that belongs to none.
const maxEventBytes = 256 << 10

var (
	// ErrCutOff reports a stream that ends within an event.
	ErrCutOff = errors.New("eventstream: ends within an event")
	// ErrMalformed reports a line that belongs to no event.
	ErrMalformed = errors.New("eventstream: malformed line")
	// ErrTooLong reports an event or a line of more than 256 KB.
	ErrTooLong = errors.New("eventstream: event too long")
)

// Event is one event.
type Event struct {
	ID int64
	// HasID is true if the event bears an ID.
	HasID bool
	// Data are the data lines, separated by line feeds.
	Data string
	// Extra is the value of the reader's extra field, if the event has it.
	Extra string
}

// Reader reads events.
type Reader struct {
	lines *bufio.Scanner
	// extra is the name of one more field that is taken in.
	extra string
}

// NewReader returns a Reader. extra is the name of a field beyond id and data that is taken in; it may be empty.
func NewReader(source io.Reader, extra string) *Reader {
	lines := bufio.NewScanner(source)
	lines.Buffer(make([]byte, 0, 4<<10), maxEventBytes)
	lines.Split(splitLines)
	return &Reader{lines: lines, extra: extra}
}

// splitLines yields lines that are ended by a line feed; a last line without one is an error, as it may be cut off.
func splitLines(data []byte, atEOF bool) (advance int, token []byte, err error) {
	for i, b := range data {
		if b == '\n' {
			return i + 1, data[:i], nil
		}
	}
	if atEOF && len(data) > 0 {
		return 0, nil, ErrCutOff
	}
	return 0, nil, nil
}

// Next returns the next event. io.EOF after the last one of a stream that ends between events.
func (r *Reader) Next() (Event, error) {
	var event Event
	var data []string
	begun := false
	size := 0
	for r.lines.Scan() {
		if size += len(r.lines.Bytes()); begun && size > maxEventBytes {
			return Event{}, ErrTooLong
		}
		line := strings.TrimSuffix(r.lines.Text(), "\r")
		if line == "" {
			if !begun {
				size = 0
				continue
			}
			event.Data = strings.Join(data, "\n")
			return event, nil
		}
		if strings.HasPrefix(line, ":") {
			if !begun {
				size = 0
			}
			continue
		}
		begun = true
		name, value, found := strings.Cut(line, ":")
		if !found {
			return Event{}, ErrMalformed
		}
		value = strings.TrimPrefix(value, " ")
		switch name {
		case "id":
			id, err := strconv.ParseInt(value, 10, 64)
			if err != nil {
				return Event{}, ErrMalformed
			}
			event.ID, event.HasID = id, true
		case "data":
			data = append(data, value)
		case r.extra:
			event.Extra = value
		}
	}
	if errors.Is(r.lines.Err(), bufio.ErrTooLong) {
		return Event{}, ErrTooLong
	}
	if err := r.lines.Err(); err != nil {
		return Event{}, err
	}
	if begun {
		return Event{}, ErrCutOff
	}
	return Event{}, io.EOF
}
