package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	checkpointEvents = 400
	checkpointGap    = 30 * time.Millisecond
	// restartTime is how long a process that was killed is away.
	restartTime = 500 * time.Millisecond
	// freezeTime is how long a gateway stands still.
	freezeTime = 1500 * time.Millisecond
	// catchUpTime is catch-up-s: a machine counts as lost for so long after its return, and only one storage machine may be lost at a time.
	catchUpTime = 4300 * time.Millisecond
	// collectTime bounds the wait for all results.
	collectTime = 60 * time.Second
)

// playCheckpoint kills the coordinating process twice, each time to come back on the same disk. At the first time a gateway stands still meanwhile; at
// the second it is killed as well. It judges the rule ORDER for the texts of a batch job.
func playCheckpoint(p *play) (held bool, err error) {
	routes, services := rolloutRoutes()
	if err := p.configure(2, routes, services); err != nil {
		return false, err
	}
	runs := &itemRuns{}
	for i, zone := range zones {
		pool := &sampler{id: fmt.Sprintf("pool-%d", i+1), service: "pool", zone: zone, slots: 16, queue: 4, model: rolloutModel,
			serve: serveItem(runs, checkpointEvents, checkpointGap)}
		if err := p.startSampler(pool); err != nil {
			return false, err
		}
		desk := &sampler{id: fmt.Sprintf("desk-%d", i+1), service: "desk", zone: zone, slots: 6, queue: 4, serve: serveWork(30 * time.Millisecond)}
		if err := p.startSampler(desk); err != nil {
			return false, err
		}
	}
	gateways, coordinators, err := p.startDaemons(len(zones))
	if err != nil {
		return false, err
	}
	p.pause(2 * time.Second)
	body, ids, err := batchBody("lot", 6, 4)
	if err != nil {
		return false, err
	}
	if !p.submit(gateways[1], "lot", body, time.Now().Add(startPatience)) {
		return false, errNotReady
	}
	disturbed := make(chan error, 1)
	go func() { disturbed <- p.disturbCheckpoints(gateways[0], coordinators) }()
	texts, dead := p.collect(gateways[1], "lot", time.Now().Add(collectTime))
	if err := <-disturbed; err != nil {
		return false, err
	}
	broken := 0
	for _, id := range ids {
		text, listed := texts[id]
		if !listed {
			continue
		}
		if fault := runs.judgeText(id, text, checkpointEvents); fault != "" {
			broken++
			p.note("ORDER: %s: %s", id, fault)
		}
	}
	p.note("%d items, %d completed, %d dead, %d with a text that was joined wrongly", len(ids), len(texts), len(dead), broken)
	return broken == 0, nil
}

// disturbCheckpoints is the disruption.
func (p *play) disturbCheckpoints(gateway *daemon, coordinators []*daemon) error {
	p.pause(2 * time.Second)
	if p.calm {
		return nil
	}
	leader := p.leaderOf(coordinators)
	if leader == nil {
		return errNotReady
	}
	p.note("SIGKILL to %s, which coordinates", leader.name)
	if err := leader.signal(syscall.SIGKILL); err != nil {
		return err
	}
	p.pause(restartTime * 7 / 10)
	p.note("SIGSTOP to %s", gateway.name)
	if err := gateway.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	p.pause(restartTime * 3 / 10)
	if err := leader.restart(); err != nil {
		return err
	}
	p.note("%s runs again", leader.name)
	p.pause(freezeTime - restartTime*3/10)
	p.note("SIGCONT to %s", gateway.name)
	if err := gateway.signal(syscall.SIGCONT); err != nil {
		return err
	}
	p.pause(catchUpTime - freezeTime + time.Second)
	p.note("SIGKILL to %s and %s", leader.name, gateway.name)
	for _, d := range []*daemon{leader, gateway} {
		if err := d.signal(syscall.SIGKILL); err != nil {
			return err
		}
	}
	p.pause(restartTime)
	for _, d := range []*daemon{leader, gateway} {
		if err := d.restart(); err != nil {
			return err
		}
	}
	p.note("%s and %s run again", leader.name, gateway.name)
	return nil
}
