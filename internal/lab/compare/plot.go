package compare

import (
	"fmt"
	"image/color"
	"os"
	"path/filepath"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// The size of a picture.
const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 4.5 * vg.Inch
	// curvePoints bounds the points of a curve.
	curvePoints = 400
)

// Plot writes SCENARIO-idle.png and SCENARIO-interactive.png into a folder, which it makes if need be.
func (r *Report) Plot(folder string) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	if err := r.plotIdle(filepath.Join(folder, r.Scenario+"-idle.png")); err != nil {
		return fmt.Errorf("plot idle time: %w", err)
	}
	if err := r.plotInteractive(filepath.Join(folder, r.Scenario+"-interactive.png")); err != nil {
		return fmt.Errorf("plot interactive latency: %w", err)
	}
	return nil
}

func (r *Report) plotIdle(file string) error {
	picture := plot.New()
	picture.Title.Text = r.Scenario + ": trainer idle time"
	picture.Y.Label.Text = "seconds"
	picture.Y.Min = 0
	rows := r.Rows[:len(r.Rows)-1]
	values, names := make(plotter.Values, 0, len(rows)), make([]string, 0, len(rows))
	for _, row := range rows {
		if row.Unfinished > 0 {
			continue // its idle time is that of a run cut short
		}
		values = append(values, row.Idle.Seconds())
		names = append(names, row.Policy)
	}
	bars, err := plotter.NewBarChart(values, vg.Points(24))
	if err != nil {
		return err
	}
	bars.Color = plotutil.Color(2)
	bound := plotter.NewFunction(func(float64) float64 { return r.Bound.Seconds() })
	bound.Dashes = []vg.Length{vg.Points(4), vg.Points(4)}
	bound.Color = color.Black
	picture.Add(bars, bound)
	picture.Legend.Add("lower bound", bound)
	picture.Legend.Top = true
	picture.NominalX(names...)
	if len(names) > 5 {
		picture.X.Tick.Label.Rotation = 0.6
		picture.X.Tick.Label.XAlign = -1
	}
	return picture.Save(plotWidth, plotHeight, file)
}

func (r *Report) plotInteractive(file string) error {
	picture := plot.New()
	picture.Title.Text = r.Scenario + ": interactive latency, share of requests that took longer"
	picture.X.Label.Text = "milliseconds"
	picture.Y.Label.Text = "share"
	picture.X.Scale, picture.Y.Scale = plot.LogScale{}, plot.LogScale{}
	picture.X.Tick.Marker, picture.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	picture.Legend.Top = true
	for index := range r.Rows {
		points := survival(r.Rows[index].latencies)
		if len(points) == 0 {
			continue
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		line.Color = plotutil.Color(index)
		line.Dashes = plotutil.Dashes(index)
		picture.Add(line)
		picture.Legend.Add(r.Rows[index].Policy, line)
	}
	return picture.Save(plotWidth, plotHeight, file)
}

// survival returns points of the share of sorted latencies that are longer, in milliseconds.
func survival(sorted []time.Duration) plotter.XYs {
	var points plotter.XYs
	count := len(sorted)
	for point := range min(count, curvePoints) {
		// Denser towards the tail.
		left := float64(curvePoints-point) / curvePoints
		rank := int(float64(count) * (1 - left*left*left))
		if rank >= count {
			break
		}
		share := float64(count-rank) / float64(count)
		points = append(points, plotter.XY{X: max(float64(sorted[rank])/float64(time.Millisecond), 0.001), Y: share})
	}
	return points
}
