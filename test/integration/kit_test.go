package integration

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/examples"
	"github.com/covelink/covelink/internal/lab/demo"
	"github.com/covelink/covelink/internal/lab/deployment"
	"github.com/covelink/covelink/internal/lab/invariant"
	"github.com/covelink/covelink/internal/lab/processes"
)

const (
	// patience bounds one test.
	patience = 2 * time.Minute
	// shortSamples and longSamples are the samples of the batch of a test.
	shortSamples = 96
	longSamples  = 4096
)

// samples returns the size of a test's batch.
func samples() int {
	if *long {
		return longSamples
	}
	return shortSamples
}

// exampleOf returns the description and the resources of an example.
func exampleOf(name string) (deployment.Description, []byte) {
	lab, err := examples.Files.ReadFile(name + "/" + examples.LabFile)
	So(err, ShouldBeNil)
	resources, err := examples.Files.ReadFile(name + "/" + examples.ResourcesFile)
	So(err, ShouldBeNil)
	description, err := deployment.Parse(name, lab)
	So(err, ShouldBeNil)
	return description, resources
}

// smallDescription is Moreton's deployment with one engine in each zone and one application.
func smallDescription() (deployment.Description, []byte) {
	description, resources := exampleOf("moreton")
	pool := deployment.Pool{Name: "summ-lm", Engines: map[string]int{}}
	for _, zone := range description.Zones {
		pool.Engines[zone.Name] = 1
	}
	description.Pools = []deployment.Pool{pool}
	description.Applications = description.Applications[:1]
	return description, resources
}

// run is one test's deployment and its session.
type run struct {
	*processes.Deployment
	config  demo.Config
	session *demo.Session
	ctx     context.Context
	// working receives the end of the session's work.
	working chan error
}

// withSmall gives use a started small deployment that takes requests; everything ends afterwards.
func withSmall(t *testing.T, use func(*run)) {
	description, resources := smallDescription()
	withDeployment(t, description, resources, use)
}

func withDeployment(t *testing.T, description deployment.Description, resources []byte, use func(*run)) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	started, err := processes.Start(ctx, processes.Config{
		Description: description,
		Programs:    programs,
		Folder:      t.TempDir(),
		Logger:      log.NewNopLogger(),
	})
	So(err, ShouldBeNil)
	defer started.Stop()
	passed := false
	defer func() { logUnless(&passed, t, started) }()
	config := demo.Config{Description: description, Resources: resources, Samples: samples(), Seed: 1, Logger: log.NewNopLogger()}
	r := &run{Deployment: started, config: config, ctx: ctx, working: make(chan error, 1)}
	r.session = demo.NewSession(r.config, started)
	So(r.session.Prepare(ctx), ShouldBeNil)
	use(r)
	passed = true
}

// logUnless shows the ends of the nodes' logs of a test that has not passed.
func logUnless(passed *bool, t *testing.T, started *processes.Deployment) {
	const lines = 60
	if *passed {
		return
	}
	for _, name := range started.NodeNames() {
		all := strings.Split(started.Node(name).Log(), "\n")
		t.Logf("%s:\n%s", name, strings.Join(all[max(0, len(all)-lines):], "\n"))
	}
}

// work starts the trainer and the applications.
func (r *run) work() {
	go func() { r.working <- r.session.Work(r.ctx) }()
}

// finish waits until the trainer has its whole batch and the applications have their answers.
func (r *run) finish() demo.Result {
	So(<-r.working, ShouldBeNil)
	return r.judge()
}

// judge checks every promise.
func (r *run) judge() demo.Result {
	result, err := r.session.Judge(r.ctx)
	So(err, ShouldBeNil)
	So(result.Promises.Violations, ShouldBeEmpty)
	return result
}

// waitDelivered waits until the trainer has received so many samples.
func (r *run) waitDelivered(count int) {
	r.waitHistory(func(history *invariant.History) bool { return len(history.Deliveries) >= count })
}

// waitHistory waits until what was seen so far meets a condition.
func (r *run) waitHistory(met func(*invariant.History) bool) {
	for !met(r.session.Recorder.History()) {
		select {
		case <-time.After(10 * time.Millisecond):
		case err := <-r.working:
			r.working <- err
			So(err, ShouldBeNil)
			return
		case <-r.ctx.Done():
			So(r.ctx.Err(), ShouldBeNil)
		}
	}
}

// plainClient is an HTTP client that keeps no connection.
func plainClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
}
