package main

import (
	"net/http"
	"sync"
	"time"
)

const (
	// readinessInterval is the pause between two questions to a gateway whether it is ready, and maxMisses how many in a row take it out.
	readinessInterval = time.Second
	readinessTimeout  = 500 * time.Millisecond
	maxMisses         = 2
)

// entry stands in for the platform address that callers connect to: it passes each new connection to a gateway of the caller's zone.
type entry struct {
	nodes  []*process
	record *recorder

	mu     sync.Mutex
	misses map[*process]int
	stop   chan struct{}
}

func newEntry(nodes []*process, record *recorder) *entry {
	e := &entry{nodes: nodes, record: record, misses: make(map[*process]int), stop: make(chan struct{})}
	for _, node := range nodes {
		go e.watch(node)
	}
	return e
}

func (e *entry) close() { close(e.stop) }

// watch asks a gateway every second whether it is ready.
func (e *entry) watch(node *process) {
	client := http.Client{Timeout: readinessTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	ticker := time.NewTicker(readinessInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-e.stop:
			return
		}
		response, err := client.Get("http://" + node.ready + "/v1/readyz")
		ready := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			response.Body.Close()
		}
		e.note(node, ready)
	}
}

func (e *entry) note(node *process, ready bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	before := e.misses[node]
	switch {
	case ready:
		e.misses[node] = 0
	default:
		e.misses[node]++
	}
	if before < maxMisses && e.misses[node] >= maxMisses {
		e.record.note("the platform takes %s out", node.name)
	}
	if before >= maxMisses && ready {
		e.record.note("the platform takes %s in", node.name)
	}
}

// pick returns the gateway for a new connection of a caller. Where under half of a zone's gateways are in, it uses all of them; where none is in, it
// uses those of the other zones.
func (e *entry) pick(zone string, caller int) *process {
	e.mu.Lock()
	defer e.mu.Unlock()
	var all, in, elsewhere []*process
	for _, node := range e.nodes {
		ready := e.misses[node] < maxMisses
		switch {
		case node.zone != zone && ready:
			elsewhere = append(elsewhere, node)
		case node.zone == zone && ready:
			in = append(in, node)
		}
		if node.zone == zone {
			all = append(all, node)
		}
	}
	chosen := in
	switch {
	case len(in) == 0 && len(elsewhere) > 0:
		chosen = elsewhere
	case 2*len(in) < len(all):
		chosen = all
	}
	return chosen[caller%len(chosen)]
}
