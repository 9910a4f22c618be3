package eventstream

import (
	"errors"
	"io"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// readAll returns the events of a stream and the error that ended it.
func readAll(content string) ([]Event, error) {
	reader := NewReader(strings.NewReader(content), "mark")
	var events []Event
	for {
		event, err := reader.Next()
		if err != nil {
			return events, err
		}
		events = append(events, event)
	}
}

func TestReader(t *testing.T) {
	Convey("Events are read with their ID, their data lines and the extra field", t, func() {
		events, err := readAll("mark: 7\nid: 1\ndata: a\n\n: comment\nid: 2\r\ndata:b\r\ndata: c\r\n\r\n")
		So(err, ShouldEqual, io.EOF)
		So(events, ShouldResemble, []Event{
			{ID: 1, HasID: true, Data: "a", Extra: "7"},
			{ID: 2, HasID: true, Data: "b\nc"},
		})
	})
	Convey("What a broken stream leaves unfinished is no event", t, func() {
		for _, cut := range []string{"id: 2\nda", "id: 2\ndata: b", "id: 2\ndata: b\n"} {
			events, err := readAll("id: 1\ndata: a\n\n" + cut)
			So(len(events), ShouldEqual, 1)
			So(errors.Is(err, ErrCutOff), ShouldBeTrue)
		}
	})
	Convey("Bytes that are no events are an error", t, func() {
		for _, garbage := range []string{"id: x\n\n", "\x00\x01\x02\n\n"} {
			_, err := readAll(garbage)
			So(err, ShouldNotBeNil)
		}
	})
}

func FuzzReader(f *testing.F) {
	f.Add("id: 1\ndata: a\n\n")
	f.Add("mark: 7\nid: 1\r\ndata: a\n\nid")
	f.Fuzz(func(t *testing.T, content string) {
		events, err := readAll(content)
		if err == nil {
			t.Fatal("a stream ended without an error")
		}
		if strings.Count(content, "\n") < len(events) {
			t.Fatal("more events than lines")
		}
	})
}
