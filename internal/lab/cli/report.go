package cli

import (
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/covelink/covelink/internal/lab/invariant"
	"github.com/covelink/covelink/internal/lab/load"
	"github.com/covelink/covelink/internal/lab/trainer"
)

const (
	median        = 50
	highQuantile  = 99
	maxViolations = 20
)

// line prints one line of a report.
func line(out io.Writer, name, format string, args ...any) {
	_, _ = fmt.Fprintf(out, "%-32s %s\n", name, fmt.Sprintf(format, args...))
}

// printPromises prints how each promise was kept, and the first violations.
func printPromises(out io.Writer, report invariant.Report) {
	line(out, "samples whole", "%d of %d", report.Whole, report.Expected)
	for _, promise := range invariant.Promises {
		line(out, string(promise), "%d", report.Count(promise))
	}
	line(out, "executions on engines", "%d", report.Executions)
	for i, violation := range report.Violations {
		if i == maxViolations {
			line(out, "...", "and %d more", len(report.Violations)-maxViolations)
			return
		}
		line(out, "BROKEN", "%s", violation)
	}
}

func printTrainer(out io.Writer, report trainer.Report) {
	line(out, "trainer samples", "%d in %d batches, %d versions published", report.Received, report.Batches, report.Versions)
	line(out, "trainer idle", "%.2f s of %.2f s", report.Idle.Seconds(), report.Wall.Seconds())
	line(out, "staleness at hand-over", "mean %.2f, p50 %d, p99 %d, max %d versions", report.Staleness.Mean(),
		report.Staleness.ValueAtPercentile(median), report.Staleness.ValueAtPercentile(highQuantile), report.Staleness.Max())
}

func printLoad(out io.Writer, name string, report load.Report) {
	line(out, "requests of "+name, "%d sent, %d completed, %d not run, %d unknown, %d not sent",
		report.Sent, report.Completed, report.NotRun, report.Unknown, report.Shed)
	line(out, "  not repeatable", "%d sent, %d completed", report.NotRepeatable, report.NotRepeatableCompleted)
	line(out, "  first token", "%s", quantiles(report.FirstToken))
	line(out, "  whole answer", "%s", quantiles(report.Whole))
}

// quantiles describes a histogram of microseconds.
func quantiles(histogram *hdrhistogram.Histogram) string {
	milliseconds := func(quantile float64) float64 {
		latency := time.Duration(histogram.ValueAtPercentile(quantile)) * time.Microsecond
		return float64(latency) / float64(time.Millisecond)
	}
	return fmt.Sprintf("p50 %.1f ms, p99 %.1f ms", milliseconds(median), milliseconds(highQuantile))
}
