package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/covelink/covelink/internal/metastore/metastoretest"
)

const (
	// removalRetention is status-s of this case's settings, in seconds.
	removalRetention = 20
	removalEvents    = 20
	removalGap       = 20 * time.Millisecond
	// slowAnswer is what an answer of the store takes while it is sixty times as slow as usual.
	slowAnswer = 240 * time.Millisecond
	// killDelay is how long after a call of the coordinating process it is killed.
	killDelay = 100 * time.Millisecond
	// removalPatience bounds the wait for the removal of a job, and laterPatience that for the results of a later one.
	removalPatience = 45 * time.Second
	laterPatience   = 25 * time.Second
	// resultsKind begins the kind of the objects that hold a job's results.
	resultsKind = "batch-results."
)

// errNotSeen reports a call to the store that the case waits for and that was not made.
var errNotSeen = errors.New("the store was not called as expected")

// storeWatch is called for each call to the store. It returns what becomes of the call.
type storeWatch struct {
	mu     sync.Mutex
	choose func(operation, kind string) metastoretest.Fault
}

func (w *storeWatch) set(choose func(operation, kind string) metastoretest.Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.choose = choose
}

func (w *storeWatch) fault(operation, kind string, _ bool) metastoretest.Fault {
	w.mu.Lock()
	choose := w.choose
	w.mu.Unlock()
	if choose == nil {
		return metastoretest.None
	}
	return choose(operation, kind)
}

// playRemoval kills the coordinating process as it ends a job, and its successor as it removes that job from the store. It judges the rule LOST for a
// job that is accepted afterwards.
func playRemoval(p *play) (held bool, err error) {
	p.retention = removalRetention
	watch := &storeWatch{}
	p.store.wire.Fault = watch.fault
	routes, services := rolloutRoutes()
	if err := p.configure(2, routes, services); err != nil {
		return false, err
	}
	runs := &itemRuns{}
	for i, zone := range zones {
		pool := &sampler{id: fmt.Sprintf("pool-%d", i+1), service: "pool", zone: zone, slots: 2, queue: 4, model: rolloutModel, serve: serveItem(runs, removalEvents, removalGap)}
		desk := &sampler{id: fmt.Sprintf("desk-%d", i+1), service: "desk", zone: zone, slots: 6, queue: 4, serve: serveWork(30 * time.Millisecond)}
		for _, s := range []*sampler{pool, desk} {
			if err := p.startSampler(s); err != nil {
				return false, err
			}
		}
	}
	gateways, coordinators, err := p.startDaemons(len(zones))
	if err != nil {
		return false, err
	}
	p.pause(2 * time.Second)
	if err := p.runJob(gateways[0], "early"); err != nil {
		return false, err
	}
	if err := p.disturbEnd(watch, gateways[1], coordinators); err != nil {
		return false, err
	}
	if err := p.disturbRemoval(watch, coordinators); err != nil {
		return false, err
	}
	p.pause(catchUpTime)
	if err := p.runJob(gateways[1], "later"); errors.Is(err, errIncomplete) {
		p.note("LOST: %v", err)
		p.noteLog(coordinators, "failed to read open jobs")
		return false, nil
	} else if err != nil {
		return false, err
	}
	return true, nil
}

// errIncomplete reports a job that was accepted and whose results are not listed.
var errIncomplete = errors.New("a job that was accepted has no results")

// runJob submits a job and reads its results.
func (p *play) runJob(gateway *daemon, name string) error {
	body, ids, err := batchBody(name, 6, 4)
	if err != nil {
		return err
	}
	if !p.submit(gateway, name, body, time.Now().Add(startPatience)) {
		return fmt.Errorf("%s was not accepted: %w", name, errNotSeen)
	}
	texts, dead := p.collect(gateway, name, time.Now().Add(laterPatience))
	p.note("%s: %d items, %d completed, %d dead", name, len(ids), len(texts), len(dead))
	if len(texts)+len(dead) < len(ids) {
		return fmt.Errorf("%s, accepted %s ago or more, has %d results of %d: %w", name, laterPatience, len(texts)+len(dead), len(ids), errIncomplete)
	}
	return nil
}

// disturbEnd ends the early job. The store carries out the write that seals its results and its answer is lost; the coordinating process is killed before
// it asks again. The client asks for the end until it is acknowledged.
func (p *play) disturbEnd(watch *storeWatch, gateway *daemon, coordinators []*daemon) error {
	sealed := make(chan struct{})
	if !p.calm {
		var once sync.Once
		watch.set(func(operation, kind string) metastoretest.Fault {
			if operation != "create" || !strings.HasPrefix(kind, resultsKind) {
				return metastoretest.None
			}
			once.Do(func() { close(sealed) })
			return metastoretest.AnswerLost
		})
		p.running.Go(func() {
			select {
			case <-sealed:
				p.pause(killDelay)
				p.killLeader(coordinators, func() { watch.set(nil) })
			case <-p.ctx.Done():
			}
		})
	}
	for until := time.Now().Add(startPatience); time.Now().Before(until); p.pause(readInterval) {
		status, _ := p.lotCall(gateway, http.MethodDelete, "/v1/lots/early", "", nil)
		p.note("the end of early is answered %d at %s", status, gateway.name)
		if status == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("early was not ended: %w", errNotSeen)
}

// disturbRemoval waits until the early job is removed. The store is slow then, and the coordinating process is killed before the removal is complete.
func (p *play) disturbRemoval(watch *storeWatch, coordinators []*daemon) error {
	removing := make(chan struct{})
	var once sync.Once
	watch.set(func(operation, kind string) metastoretest.Fault {
		if operation == "delete" && strings.HasPrefix(kind, resultsKind) {
			once.Do(func() { close(removing) })
		}
		return metastoretest.None
	})
	select {
	case <-removing:
	case <-time.After(removalPatience):
		return fmt.Errorf("early was not removed: %w", errNotSeen)
	}
	p.note("the removal of early has begun")
	if p.calm {
		return nil
	}
	watch.set(func(string, string) metastoretest.Fault {
		time.Sleep(slowAnswer)
		return metastoretest.None
	})
	p.pause(killDelay)
	p.killLeader(coordinators, func() { watch.set(nil) })
	return nil
}

// killLeader kills the process that coordinates and starts it again. The store is sound again from the kill on.
func (p *play) killLeader(coordinators []*daemon, mend func()) {
	leader := p.leaderOf(coordinators)
	if leader == nil {
		return
	}
	p.note("SIGKILL to %s, which coordinates", leader.name)
	if err := leader.signal(syscall.SIGKILL); err != nil {
		p.note("%s could not be killed: %v", leader.name, err)
	}
	<-leader.ended
	mend()
	p.pause(restartTime)
	if err := leader.restart(); err != nil {
		p.note("%s could not be started again: %v", leader.name, err)
		return
	}
	p.note("%s runs again", leader.name)
}
