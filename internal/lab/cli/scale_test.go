package cli

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/lab/scale"
)

func TestScale(t *testing.T) {
	Convey("scale measures every part of a small deployment", t, func() {
		code, out, failure := lab("scale", "--nodes", "10", "--engines", "16", "--zones", "2", "--seconds", "2", "--settle", "1",
			"--requests", "20", "--json")
		So(failure, ShouldNotContainSubstring, "covelink-lab:")
		So(code, ShouldEqual, 0)
		var report scale.Report
		So(json.Unmarshal([]byte(out), &report), ShouldBeNil)
		So(report.Quiet.Cores, ShouldBeGreaterThan, 0)
		So(report.Quiet.MegabytesPerNode, ShouldBeGreaterThan, 0)
		nodes := 0
		for _, cost := range report.Quiet.Roles {
			nodes += cost.Nodes
			So(cost.SentBytes, ShouldBeGreaterThan, 0)
			So(cost.Methods, ShouldNotBeEmpty)
		}
		So(nodes, ShouldEqual, 10)
		So(report.ConfigError, ShouldBeEmpty)
		So(report.ConfigSeconds, ShouldHaveLength, 5)
		So(report.Weights.AllActiveSeconds, ShouldBeGreaterThan, 0)
		So(report.FailingWeights.Failed, ShouldBeGreaterThan, 0)
		So(report.Load.CompletedPerSecond, ShouldBeGreaterThan, 0)
		So(report.Faults.Restarts, ShouldBeGreaterThan, 0)
	})

	Convey("scale refuses sizes that make no deployment", t, func() {
		for _, arguments := range [][]string{{"--nodes", "3"}, {"--engines", "1"}, {"--zones", "0"}, {"--seconds", "0"}} {
			code, _, failure := lab(append([]string{"scale"}, arguments...)...)
			So(code, ShouldEqual, 2)
			So(failure, ShouldContainSubstring, arguments[0][2:])
		}
	})

	Convey("scale --fit prints slopes of reports", t, func() {
		file := filepath.Join(t.TempDir(), "reports.json")
		text := `{"nodes":10,"quiet":{"cores":1}}` + "\n" + `{"nodes":20,"quiet":{"cores":2}}` + "\n" + `{"nodes":30,"quiet":{"cores":3}}` + "\n"
		So(os.WriteFile(file, []byte(text), 0o600), ShouldBeNil)
		code, out, _ := lab("scale", "--fit", file, "--json")
		So(code, ShouldEqual, 0)
		var fit scale.Fit
		So(json.Unmarshal([]byte(out[:indexOfLine(out)]), &fit), ShouldBeNil)
		So(fit.Slope, ShouldAlmostEqual, 0.1)
		code, _, _ = lab("scale", "--fit", file+"-missing")
		So(code, ShouldEqual, 2)
	})
}

// indexOfLine returns the end of the first line.
func indexOfLine(text string) int {
	for i, char := range text {
		if char == '\n' {
			return i
		}
	}
	return len(text)
}
