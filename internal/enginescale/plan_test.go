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
			"What runs and was never ordered goes on",
			Snapshot{Running: map[Subject]int{pool: 5}},
			[]Order{{Subject: pool, Desired: 5, Reason: ReasonFound, Running: 5}},
		},
		{
			"The limits hold for what is found",
			Snapshot{Running: map[Subject]int{pool: 12, {Service: "pool", Zone: "b"}: 0}},
			[]Order{
				{Subject: pool, Desired: 8, Reason: ReasonFound, Running: 12},
				{Subject: Subject{Service: "pool", Zone: "b"}, Desired: 1, Reason: ReasonFound},
			},
		},
		{
			"A service whose engines are not ordered is left alone",
			Snapshot{Running: map[Subject]int{{Service: "desk", Zone: "a"}: 1}},
			nil,
		},
		{
			"As many as were ordered need no order",
			Snapshot{Running: map[Subject]int{pool: 5}, Desired: map[Subject]int{pool: 5}},
			nil,
		},
		{
			"An engine that is missing for less than a start and a moment is waited for",
			Snapshot{
				Running:    map[Subject]int{pool: 4},
				Desired:    map[Subject]int{pool: 5},
				ShortSince: map[Subject]time.Time{pool: ago(5900 * time.Millisecond)},
			},
			nil,
		},
		{
			"One that is missing for longer is replaced, to the number that was ordered",
			Snapshot{
				Running:    map[Subject]int{pool: 4},
				Desired:    map[Subject]int{pool: 5},
				ShortSince: map[Subject]time.Time{pool: ago(6 * time.Second)},
			},
			[]Order{{Subject: pool, Desired: 5, Reason: ReasonLost, Running: 4}},
		},
		{
			"What was ordered a moment ago is waited for",
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
