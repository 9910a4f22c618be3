package scale

import (
	"errors"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// minFitSizes is the least number of reports that give a slope and its error.
const minFitSizes = 3

// ErrFewSizes reports that a slope can't be told from so few sizes.
var ErrFewSizes = errors.New("scale: a fit needs three sizes or more")

// Fit is a straight line through a quantity at several numbers of nodes.
type Fit struct {
	Quantity string `json:"quantity"`
	Sizes    int    `json:"sizes"`
	// Intercept is the value at no node, Slope its growth for each node, and SlopeError the standard error of that.
	Intercept  float64 `json:"intercept"`
	Slope      float64 `json:"slope"`
	SlopeError float64 `json:"slopeError"`
	// AtTarget is the value of the line at the target's number of nodes, and AtTargetError its standard error.
	AtTarget      float64 `json:"atTarget"`
	AtTargetError float64 `json:"atTargetError"`
	// Residual is the root mean square distance of the measured values from the line.
	Residual float64 `json:"residual"`
}

// fitLine fits y over x by least squares and tells the value at the target.
func fitLine(quantity string, x, y []float64, target float64) (Fit, error) {
	if len(x) < minFitSizes {
		return Fit{}, ErrFewSizes
	}
	intercept, slope := stat.LinearRegression(x, y, nil, false)
	count := float64(len(x))
	mean, squares := stat.Mean(x, nil), 0.0
	residual := 0.0
	for i := range x {
		squares += (x[i] - mean) * (x[i] - mean)
		distance := y[i] - intercept - slope*x[i]
		residual += distance * distance
	}
	if squares == 0 {
		return Fit{}, ErrFewSizes
	}
	scatter := math.Sqrt(residual / (count - 2))
	return Fit{
		Quantity: quantity, Sizes: len(x), Intercept: intercept, Slope: slope, SlopeError: scatter / math.Sqrt(squares),
		AtTarget:      intercept + slope*target,
		AtTargetError: scatter * math.Sqrt(1/count+(target-mean)*(target-mean)/squares),
		Residual:      math.Sqrt(residual / count),
	}, nil
}

// quantity reads one figure of a report; false means that the report lacks it.
type quantity struct {
	name string
	read func(Report) (float64, bool)
}

func quantities() []quantity {
	all := []quantity{
		{"cores without idle stand-ins", func(r Report) (float64, bool) { return r.Quiet.Cores - r.Quiet.IdleCores, true }},
		{"MB a node", func(r Report) (float64, bool) { return r.Quiet.MegabytesPerNode, true }},
		{"s to start", func(r Report) (float64, bool) { return r.StartSeconds, true }},
		{"s until a change is in force", func(r Report) (float64, bool) {
			if len(r.ConfigSeconds) == 0 {
				return 0, false
			}
			return slices.Max(r.ConfigSeconds), true
		}},
		{"s until all serve new weights", func(r Report) (float64, bool) { return allActive(r.Weights) }},
		{"s until all serve new weights, 5% failing", func(r Report) (float64, bool) { return allActive(r.FailingWeights) }},
	}
	for _, role := range allRoles {
		all = append(all,
			quantity{string(role) + ": B/s both ways", func(r Report) (float64, bool) {
				cost, ok := r.Quiet.Roles[role]
				return cost.SentBytes + cost.ReceivedBytes, ok
			}},
			quantity{string(role) + ": messages sent/s", func(r Report) (float64, bool) {
				cost, ok := r.Quiet.Roles[role]
				return cost.SentMessages, ok
			}})
	}
	return all
}

func allActive(swap *Swap) (float64, bool) {
	if swap == nil {
		return 0, false
	}
	return swap.AllActiveSeconds, true
}

// FitReports fits every quantity over the number of nodes; quantities that too few reports have are left out. The target is
// a number of nodes.
func FitReports(reports []Report, target float64) ([]Fit, error) {
	var fits []Fit
	for _, quantity := range quantities() {
		var x, y []float64
		for _, report := range reports {
			if value, ok := quantity.read(report); ok {
				x = append(x, float64(report.Nodes))
				y = append(y, value)
			}
		}
		if len(x) < minFitSizes {
			continue
		}
		fit, err := fitLine(quantity.name, x, y, target)
		if err != nil {
			return nil, err
		}
		fits = append(fits, fit)
	}
	if len(fits) == 0 {
		return nil, ErrFewSizes
	}
	return fits, nil
}
