package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// The disruption of this case, at most what the site file names for it: garble, how "extra late", share 0.6, x 0.03, for 5 s.
const (
	surplusShare  = 0.6
	surplusOf     = 0.03
	surplusLength = 5 * time.Second
	// surplusTimes is how often the disruption arises, with surplusGap between.
	surplusTimes = 4
	surplusGap   = 2 * time.Second
)

const (
	surplusSamplers = 5
	surplusGateways = 9
	surplusClients  = 3
	surplusWork     = 6 * time.Millisecond
)

// attempt is one client attempt, as its client has seen it.
type attempt struct {
	id  string
	got reply
}

// playSurplusRefusal lets samplers that refuse requests because they are full send some of these answers again, late, in place of the next one on the
// connection. It judges the rules TWICE and REFUSED for requests that are not idempotent.
func playSurplusRefusal(p *play) (held bool, err error) {
	routes := []map[string]any{{"name": "relay", "hostname": host, "path-prefix": "/relay/", "route-kind": "non_idempotent", "timeout-ms": 5000,
		"target-latency-ms": 2000, "priority": 2, "service": "desk", "max-attempts": 1}}
	services := []map[string]any{{"name": "desk", "max-conns": 110}}
	if err := p.configure(2, routes, services); err != nil {
		return false, err
	}
	var garbling atomic.Bool
	var samplers []*sampler
	for i := range surplusSamplers {
		s := &sampler{id: fmt.Sprintf("i-%d", i+1), service: "desk", zone: zones[i%len(zones)], slots: 1, queue: 1, serve: serveWork(surplusWork)}
		if i < int(surplusShare*surplusSamplers) {
			s.surplus = func(int) bool { return garbling.Load() && rand.Float64() < surplusOf }
		}
		if err := p.startSampler(s); err != nil {
			return false, err
		}
		samplers = append(samplers, s)
	}
	gateways, _, err := p.startDaemons(surplusGateways)
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	var attempts []attempt
	var clients sync.WaitGroup
	var over atomic.Bool
	for g, gateway := range gateways {
		for n := range surplusClients {
			clients.Go(func() {
				for number := 0; !over.Load(); number++ {
					made := p.relay(gateway, fmt.Sprintf("%d-%d-%d", g, n, number))
					mu.Lock()
					attempts = append(attempts, made...)
					mu.Unlock()
				}
			})
		}
	}
	for range surplusTimes {
		p.pause(surplusGap)
		if !p.calm {
			p.note("from now on %d of %d samplers send %.0f%% of their answers again, late, for %s", int(surplusShare*surplusSamplers), surplusSamplers, 100*surplusOf, surplusLength)
			garbling.Store(true)
		}
		p.pause(surplusLength)
		garbling.Store(false)
	}
	p.pause(surplusGap)
	over.Store(true)
	clients.Wait()
	p.pause(time.Second)
	return p.judgeOnce(attempts, samplers), nil
}

// relay makes a client's request, each attempt on a connection and with an id of its own: a second one follows a promise that the first has not run.
func (p *play) relay(gateway *daemon, name string) []attempt {
	var made []attempt
	for try := range 2 {
		id := fmt.Sprintf("%s-%d", name, try)
		c, err := connect(gateway.http)
		if err != nil {
			p.note("no connection to %s: %v", gateway.name, err)
			p.pause(100 * time.Millisecond)
			return made
		}
		got := c.do(call{id: id, path: "/relay/" + name, deadline: 3 * time.Second, body: []byte("minutes " + name)})
		c.Close()
		p.note("%s is answered %d at %s (err %v)", id, got.status, gateway.name, got.err)
		made = append(made, attempt{id: id, got: got})
		if !got.promised() {
			return made
		}
		p.pause(min(got.retryAfter(), 600*time.Millisecond))
	}
	return made
}

// judgeOnce judges attempts of requests that may run once.
func (p *play) judgeOnce(attempts []attempt, samplers []*sampler) (held bool) {
	twice, refused, statuses := 0, 0, make(map[int]int)
	for _, made := range attempts {
		statuses[made.got.status]++
		runs := 0
		for _, s := range samplers {
			runs += s.runsOf(made.id)
		}
		if runs > 1 {
			twice++
			p.note("TWICE: %s ran %d times, and its client was answered %d", made.id, runs, made.got.status)
		}
		if runs > 0 && made.got.promised() {
			refused++
			p.note("REFUSED: %s ran %d times, and its client was answered %d", made.id, runs, made.got.status)
		}
	}
	p.note("%d attempts, answered %v; %d ran more than once, %d ran and were answered that they never would", len(attempts), statuses, twice, refused)
	if statuses[http.StatusOK] == 0 {
		p.note("no request was served")
	}
	return twice+refused == 0
}
