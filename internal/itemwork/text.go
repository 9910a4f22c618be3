package itemwork

import (
	"slices"
	"strings"
)

// Segment is a series of events that one weight version made.
type Segment struct {
	Version int64
	// Events holds the data of the events, in order; there is at least one.
	Events []string
}

// Text is what was made of an item.
type Text struct {
	// Segments are the events in order. Neighbours differ in their version.
	Segments []Segment
	// LastID is the ID of the last event.
	LastID int64
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

// Add takes in one event.
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

// Versions returns the weight versions that made the text, in rising order.
func (t *Text) Versions() []int64 {
	versions := make([]int64, 0, len(t.Segments))
	for _, segment := range t.Segments {
		versions = append(versions, segment.Version)
	}
	slices.Sort(versions)
	return slices.Compact(versions)
}

// Fits reports whether all of the text may be used under the bounds.
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

// Size is the number of bytes of the events.
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

// After returns the events behind the first ones, in segments of their own.
func (t *Text) After(count int) []Segment { return skip(t.Segments, count) }

// Clone returns a copy that later additions to either leave alone.
func (t *Text) Clone() Text {
	copied := Text{LastID: t.LastID, Whole: t.Whole, Segments: make([]Segment, len(t.Segments))}
	for i, segment := range t.Segments {
		copied.Segments[i] = Segment{Version: segment.Version, Events: slices.Clone(segment.Events)}
	}
	return copied
}

// skip returns segments without their first events.
func skip(segments []Segment, count int) []Segment {
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

// Merge takes the events of a report into the text; those that it holds already are skipped. It reports false if events before
// the report's are missing.
func (t *Text) Merge(report *Report) bool {
	if report.Restarted {
		*t = Text{}
		return true
	}
	known := t.Len()
	if report.From > known {
		return false
	}
	added := skip(report.Segments, known-report.From)
	for _, segment := range added {
		t.append(segment.Version, segment.Events)
	}
	if len(added) > 0 {
		t.LastID = report.LastID
	}
	return true
}
