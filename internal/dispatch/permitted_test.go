package dispatch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	v1 "github.com/covelink/covelink/api/v1"

	"github.com/covelink/covelink/internal/cluster"
)

// TestPermittedJustBeforeSending covers view changes between the placement and the send, after which the grant must not be
// used.
func TestPermittedJustBeforeSending(t *testing.T) {
	grant := &Grant{engine: cluster.Engine{Name: "e", URL: "u", Pool: "pool", Zone: "a", Incarnation: "1"}}
	cases := []struct {
		name   string
		change func(*cluster.View)
		ok     bool
	}{
		{"unchanged", func(*cluster.View) {}, true},
		{"another engine joined", func(v *cluster.View) { v.Engines = append([]cluster.Engine{{Name: "d"}}, v.Engines...) }, true},
		{"zone removed", func(v *cluster.View) { v.Pools["pool"].Spec.PermittedZones = []string{"b"} }, false},
		{"pool removed", func(v *cluster.View) { delete(v.Pools, "pool") }, false},
		{"zone cordoned", func(v *cluster.View) { v.Zones["a"].Spec.Cordoned = true }, false},
		{"engine draining", func(v *cluster.View) { v.Pools["pool"].Spec.DrainingEngines = []string{"e"} }, false},
		{"engine leaving", func(v *cluster.View) { v.Engines[0].Leaving = true }, false},
		{"engine removed", func(v *cluster.View) { v.Engines = nil }, false},
		{"engine restarted", func(v *cluster.View) { v.Engines[0].Incarnation = "2" }, false},
		{"engine in another zone", func(v *cluster.View) { v.Engines[0].Zone = "b" }, false},
		{"engine in another pool", func(v *cluster.View) { v.Engines[0].Pool = "other" }, false},
		{"lease still valid", func(v *cluster.View) { v.ServingUntil = time.Now().Add(time.Hour) }, true},
		{"lease expired", func(v *cluster.View) { v.ServingUntil = time.Now().Add(-time.Nanosecond) }, false},
		{"node not serving", func(v *cluster.View) { v.Serving = false }, false},
	}
	for _, c := range cases {
		Convey("Just before sending: "+c.name, t, func() {
			view := &cluster.View{
				Serving: true,
				Zones:   map[string]*v1.Zone{"a": {}, "b": {}},
				Pools:   map[string]*v1.Pool{"pool": {Spec: v1.PoolSpec{PermittedZones: []string{"a", "b"}}}},
				Engines: []cluster.Engine{grant.engine},
			}
			c.change(view)
			holder := cluster.NewHolder()
			holder.Update(func(*cluster.View) *cluster.View { return view })
			manager := New(Params{Source: holder})
			_, ok := manager.permitted(&Task{Pool: "pool"}, grant)
			So(ok, ShouldEqual, c.ok)
		})
	}
}
