package compare

import (
	"fmt"
	"time"

	"github.com/covelink/covelink/internal/lab/sim"
)

// The aims of the product.
const (
	aimIdleOverBound = 1.15
	aimIdleSaved     = 0.30
	aimInteractive   = 1.30
)

// Aim is one aim and what was measured of it.
type Aim struct {
	Name     string  `json:"name"`
	Limit    float64 `json:"limit"`
	Measured float64 `json:"measured"`
	Met      bool    `json:"met"`
}

// String implements fmt.Stringer.
func (a Aim) String() string {
	verdict := "met"
	if !a.Met {
		verdict = "missed"
	}
	return fmt.Sprintf("%s: %.2f, aim %.2f: %s", a.Name, a.Measured, a.Limit, verdict)
}

// judge compares the product's row with the baselines', the bound and the empty pool.
func judge(report *Report) []Aim {
	own := &report.Rows[0]
	empty := &report.Rows[len(report.Rows)-1]
	bestIdle, bestStaleness := report.Rows[1].Idle, report.Rows[1].StalenessP99
	for index := range sim.Baselines() {
		bestIdle = min(bestIdle, report.Rows[index+1].Idle)
		bestStaleness = min(bestStaleness, report.Rows[index+1].StalenessP99)
	}
	return []Aim{
		atMost("idle over the lower bound", ratio(own.Idle, report.Bound), aimIdleOverBound),
		atLeast("idle saved against the best baseline", 1-ratio(own.Idle, bestIdle), aimIdleSaved),
		atMost("staleness p99 against the best baseline's", float64(own.StalenessP99), float64(bestStaleness)),
		atMost("interactive p99 over that of an empty pool", ratio(own.Interactive.P99, empty.Interactive.P99), aimInteractive),
	}
}

func ratio(a, b time.Duration) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

func atMost(name string, measured, limit float64) Aim {
	return Aim{Name: name, Limit: limit, Measured: measured, Met: measured <= limit}
}

func atLeast(name string, measured, limit float64) Aim {
	return Aim{Name: name, Limit: limit, Measured: measured, Met: measured >= limit}
}
