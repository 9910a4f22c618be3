package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// sampler is a server of a service, as the pages describe it. It serves one request at a time on a connection.
type sampler struct {
	id, service, zone string
	// model is the model that it holds, with version 1; empty for a plain service.
	model    string
	play     *play
	listener net.Listener
	// slots is how many requests it works on at a time, and queue how many more it takes.
	slots, queue int
	// serve answers a request that it runs.
	serve func(s *sampler, c *samplerConn, request *http.Request, body []byte)
	// surplus tells whether an answer that was sent on a connection is sent again in place of the next one; nil for never.
	surplus func(status int) bool

	mu      sync.Mutex
	taken   int
	working chan struct{}
	conns   map[net.Conn]struct{}
	// runs counts, by Attempt-Id, how often work on a request has begun.
	runs map[string]int
}

// samplerConn is a connection to a sampler.
type samplerConn struct {
	net.Conn
	reader *bufio.Reader
	// late is an answer to be sent in place of the next one.
	late []byte
}

// startSampler starts a sampler, lists it in the store and keeps its entry fresh.
func (p *play) startSampler(s *sampler) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.play, s.listener = p, listener
	s.conns, s.runs = make(map[net.Conn]struct{}), make(map[string]int)
	s.working = make(chan struct{}, s.slots)
	p.samplers = append(p.samplers, s)
	p.running.Go(s.accept)
	if err := s.list(1); err != nil {
		return err
	}
	p.running.Go(func() {
		for beat := 2; p.ctx.Err() == nil; beat++ {
			p.pause(heartbeatInterval)
			// The entry is written again with the next heartbeat.
			_ = s.list(beat)
		}
	})
	return nil
}

// list writes the sampler's entry into the store.
func (s *sampler) list(beat int) error {
	entry := map[string]any{
		"service": s.service, "address": s.listener.Addr().String(), "zone": s.zone, "version": "v1", "slots": s.slots, "state": "ready", "seq": beat,
	}
	if s.model != "" {
		entry["stage"], entry["models"] = "both", s.models()
	}
	return s.play.store.write(s.play.ctx, "servers", s.id, entry)
}

// models is what the sampler says of its models.
func (s *sampler) models() []map[string]any {
	return []map[string]any{{"name": s.model, "version": 1, "adapters": []string{}}}
}

// report answers a call for the sampler's state.
func (s *sampler) report(c *samplerConn) bool {
	s.mu.Lock()
	taken := s.taken
	s.mu.Unlock()
	body, err := json.Marshal(map[string]any{"stage": "both", "models": s.models(), "busy": false, "seq": 0, "waiting": 0, "running": taken, "kv-used": 0,
		"kv-total": 100000, "handles": 0})
	return err == nil && c.send(response{status: http.StatusOK, header: map[string]string{"Content-Type": "application/json"}, body: body})
}

func (s *sampler) close() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
}

func (s *sampler) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = struct{}{}
		s.mu.Unlock()
		s.play.running.Go(func() { s.converse(&samplerConn{Conn: conn, reader: bufio.NewReader(conn)}) })
	}
}

// converse serves the requests of a connection.
func (s *sampler) converse(c *samplerConn) {
	defer func() {
		c.Close()
		s.mu.Lock()
		delete(s.conns, c.Conn)
		s.mu.Unlock()
	}()
	for {
		request, err := http.ReadRequest(c.reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if len(c.late) > 0 {
			late := c.late
			c.late = nil
			s.play.note("%s sends a surplus answer in place of the one to %s", s.id, request.Header.Get("Attempt-Id"))
			if _, err := c.Write(late); err != nil {
				return
			}
		}
		if !s.answer(c, request, body) {
			return
		}
	}
}

// answer answers one request. It returns false if the connection is of no more use.
func (s *sampler) answer(c *samplerConn, request *http.Request, body []byte) bool {
	id := request.Header.Get("Attempt-Id")
	switch expected := request.Header.Get("Expect-Instance"); {
	case request.URL.Path == "/healthz":
		return c.send(response{status: http.StatusOK, header: map[string]string{"Instance-Id": s.id}})
	case request.URL.Path == "/v1/report":
		return s.report(c)
	case expected != "" && expected != s.id:
		return s.refuse(c, id, http.StatusMisdirectedRequest)
	case id == "":
		return s.refuse(c, id, http.StatusBadRequest)
	case !s.take():
		return s.refuse(c, id, http.StatusServiceUnavailable)
	}
	s.working <- struct{}{}
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	s.play.note("%s begins to run %s", s.id, id)
	defer func() {
		<-s.working
		s.mu.Lock()
		s.taken--
		s.mu.Unlock()
	}()
	s.serve(s, c, request, body)
	return true
}

// take takes a place of the sampler if one is free.
func (s *sampler) take() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.taken >= s.slots+s.queue {
		return false
	}
	s.taken++
	return true
}

func (s *sampler) refuse(c *samplerConn, id string, status int) bool {
	s.play.note("%s refuses %s with %d, not executed", s.id, id, status)
	return s.send(c, response{status: status, header: map[string]string{"Attempt-Id": id, "Not-Executed": "1"}})
}

// send sends an answer, and notes whether it will be sent again.
func (s *sampler) send(c *samplerConn, r response) bool {
	if s.surplus != nil && s.surplus(r.status) {
		c.late = r.bytes()
	}
	return c.send(r)
}

// runsOf returns how often work on a request has begun.
func (s *sampler) runsOf(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// stamp is the signature of an answer.
func stamp(id string) string { return "stamp." + id }

// response is a whole answer.
type response struct {
	status int
	header map[string]string
	body   []byte
}

func (r response) bytes() []byte {
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\n", r.status, http.StatusText(r.status))
	for name, value := range r.header {
		fmt.Fprintf(&out, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&out, "Content-Length: %s\r\n\r\n", strconv.Itoa(len(r.body)))
	out.Write(r.body)
	return out.Bytes()
}

func (c *samplerConn) send(r response) bool {
	_, err := c.Write(r.bytes())
	return err == nil
}

// serveWork returns what answers a request after some work.
func serveWork(work time.Duration) func(s *sampler, c *samplerConn, request *http.Request, body []byte) {
	return func(s *sampler, c *samplerConn, request *http.Request, body []byte) {
		time.Sleep(work)
		id := request.Header.Get("Attempt-Id")
		s.send(c, response{status: http.StatusOK, header: map[string]string{"Attempt-Id": id, "Server-Stamp": stamp(id)}, body: append([]byte("answer to "), body...)})
	}
}

// serveStream returns what answers a request by a stream of events.
func serveStream(events int, gap time.Duration) func(s *sampler, c *samplerConn, request *http.Request, body []byte) {
	return func(s *sampler, c *samplerConn, request *http.Request, _ []byte) {
		id := request.Header.Get("Attempt-Id")
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Stamp: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, stamp(id))
		if _, err := io.WriteString(c, head); err != nil {
			return
		}
		for number := 1; number <= events; number++ {
			event := fmt.Sprintf("id: %d\ndata: %s/%d\n\n", number, id, number)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
				s.play.note("%s is cut off from %s after event %d", s.id, id, number-1)
				c.Close()
				return
			}
			if number < events {
				time.Sleep(gap)
			}
		}
		if _, err := io.WriteString(c, "0\r\n\r\n"); err == nil {
			s.play.note("%s has sent the whole stream of %s", s.id, id)
		}
	}
}
