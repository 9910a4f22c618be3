package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/covelink/covelink/internal/fleet"
)

// TestPreferenceOfReports guards against sends to engines that are known to be full or slow, and against choices by reports that are out of date.
func TestPreferenceOfReports(t *testing.T) {
	now := time.Unix(1000, 0)
	load := func(running, waiting int, pace float64) EngineLoad {
		return EngineLoad{Running: running, Waiting: waiting, Slots: 6, Pace: pace}
	}
	for _, c := range []struct {
		name   string
		report *loadReport
		want   preference
		free   int
	}{
		{"no report", nil, preferUnknown, 0},
		{"free slots, usual pace", &loadReport{EngineLoad: load(2, 0, 100), at: now}, preferFree, 4},
		{"free slots, pace not reported", &loadReport{EngineLoad: load(2, 0, 0), at: now}, preferFree, 4},
		{"free slots, slow", &loadReport{EngineLoad: load(2, 0, 240), at: now}, preferSlow, 4},
		{"no free slot", &loadReport{EngineLoad: load(6, 0, 100), at: now}, preferFull, 0},
		{"no free slot but that of the answered request", &loadReport{EngineLoad: load(6, 0, 100), at: now, answered: true}, preferFree, 1},
		{"the slot of the answered request goes to a queued one", &loadReport{EngineLoad: load(6, 1, 100), at: now, answered: true}, preferFull, 0},
		{"more running than slots", &loadReport{EngineLoad: load(9, 0, 100), at: now}, preferFull, 0},
		{"own sends since the report take the slots", &loadReport{EngineLoad: load(4, 0, 100), at: now, sent: 2}, preferFull, 0},
		{"free slots, but it refused", &loadReport{EngineLoad: load(0, 0, 100), at: now, refused: true}, preferFull, 0},
		{"full a second ago", &loadReport{EngineLoad: load(6, 0, 100), at: now.Add(-reportMaxAge)}, preferUnknown, 0},
	} {
		if got := preferenceOf(c.report, now); got != c.want {
			t.Errorf("%s: preference %d, want %d", c.name, got, c.want)
		}
		if c.report != nil && c.want != preferUnknown && c.report.free() != c.free {
			t.Errorf("%s: %d free slots, want %d", c.name, c.report.free(), c.free)
		}
	}
}

// TestCapacityOfReports guards against a service that is taken for full, or for free, on too few or too old reports.
func TestCapacityOfReports(t *testing.T) {
	now := time.Unix(1000, 0)
	report := func(running int, age time.Duration) *loadReport {
		return &loadReport{EngineLoad: EngineLoad{Running: running, Slots: 6}, at: now.Add(-age), share: max(6-running, 0)}
	}
	for _, c := range []struct {
		name    string
		reports []*loadReport
		engines int
		learned Load
		waiting bool
		want    Load
	}{
		{"no reports, normal", nil, 4, LoadNormal, false, LoadNormal},
		{"no reports, full", nil, 4, LoadFull, false, LoadFull},
		{"half of the engines report no free slot", []*loadReport{report(6, 0), report(6, 0)}, 4, LoadNormal, false, LoadFull},
		{"less than half report", []*loadReport{report(6, 0)}, 4, LoadNormal, false, LoadNormal},
		{"old reports count for nothing", []*loadReport{report(6, 2*reportMaxAge), report(6, reportMaxAge), report(6, 0)}, 4, LoadNormal, false, LoadNormal},
		{"free slots at a service that refused", []*loadReport{report(6, 0), report(5, 0)}, 4, LoadFull, false, LoadNormal},
		{"free slots, and requests that wait for them", []*loadReport{report(6, 0), report(5, 0)}, 4, LoadFull, true, LoadFull},
		{"no free slots at a service that refused", []*loadReport{report(6, 0), report(7, 0)}, 4, LoadFull, false, LoadFull},
		{"no free slots at a service that is down", []*loadReport{report(6, 0), report(7, 0)}, 4, LoadDown, false, LoadDown},
	} {
		if got := capacityOf(c.reports, c.engines, now).judge(c.learned, c.waiting); got != c.want {
			t.Errorf("%s: load %v, want %v", c.name, got, c.want)
		}
	}
}

// TestReportsAreBounded guards against memory that grows with the engines that have left.
func TestReportsAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	reports := loadReports{byEngine: make(map[string]*loadReport)}
	for i := range 10000 {
		id := fmt.Sprint(i)
		reports.record(now, id, EngineLoad{Slots: 6}, false, 0)
		if i%100 == 0 {
			reports.recordRefused(id)
		}
		now = now.Add(10 * time.Millisecond)
	}
	if kept := len(reports.byEngine); kept > 300 {
		t.Errorf("%d reports are kept of 200 engines in two seconds and 30 that refused in the last %v", kept, staleAfter)
	}
}

// TestRefusalPrecedesReport guards against an engine that reports free slots, with its refusal or later, and accepts nothing.
func TestRefusalPrecedesReport(t *testing.T) {
	picker := NewPicker(time.Now)
	engine := &fleet.Engine{ID: "a", Slots: 6}
	free := func() int { return picker.capacity([]*fleet.Engine{engine}).free }
	picker.ReportLoad(engine, EngineLoad{Slots: 6}, true)
	if free() != 6 {
		t.Fatalf("%d free slots before the refusal", free())
	}
	picker.ReportLoad(engine, EngineLoad{Slots: 6}, false)
	picker.recordRefused(engine)
	picker.ReportLoad(engine, EngineLoad{Slots: 6}, false)
	if free() != 0 {
		t.Errorf("%d free slots at an engine that refused", free())
	}
	picker.ReportLoad(engine, EngineLoad{Slots: 6, Running: 1}, true)
	if free() != 5 {
		t.Errorf("%d free slots after an answer", free())
	}
}
