package configsync

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// zoneModel is a zone of three nodes, a store and one coordinator at a time, in virtual time. Heartbeats and acknowledgements
// may be delayed, repeated and lost.
type zoneModel struct {
	now         time.Time
	store       uint64
	token       uint64
	coordinator *Coordinator
	replicas    map[string]*Replica
	starts      map[string]int
	acked       uint64 // the highest revision ever acknowledged, as other zones may have learnt
	delayed     []NodeReport
}

var modelNodes = []string{"a", "b", "c"}

func newZoneModel() *zoneModel {
	z := &zoneModel{
		now:      testStart,
		store:    1,
		replicas: make(map[string]*Replica),
		starts:   make(map[string]int),
	}
	for _, name := range modelNodes {
		z.replicas[name] = &Replica{}
	}
	z.lead()
	return z
}

// lead starts a new term that asks every node and reads the store.
func (z *zoneModel) lead() {
	z.token++
	z.coordinator = NewCoordinator("z", z.token, State{}, z.now, testLease)
	z.coordinator.SetNodes(modelNodes)
	for _, replica := range z.replicas {
		if serving, _ := replica.Serving(z.now); serving {
			z.coordinator.SetInformed()
		}
		z.coordinator.Adopt(replica.State(), z.now)
	}
	z.coordinator.ApplyResources(nil, z.store, z.now)
}

func (z *zoneModel) report(name string) NodeReport {
	return NodeReport{
		Node:        name,
		Incarnation: fmt.Sprint(name, z.starts[name]),
		Applied:     z.replicas[name].State().Version,
	}
}

// heartbeat lets the node ask for a lease; the request takes delay, and the answer may get lost.
func (z *zoneModel) heartbeat(name string, delay time.Duration, lost bool) {
	sentAt, report := z.now, z.report(name)
	z.now = z.now.Add(delay)
	grant := z.coordinator.Heartbeat(report, z.now)
	if grant.Granted && !lost {
		z.replicas[name].Renew(grant.Version.Token, sentAt, testLease)
	}
}

// check returns why a node that serves is below what the zone has acknowledged, if one is.
func (z *zoneModel) check() error {
	z.acked = max(z.acked, z.coordinator.State().Acks["z"])
	for name, replica := range z.replicas {
		serving, _ := replica.Serving(z.now)
		if serving && replica.State().Revision < z.acked {
			return fmt.Errorf("zone acknowledged %d but %s serves by %d", z.acked, name, replica.State().Revision)
		}
	}
	return nil
}

func milliseconds(t *rapid.T, most int) time.Duration {
	return time.Duration(rapid.IntRange(0, most).Draw(t, "ms")) * time.Millisecond
}

// TestAcknowledgedMeansApplied drives a zone at random: once the zone has acknowledged a revision, no node that serves is
// below it, whatever is lost, delayed, restarted or led anew.
func TestAcknowledgedMeansApplied(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		z := newZoneModel()
		node := func(t *rapid.T) string { return rapid.SampledFrom(modelNodes).Draw(t, "node") }
		heartbeat := func(t *rapid.T) { z.heartbeat(node(t), milliseconds(t, 500), rapid.Bool().Draw(t, "lost")) }
		push := func(t *rapid.T) { z.replicas[node(t)].Offer(z.coordinator.State()) }
		t.Repeat(map[string]func(*rapid.T){
			"write": func(*rapid.T) {
				z.store++
				z.coordinator.ApplyResources(nil, z.store, z.now)
			},
			"push":         push,
			"push again":   push,
			"heartbeat":    heartbeat,
			"heartbeat 2":  heartbeat,
			"heartbeat 3":  heartbeat,
			"send report":  func(t *rapid.T) { z.delayed = append(z.delayed, z.report(node(t))) },
			"take reports": func(*rapid.T) { z.takeReports() },
			"pause": func(t *rapid.T) {
				z.now = z.now.Add(milliseconds(t, 4000))
				z.coordinator.Tick(z.now)
			},
			"restart": func(t *rapid.T) {
				name := node(t)
				z.replicas[name] = &Replica{}
				z.starts[name]++
			},
			"lead": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "rare") == 0 {
					z.lead()
				}
			},
			"": func(t *rapid.T) {
				if err := z.check(); err != nil {
					t.Fatal(err)
				}
			},
		})
	})
}

func (z *zoneModel) takeReports() {
	for _, report := range z.delayed {
		z.coordinator.Acknowledge(report, z.now)
	}
	z.delayed = nil
}
