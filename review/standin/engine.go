package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is one request that an engine began to work on.
type run struct {
	id     string
	engine string
	// from is the event after which a stream continues.
	from int
	// events counts the events that were sent.
	events int
	began  time.Time
	ended  time.Time
	// left is true if the caller closed the connection before the answer was whole.
	left bool
}

// work tells how long a request runs: a stream of events with a pause between them, or one answer after a time.
type work struct {
	events int
	pause  time.Duration
}

// engine is a sampler, or one server of a plain service.
type engine struct {
	id      string
	service string
	zone    string
	streams bool
	// work returns what a request takes.
	work func(id string) work

	listener net.Listener
	server   *http.Server

	mu       sync.Mutex
	state    string
	version  int64
	sequence int64
	runs     []*run
}

func (d *deployment) addEngine(id, service, zone string, streams bool, workOf func(id string) work) (*engine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{id: id, service: service, zone: zone, streams: streams, work: workOf, listener: listener, state: "ready", version: 1}
	routes := http.NewServeMux()
	routes.HandleFunc("GET /healthz", e.health)
	routes.HandleFunc("GET /v1/report", e.report)
	routes.HandleFunc("POST /v1/order", e.order)
	routes.HandleFunc("/", e.execute)
	e.server = &http.Server{Handler: routes}
	go func() { _ = e.server.Serve(listener) }()
	d.engines = append(d.engines, e)
	return e, d.list(e)
}

// list writes the engine's entry into the store.
func (d *deployment) list(e *engine) error {
	e.mu.Lock()
	state, version := e.state, e.version
	e.mu.Unlock()
	entry := map[string]any{"service": e.service, "address": e.listener.Addr().String(), "zone": e.zone, "version": "v1", "slots": 8,
		"state": state, "cold-remaining-ms": 0, "seq": 1}
	if e.streams {
		entry["stage"] = "both"
		entry["models"] = []map[string]any{{"name": model, "version": version, "adapters": []string{}}}
	}
	return d.put("servers", e.id, entry)
}

func (e *engine) close() {
	_ = e.server.Close()
}

func (e *engine) health(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set("Instance-Id", e.id)
	if e.state != "ready" {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (e *engine) report(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	models := []map[string]any{}
	if e.streams {
		models = append(models, map[string]any{"name": model, "version": e.version, "adapters": []string{}})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"stage": "both", "models": models, "busy": false, "seq": e.sequence, "waiting": 0, "running": 0,
		"kv-used": 0, "kv-total": 100000, "handles": 0})
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Version  int64  `json:"version"`
		Holder   string `json:"holder"`
		Token    int64  `json:"fencing-token"`
		Expected *int64 `json:"expected-count"`
	}
	if json.NewDecoder(r.Body).Decode(&order) != nil || order.Holder == "" || order.Token == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if order.Expected != nil && *order.Expected != e.sequence {
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.sequence++
	e.version = order.Version
	w.WriteHeader(http.StatusAccepted)
}

// stamp is what an engine signs its answer to a request with.
func stamp(engine, id string) string { return "stamp." + engine + "." + id }

// answerOf is the whole answer to a request that is no stream.
func answerOf(id string) string { return "answer to " + id }

// eventOf is one event of a stream, counted from 1.
func eventOf(id string, number int) string {
	return fmt.Sprintf("id: %d\ndata: %s/%d\n\n", number, id, number)
}

func (e *engine) execute(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	began := &run{id: id, engine: e.id, from: from, began: time.Now()}
	e.mu.Lock()
	e.runs = append(e.runs, began)
	version := e.version
	e.mu.Unlock()
	w.Header().Set("Server-Stamp", stamp(e.id, id))
	limit := r.Context()
	if milliseconds, err := strconv.Atoi(r.Header.Get("Deadline-Ms")); err == nil {
		var cancel context.CancelFunc
		limit, cancel = context.WithTimeout(limit, time.Duration(milliseconds)*time.Millisecond)
		defer cancel()
	}
	task := e.work(id)
	if e.streams {
		e.stream(limit, w, began, task, version)
	} else {
		e.answer(limit, w, began, task)
	}
	e.mu.Lock()
	began.ended = time.Now()
	e.mu.Unlock()
}

func (e *engine) stream(ctx context.Context, w http.ResponseWriter, began *run, task work, version int64) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Weight-Versions", strconv.FormatInt(version, 10))
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	for number := began.from + 1; number <= task.events; number++ {
		if _, err := io.WriteString(w, eventOf(began.id, number)); err != nil || flusher.Flush() != nil {
			e.markLeft(began)
			return
		}
		e.mu.Lock()
		began.events++
		e.mu.Unlock()
		if number == task.events {
			return
		}
		select {
		case <-time.After(task.pause):
		case <-ctx.Done():
			e.markLeft(began)
			panic(http.ErrAbortHandler)
		}
	}
}

func (e *engine) answer(ctx context.Context, w http.ResponseWriter, began *run, task work) {
	select {
	case <-time.After(task.pause):
	case <-ctx.Done():
		e.markLeft(began)
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, answerOf(began.id))
}

func (e *engine) markLeft(began *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	began.left, began.ended = true, time.Now()
}

// runsOf returns copies of the runs of a request at all engines.
func (d *deployment) runsOf(id string) []run {
	var found []run
	for _, e := range d.engines {
		e.mu.Lock()
		for _, r := range e.runs {
			if r.id == id {
				found = append(found, *r)
			}
		}
		e.mu.Unlock()
	}
	return found
}
