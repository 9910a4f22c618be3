package deployment

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"

	"github.com/covelink/covelink/api/enginev1"
	"github.com/covelink/covelink/examples"
	"github.com/covelink/covelink/internal/lab/engine"
	"github.com/covelink/covelink/internal/lab/invariant"
	"github.com/covelink/covelink/internal/rpc"
	"github.com/covelink/covelink/internal/settings"
)

const patience = 20 * time.Second

func exampleDescription(name string) Description {
	content, err := examples.Files.ReadFile(name + "/" + examples.LabFile)
	So(err, ShouldBeNil)
	description, err := Parse(name, content)
	So(err, ShouldBeNil)
	return description
}

func TestExamplesHaveTheSizesOfToday(t *testing.T) {
	Convey("Each example plans its zones, nodes and engines, each with an address of its own", t, func() {
		for _, c := range []struct {
			name          string
			engines       map[string]int
			zone, clients time.Duration
		}{
			{"moreton", map[string]int{"summ-lm": 8, "roomdesk": 3}, 500 * time.Microsecond, time.Millisecond},
			{"cairnpath", map[string]int{"cairn-lm-pool": 9, "wayfinder-api": 4}, 1500 * time.Microsecond, 3 * time.Millisecond},
		} {
			description := exampleDescription(c.name)
			So(description.ZoneLatency, ShouldEqual, c.zone)
			So(description.ClientLatency, ShouldEqual, c.clients)
			plan, err := NewPlan(description, FreePorts(), t.TempDir())
			So(err, ShouldBeNil)
			counted := map[string]int{}
			addresses := map[string]bool{}
			for _, engine := range plan.Engines {
				counted[engine.Pool]++
				addresses[engine.Listen] = true
			}
			for _, node := range plan.Nodes {
				addresses[node.Listen.HTTP] = true
				addresses[node.Listen.Internal] = true
				So(len(node.Cluster.Seeds), ShouldEqual, len(plan.Nodes))
			}
			So(counted, ShouldResemble, c.engines)
			So(len(plan.Nodes), ShouldBeGreaterThanOrEqualTo, 3)
			So(len(addresses), ShouldEqual, len(plan.Engines)+2*len(plan.Nodes))
			So(len(plan.Machines.Machines), ShouldEqual, len(plan.Engines)+len(plan.Nodes))
		}
	})
}

func TestParseRefuses(t *testing.T) {
	const good = "name: a\nzones: [{name: z, region: r, nodes: 1}]\npools: [{name: p, engines: {z: 1}}]\noperator: {name: o, token: t}\n"
	Convey("A description that names what is not there is refused with the field", t, func() {
		_, err := Parse("f", []byte(good))
		So(err, ShouldBeNil)
		for content, field := range map[string]string{
			strings.Replace(good, "{z: 1}", "{y: 1}", 1):                                                   "pools[0].engines",
			good + "applications: [{name: a, pool: q, token: t, requestsPerSecond: 1, maxTokens: 1}]\n":    "applications[0].pool",
			strings.Replace(good, "nodes: 1", "nodes: 0", 1):                                               "zones[0].nodes",
			strings.Replace(good, "nodes: 1", "nodes: 1, disks: 2", 1):                                     "zones[0].disks",
			strings.Replace(good, "operator: {name: o, token: t}", "operator: {name: o}", 1):               "operator.token",
			good + "simulation: {maxRunning: 0}\n":                                                         "simulation.maxRunning",
			good + "latency: 1ms\n":                                                                        "f:5",
			strings.Replace(good, "[{name: z, region: r, nodes: 1}]", "[]", 1):                             "zones",
			good + "applications: [{name: a, pool: p, token: t, requestsPerSecond: fast, maxTokens: 1}]\n": "f:5",
		} {
			_, err := Parse("f", []byte(content))
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, field)
		}
	})
}

// fakeNode answers readiness and accepts connections on its internal address.
type fakeNode struct {
	config   settings.Settings
	dial     rpc.DialFunc
	http     *http.Server
	internal net.Listener
	stopped  bool
}

func (n *fakeNode) Start(context.Context) error {
	listener, err := net.Listen("tcp", n.config.Listen.HTTP)
	if err != nil {
		return err
	}
	if n.internal, err = net.Listen("tcp", n.config.Listen.Internal); err != nil {
		return err
	}
	n.http = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, n.config.Node.Name)
	})}
	go func() { _ = n.http.Serve(listener) }()
	return nil
}

func (n *fakeNode) Stop(context.Context) error {
	n.stopped = true
	return errors.Join(n.http.Close(), n.internal.Close())
}

func TestDeployment(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	Convey("A deployment starts everything, links the nodes and stops everything", t, func() {
		plan, err := NewPlan(exampleDescription("moreton"), FreePorts(), t.TempDir())
		So(err, ShouldBeNil)
		nodes := map[string]*fakeNode{}
		newNode := func(config settings.Settings, _ log.Logger, dial rpc.DialFunc) (Node, error) {
			node := &fakeNode{config: config, dial: dial}
			nodes[config.Node.Name] = node
			return node, nil
		}
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		deployment, err := Start(ctx, plan, newNode, log.NewNopLogger())
		So(err, ShouldBeNil)
		So(deployment.WaitReady(ctx), ShouldBeNil)
		So(len(deployment.Engines()), ShouldEqual, 11)

		from, to := plan.Nodes[0].Node.Name, plan.Nodes[1].Node.Name
		connection, err := nodes[from].dial(ctx, plan.Nodes[1].Listen.Internal)
		So(err, ShouldBeNil)
		accepted, err := nodes[to].internal.Accept()
		So(err, ShouldBeNil)
		deployment.Link(from, to).Cut()
		_, err = connection.Read(make([]byte, 1))
		So(err, ShouldNotBeNil)
		So(connection.Close(), ShouldBeNil)
		So(accepted.Close(), ShouldBeNil)

		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		for i, url := range deployment.CallerURLs() {
			response, err := client.Get(url)
			So(err, ShouldBeNil)
			body, err := io.ReadAll(response.Body)
			So(err, ShouldBeNil)
			_ = response.Body.Close()
			So(string(body), ShouldEqual, plan.Nodes[i].Node.Name)
		}
		So(len(deployment.Machines().List("bne-stl").Machines), ShouldEqual, 5)
		So(deployment.Stop(ctx), ShouldBeNil)
		for _, node := range nodes {
			So(node.stopped, ShouldBeTrue)
		}
	})
	Convey("A node that can't be built stops what was started", t, func() {
		plan, err := NewPlan(exampleDescription("cairnpath"), FreePorts(), t.TempDir())
		So(err, ShouldBeNil)
		_, err = Start(context.Background(), plan, func(settings.Settings, log.Logger, rpc.DialFunc) (Node, error) {
			return nil, errors.New("unfit")
		}, log.NewNopLogger())
		So(err, ShouldNotBeNil)
		So(isFree(portOf(plan.ObjectAPI.Listen)), ShouldBeTrue)
	})
}

func portOf(address string) int {
	resolved, err := net.ResolveTCPAddr("tcp", address)
	So(err, ShouldBeNil)
	return resolved.Port
}

func TestExecutionsAreRecomputed(t *testing.T) {
	Convey("The tokens of an execution follow from its log", t, func() {
		known := prompts{}
		known.add("prompt")
		record := engine.Execution{RequestID: "r", PromptHash: hashText("prompt"), Engine: "e", Zone: "z", Seed: 7, Resumed: 2, Tokens: 3,
			Finish: "stop", Spans: []engine.Span{{First: 2, Tokens: 1, Version: 4}, {First: 3, Tokens: 2, Version: 5}}}
		execution := known.convert("pool", record)
		So(execution.Prompt, ShouldEqual, "prompt")
		So(execution.Length, ShouldEqual, 5)
		So(len(execution.Tokens), ShouldEqual, 3)
		for i, version := range []int64{4, 5, 5} {
			So(execution.Tokens[i], ShouldResemble, invariant.Token{Index: i + 2, Version: version, Text: ExpectedToken("prompt", 7, version, i+2)})
		}
		record.Finish = engine.FinishLost
		So(known.convert("pool", record).FinishReason, ShouldBeEmpty)
		record.PromptHash = "unknown"
		So(known.convert("pool", record).Tokens, ShouldBeEmpty)
	})
	Convey("An engine's own log gives what it sent", t, func() {
		config := engine.DefaultConfig()
		config.Name, config.Zone, config.Pool = "e", "z", "pool"
		started, err := engine.New(config, log.NewNopLogger())
		So(err, ShouldBeNil)
		So(started.Start(), ShouldBeNil)
		defer func() { _ = started.Stop(context.Background()) }()
		body := `{"model":"pool","request_id":"r","incarnation":"` + started.Incarnation() +
			`","prompt":"prompt","seed":7,"max_tokens":5,"permitted_zones":["z"],"stream":true}`
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		response, err := client.Post(started.URL()+enginev1.PathCompletions, "application/json", strings.NewReader(body))
		So(err, ShouldBeNil)
		events, err := io.ReadAll(response.Body)
		So(err, ShouldBeNil)
		_ = response.Body.Close()
		known := prompts{}
		known.add("prompt")
		execution := known.convert("pool", started.Executions()[0])
		So(execution.Length, ShouldEqual, len(execution.Tokens))
		So(execution.Length, ShouldBeGreaterThan, 0)
		for _, token := range execution.Tokens {
			So(string(events), ShouldContainSubstring, `"`+token.Text+`"`)
		}
	})
}
