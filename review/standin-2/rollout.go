package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	rolloutModel = "model-a"
	// rolloutDeadline is how long a client of a batch job waits for one answer.
	rolloutDeadline = 8 * time.Second
	// readInterval is the pause between two readings of a batch job.
	readInterval = 500 * time.Millisecond
)

// itemRun is one run of an item at a sampler.
type itemRun struct {
	item string
	// from is the event that the run was asked to go on after; zero from the start.
	from int
}

// itemRuns numbers the runs of items at all samplers of a play, from 1.
type itemRuns struct {
	mu   sync.Mutex
	runs []itemRun
}

func (r *itemRuns) begin(item string, from int) (number int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, itemRun{item: item, from: from})
	return len(r.runs)
}

func (r *itemRuns) of(number int) (run itemRun, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if number < 1 || number > len(r.runs) {
		return itemRun{}, false
	}
	return r.runs[number-1], true
}

// serveItem returns what answers an item by its events. The data of an event tell the item, the event's number and the number of the run.
func serveItem(runs *itemRuns, events int, gap time.Duration) func(s *sampler, c *samplerConn, request *http.Request, body []byte) {
	return func(s *sampler, c *samplerConn, request *http.Request, _ []byte) {
		id := request.Header.Get("Attempt-Id")
		// Without the header the run begins at the start.
		from, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
		run := runs.begin(id, from)
		s.play.note("%s: run %d of %s goes on after event %d", s.id, run, id, from)
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Stamp: %s\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
			id, stamp(id))
		if _, err := io.WriteString(c, head); err != nil {
			return
		}
		for number := from + 1; number <= events; number++ {
			event := fmt.Sprintf("id: %d\ndata: %s\n\n", number, eventData(id, number, run))
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
				s.play.note("%s: run %d of %s is cut off before event %d", s.id, run, id, number)
				c.Close()
				return
			}
			time.Sleep(gap)
		}
		if _, err := io.WriteString(c, "0\r\n\r\n"); err == nil {
			s.play.note("%s: run %d of %s has ended", s.id, run, id)
		}
	}
}

func eventData(item string, number, run int) string {
	return fmt.Sprintf("%s/%d/%d", item, number, run)
}

// rolloutRoutes are the routes of batch jobs and of their reward calls, and rolloutServices their services.
func rolloutRoutes() (routes, services []map[string]any) {
	routes = []map[string]any{
		{"name": "rollout", "hostname": host, "path-prefix": "/rollout/", "route-kind": "rollout", "timeout-ms": 10000, "target-latency-ms": 400, "priority": 1,
			"service": "pool", "max-attempts": 3, "result-deadline-ms": 30000, "max-queue-s": 90},
		{"name": "reward", "hostname": host, "path-prefix": "/reward/", "route-kind": "idempotent", "timeout-ms": 1500, "target-latency-ms": 150, "priority": 2,
			"service": "desk", "max-attempts": 4},
	}
	services = []map[string]any{
		{"name": "desk", "max-conns": 110},
		{"name": "pool", "max-conns": 150, "engine": map[string]any{"slots": 16, "kv-capacity": 100000, "models": []map[string]any{{"name": rolloutModel}}}},
	}
	return routes, services
}

// batchBody returns the body of a batch job and the ids of its items.
func batchBody(name string, groups, size int) (body []byte, ids []string, err error) {
	var items []map[string]any
	for group := range groups {
		for member := range size {
			id := fmt.Sprintf("%s-%d-%d", name, group, member)
			ids = append(ids, id)
			items = append(items, map[string]any{
				"id": id, "path": "/rollout/" + id, "body": []byte("prompt of " + id), "tokens": 500, "group": fmt.Sprintf("%s-%d", name, group),
				"headers": map[string]string{"Model": rolloutModel, "Token-Usage": "100,400", "Prefix-Hash": fmt.Sprintf("a%d:90,b%d%d:10", group, group, member)},
				"scorer":  map[string]any{"id": "reward-" + id, "hostname": host, "path": "/reward/" + id, "body": []byte("judge " + id)},
			})
		}
	}
	body, err = json.Marshal(map[string]any{"step": 0, "model": rolloutModel, "min-version": 1, "desired": groups, "requests": items})
	return body, ids, err
}

// listing is what a reading of a batch job returns.
type listing struct {
	Total   int `json:"total"`
	Next    int `json:"next-token"`
	Results []struct {
		ID    string `json:"id"`
		State string `json:"state"`
		Text  string `json:"message"`
	} `json:"results"`
}

// lotCall makes one call about a batch job, on a new connection.
func (p *play) lotCall(gateway *daemon, method, path, id string, body []byte) (int, []byte) {
	c, err := connect(gateway.http)
	if err != nil {
		return 0, nil
	}
	defer c.Close()
	got := c.do(call{method: method, id: id, path: path, deadline: rolloutDeadline, body: body})
	if got.err != nil {
		return 0, nil
	}
	return got.status, got.body
}

// submit sends a batch job until it is accepted or a time is over.
func (p *play) submit(gateway *daemon, name string, body []byte, until time.Time) bool {
	for time.Now().Before(until) {
		status, _ := p.lotCall(gateway, http.MethodPost, "/rollout/"+name, name, body)
		p.note("batch job %s is answered %d at %s", name, status, gateway.name)
		if status == http.StatusAccepted {
			return true
		}
		p.pause(readInterval)
	}
	return false
}

// collect reads a batch job until all of its results are listed or a time is over. It returns the texts of the completed items, and the dead ones.
func (p *play) collect(gateway *daemon, name string, until time.Time) (texts map[string]string, dead []string) {
	texts = make(map[string]string)
	position := 0
	for time.Now().Before(until) {
		status, body := p.lotCall(gateway, http.MethodGet, fmt.Sprintf("/v1/lots/%s?after-rev=%d", name, position), "", nil)
		var read listing
		if status != http.StatusOK || json.Unmarshal(body, &read) != nil {
			p.note("reading of %s is answered %d at %s", name, status, gateway.name)
			p.pause(readInterval)
			continue
		}
		for _, result := range read.Results {
			p.note("position %d of %s: %s is %s with %d events", position, name, result.ID, result.State, strings.Count(result.Text, "\n")+1)
			position++
			if result.State != "completed" {
				dead = append(dead, result.ID)
				continue
			}
			texts[result.ID] = result.Text
		}
		if position >= read.Total {
			return texts, dead
		}
		p.pause(readInterval)
	}
	return texts, dead
}

// judgeText checks that a text is whole and that where it goes on with another run, that run was asked to go on there.
func (r *itemRuns) judgeText(item, text string, events int) (fault string) {
	lines := strings.Split(text, "\n")
	last := 0
	for i, line := range lines {
		var number, run int
		rest, found := strings.CutPrefix(line, item+"/")
		if _, err := fmt.Sscanf(rest, "%d/%d", &number, &run); err != nil || !found {
			return fmt.Sprintf("line %d is %q", i+1, line)
		}
		if number != i+1 {
			return fmt.Sprintf("event %d stands at place %d", number, i+1)
		}
		known, ok := r.of(run)
		if !ok || known.item != item {
			return fmt.Sprintf("event %d is of run %d, which is not the item's", number, run)
		}
		if run != last && known.from != i {
			return fmt.Sprintf("after event %d of run %d the text goes on with run %d, which was asked to go on after event %d", i, last, run, known.from)
		}
		last = run
	}
	if len(lines) != events {
		return fmt.Sprintf("the text has %d events of %d", len(lines), events)
	}
	return ""
}
