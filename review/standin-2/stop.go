package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// stopClients is how many clients read one stream after the other, each on a connection that it keeps.
	stopClients = 24
	// streamEvents and streamGap make a stream of stopStream.
	streamEvents = 39
	streamGap    = 100 * time.Millisecond
	stopStream   = (streamEvents - 1) * streamGap
	// stopGrace is grace-s of the settings, and lateAfter how long after the SIGTERM the rule's excuse for long requests ends.
	stopGrace = 8 * time.Second
	lateAfter = 3 * time.Second
)

// streamCall is a client's request for a stream, as the client has seen it.
type streamCall struct {
	id       string
	sent     time.Time
	took     time.Duration
	got      reply
	complete bool
}

// playLateStop stops a gateway as planned while clients read streams on connections that they keep. It judges the rule LOST.
func playLateStop(p *play) (held bool, err error) {
	routes := []map[string]any{{"name": "chat", "hostname": host, "path-prefix": "/chat/", "route-kind": "streaming", "timeout-ms": 10000,
		"target-latency-ms": 400, "priority": 1, "service": "pool", "max-attempts": 3}}
	services := []map[string]any{{"name": "pool", "max-conns": 150}}
	if err := p.configure(2, routes, services); err != nil {
		return false, err
	}
	var samplers []*sampler
	for i := range zones {
		s := &sampler{id: fmt.Sprintf("i-%d", i+1), service: "pool", zone: zones[i], slots: stopClients, queue: 4, serve: serveStream(streamEvents, streamGap)}
		if err := p.startSampler(s); err != nil {
			return false, err
		}
		samplers = append(samplers, s)
	}
	gateways, _, err := p.startDaemons(len(zones))
	if err != nil {
		return false, err
	}
	stopping := gateways[0]
	var mu sync.Mutex
	var calls []streamCall
	var clients sync.WaitGroup
	over := time.Now().Add(2*stopStream + stopGrace)
	for n := range stopClients {
		clients.Go(func() {
			// The clients begin one after the other within one stream.
			p.pause(time.Duration(n) * stopStream / stopClients)
			made := p.readStreams(stopping, n, over)
			mu.Lock()
			defer mu.Unlock()
			calls = append(calls, made...)
		})
	}
	p.pause(stopStream + stopStream/2)
	stopped := time.Now()
	if !p.calm {
		p.note("SIGTERM to %s", stopping.name)
		if err := stopping.signal(syscall.SIGTERM); err != nil {
			return false, err
		}
		p.running.Go(func() {
			<-stopping.ended
			p.note("%s has ended %.3f s after the SIGTERM", stopping.name, time.Since(stopped).Seconds())
		})
	}
	clients.Wait()
	return p.judgeStop(calls, samplers, stopped, stopStream), nil
}

// readStreams makes a client's calls on one connection until the gateway closes it or says that it will, or the time is over.
func (p *play) readStreams(gateway *daemon, client int, over time.Time) []streamCall {
	c, err := connect(gateway.http)
	if err != nil {
		p.note("no connection to %s: %v", gateway.name, err)
		return nil
	}
	defer c.Close()
	var made []streamCall
	for number := 0; time.Now().Before(over); number++ {
		id := fmt.Sprintf("s-%d-%d", client, number)
		began := time.Now()
		p.note("%s is sent", id)
		got := c.do(call{id: id, path: "/chat/" + id, deadline: 12 * time.Second, body: []byte("prompt " + id)})
		events := strings.Count(string(got.body), "\n\n")
		made = append(made, streamCall{id: id, sent: began, took: time.Since(began), got: got, complete: got.whole && (got.status != http.StatusOK || events == streamEvents)})
		p.note("%s is answered %d with %d events after %.3f s (whole %v, close %v, err %v)", id, got.status, events, time.Since(began).Seconds(), got.whole, got.close, got.err)
		if got.close {
			return made
		}
	}
	return made
}

// judgeStop counts the calls that a sampler has begun to run and whose connection was closed without a complete answer, without those that the rule
// excuses: sent no later than lateAfter after the SIGTERM, with the sampler at work in the last sixth of the grace. work is what a request takes.
func (p *play) judgeStop(calls []streamCall, samplers []*sampler, stopped time.Time, work time.Duration) (held bool) {
	lost, excused := 0, 0
	for _, made := range calls {
		runs := 0
		for _, s := range samplers {
			runs += s.runsOf(made.id)
		}
		if made.complete || runs == 0 {
			continue
		}
		sent, cut := made.sent.Sub(stopped), made.sent.Add(made.took).Sub(stopped)
		if sent <= lateAfter && cut >= stopGrace*5/6 {
			excused++
			continue
		}
		lost++
		p.note("LOST: %s was sent %.3f s after the SIGTERM, passed on, and cut %.3f s after it; its sampler would have ended it after %.3f s", made.id, sent.Seconds(),
			cut.Seconds(), (sent + work).Seconds())
	}
	p.note("%d requests, %d lost, %d cut with an excuse", len(calls), lost, excused)
	return lost == 0
}
