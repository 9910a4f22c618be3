package dispatch_test

import (
	"context"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	. "github.com/smartystreets/goconvey/convey"

	v1 "github.com/covelink/covelink/api/v1"

	"github.com/covelink/covelink/internal/cluster"
	"github.com/covelink/covelink/internal/dispatch"
	"github.com/covelink/covelink/internal/settings"
)

func TestMetrics(t *testing.T) {
	Convey("Each metric registers once, and refusals are counted by reason", t, func() {
		holder := cluster.NewHolder()
		registry := prometheus.NewRegistry()
		manager := dispatch.New(dispatch.Params{
			Source: holder, Engines: instantClient{}, Limits: settings.Default().Limits, Registerer: registry,
		})
		result := manager.Dispatch(context.Background(), task("x"), nil)
		So(result.Outcome, ShouldEqual, v1.OutcomeNotRun)
		families, err := registry.Gather()
		So(err, ShouldBeNil)
		series := map[string]int{}
		for _, family := range families {
			series[family.GetName()] = len(family.GetMetric())
			if family.GetName() == "covelink_dispatch_refusals_total" {
				So(family.GetMetric()[0].GetLabel()[0].GetValue(), ShouldEqual, "not_serving")
				So(family.GetMetric()[0].GetCounter().GetValue(), ShouldEqual, 1)
			}
		}
		So(series, ShouldResemble, map[string]int{
			"covelink_dispatch_in_flight":        2,
			"covelink_dispatch_queue_length":     2,
			"covelink_dispatch_refusals_total":   1,
			"covelink_dispatch_duration_seconds": 1,
		})
	})
}
