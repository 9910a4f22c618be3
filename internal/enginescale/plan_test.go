package enginescale

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestPlan(t *testing.T) {
	now := time.Now()
	ago := func(length time.Duration) time.Time { return now.Add(-length) }
	pool := Subject{Service: "pool", Zone: "a"}
	limits := map[string]Limits{"pool": {Min: 1, Max: 8, StartTime: 4 * time.Second}}
	for _, c := range []struct {
		name     string
		snapshot Snapshot
		orders   []Order
	}{
		{
			"Running engines without an order are ordered as they are",
			Snapshot{Running: map[Subject]int{pool: 5}},
			[]Order{{Subject: pool, Desired: 5, Reason: ReasonInitial, Running: 5}},
		},
		{
			"Initial orders are within the limits",
			Snapshot{Running: map[Subject]int{pool: 12, {Service: "pool", Zone: "b"}: 0}},
			[]Order{
				{Subject: pool, Desired: 8, Reason: ReasonInitial, Running: 12},
				{Subject: Subject{Service: "pool", Zone: "b"}, Desired: 1, Reason: ReasonInitial},
			},
		},
		{
			"A service without scaling receives no orders",
			Snapshot{Running: map[Subject]int{{Service: "desk", Zone: "a"}: 1}},
			nil,
		},
		{
			"No order while the ordered number is running",
			Snapshot{Running: map[Subject]int{pool: 5}, Desired: map[Subject]int{pool: 5}},
			nil,
		},
		{
			"An engine missing for less than the start time and grace period is not replaced",
			Snapshot{
				Running:    map[Subject]int{pool: 4},
				Desired:    map[Subject]int{pool: 5},
				ShortSince: map[Subject]time.Time{pool: ago(5900 * time.Millisecond)},
			},
			nil,
		},
		{
			"An engine missing for longer is replaced, up to the ordered number",
			Snapshot{
				Running:    map[Subject]int{pool: 4},
				Desired:    map[Subject]int{pool: 5},
				ShortSince: map[Subject]time.Time{pool: ago(6 * time.Second)},
			},
			[]Order{{Subject: pool, Desired: 5, Reason: ReasonLost, Running: 4}},
		},
		{
			"No new order before the start time of the last one has passed",
			Snapshot{
				Running:    map[Subject]int{pool: 0},
				Desired:    map[Subject]int{pool: 5},
				ShortSince: map[Subject]time.Time{pool: ago(time.Minute)},
				OrderedAt:  map[Subject]time.Time{pool: ago(5 * time.Second)},
			},
			nil,
		},
	} {
		Convey(c.name, t, func() {
			c.snapshot.Now, c.snapshot.Limits = now, limits
			So(Plan(c.snapshot), ShouldResemble, c.orders)
		})
	}
}
