package processes

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/covelink/covelink/internal/gateway"
	"github.com/covelink/covelink/internal/lab/deployment"
	"github.com/covelink/covelink/internal/lab/engine"
	"github.com/covelink/covelink/internal/lab/invariant"
	"github.com/covelink/covelink/internal/lab/objectapi"
)

// controlTimeout bounds one request of the harness itself to a process.
const controlTimeout = 10 * time.Second

const folderMode = 0o755

// InjectFault switches a failure of an engine on. It does not pass the links.
func (d *Deployment) InjectFault(ctx context.Context, engineName string, fault engine.Fault) error {
	for _, config := range d.plan.Engines {
		if config.Name == engineName {
			return d.post(ctx, baseURL(config.Listen)+engine.PathFaults, fault)
		}
	}
	return fmt.Errorf("no engine %q", engineName)
}

// SetStoreFaults sets the faults of the platform's store.
func (d *Deployment) SetStoreFaults(ctx context.Context, faults objectapi.Faults) error {
	return d.post(ctx, baseURL(d.plan.ObjectAPI.Listen)+objectapi.PathFaults, faults)
}

// EmptyDataFolder removes everything in the data folder of a node, which must not run.
func (d *Deployment) EmptyDataFolder(node string) error {
	if d.Node(node).Running() {
		return fmt.Errorf("node %s runs", node)
	}
	for _, config := range d.plan.Nodes {
		if config.Node.Name != node {
			continue
		}
		if err := os.RemoveAll(config.Node.DataDir); err != nil {
			return err
		}
		return os.MkdirAll(config.Node.DataDir, folderMode)
	}
	return fmt.Errorf("no node %q", node)
}

// Executions returns what the engines executed so far, with the prompts that the history knows. The engines must run.
func (d *Deployment) Executions(ctx context.Context, history *invariant.History) ([]invariant.Execution, error) {
	var executions []invariant.Execution
	for _, config := range d.plan.Engines {
		var records []engine.Execution
		if err := d.get(ctx, baseURL(config.Listen)+engine.PathExecutions, &records); err != nil {
			return nil, fmt.Errorf("executions of %s: %w", config.Name, err)
		}
		executions = append(executions, deployment.ConvertExecutions(history, config.Pool, records)...)
	}
	return executions, nil
}

// Status returns what a node says of itself. It does not pass the callers' link.
func (d *Deployment) Status(ctx context.Context, node string) (gateway.StatusReport, error) {
	var report gateway.StatusReport
	for _, config := range d.plan.Nodes {
		if config.Node.Name == node {
			return report, d.get(ctx, baseURL(config.Listen.HTTP)+"/debug/status", &report)
		}
	}
	return report, fmt.Errorf("no node %q", node)
}

// Metrics returns the metrics of a node in the text format of Prometheus.
func (d *Deployment) Metrics(ctx context.Context, node string) (*http.Response, error) {
	for _, config := range d.plan.Nodes {
		if config.Node.Name == node {
			return d.send(ctx, http.MethodGet, baseURL(config.Listen.HTTP)+"/metrics", nil)
		}
	}
	return nil, fmt.Errorf("no node %q", node)
}

// WaitReady waits until every node takes requests.
func (d *Deployment) WaitReady(ctx context.Context) error {
	for _, name := range d.NodeNames() {
		if err := d.WaitNodeReady(ctx, name); err != nil {
			return err
		}
	}
	return nil
}

// WaitNodeReady waits until a node takes requests.
func (d *Deployment) WaitNodeReady(ctx context.Context, node string) error {
	return d.WaitStatus(ctx, node, func(report gateway.StatusReport) bool { return report.Ready })
}

// WaitStatus waits until what a node says of itself meets a condition.
func (d *Deployment) WaitStatus(ctx context.Context, node string, met func(gateway.StatusReport) bool) error {
	for {
		report, err := d.Status(ctx, node)
		if err == nil && met(report) {
			return nil
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return fmt.Errorf("node %s is at %+v (%v): %w", node, report, err, ctx.Err())
		}
	}
}

func (d *Deployment) post(ctx context.Context, url string, body any) error {
	content, err := json.Marshal(body)
	if err != nil {
		return err
	}
	response, err := d.send(ctx, http.MethodPost, url, content)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

func (d *Deployment) get(ctx context.Context, url string, into any) error {
	response, err := d.send(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(into)
}

// send sends a request; any answer that is not a success is an error.
func (d *Deployment) send(ctx context.Context, method, url string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+d.plan.Description.Operator.Token)
	response, err := d.http.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		_ = response.Body.Close()
		return nil, fmt.Errorf("%s answered %s", url, response.Status)
	}
	return response, nil
}
