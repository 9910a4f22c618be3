package jobresidency_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/batch"
	"github.com/covelink/covelink/internal/routing"
)

func play(t *testing.T, name string, routes []routing.Route, scene func(d *deployment)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(routes...)
		defer d.stop()
		Convey(name, t, func() { scene(d) })
	})
}

func TestBoundJobs(t *testing.T) {
	for _, home := range []string{"north", "south"} {
		away := map[string]string{"north": "south", "south": "north"}[home]
		play(t, "Bodies of a job that is bound reach no process elsewhere, wherever it is submitted: "+home,
			[]routing.Route{bound("bound", home), bound("free")}, func(d *deployment) {
				So(topology.Region(d.leads()), ShouldEqual, home)
				for _, zone := range topology.Zones() {
					So(d.submit(zone, "job-"+zone, "bound"), ShouldBeNil)
					So(d.submit(zone, "free-"+zone, "free"), ShouldBeNil)
				}
				for _, zone := range topology.Zones() {
					for _, reader := range topology.Zones() {
						count, err := d.results(reader, "job-"+zone)
						So(err, ShouldBeNil)
						So(count, ShouldEqual, 4)
					}
					So(d.network.seenIn(home, body("job-"+zone)), ShouldNotBeEmpty)
					So(d.network.seenIn(away, body("job-"+zone)), ShouldBeEmpty)
					So(d.readIn(away, "job-"+zone), ShouldBeEmpty)
					count, err := d.results(zone, "free-"+zone)
					So(err, ShouldBeNil)
					So(count, ShouldEqual, 4)
				}
			})
	}
	play(t, "Items that no worker may run are run by the coordinator, which may have them", []routing.Route{bound("bound", "north")}, func(d *deployment) {
		for _, zone := range []string{"n1", "n2"} {
			d.gateways[zone].stop()
			delete(d.gateways, zone)
		}
		time.Sleep(3 * time.Second)
		So(d.submit("s1", "job", "bound"), ShouldBeNil)
		count, err := d.results("s2", "job")
		So(err, ShouldBeNil)
		So(count, ShouldEqual, 4)
		So(d.network.seenIn("south", body("job")), ShouldBeEmpty)
	})
	play(t, "Where no place serves every job the coordinator stays, serves what it may, and refuses the rest at once without its body",
		[]routing.Route{bound("n", "north"), bound("s", "south"), bound("free")}, func(d *deployment) {
			here := d.leads()
			own, other := "n", "s"
			if topology.Region(here) == "south" {
				own, other = "s", "n"
			}
			began := time.Now()
			for _, zone := range topology.Zones() {
				So(d.submit(zone, "own-"+zone, own), ShouldBeNil)
				So(d.submit(zone, "free-"+zone, "free"), ShouldBeNil)
				So(d.submit(zone, "other-"+zone, other), ShouldEqual, batch.ErrExcluded)
				So(d.network.seen(body("other-"+zone)), ShouldBeEmpty)
			}
			So(time.Since(began), ShouldBeLessThan, time.Second)
			time.Sleep(time.Minute)
			So(d.leads(), ShouldEqual, here)
		})
	play(t, "A coordinator refuses by its own table what a gateway with an older one sends", []routing.Route{bound("free"), bound("n", "north"), bound("s", "south")}, func(d *deployment) {
		here := topology.Region(d.leads())
		excluded := map[string]string{"north": "south", "south": "north"}[here]
		newer := newTable(2, bound("free", excluded), bound("n", "north"), bound("s", "south"))
		for i, zone := range topology.Zones() {
			if zone == d.leads() {
				d.states[i].SetRoutes(newer)
			}
		}
		So(d.submit("n1", "late", "free"), ShouldEqual, batch.ErrExcluded)
		So(d.submit("s1", "late", "free"), ShouldEqual, batch.ErrExcluded)
	})
}

func TestBoundRewardCalls(t *testing.T) {
	play(t, "The coordinator moves where the reward calls of jobs may be, once it is told of the first, and not for jobs without", []routing.Route{bound("free"), bound(judges)},
		func(d *deployment) {
			here := topology.Region(d.leads())
			there := map[string]string{"north": "south", "south": "north"}[here]
			d.configure(2, bound("free"), bound(judges, there))
			judged := func(id string) error {
				job := newJob(id, "free")
				for i := range job.Items {
					job.Items[i].Reward = &batch.Reward{ID: "reward-" + job.Items[i].ID, Host: host, Path: "/" + judges + "/1", Body: []byte("judge-" + id)}
				}
				return d.gateways["n1"].client.Submit(context.Background(), job)
			}
			So(d.submit("n1", "plain", "free"), ShouldBeNil)
			time.Sleep(10 * time.Second)
			So(topology.Region(d.leads()), ShouldEqual, here)
			So(judged("first"), ShouldEqual, batch.ErrExcluded)
			So(d.network.seen("judge-first"), ShouldBeEmpty)
			time.Sleep(2 * time.Second)
			So(topology.Region(d.leads()), ShouldEqual, there)
			So(judged("second"), ShouldBeNil)
			count, err := d.results("n2", "second")
			So(err, ShouldBeNil)
			So(count, ShouldEqual, 4)
			So(d.network.seenIn(there, "judge-second"), ShouldNotBeEmpty)
			So(d.network.seenIn(here, "judge-second"), ShouldBeEmpty)
		})
}

func TestChangeOfRegionsUnderWay(t *testing.T) {
	play(t, "A job whose regions change under way is read by no process that either set excludes, and goes on once one may have it",
		[]routing.Route{bound("bound", "north"), bound("free")}, func(d *deployment) {
			ctx := context.Background()
			d.setHold(true)
			So(d.submit("s1", "before", "bound"), ShouldBeNil)
			So(d.submit("s1", "free", "free"), ShouldBeNil)
			time.Sleep(time.Second)
			d.configure(2, bound("bound", "south"), bound("free"))
			time.Sleep(3 * time.Second)
			So(topology.Region(d.leads()), ShouldEqual, "south")
			d.setHold(false)
			_, err := d.results("n1", "before")
			So(err, ShouldEqual, batch.ErrUnavailable)
			_, err = d.gateways["n1"].client.Body(ctx, batch.Ref{ID: "before"}, "before-0")
			So(err, ShouldEqual, batch.ErrUnavailable)
			So(d.submit("n1", "after", "bound"), ShouldBeNil)
			for _, id := range []string{"after", "free"} {
				count, err := d.results("n1", id)
				So(err, ShouldBeNil)
				So(count, ShouldEqual, 4)
			}
			So(d.network.seenIn("south", body("before")), ShouldBeEmpty)
			So(d.readIn("south", "before"), ShouldBeEmpty)
			So(d.network.seenIn("north", body("after")), ShouldBeEmpty)
			d.configure(3, bound("bound"), bound("free", "north"))
			time.Sleep(5 * time.Second)
			So(topology.Region(d.leads()), ShouldEqual, "north")
			count, err := d.results("s1", "before")
			So(err, ShouldBeNil)
			So(count, ShouldEqual, 4)
			So(d.network.seenIn("south", body("before")), ShouldBeEmpty)
			So(d.readIn("north", "after"), ShouldBeEmpty)
		})
	play(t, "A repeat of a job that another region keeps is not told that the job does not run", []routing.Route{bound("bound", "north")}, func(d *deployment) {
		So(d.submit("n1", "job", "bound"), ShouldBeNil)
		d.configure(2, bound("bound", "south"))
		time.Sleep(3 * time.Second)
		So(topology.Region(d.leads()), ShouldEqual, "south")
		So(d.submit("n1", "job", "bound"), ShouldEqual, batch.ErrUnavailable)
		d.configure(3, bound("bound", "north"))
		So(d.submit("n1", "job", "bound"), ShouldEqual, batch.ErrUnavailable)
		time.Sleep(3 * time.Second)
		So(d.submit("n1", "job", "bound"), ShouldBeNil)
	})
	play(t, "A job that was withheld runs without being asked for once the table lets the process that leads read it", []routing.Route{bound("free")},
		func(d *deployment) {
			d.setHold(true)
			here := topology.Region(d.leads())
			So(d.submit("n1", "job", "free"), ShouldBeNil)
			// The job bears no bound of its own: the table alone binds it.
			d.configure(2, bound("free", here))
			time.Sleep(time.Second)
			for _, zone := range topology.Zones() {
				if topology.Region(zone) == here {
					d.coordinators[zone].stop()
					delete(d.coordinators, zone)
				}
			}
			time.Sleep(8 * time.Second)
			So(d.leads(), ShouldNotBeEmpty)
			So(d.readIn(topology.Region(d.leads()), "job"), ShouldBeEmpty)
			d.setHold(false)
			time.Sleep(time.Second)
			sends := d.countSends()
			time.Sleep(5 * time.Second)
			So(d.countSends(), ShouldEqual, sends)
			d.configure(3, bound("free"))
			time.Sleep(5 * time.Second)
			So(d.countSends(), ShouldEqual, sends+4)
			count, err := d.results("s1", "job")
			So(err, ShouldBeNil)
			So(count, ShouldEqual, 4)
		})
}

func TestLostHomeRegion(t *testing.T) {
	play(t, "While the home region is lost the other serves what is not bound, and the rest is neither read nor lost",
		[]routing.Route{bound("bound", "north"), bound("free")}, func(d *deployment) {
			d.setHold(true)
			So(d.submit("n1", "kept", "bound"), ShouldBeNil)
			So(d.submit("n1", "unbound", "free"), ShouldBeNil)
			for _, zone := range []string{"n1", "n2"} {
				d.gateways[zone].stop()
				d.coordinators[zone].stop()
				delete(d.coordinators, zone)
				delete(d.gateways, zone)
			}
			d.setHold(false)
			time.Sleep(7 * time.Second)
			So(topology.Region(d.leads()), ShouldEqual, "south")
			So(d.submit("s1", "new", "bound"), ShouldEqual, batch.ErrExcluded)
			So(d.submit("s1", "free", "free"), ShouldBeNil)
			for _, id := range []string{"free", "unbound"} {
				count, err := d.results("s2", id)
				So(err, ShouldBeNil)
				So(count, ShouldEqual, 4)
			}
			_, err := d.results("s2", "kept")
			So(err, ShouldEqual, batch.ErrUnavailable)
			So(d.gateways["s2"].client.End(context.Background(), batch.Ref{ID: "kept"}), ShouldEqual, batch.ErrUnavailable)
			So(d.network.seenIn("south", body("kept")), ShouldBeEmpty)
			So(d.readIn("south", "kept"), ShouldBeEmpty)
			So(d.network.seen(body("new")), ShouldBeEmpty)
		})
	play(t, "Once the home region is back it leads, and the jobs that waited go on with what their workers made meanwhile", []routing.Route{bound("bound", "north"), bound("free")}, func(d *deployment) {
		d.setHold(true)
		So(d.submit("s1", "job", "bound"), ShouldBeNil)
		for _, zone := range []string{"n1", "n2"} {
			d.coordinators[zone].stop()
			delete(d.coordinators, zone)
		}
		// The engines answer while nobody leads.
		d.setHold(false)
		time.Sleep(7 * time.Second)
		So(topology.Region(d.leads()), ShouldEqual, "south")
		So(d.network.seenIn("south", text("job-")), ShouldBeEmpty)
		d.startCoordinator("n1")
		time.Sleep(5 * time.Second)
		So(d.leads(), ShouldEqual, "n1")
		So(d.network.seenIn("south", text("job-")), ShouldBeEmpty)
		So(d.countSends(), ShouldEqual, 4)
		count, err := d.results("s2", "job")
		So(err, ShouldBeNil)
		So(count, ShouldEqual, 4)
		So(d.network.seenIn("south", body("job")), ShouldBeEmpty)
		So(d.readIn("south", "job"), ShouldBeEmpty)
	})
}
