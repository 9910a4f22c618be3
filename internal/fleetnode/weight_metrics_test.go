package fleetnode

import (
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/covelink/covelink/internal/weightorder"
)

// TestLoadStats guards against series of loads that are missing or carry the wrong label.
func TestLoadStats(t *testing.T) {
	collector := newLoadStats(func() weightorder.Stats {
		return weightorder.Stats{
			Engines: map[string]int{"m": 7, "n": 6}, UpToDate: map[string]int{"m": 5}, Loads: 3, Windows: map[string]int{"pool": 8},
		}
	})
	const want = `
# HELP covelink_model_engines Engines that keep a model up to date.
# TYPE covelink_model_engines gauge
covelink_model_engines{model="m"} 7
covelink_model_engines{model="n"} 6
# HELP covelink_model_engines_up_to_date Engines of those that hold the model's newest weight version.
# TYPE covelink_model_engines_up_to_date gauge
covelink_model_engines_up_to_date{model="m"} 5
covelink_model_engines_up_to_date{model="n"} 0
# HELP covelink_weight_load_window Loads of weights that may run at once in a service.
# TYPE covelink_weight_load_window gauge
covelink_weight_load_window{service="pool"} 8
# HELP covelink_weight_loads Loads of weights in progress.
# TYPE covelink_weight_loads gauge
covelink_weight_loads 3
`
	if err := testutil.CollectAndCompare(collector, strings.NewReader(want)); err != nil {
		t.Error(err)
	}
}
