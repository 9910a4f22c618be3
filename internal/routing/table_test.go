package routing

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestMatch(t *testing.T) {
	table := NewTable(1, []Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}, nil, Limits{})
	Convey("The longest matching prefix of the host wins", t, func() {
		So(table.Match("a.example", "/x/y/1").Name, ShouldEqual, "long")
		So(table.Match("A.example", "/x/z").Name, ShouldEqual, "short")
		So(table.Match("b.example", "/x/y/1").Name, ShouldEqual, "other")
	})
	Convey("A nil table has no routes", t, func() {
		So((*Table)(nil).Match("a.example", "/x/1"), ShouldBeNil)
	})
	Convey("Other paths and hosts do not match", t, func() {
		So(table.Match("a.example", "/x"), ShouldBeNil)
		So(table.Match("c.example", "/x/1"), ShouldBeNil)
	})
}

func TestPick(t *testing.T) {
	route := Route{Targets: []Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c"}}}
	Convey("Requests are distributed by weight, and a target without weight gets none", t, func() {
		counts := make(map[string]int)
		for i := range 1000 {
			counts[route.PickService(float64(i)/1000)]++
		}
		So(counts, ShouldResemble, map[string]int{"a": 900, "b": 100})
	})
	Convey("A route without targets has no service", t, func() {
		So((&Route{}).PickService(0.5), ShouldEqual, "")
	})
}
