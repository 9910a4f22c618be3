package trace

import (
	"bytes"
	"encoding/json"
	"io"
)

// WriteTo writes the trace as JSON lines: the header, the events, the expectations. The lines of events and
// expectations are set to where they now stand.
func (t *Trace) WriteTo(writer io.Writer) (int64, error) {
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(&t.Header); err != nil {
		return 0, err
	}
	line := 1
	for i := range t.Events {
		line++
		t.Events[i].Line = line
		if err := encoder.Encode(t.Events[i].Record); err != nil {
			return 0, err
		}
	}
	for i := range t.Expectations {
		line++
		t.Expectations[i].Line = line
		if err := encoder.Encode(&t.Expectations[i].Expect); err != nil {
			return 0, err
		}
	}
	return buffer.WriteTo(writer)
}
