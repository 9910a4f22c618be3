package batchrun

import "github.com/covelink/covelink/internal/itemwork"

// checkpointedText is the text of an item, and how much of it the checkpoint on disk has. A text that replaces another one is made by newText, so that
// its checkpoint starts from the first event: the events of two runs must not be joined on disk.
type checkpointedText struct {
	itemwork.Text
	// start numbers the entry of the checkpoint that begins the text.
	start uint64
	// checkpointed is the number of events in the checkpoint. checkpointedWhole is true if the checkpoint marks the text as complete.
	checkpointed      int
	checkpointedWhole bool
}

// newText returns a text of which nothing is in the checkpoint.
func newText(text itemwork.Text) checkpointedText { return checkpointedText{Text: text} }

// Merge appends the events of a report like itemwork.Text.Merge. A restarted text is a new one.
func (t *checkpointedText) Merge(report *itemwork.Report) bool {
	if report.Restarted {
		*t = checkpointedText{}
		return true
	}
	return t.Text.Merge(report)
}

// unwritten reports whether the checkpoint lacks part of the text.
func (t *checkpointedText) unwritten() bool {
	return t.checkpointed < t.Len() || t.Whole != t.checkpointedWhole
}

// markWritten records that the checkpoint has the whole text as it is.
func (t *checkpointedText) markWritten() {
	t.checkpointed, t.checkpointedWhole = t.Len(), t.Whole
}

// markUnwritten records that the checkpoint has nothing of the text.
func (t *checkpointedText) markUnwritten() {
	t.checkpointed, t.checkpointedWhole = 0, false
}
