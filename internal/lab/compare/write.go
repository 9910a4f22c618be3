package compare

import (
	"encoding/json"
	"fmt"
	"io"
	"time"
)

// WriteJSON writes the report as JSON.
func (r *Report) WriteJSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(r); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

// WriteTable writes the report as a table in Markdown, which is readable as it is.
func (r *Report) WriteTable(out io.Writer) error {
	w := &writer{out: out}
	w.printf("Scenario %s, %d seeds. Lower bound on idle time: %s s.\n\n", r.Scenario, r.Seeds, seconds(r.Bound))
	w.printf("| policy | idle s | of bound | wall s | staleness p50/p99 | over bound | reruns | hedges | wasted | interactive p50/p99/p99.9 ms | not completed | attempts mean/max |\n")
	w.printf("|---|---|---|---|---|---|---|---|---|---|---|---|\n")
	for index := range r.Rows {
		r.writeRow(w, &r.Rows[index])
	}
	w.printf("\n")
	for _, aim := range r.Aims {
		w.printf("- %s\n", aim)
	}
	return w.err
}

func (r *Report) writeRow(w *writer, row *Row) {
	latency := fmt.Sprintf("%s / %s / %s", millis(row.Interactive.P50), millis(row.Interactive.P99), millis(row.Interactive.P999))
	if row.Policy == PolicyEmptyPool {
		w.printf("| %s | | | | | | | | | %s | %s | %s |\n", row.Policy, latency, percent(row.NotCompleted), row.attempts())
		return
	}
	w.printf("| %s%s | %s | %.2f | %s | %d / %d | %s | %.0f | %.0f | %s | %s | %s | %s |\n",
		row.Policy, row.trouble(), seconds(row.Idle), ratio(row.Idle, r.Bound), seconds(row.Wall),
		row.StalenessP50, row.StalenessP99, percent(row.OverBound), row.Reruns, row.Hedges, percent(row.Wasted),
		latency, percent(row.NotCompleted), row.attempts())
}

func (row *Row) attempts() string { return fmt.Sprintf("%.3f / %d", row.Attempts, row.AttemptsMax) }

// trouble tells of runs that cannot be compared.
func (row *Row) trouble() string {
	if row.Unfinished == 0 && row.Broken == 0 {
		return ""
	}
	return fmt.Sprintf(" (%d unfinished, %d broke a promise)", row.Unfinished, row.Broken)
}

func seconds(d time.Duration) string { return fmt.Sprintf("%.1f", d.Seconds()) }

func millis(d time.Duration) string { return fmt.Sprintf("%.0f", float64(d)/float64(time.Millisecond)) }

func percent(share float64) string { return fmt.Sprintf("%.2f%%", share*100) }

// writer remembers the first error.
type writer struct {
	out io.Writer
	err error
}

func (w *writer) printf(format string, args ...any) {
	if w.err == nil {
		_, w.err = fmt.Fprintf(w.out, format, args...)
	}
}
