package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
)

// MaxLineBytes bounds a line of a trace.
const MaxLineBytes = 1 << 20

// Error is a fault of a trace file.
type Error struct {
	File string
	Line int
	// Field is the path of the field at fault; empty where the whole line is.
	Field   string
	Message string
}

// Error implements error.
func (e *Error) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Message)
	}
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Field, e.Message)
}

// ReadFile reads and checks a trace file. A fault of its content is an *Error.
func ReadFile(name string) (*Trace, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return Parse(name, file)
}

// Parse reads and checks a trace. A fault of its content is an *Error.
func Parse(name string, reader io.Reader) (*Trace, error) {
	p := &parser{trace: &Trace{File: name}}
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, MaxLineBytes)
	for scanner.Scan() {
		p.line++
		if err := p.parseLine(scanner.Bytes()); err != nil {
			return nil, p.wrap(err)
		}
	}
	if err := scanner.Err(); err != nil {
		p.line++
		return nil, p.wrap(&fault{message: err.Error()})
	}
	if p.trace.Header.Type == "" {
		p.line = max(p.line, 1)
		return nil, p.wrap(&fault{message: "the trace is empty: a line of type \"trace\" must come first"})
	}
	if err := check(p.trace, p.headerLine); err != nil {
		return nil, err
	}
	return p.trace, nil
}

// fault is what is wrong with a line.
type fault struct {
	field   string
	message string
}

// Error implements error.
func (f *fault) Error() string { return f.field + ": " + f.message }

type parser struct {
	trace      *Trace
	line       int
	headerLine int
}

func (p *parser) wrap(err error) error {
	var f *fault
	if !errors.As(err, &f) {
		f = &fault{message: err.Error()}
	}
	return &Error{File: p.trace.File, Line: p.line, Field: f.field, Message: f.message}
}

// parseLine takes one line over; blank lines are passed over.
func (p *parser) parseLine(data []byte) error {
	if len(bytes.TrimSpace(data)) == 0 {
		return nil
	}
	var kind struct {
		Type string `json:"type"`
	}
	if err := json.Unmarshal(data, &kind); err != nil {
		return decodeFault(err)
	}
	if p.trace.Header.Type == "" && kind.Type != TypeTrace {
		return &fault{field: "type", message: "a line of type \"trace\" must come first"}
	}
	return p.parseType(kind.Type, data)
}

func (p *parser) parseType(kind string, data []byte) error {
	switch kind {
	case TypeTrace:
		return p.parseHeader(data)
	case TypeRequest:
		return p.parseEvent(data, &Request{})
	case TypeLoad:
		return p.parseEvent(data, &Load{})
	case TypeBatch:
		return p.parseEvent(data, &Batch{})
	case TypePublish:
		return p.parseEvent(data, &Publish{})
	case TypeWrite:
		return p.parseEvent(data, &Write{})
	case TypeFault:
		return p.parseEvent(data, &Fault{})
	case TypeExpect:
		return p.parseExpect(data)
	case "":
		return &fault{field: "type", message: "is missing"}
	}
	return &fault{field: "type", message: fmt.Sprintf("unknown type %q", kind)}
}

func (p *parser) parseHeader(data []byte) error {
	if p.trace.Header.Type != "" {
		return &fault{field: "type", message: "a second line of type \"trace\""}
	}
	// The version comes first: the fields of another version may be unknown here.
	var version struct {
		Format int `json:"format"`
	}
	if err := json.Unmarshal(data, &version); err != nil {
		return decodeFault(err)
	}
	if version.Format != FormatVersion {
		return &fault{field: "format", message: fmt.Sprintf("version %d is not supported, only %d", version.Format, FormatVersion)}
	}
	p.headerLine = p.line
	return decode(data, &p.trace.Header)
}

func (p *parser) parseEvent(data []byte, record Record) error {
	if err := decode(data, record); err != nil {
		return err
	}
	events := p.trace.Events
	if len(events) > 0 && record.Time() < events[len(events)-1].Record.Time() {
		return &fault{field: "at", message: fmt.Sprintf("%s is before the event of line %d at %s",
			record.Time(), events[len(events)-1].Line, events[len(events)-1].Record.Time())}
	}
	p.trace.Events = append(events, Event{Line: p.line, Record: record})
	return nil
}

func (p *parser) parseExpect(data []byte) error {
	expectation := Expectation{Line: p.line}
	if err := decode(data, &expectation.Expect); err != nil {
		return err
	}
	p.trace.Expectations = append(p.trace.Expectations, expectation)
	return nil
}

// decode takes a line over strictly.
func decode(data []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return decodeFault(err)
	}
	return nil
}

// decodeFault names the field of a decoding error.
func decodeFault(err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return &fault{field: wrongType.Field, message: "cannot be a " + wrongType.Value}
	}
	message := strings.TrimPrefix(err.Error(), "json: ")
	if name, ok := strings.CutPrefix(message, "unknown field "); ok {
		return &fault{field: strings.Trim(name, `"`), message: "unknown field"}
	}
	return &fault{message: message}
}
