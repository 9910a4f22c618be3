package batchrun_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/itemwork"
	"github.com/covelink/covelink/internal/textlog"
)

// eventsOf returns numbered events of a run.
func eventsOf(run string, first, last int) []string {
	var events []string
	for number := first; number <= last; number++ {
		events = append(events, fmt.Sprintf("%s%d", run, number))
	}
	return events
}

// reportEvents reports the events of a run that follow its first from events.
func (h *scriptedWorker) reportEvents(of *itemwork.Assignment, run itemwork.RunID, from int, events []string) {
	h.dispatcher.Report(itemwork.ReportRequest{Worker: h.id, Term: h.term, Reports: []itemwork.Report{{
		Run: run, Job: of.Job, Item: of.Item, Tenant: of.Tenant, Engine: of.Engine.ID, From: from,
		Segments: []itemwork.Segment{{Version: 1, Events: events}}, LastID: int64(from + len(events)), Version: 1,
	}}})
	time.Sleep(2 * checkpointDelay)
}

// checkpointDelay is at least the delay between two checkpoints.
const checkpointDelay = 300 * time.Millisecond

// runCheckpointScenario lets a scene report a run of an item, and compares the item's text on disk with the events of the last run.
func runCheckpointScenario(t *testing.T, name string, scene func(worker *scriptedWorker, started *itemwork.Assignment) (last []string)) {
	t.Helper()
	folder := t.TempDir()
	runWorkerScenario(t, name, func(h *workerHarness) {
		h.stop()
		h.textFolder = folder
		h.startTerm(2)
		worker := h.newScriptedWorker()
		h.submit("j", 1)
		started := worker.pollFor(1)
		So(started, ShouldHaveLength, 1)
		last := scene(worker, started[0])
		restored, err := textlog.Read(folder)
		So(err, ShouldBeNil)
		So(restored.Texts, ShouldHaveLength, 1)
		for _, text := range restored.Texts {
			So(text.Segments, ShouldResemble, []itemwork.Segment{{Version: 1, Events: last}})
		}
	})
}

// Guards against checkpoints that join the first events of one run with later events of another, which the next term on that disk lists as one text.
func TestCheckpointOfReplacedText(t *testing.T) {
	for name, events := range map[string]int{"of more events than were written": 30, "of as many events as were written and one": 13} {
		runCheckpointScenario(t, "A text that an adopted run "+name+" replaces is written from its start", func(worker *scriptedWorker, started *itemwork.Assignment) []string {
			worker.reportEvents(started, started.Run, 0, eventsOf("first-", 1, 12))
			other := itemwork.RunID{Term: 1, Number: 77}
			worker.reportEvents(started, other, 0, eventsOf("other-", 1, events))
			worker.reportEvents(started, other, events, eventsOf("other-", events+1, events+9))
			return eventsOf("other-", 1, events+9)
		})
	}
	runCheckpointScenario(t, "A text that was too short when the log was rewritten is written from its start", func(worker *scriptedWorker, started *itemwork.Assignment) []string {
		worker.reportEvents(started, started.Run, 0, eventsOf("first-", 1, 5))
		worker.reportEvents(started, started.Run, 5, eventsOf("first-", 6, 15))
		return eventsOf("first-", 1, 15)
	})
}
