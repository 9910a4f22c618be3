package cli

import (
	"bytes"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/lab/invariant"
)

func TestPrintPromises(t *testing.T) {
	Convey("Every promise has its line, and broken ones are named up to a limit", t, func() {
		report := invariant.Report{Whole: 3, Expected: 4}
		for range maxViolations + 5 {
			report.Violations = append(report.Violations, invariant.Violation{Promise: invariant.PromiseFresh, Subject: "t/b/1", Detail: "old"})
		}
		var out bytes.Buffer
		printPromises(&out, report)
		So(out.String(), ShouldContainSubstring, "3 of 4")
		for _, promise := range invariant.Promises {
			So(out.String(), ShouldContainSubstring, string(promise))
		}
		So(strings.Count(out.String(), "BROKEN"), ShouldEqual, maxViolations)
		So(out.String(), ShouldContainSubstring, "and 5 more")
	})
}
