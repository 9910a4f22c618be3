package itemwork

import (
	"slices"
	"strings"
)

// MaxTextBytes is the size of the largest text: its result must fit one object of the store.
const MaxTextBytes = 600 << 10

// Segment is a sequence of events that one weight version produced.
type Segment struct {
	Version int64
	// Events holds the data of the events in order; it is not empty.
	Events []string
}

// Text is the output of an item so far.
type Text struct {
	// Segments are in order. Adjacent ones differ in Version.
	Segments []Segment
	LastID   int64
	// Whole is true once the text is complete.
	Whole bool
}

// Len returns the number of events.
func (t *Text) Len() int { return countEvents(t.Segments) }

func countEvents(segments []Segment) int {
	count := 0
	for _, segment := range segments {
		count += len(segment.Events)
	}
	return count
}

// Add appends one event.
func (t *Text) Add(id int64, data string, version int64) {
	t.append(version, []string{data})
	t.LastID = id
}

func (t *Text) append(version int64, events []string) {
	if last := len(t.Segments) - 1; last >= 0 && t.Segments[last].Version == version {
		t.Segments[last].Events = append(t.Segments[last].Events, events...)
		return
	}
	t.Segments = append(t.Segments, Segment{Version: version, Events: slices.Clone(events)})
}

// Versions returns the weight versions of the text in ascending order.
func (t *Text) Versions() []int64 {
	versions := make([]int64, 0, len(t.Segments))
	for _, segment := range t.Segments {
		versions = append(versions, segment.Version)
	}
	slices.Sort(versions)
	return slices.Compact(versions)
}

// Fits reports whether the bounds allow the whole text.
func (t *Text) Fits(bounds Bounds) bool {
	for _, segment := range t.Segments {
		if segment.Version < bounds.MinVersion || (bounds.SingleVersion && segment.Version != t.Segments[0].Version) {
			return false
		}
	}
	return true
}

// Joined returns the data of all events, separated by line feeds.
func (t *Text) Joined() string {
	events := make([]string, 0, t.Len())
	for _, segment := range t.Segments {
		events = append(events, segment.Events...)
	}
	return strings.Join(events, "\n")
}

// Size returns the number of bytes of the events.
func (t *Text) Size() int { return sizeOf(t.Segments) }

func sizeOf(segments []Segment) int {
	size := 0
	for _, segment := range segments {
		for _, event := range segment.Events {
			size += len(event)
		}
	}
	return size
}

// After returns a copy of the segments without the first count events.
func (t *Text) After(count int) []Segment { return skipEvents(t.Segments, count) }

// Clone returns a deep copy.
func (t *Text) Clone() Text {
	copied := Text{LastID: t.LastID, Whole: t.Whole, Segments: make([]Segment, len(t.Segments))}
	for i, segment := range t.Segments {
		copied.Segments[i] = Segment{Version: segment.Version, Events: slices.Clone(segment.Events)}
	}
	return copied
}

// skipEvents returns a copy of segments without the first count events.
func skipEvents(segments []Segment, count int) []Segment {
	var rest []Segment
	for _, segment := range segments {
		if count >= len(segment.Events) {
			count -= len(segment.Events)
			continue
		}
		rest = append(rest, Segment{Version: segment.Version, Events: slices.Clone(segment.Events[count:])})
		count = 0
	}
	return rest
}

// Merge appends the events of a report, skipping those that the text already holds. It returns false if events before the report's are missing.
func (t *Text) Merge(report *Report) bool {
	if report.Restarted {
		*t = Text{}
		return true
	}
	known := t.Len()
	if report.From > known {
		return false
	}
	added := skipEvents(report.Segments, known-report.From)
	for _, segment := range added {
		t.append(segment.Version, segment.Events)
	}
	if len(added) > 0 {
		t.LastID = report.LastID
	}
	return true
}
