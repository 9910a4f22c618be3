package jobresidency

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/batch"
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/routing"
	"github.com/covelink/covelink/internal/tenants"
)

var twoRegions = fleet.NewTopology(map[string]string{"n1": "north", "n2": "north", "s1": "south"})

func batchRoute(name string, regions ...string) routing.Route {
	return routing.Route{Name: name, Host: "h", Prefix: "/" + name + "/", Kind: routing.KindBatch, AllowedRegions: regions}
}

func tableOf(bound map[string][]string, routes ...routing.Route) *routing.Table {
	table := routing.NewTable(1, routes, nil, routing.Limits{})
	if bound != nil {
		var entries []tenants.Entry
		for name, regions := range bound {
			entries = append(entries, tenants.Entry{Tenant: tenants.Tenant{Name: name, AllowedRegions: regions}})
		}
		table.Tenants = tenants.NewDirectory(entries)
	}
	return table
}

func TestHome(t *testing.T) {
	lookup := routing.Route{Name: "lookup", Host: "h", Prefix: "/l/", Kind: routing.KindIdempotent, AllowedRegions: []string{"south"}}
	oneRegion := fleet.NewTopology(map[string]string{"n1": "north", "n2": "north"})
	for _, c := range []struct {
		name     string
		table    *routing.Table
		topology fleet.Topology
		home     []string
	}{
		{"no table is known", nil, twoRegions, nil},
		{"nothing is bound", tableOf(nil, batchRoute("a")), twoRegions, nil},
		{"a bound route that is no batch route", tableOf(nil, batchRoute("a"), lookup), twoRegions, nil},
		{"one bound batch route", tableOf(nil, batchRoute("a"), batchRoute("b", "north")), twoRegions, []string{"north"}},
		{"all regions by name", tableOf(nil, batchRoute("a", "south", "north")), twoRegions, []string{"north", "south"}},
		{"routes that overlap", tableOf(nil, batchRoute("a", "north", "south"), batchRoute("b", "south")), twoRegions, []string{"south"}},
		{"routes that exclude each other", tableOf(nil, batchRoute("a", "north"), batchRoute("b", "south")), twoRegions, nil},
		{"a region that the deployment lacks", tableOf(nil, batchRoute("a", "east")), twoRegions, nil},
		{"a bound tenant", tableOf(map[string][]string{"t": {"south"}, "u": nil}, batchRoute("a")), twoRegions, []string{"south"}},
		{"a bound tenant without batch routes", tableOf(map[string][]string{"t": {"south"}}, lookup), twoRegions, nil},
		{"tenant and route", tableOf(map[string][]string{"t": {"south", "north"}}, batchRoute("a", "north")), twoRegions, []string{"north"}},
		{"tenant against route", tableOf(map[string][]string{"t": {"south"}}, batchRoute("a", "north")), twoRegions, nil},
		{"a deployment of one region", tableOf(nil, batchRoute("a", "north")), oneRegion, nil},
		{"no zones are known", tableOf(nil, batchRoute("a", "north")), fleet.Topology{}, nil},
	} {
		Convey("The home regions with "+c.name, t, func() {
			So(Home(c.table, c.topology, nil), ShouldResemble, c.home)
		})
	}
}

func TestHomeWithRewards(t *testing.T) {
	judge := routing.Route{Name: "judge", Host: "h", Prefix: "/judge/", Kind: routing.KindIdempotent, AllowedRegions: []string{"south"}}
	free := routing.Route{Name: "free", Host: "h", Prefix: "/free/", Kind: routing.KindIdempotent}
	table := tableOf(nil, batchRoute("a"), judge, free)
	job := &batch.Job{Host: "h", Path: "/a/1"}
	for _, path := range []string{"/judge/1", "/free/1", "/judge/2", "/nowhere"} {
		job.Items = append(job.Items, batch.Item{Reward: &batch.Reward{Host: "h", Path: path}})
	}
	job.Items = append(job.Items, batch.Item{})
	Convey("A bound route that reward calls are known to take counts for the home", t, func() {
		So(RewardRoutes(table, job), ShouldResemble, []string{"judge"})
		So(Home(table, twoRegions, nil), ShouldBeNil)
		So(Home(table, twoRegions, RewardRoutes(table, job)), ShouldResemble, []string{"south"})
		So(Home(tableOf(nil, batchRoute("a", "north"), judge), twoRegions, []string{"judge"}), ShouldBeNil)
	})
	Convey("What is known of them grows, and tells so", t, func() {
		var rewards Rewards
		names, changed := rewards.Known()
		So(names, ShouldBeEmpty)
		rewards.Note([]string{"x", "y"})
		<-changed
		names, changed = rewards.Known()
		So(names, ShouldResemble, []string{"x", "y"})
		rewards.Note([]string{"y"})
		select {
		case <-changed:
			So("changed", ShouldEqual, "unchanged")
		default:
		}
	})
}

func TestJobBounds(t *testing.T) {
	judge := routing.Route{Name: "judge", Host: "h", Prefix: "/judge/", Kind: routing.KindIdempotent, AllowedRegions: []string{"north", "south"}}
	before := tableOf(map[string][]string{"t": {"north", "south"}}, batchRoute("a", "north"), judge)
	after := tableOf(map[string][]string{"t": {"south"}}, batchRoute("a"), judge)
	newJob := func() *batch.Job {
		return &batch.Job{Host: "h", Path: "/a/1", Tenant: "t", Items: []batch.Item{
			{ID: "1", Path: "/a/x", Reward: &batch.Reward{Host: "h", Path: "/judge/1"}}, {ID: "2", Path: "/elsewhere"}}}
	}
	Convey("A job bears the bounds of its route, its tenant and its reward routes, each once", t, func() {
		job := newJob()
		Bind(before, job)
		Bind(before, job)
		So(job.Regions, ShouldResemble, [][]string{{"north", "south"}, {"north"}})
		So(job.RewardRegions, ShouldResemble, [][]string{{"north", "south"}})
	})
	Convey("What it was accepted under binds beside a later table", t, func() {
		job := newJob()
		Bind(before, job)
		So(OfJob(before, job).Allows("north"), ShouldBeTrue)
		So(OfJob(before, job).Allows("south"), ShouldBeFalse)
		So(OfJob(after, job).Allows("north"), ShouldBeFalse)
		So(OfJob(after, job).Allows("south"), ShouldBeFalse)
		So(OfJob(nil, job).Allows("north"), ShouldBeTrue)
		So(OfJob(before, job).Allows(""), ShouldBeFalse)
	})
	Convey("A job of a version that noted no bounds is bound by the table alone", t, func() {
		So(OfJob(after, newJob()).Allows("south"), ShouldBeTrue)
		So(OfJob(tableOf(nil, batchRoute("a")), newJob()).Restricted(), ShouldBeFalse)
	})
	Convey("A reward's route binds who carries the run out, and not the engine of the item", t, func() {
		narrow := judge
		narrow.AllowedRegions = []string{"south"}
		table := tableOf(nil, batchRoute("a"), narrow)
		job := newJob()
		So(OfItem(table, job, &job.Items[0]).Restricted(), ShouldBeFalse)
		So(OfRun(table, job, &job.Items[0]).Allows("north"), ShouldBeFalse)
		So(OfRun(table, job, &job.Items[0]).Allows("south"), ShouldBeTrue)
		So(OfRun(table, job, &job.Items[1]).Allows("north"), ShouldBeTrue)
		Bind(table, job)
		So(OfItem(nil, job, &job.Items[0]).Restricted(), ShouldBeFalse)
		So(OfRun(nil, job, &job.Items[0]).Allows("north"), ShouldBeFalse)
	})
}
