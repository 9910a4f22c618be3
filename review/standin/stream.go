package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// The streams of this case, and the bounds of the pages that the check uses.
const (
	streamEvents   = 30
	streamPause    = 50 * time.Millisecond
	callerDeadline = 12 * time.Second
	routeTimeout   = 10 * time.Second
	latencyGoal    = 400 * time.Millisecond
	// configWindow is config-apply-ms + 1 s: how long after its acknowledgement a configuration counts as planned work.
	configWindow = 3 * time.Second
	// usedShare is the share of its time after which a cut request does not count.
	usedShare = 0.7
	// rateFactor is how many times as often as at other times a machine must cut requests next to a configuration.
	rateFactor = 3
	// sendInterval is the pause between two requests to one gateway: at most eight streams run at a time, the slots of one engine.
	sendInterval = 600 * time.Millisecond
	calmTime     = 6 * time.Second
	// changedTime is how long after the change requests are sent: a stream that is cut ends within configWindow.
	changedTime = 2200 * time.Millisecond
	// settleTime is the wait until the engines have noticed the end of the last connections.
	settleTime = 300 * time.Millisecond
)

// streamCall is one request as its caller saw it.
type streamCall struct {
	id       string
	gateway  string
	sent     time.Time
	ended    time.Time
	status   int
	events   int
	whole    bool
	stamped  bool
	closeErr error
}

// playStream moves a route for resumable streams from a service of one engine to one of three and back, and checks that the streams next to these
// changes are not cut (LOST).
func playStream(d *deployment, trouble bool) (bool, error) {
	if err := d.put("config", "main", streamConfig(3, "pool-a")); err != nil {
		return false, err
	}
	task := func(string) work { return work{events: streamEvents, pause: streamPause} }
	for i, service := range []string{"pool-a", "pool-b", "pool-b", "pool-b"} {
		if _, err := d.addEngine(fmt.Sprintf("i-%d", i+1), service, zones[i%len(zones)], true, task); err != nil {
			return false, err
		}
	}
	if err := d.start(3, zones...); err != nil {
		return false, err
	}
	// No request is sent within contact-ms of the start.
	time.Sleep(4 * time.Second)
	callers := &streamCallers{deployment: d}
	callers.sendFor(calmTime)
	var changes []change
	for _, next := range []struct {
		version int
		service string
		length  time.Duration
	}{{5, "pool-b", changedTime}, {7, "pool-a", configWindow + calmTime}} {
		if trouble {
			made, err := d.changeService(next.version, next.service)
			if err != nil {
				return false, err
			}
			changes = append(changes, made)
		}
		callers.sendFor(next.length)
	}
	callers.running.Wait()
	time.Sleep(settleTime)
	return callers.check(changes), nil
}

// change is one configuration of the operator.
type change struct{ sent, acknowledged time.Time }

// near reports whether a moment lies in the time for which the change counts as planned work.
func (c change) near(moment time.Time) bool {
	return moment.After(c.sent) && moment.Before(c.acknowledged.Add(configWindow))
}

func (d *deployment) changeService(version int, service string) (change, error) {
	made := change{sent: time.Now()}
	err := d.put("config", "main", streamConfig(version, service))
	made.acknowledged = time.Now()
	d.record.note("configuration %d moves the route to %s; acknowledged at %s", version, service, d.record.at(made.acknowledged))
	return made, err
}

func streamConfig(version int, service string) map[string]any {
	engine := map[string]any{"slots": 8, "kv-capacity": 103490, "models": []map[string]any{{"name": model}}}
	return map[string]any{
		"version": version,
		"routes": []map[string]any{
			{"name": "talk", "hostname": host, "path-prefix": "/talk/", "route-kind": "streaming", "resumable": true, "sticky": true,
				"timeout-ms": routeTimeout.Milliseconds(), "target-latency-ms": latencyGoal.Milliseconds(), "priority": 1, "service": service, "max-attempts": 3},
		},
		"services": []map[string]any{
			{"name": "pool-a", "max-conns": 150, "engine": engine},
			{"name": "pool-b", "max-conns": 150, "engine": engine},
		},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 33554432, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
}

// streamCallers are the clients of the case.
type streamCallers struct {
	deployment *deployment
	running    sync.WaitGroup

	mu    sync.Mutex
	count int
	calls []*streamCall
}

// sendFor sends requests to each gateway at even intervals for a time.
func (c *streamCallers) sendFor(length time.Duration) {
	until := time.Now().Add(length)
	for time.Now().Before(until) {
		for _, gateway := range c.deployment.gateways {
			c.mu.Lock()
			c.count++
			call := &streamCall{id: fmt.Sprintf("%016x", 0x5a00+c.count), gateway: gateway.name}
			c.calls = append(c.calls, call)
			c.mu.Unlock()
			c.running.Go(func() { c.deployment.callStream(gateway, call) })
		}
		time.Sleep(sendInterval)
	}
}

// callStream sends a request for a stream on a connection of its own and reads its answer.
func (d *deployment) callStream(p *process, call *streamCall) {
	request, err := http.NewRequest(http.MethodPost, "http://"+p.http+"/talk/1", strings.NewReader("body of "+call.id))
	if err != nil {
		call.closeErr = err
		return
	}
	request.Host = host
	request.Close = true
	request.Header.Set("Attempt-Id", call.id)
	request.Header.Set("Deadline-Ms", fmt.Sprint(callerDeadline.Milliseconds()))
	request.Header.Set("Model", model)
	request.Header.Set("Token-Usage", "16,400")
	request.Header.Set("Prefix-Hash", "9c2e41:16")
	call.sent = time.Now()
	defer func() {
		call.ended = time.Now()
		d.record.note("request %s sent to %s at %s: status %d, %d of %d events, whole=%v after %v: %v", call.id, p.name, d.record.at(call.sent), call.status,
			call.events, streamEvents, call.whole, call.ended.Sub(call.sent).Round(time.Millisecond), call.closeErr)
	}()
	response, err := (&http.Transport{}).RoundTrip(request)
	if err != nil {
		call.closeErr = err
		return
	}
	defer response.Body.Close()
	call.status, call.stamped = response.StatusCode, response.Header.Get("Server-Stamp") != ""
	content, err := io.ReadAll(response.Body)
	call.closeErr = err
	call.events = strings.Count(string(content), "\n\n")
	var wanted strings.Builder
	for number := range streamEvents {
		wanted.WriteString(eventOf(call.id, number+1))
	}
	call.whole = err == nil && string(content) == wanted.String()
	if err == nil && call.status == http.StatusOK && !call.whole {
		call.closeErr = errors.New("the answer ends as complete and is not whole")
	}
}

// check applies LOST: next to a configuration, a connection closes without a complete answer after the request was passed on to an engine, and the
// machine cuts requests over three times as often as at other times.
func (c *streamCallers) check(changes []change) (broken bool) {
	type tally struct{ requests, cut int }
	near, other := make(map[string]*tally), make(map[string]*tally)
	for _, gateway := range c.deployment.gateways {
		near[gateway.name], other[gateway.name] = &tally{}, &tally{}
	}
	for _, call := range c.calls {
		runs := c.deployment.runsOf(call.id)
		for _, r := range runs {
			c.deployment.record.note("  %s ran at %s from %s to %s: %d events sent, connection closed by the caller=%v", r.id, r.engine,
				c.deployment.record.at(r.began), c.deployment.record.at(r.ended), r.events, r.left)
		}
		part := other[call.gateway]
		if slices.ContainsFunc(changes, func(made change) bool { return made.near(call.ended) }) {
			part = near[call.gateway]
		}
		part.requests++
		used := call.ended.Sub(call.sent)
		excused := used >= time.Duration(usedShare*float64(routeTimeout))
		if call.status/100 == 2 && !call.whole && len(runs) > 0 && !excused {
			part.cut++
		}
	}
	for name, part := range near {
		apart := other[name]
		nearRate := float64(part.cut) / max(float64(part.requests), 1)
		otherRate := float64(apart.cut) / max(float64(apart.requests), 1)
		c.deployment.record.note("%s: next to the configuration %d of %d requests cut, at other times %d of %d", name, part.cut, part.requests, apart.cut, apart.requests)
		if part.cut > 0 && nearRate > rateFactor*otherRate {
			broken = true
		}
	}
	return broken
}
