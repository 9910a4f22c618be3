// Package drains runs a small deployment under load while its parts are stopped as planned, and counts the requests that
// were cut off.
package drains

import (
	"context"
	"fmt"
	"time"

	"github.com/go-kit/log"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/cluster"
	"github.com/covelink/covelink/internal/lab/deployment"
)

const (
	zoneName         = "z"
	poolName         = "p"
	applicationToken = "drains-application-token"
	engineCount      = 4
	// stopsNodeCount is the number of nodes from which two and then the coordinator are stopped: after the two, a majority of the voters of the
	// coordinator's lease is left. Of three nodes the last one has no coordinator, and refuses requests once its own lease has lapsed.
	stopsNodeCount = 5
	// leavingNodeCount is the number of nodes of the other runs.
	leavingNodeCount = 3
	// readyTimeout bounds the start of a deployment: five nodes that share a fifth of a processor took longer than 30 s. pollInterval is the time
	// between two looks at it.
	readyTimeout = time.Minute
	pollInterval = 20 * time.Millisecond
)

const description = `
name: drains
zones: [{name: z, region: r, nodes: %d}]
pools: [{name: p, engines: {z: 4}}]
machineListLag: 60s
operator: {name: o, token: drains-operator-token}
trainer: {name: t, token: t}
`

// resources are what is in the store from the start.
func resources() []v1.RawObject {
	hash := v1.HashToken(applicationToken)
	return []v1.RawObject{
		{Kind: v1.KindZone, Metadata: v1.ObjectMeta{Name: zoneName, Generation: 1}, Spec: []byte(`{"region":"r"}`)},
		{Kind: v1.KindPool, Metadata: v1.ObjectMeta{Name: poolName, Generation: 1}, Spec: poolSpec("")},
		{
			Kind:     v1.KindApplication,
			Metadata: v1.ObjectMeta{Name: "a", Generation: 1},
			Spec:     fmt.Appendf(nil, `{"pools":["p"],"tokenHashes":[%q],"requestsPerSecond":100000,"burst":100000,"maxInFlight":1000}`, hash),
		},
	}
}

// poolSpec returns the spec of the pool, with an engine that is to drain unless that is empty.
func poolSpec(draining string) []byte {
	drains := "[]"
	if draining != "" {
		drains = fmt.Sprintf("[%q]", draining)
	}
	return fmt.Appendf(nil, `{"model":"p","permittedZones":["z"],"maxConcurrent":32,"drainingEngines":%s}`, drains)
}

// startDeployment starts a deployment of some nodes and waits until every node knows every engine. The machine list is 60 s late.
func startDeployment(ctx context.Context, nodes int, newNode deployment.NodeFactory, dataRoot string, logger log.Logger) (*deployment.Deployment, error) {
	parsed, err := deployment.Parse("drains", fmt.Appendf(nil, description, nodes))
	if err != nil {
		return nil, err
	}
	plan, err := deployment.NewPlan(parsed, deployment.FreePorts(), dataRoot)
	if err != nil {
		return nil, err
	}
	started, err := deployment.Start(ctx, plan, newNode, logger)
	if err != nil {
		return nil, err
	}
	for _, object := range resources() {
		if _, err := started.ObjectAPI().Store.Create(object); err != nil {
			return started, err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := started.WaitReady(ctx); err != nil {
		return started, err
	}
	return started, waitEngines(ctx, started)
}

// waitEngines waits until each node knows every engine and has completed a request, so that it knows their versions too.
func waitEngines(ctx context.Context, started *deployment.Deployment) error {
	for _, url := range started.Plan().NodeURLs() {
		for {
			known, err := knownEngines(ctx, url)
			if err == nil && known == engineCount {
				if result, _ := ask(newHTTPClient(), url, -1); result == completed {
					break
				}
			}
			select {
			case <-time.After(pollInterval):
			case <-ctx.Done():
				return fmt.Errorf("%s knows %d of %d engines: %w", url, known, engineCount, ctx.Err())
			}
		}
	}
	return nil
}

func seedNodes(plan *deployment.Plan) []cluster.Node {
	var nodes []cluster.Node
	for _, seed := range plan.Nodes[0].Cluster.Seeds {
		nodes = append(nodes, cluster.Node{Name: seed.Name, Zone: seed.Zone, Address: seed.Address})
	}
	return nodes
}
