package soak

import (
	"errors"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/lab/demo"
	"github.com/covelink/covelink/internal/lab/invariant"
	"github.com/covelink/covelink/internal/lab/load"
)

func goodReport() *Report {
	return &Report{
		Rounds:  []Round{{Number: 1, Struck: []Struck{{Kind: "node SIGKILL", Target: "a"}}, Promises: invariant.Report{Whole: 5, Expected: 5}}},
		Samples: map[string][]Sample{"a": {{PID: 1, Goroutines: 50, OpenFiles: 20, MemoryBytes: 30 << 20}, {PID: 2, Goroutines: 60, OpenFiles: 22, MemoryBytes: 90 << 20}}},
		Stops:   []Stop{{Node: "a"}},
	}
}

func TestReport(t *testing.T) {
	Convey("A soak without a fault of its own has passed and says what was seen", t, func() {
		report := goodReport()
		So(report.Passed(), ShouldBeTrue)
		var text strings.Builder
		So(report.WriteMarkdown(&text, nil), ShouldBeNil)
		So(text.String(), ShouldContainSubstring, "passed: true")
		So(text.String(), ShouldContainSubstring, "5 of 5 samples whole")
		So(text.String(), ShouldContainSubstring, "| node SIGKILL | 1 |")
		So(text.String(), ShouldContainSubstring, "| a | 2 | 50 → 60 |")
	})
	Convey("Anything that went wrong fails the soak", t, func() {
		for name, harm := range map[string]func(*Report){
			"no round":        func(r *Report) { r.Rounds = nil },
			"broken promise":  func(r *Report) { r.Rounds[0].Promises.Violations = []invariant.Violation{{}} },
			"goroutines":      func(r *Report) { r.Samples["a"][1].Goroutines = 300 },
			"open files":      func(r *Report) { r.Samples["a"][1].OpenFiles = 300 },
			"memory":          func(r *Report) { r.Samples["a"][1].MemoryBytes = 400 << 20 },
			"exit code":       func(r *Report) { r.Stops[0].ExitCode = 1 },
			"no planned stop": func(r *Report) { r.Stops[0].Err = errors.New("late") },
			"fault not done":  func(r *Report) { r.Problems = []string{"x"} },
		} {
			report := goodReport()
			harm(report)
			So(report.Passed(), ShouldBeFalse)
			So(name, ShouldNotBeEmpty)
		}
	})
	Convey("A round in which callers got no answer at all fails the soak", t, func() {
		report := goodReport()
		var result demo.Result
		result.Loads = []demo.LoadResult{{Report: load.Report{Sent: 3, NotRun: 3}}}
		report.addRound(2, 0, nil, result)
		So(report.Passed(), ShouldBeFalse)
		So(report.Problems[0], ShouldContainSubstring, "none of 3 calls")
	})
	Convey("A soak that could not go on has not passed", t, func() {
		var text strings.Builder
		So(goodReport().WriteMarkdown(&text, errors.New("stuck")), ShouldBeNil)
		So(text.String(), ShouldContainSubstring, "passed: false")
		So(text.String(), ShouldContainSubstring, "stuck")
	})
}

func TestGauges(t *testing.T) {
	Convey("Metrics without labels are read, anything else is left out", t, func() {
		values, err := gauges(strings.NewReader("# HELP go_goroutines x\ngo_goroutines 51\nprocess_resident_memory_bytes 3.1e+07\nother{a=\"b c\"} 2\n"))
		So(err, ShouldBeNil)
		So(values[metricGoroutines], ShouldEqual, 51)
		So(values[metricMemory], ShouldEqual, 31_000_000)
		So(len(values), ShouldEqual, 2)
	})
}
