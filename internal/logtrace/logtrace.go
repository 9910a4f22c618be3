// Package logtrace finds in the structured logs of several processes what happened to one request, batch job or item.
package logtrace

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// Names of the fields of a line, as package telemetry and the parts write them.
const (
	fieldTime    = "ts"
	fieldNode    = "node"
	fieldPart    = "part"
	fieldMessage = "msg"
	fieldLevel   = "level"
	fieldRequest = "request"
	fieldJob     = "job"
	fieldCall    = "call"
)

// maxLineBytes bounds a line of a log.
const maxLineBytes = 1 << 20

// Field is a name with its value.
type Field struct{ Name, Value string }

// Line is one line of a log.
type Line struct {
	Time    time.Time
	Node    string
	Part    string
	Message string
	// Fields are the other fields, in their order.
	Fields []Field
}

// Get returns the value of a field, or "".
func (l Line) Get(name string) string {
	for _, field := range l.Fields {
		if field.Name == name {
			return field.Value
		}
	}
	return ""
}

// String returns the line without its time.
func (l Line) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s: %s", l.Node, l.Part, l.Message)
	for _, field := range l.Fields {
		fmt.Fprintf(&text, " %s=%s", field.Name, field.Value)
	}
	return text.String()
}

// ReadFolder returns the lines of all files of a folder, in the order of their times.
func ReadFolder(folder string) ([]Line, error) {
	var lines []Line
	if err := scanFolder(folder, func(line Line) { lines = append(lines, line) }); err != nil {
		return nil, err
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return lines, nil
}

// scanFolder calls a function for every line of all files of a folder, a file after the other.
func scanFolder(folder string, take func(line Line)) error {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return fmt.Errorf("logs: %w", err)
	}
	for _, entry := range entries {
		if entry.IsDir() {
			continue
		}
		if err := scanFile(filepath.Join(folder, entry.Name()), take); err != nil {
			return err
		}
	}
	return nil
}

func scanFile(path string, take func(line Line)) error {
	file, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("logs: %w", err)
	}
	defer file.Close()
	if err := Scan(file, take); err != nil {
		return fmt.Errorf("logs: %s: %w", path, err)
	}
	return nil
}

// Read returns the lines of a log. What is not a line of a covelink process is left out; text before its level, as collectors put
// it, is no part of it.
func Read(source io.Reader) ([]Line, error) {
	var lines []Line
	err := Scan(source, func(line Line) { lines = append(lines, line) })
	return lines, err
}

// Scan calls a function for every line of a log, as Read returns them.
func Scan(source io.Reader, take func(line Line)) error {
	scanner := bufio.NewScanner(source)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		begin := strings.Index(text, fieldLevel+"=")
		if begin < 0 {
			continue
		}
		if line, ok := parse(text[begin:]); ok {
			take(line)
		}
	}
	return scanner.Err()
}

func parse(text string) (Line, bool) {
	var line Line
	decoder := logfmt.NewDecoder(strings.NewReader(text))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			line.set(string(decoder.Key()), string(decoder.Value()))
		}
	}
	return line, decoder.Err() == nil && !line.Time.IsZero()
}

func (l *Line) set(name, value string) {
	switch name {
	case fieldLevel:
	case fieldTime:
		// A time that does not parse stays zero, and the line is left out.
		l.Time, _ = time.Parse(time.RFC3339Nano, value)
	case fieldNode:
		l.Node = value
	case fieldPart:
		l.Part = value
	case fieldMessage:
		l.Message = value
	default:
		l.Fields = append(l.Fields, Field{Name: name, Value: value})
	}
}

// ErrNotFound reports an ID that no line names.
var ErrNotFound = errors.New("no line names it")
