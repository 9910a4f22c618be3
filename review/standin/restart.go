package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// Each talk is a stream of 4 s; each lookup takes 25 ms.
	talkEvents = 80
	talkPause  = 50 * time.Millisecond
	lookupTime = 25 * time.Millisecond
	// lookupInterval and talkInterval are the pauses between two new connections of the zone's callers.
	lookupInterval = 50 * time.Millisecond
	talkInterval   = 150 * time.Millisecond
	// restartGap is the pause between two planned stops, and restartDelay that between the end of a process and its next start.
	restartGap   = 1190 * time.Millisecond
	restartDelay = 300 * time.Millisecond
	// Bounds of the pages.
	graceTime   = 8 * time.Second
	earlySend   = 3 * time.Second
	busyFrom    = graceTime - graceTime/6
	plannedTime = graceTime + time.Second
)

// talk is one request for a stream as its caller saw it.
type talk struct {
	id          string
	gateway     string
	sent, ended time.Time
	status      int
	events      int
	whole       bool
	err         error
}

// restartCase holds what the callers of the case have seen.
type restartCase struct {
	deployment *deployment
	entry      *entry
	running    sync.WaitGroup

	mu      sync.Mutex
	talks   []*talk
	lookups map[int]int
	stopped map[string]time.Time
}

// playRestart stops and starts two of a zone's three gateways in turn and checks that no answer is cut off (LOST).
func playRestart(d *deployment, trouble bool) (bool, error) {
	if err := d.put("config", "main", restartConfig()); err != nil {
		return false, err
	}
	for i := range 8 {
		talkWork := func(string) work { return work{events: talkEvents, pause: talkPause} }
		if _, err := d.addEngine(fmt.Sprintf("i-%d", i+1), "pool", zones[i%len(zones)], true, talkWork); err != nil {
			return false, err
		}
	}
	for i := range 3 {
		if _, err := d.addEngine(fmt.Sprintf("d-%d", i+1), "desk", zones[i], false, func(string) work { return work{pause: lookupTime} }); err != nil {
			return false, err
		}
	}
	if err := d.start(3, zones[0], zones[0], zones[0], zones[1], zones[2]); err != nil {
		return false, err
	}
	c := &restartCase{deployment: d, entry: newEntry(d.gateways, d.record), lookups: make(map[int]int), stopped: make(map[string]time.Time)}
	defer c.entry.close()
	time.Sleep(3 * time.Second)
	done := make(chan struct{})
	c.running.Go(func() { c.every(lookupInterval, done, c.lookup) })
	c.running.Go(func() { c.every(talkInterval, done, c.talk) })
	time.Sleep(5 * time.Second)
	if trouble {
		for _, gateway := range d.gateways[:2] {
			c.restart(gateway)
			time.Sleep(restartGap)
		}
	}
	time.Sleep(14 * time.Second)
	close(done)
	c.running.Wait()
	time.Sleep(settleTime)
	return c.check(), nil
}

func restartConfig() map[string]any {
	return map[string]any{
		"version": 3,
		"routes": []map[string]any{
			{"name": "talk", "hostname": host, "path-prefix": "/talk/", "route-kind": "streaming", "resumable": false, "sticky": true, "timeout-ms": 10000,
				"target-latency-ms": 400, "priority": 1, "service": "pool", "max-attempts": 3},
			{"name": "look", "hostname": host, "path-prefix": "/look/", "route-kind": "idempotent", "timeout-ms": 1500, "target-latency-ms": 150,
				"priority": 2, "service": "desk", "max-attempts": 2},
		},
		"services": []map[string]any{
			{"name": "pool", "max-conns": 150, "engine": map[string]any{"slots": 8, "kv-capacity": 103490, "models": []map[string]any{{"name": model}}}},
			{"name": "desk", "max-conns": 110},
		},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 33554432, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
}

// every calls a function with a rising number at even intervals, each call in a goroutine of its own.
func (c *restartCase) every(interval time.Duration, done <-chan struct{}, call func(number int)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for number := 0; ; number++ {
		select {
		case <-ticker.C:
			c.running.Go(func() { call(number) })
		case <-done:
			return
		}
	}
}

// restart stops a gateway as planned and starts it again once it has ended.
func (c *restartCase) restart(gateway *process) {
	c.mu.Lock()
	c.stopped[gateway.name] = time.Now()
	c.mu.Unlock()
	c.deployment.record.note("SIGTERM to %s", gateway.name)
	_ = gateway.command.Process.Signal(syscall.SIGTERM)
	ended, command := gateway.ended, gateway.command
	kill := time.AfterFunc(graceTime, func() { _ = command.Process.Kill() })
	c.running.Go(func() {
		<-ended
		kill.Stop()
		c.deployment.record.note("%s has ended", gateway.name)
		time.Sleep(restartDelay)
		if err := c.deployment.run(gateway); err != nil {
			c.deployment.record.note("%s does not start: %v", gateway.name, err)
		}
	})
}

func newRequest(p *process, path, id string, deadline time.Duration) (*http.Request, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+p.http+path, strings.NewReader("body of "+id))
	if err != nil {
		return nil, err
	}
	request.Host = host
	request.Close = true
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	return request, nil
}

// lookup sends a short request.
func (c *restartCase) lookup(number int) {
	status := 0
	if request, err := newRequest(c.entry.pick(zones[0], number), "/look/1", fmt.Sprintf("%016x", 0xb000+number), 1500*time.Millisecond); err == nil {
		if response, err := (&http.Transport{}).RoundTrip(request); err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			response.Body.Close()
			status = response.StatusCode
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lookups[status]++
}

// talk sends a request for a stream and reads its answer.
func (c *restartCase) talk(number int) {
	node := c.entry.pick(zones[0], number)
	t := &talk{id: fmt.Sprintf("%016x", 0xa000+number), gateway: node.name}
	c.mu.Lock()
	c.talks = append(c.talks, t)
	c.mu.Unlock()
	request, err := newRequest(node, "/talk/1", t.id, callerDeadline)
	if err != nil {
		t.err = err
		return
	}
	request.Header.Set("Model", model)
	request.Header.Set("Token-Usage", "16,400")
	request.Header.Set("Prefix-Hash", "9c2e41:16")
	t.sent = time.Now()
	defer func() { t.ended = time.Now() }()
	response, err := (&http.Transport{}).RoundTrip(request)
	if err != nil {
		t.err = err
		return
	}
	defer response.Body.Close()
	t.status = response.StatusCode
	content, err := io.ReadAll(response.Body)
	t.err = err
	t.events = strings.Count(string(content), "\n\n")
	t.whole = err == nil && t.events == talkEvents
}

// check applies LOST around the planned stops.
func (c *restartCase) check() (broken bool) {
	record := c.deployment.record
	cut := 0
	for _, t := range c.talks {
		runs := c.deployment.runsOf(t.id)
		stopped, planned := c.stopped[t.gateway]
		line := fmt.Sprintf("talk %s sent to %s at %s: status %d, %d of %d events, whole=%v, ended at %s: %v", t.id, t.gateway, record.at(t.sent), t.status, t.events,
			talkEvents, t.whole, record.at(t.ended), t.err)
		for _, r := range runs {
			line += fmt.Sprintf("; ran at %s from %s to %s, %d events, connection closed by the caller=%v", r.engine, record.at(r.began), record.at(r.ended), r.events, r.left)
		}
		lost := !t.whole && len(runs) > 0 && (t.status == 0 || t.status/100 == 2)
		if lost && planned && t.ended.After(stopped) && t.ended.Before(stopped.Add(plannedTime)) && t.ended.Sub(t.sent) < routeTimeout {
			early := !t.sent.After(stopped.Add(earlySend))
			busy := runs[0].ended.After(stopped.Add(busyFrom))
			line += fmt.Sprintf("; cut, sent %v after SIGTERM", t.sent.Sub(stopped).Round(time.Millisecond))
			if early && busy {
				line += ", excused"
			} else {
				cut++
				line += ", NOT EXCUSED"
			}
		}
		record.note("%s", line)
	}
	record.note("lookups by status: %v", c.lookups)
	record.note("%d of %d talks were cut around the planned stops without an excuse", cut, len(c.talks))
	return cut > 0
}
