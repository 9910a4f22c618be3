package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/covelink/covelink/internal/commandline"
	"github.com/covelink/covelink/internal/lab/scale"
)

// fitScale prints the slopes of the reports in a file, one JSON object after the other.
func fitScale(path string, target int, asJSON bool, streams commandline.Streams) error {
	reports, err := readReports(path)
	if err != nil {
		return commandline.UsageErrorf("--%s: %v", flagFit, err)
	}
	fits, err := scale.FitReports(reports, float64(target))
	if err != nil {
		return commandline.UsageErrorf("--%s: %s: %v", flagFit, path, err)
	}
	if !asJSON {
		fmt.Fprintf(streams.Out, "%-44s %5s %12s %12s %12s %12s %12s\n", "quantity", "sizes", "intercept", "a node", "error", "at target", "error")
	}
	for _, fit := range fits {
		if asJSON {
			if err := json.NewEncoder(streams.Out).Encode(fit); err != nil {
				return err
			}
			continue
		}
		fmt.Fprintf(streams.Out, "%-44s %5d %12.4g %12.4g %12.2g %12.4g %12.2g\n", fit.Quantity, fit.Sizes, fit.Intercept, fit.Slope,
			fit.SlopeError, fit.AtTarget, fit.AtTargetError)
	}
	return nil
}

func readReports(path string) ([]scale.Report, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	var reports []scale.Report
	for decoder := json.NewDecoder(file); ; {
		var report scale.Report
		err := decoder.Decode(&report)
		if errors.Is(err, io.EOF) {
			return reports, nil
		}
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		reports = append(reports, report)
	}
}
