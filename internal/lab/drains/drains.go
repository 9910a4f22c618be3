package drains

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"github.com/covelink/covelink/internal/lab/deployment"
	"github.com/covelink/covelink/internal/leadership"
)

const (
	stopTimeout = time.Minute
	// maxTries bounds the tries of a request that is refused, and retryWait is the time between two.
	maxTries  = 200
	retryWait = 25 * time.Millisecond
	// stoppingText is in the refusals of a node that stops.
	stoppingText = "the node is stopping"
)

// Config describes a run.
type Config struct {
	Requests int
	// Workers is the number of requests in flight.
	Workers int
	// Pace is how long a worker waits before each request, as if the machine were slow; zero for no wait.
	Pace     time.Duration
	NewNode  deployment.NodeFactory
	DataRoot string
	Logger   log.Logger
}

// Report is what a run saw.
type Report struct {
	Requests  int `json:"requests"`
	Completed int `json:"completed"`
	// NotRun counts the requests that no node took in all tries, and Refusals the tries that were refused.
	NotRun   int `json:"notRun"`
	Refusals int `json:"refusals"`
	// CutOff must be 0; First tells of the first one.
	CutOff int    `json:"cutOff"`
	First  string `json:"first,omitempty"`
	// Stopped names what was stopped, in order.
	Stopped []string `json:"stopped"`
}

// run is one run in progress.
type run struct {
	config     Config
	deployment *deployment.Deployment
	client     *http.Client
	next       atomic.Int64

	mu     sync.Mutex
	report Report
	// left holds the nodes that have said that they stop: as any caller, this one goes to others then.
	left map[string]bool
}

// PlannedStops sends the requests while two nodes and two engines stop as planned, one after the other, and the node that
// coordinates the zone last, while the last requests are under way.
func PlannedStops(ctx context.Context, config Config) (Report, error) {
	started, err := startDeployment(ctx, stopsNodeCount, config.NewNode, config.DataRoot, config.Logger)
	if started == nil {
		return Report{}, err
	}
	r := &run{config: config, deployment: started, client: newHTTPClient(), left: make(map[string]bool)}
	if err == nil {
		err = r.run(ctx)
	}
	stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	return r.report, errors.Join(err, started.Stop(stopping))
}

func (r *run) run(ctx context.Context) error {
	var workers sync.WaitGroup
	for range r.config.Workers {
		workers.Go(r.work)
	}
	err := r.stopParts(ctx)
	workers.Wait()
	r.report.Requests = r.config.Requests
	return err
}

// stopParts stops each part once its share of the requests has been sent.
func (r *run) stopParts(ctx context.Context) error {
	order := r.stopOrder()
	for i, stop := range order {
		share := int64(r.config.Requests * (i + 1) / (len(order) + 1))
		if i == len(order)-1 {
			share = int64(r.config.Requests)
		}
		for r.next.Load() < share {
			select {
			case <-time.After(pollInterval):
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		stopping, cancel := context.WithTimeout(ctx, stopTimeout)
		err := stop.stop(stopping)
		cancel()
		if err != nil {
			return fmt.Errorf("stop %s: %w", stop.name, err)
		}
		r.report.Stopped = append(r.report.Stopped, stop.name)
	}
	return nil
}

// part is something that can be stopped.
type part struct {
	name string
	stop func(context.Context) error
}

// stopOrder returns a node, an engine, a node, an engine and the coordinator.
func (r *run) stopOrder() []part {
	var nodes, engines []part
	for _, node := range r.deployment.Plan().Nodes {
		name := node.Node.Name
		nodes = append(nodes, part{name: name, stop: r.deployment.Node(name).Stop})
	}
	for i, engine := range r.deployment.Engines()[:2] {
		engines = append(engines, part{name: r.deployment.Plan().Engines[i].Name, stop: engine.Stop})
	}
	last := slices.IndexFunc(nodes, func(node part) bool { return node.name == r.coordinator() })
	coordinator := nodes[last]
	nodes = slices.Delete(nodes, last, last+1)
	return []part{nodes[0], engines[0], nodes[1], engines[1], coordinator}
}

// coordinator returns the node that coordinates the zone.
func (r *run) coordinator() string { return coordinatorOf(r.deployment.Plan()) }

func coordinatorOf(plan *deployment.Plan) string {
	nodes := seedNodes(plan)
	lease := leadership.ZoneLease(zoneName)
	elector := leadership.NewStatic("", nodes, leadership.FixedElectorate(map[string][]string{lease: {zoneName}}))
	holder, _ := elector.Holder(lease)
	return holder.Name
}

// work sends requests until all have been sent.
func (r *run) work() {
	for {
		number := int(r.next.Add(1))
		if number > r.config.Requests {
			return
		}
		time.Sleep(r.config.Pace)
		r.request(number)
	}
}

// request asks one node after the other until one takes the request.
func (r *run) request(number int) {
	urls := r.deployment.Plan().NodeURLs()
	for try := range maxTries {
		url := urls[(number+try)%len(urls)]
		if r.hasLeft(url) {
			continue
		}
		result, text := ask(r.client, url, number)
		r.count(result, text, number)
		if strings.Contains(text, stoppingText) {
			r.leave(url)
		}
		if result != refused {
			return
		}
		if try >= len(urls) {
			time.Sleep(retryWait)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.NotRun++
}

func (r *run) hasLeft(url string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.left[url]
}

func (r *run) leave(url string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.left[url] = true
}

func (r *run) count(result fate, text string, number int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch result {
	case completed:
		r.report.Completed++
	case refused:
		r.report.Refusals++
	default:
		r.report.CutOff++
		if r.report.First == "" {
			r.report.First = fmt.Sprintf("request %d: %s", number, text)
		}
	}
}
