package drains

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/lab/deployment"
	"github.com/covelink/covelink/internal/lab/faultproxy"
	"github.com/covelink/covelink/internal/node"
	"github.com/covelink/covelink/internal/rpc"
	"github.com/covelink/covelink/internal/settings"
)

const patience = 2 * time.Minute

func realNode(config settings.Settings, logger log.Logger, dial rpc.DialFunc) (deployment.Node, error) {
	return node.New(config, logger, node.Options{Dial: dial})
}

func TestPlannedStopsCutNothing(t *testing.T) {
	const workers = 16
	runs := []struct {
		name     string
		requests int
		pace     time.Duration
	}{
		{"Planned stops of nodes and engines under load cut no request off", 800, 0},
		// Guards against nodes that refuse requests after the stops of others: the requests that are left then take 5 s, longer than a node takes work
		// without a coordinator. With three nodes an overloaded machine was as slow, and 266 of 800 requests were not run.
		{"and none is refused for long, however slowly requests come", 400, 400 * time.Millisecond},
	}
	for _, planned := range runs {
		Convey(planned.name, t, func() {
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			defer cancel()
			report, err := PlannedStops(ctx, Config{
				Requests: planned.requests, Workers: workers, Pace: planned.pace, NewNode: realNode, DataRoot: t.TempDir(), Logger: log.NewNopLogger(),
			})
			So(err, ShouldBeNil)
			So(report.First, ShouldBeEmpty)
			So(report.CutOff, ShouldEqual, 0)
			So(report.Stopped, ShouldHaveLength, 5)
			// The last node stops while the last requests are under way; those that come too late are refused.
			So(report.Completed+report.NotRun, ShouldEqual, planned.requests)
			So(report.NotRun, ShouldBeLessThanOrEqualTo, workers)
		})
	}
}

func TestLeavingEngineGetsNothingNew(t *testing.T) {
	Convey("An engine that an operator drains gets no new request 3 s later, also from a gateway cut off from its coordinator", t, func() {
		const bound, watched = 3 * time.Second, 5 * time.Second
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		d, err := startDeployment(ctx, leavingNodeCount, realNode, t.TempDir(), log.NewNopLogger())
		So(err, ShouldBeNil)
		Reset(func() { So(d.Stop(context.Background()), ShouldBeNil) })
		leaving := d.Engines()[0]
		cutOffNode := cutOneGateway(d)

		stored, err := d.ObjectAPI().Store.Get(v1.KindPool, poolName)
		So(err, ShouldBeNil)
		stored.Spec = poolSpec(d.Plan().Engines[0].Name)
		stored.Metadata.Generation++
		_, err = d.ObjectAPI().Store.Update(stored)
		So(err, ShouldBeNil)
		drained := time.Now()

		asked, byCutOff := askUntil(d, drained.Add(watched), cutOffNode)
		So(asked, ShouldBeGreaterThan, 0)
		So(byCutOff, ShouldBeGreaterThan, 0)
		for _, execution := range leaving.Executions() {
			So(execution.Started.Sub(drained), ShouldBeLessThan, bound)
		}
		elsewhere := 0
		for _, engine := range d.Engines()[1:] {
			for _, execution := range engine.Executions() {
				if execution.Started.Sub(drained) > bound {
					elsewhere++
				}
			}
		}
		So(elsewhere, ShouldBeGreaterThan, 0)
	})
}

// cutOneGateway cuts a node that does not coordinate off from every other and returns its name.
func cutOneGateway(d *deployment.Deployment) string {
	name := ""
	for _, config := range d.Plan().Nodes {
		if config.Node.Name != coordinatorOf(d.Plan()) {
			name = config.Node.Name
		}
	}
	for _, other := range d.Plan().Nodes {
		if other.Node.Name == name {
			continue
		}
		for _, link := range []*faultproxy.Proxy{d.Link(name, other.Node.Name), d.Link(other.Node.Name, name)} {
			link.Refuse(true)
			link.Cut()
		}
	}
	return name
}

// askUntil sends requests to every node until a moment. It returns how many were completed, and how many by the node named.
func askUntil(d *deployment.Deployment, end time.Time, name string) (all, byNamed int) {
	var mu sync.Mutex
	var workers sync.WaitGroup
	client := newHTTPClient()
	for i, config := range d.Plan().Nodes {
		url := d.Plan().NodeURLs()[i]
		for range 4 {
			workers.Go(func() {
				for number := 0; time.Now().Before(end); number++ {
					result, _ := ask(client, url, number)
					mu.Lock()
					if result == completed {
						all++
						if config.Node.Name == name {
							byNamed++
						}
					}
					mu.Unlock()
					time.Sleep(pollInterval)
				}
			})
		}
	}
	workers.Wait()
	return all, byNamed
}
