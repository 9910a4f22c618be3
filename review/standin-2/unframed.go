package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	unframedClients = 12
	unframedEvents  = 30
	// halfGap is the pause after each half of an event.
	halfGap = 60 * time.Millisecond
	// crashAfter is how long after the first stream was asked for the sampler crashes.
	crashAfter = 1500 * time.Millisecond
)

// runSampler is a sampler in a process of its own: it listens at an address and answers each request by a stream without a length, which ends with its
// connection.
func runSampler(address, id string) int {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	for {
		conn, err := listener.Accept()
		if err != nil {
			return exitFailed
		}
		go serveUnframed(conn, id)
	}
}

func serveUnframed(conn net.Conn, id string) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	if request.URL.Path == "/healthz" {
		// The connection ends, whatever becomes of the answer.
		_, _ = conn.Write(response{status: http.StatusOK, header: map[string]string{"Instance-Id": id, "Connection": "close"}}.bytes())
		return
	}
	attempt := request.Header.Get("Attempt-Id")
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Stamp: %s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", attempt, stamp(attempt))
	if _, err := io.WriteString(conn, head); err != nil {
		return
	}
	for number := 1; number <= unframedEvents; number++ {
		event := unframedEvent(attempt, number)
		for _, half := range []string{event[:len(event)/2], event[len(event)/2:]} {
			if _, err := io.WriteString(conn, half); err != nil {
				return
			}
			time.Sleep(halfGap)
		}
	}
}

func unframedEvent(attempt string, number int) string {
	return fmt.Sprintf("id: %d\ndata: %s/%d\n\n", number, attempt, number)
}

// playUnframed kills a sampler while it sends streams without a length. It judges the rule ORDER for streams that are cut off within an event.
func playUnframed(p *play) (held bool, err error) {
	routes := []map[string]any{{"name": "chat", "hostname": host, "path-prefix": "/chat/", "route-kind": "streaming", "timeout-ms": 10000, "target-latency-ms": 400,
		"priority": 1, "service": "pool", "max-attempts": 2}}
	if err := p.configure(2, routes, []map[string]any{{"name": "pool", "max-conns": 150}}); err != nil {
		return false, err
	}
	const id = "pool-1"
	address, err := freeAddress()
	if err != nil {
		return false, err
	}
	sampler := exec.Command(os.Args[0], "-sampler", address, "-id", id)
	sampler.Stderr = os.Stderr
	if err := sampler.Start(); err != nil {
		return false, err
	}
	ended := make(chan struct{})
	go func() {
		// It is always killed.
		_ = sampler.Wait()
		close(ended)
	}()
	defer func() {
		_ = sampler.Process.Kill()
		<-ended
	}()
	p.running.Go(func() { p.keepListed(id, address, ended) })
	gateways, _, err := p.startDaemons(len(zones))
	if err != nil {
		return false, err
	}
	p.pause(2 * time.Second)
	var clients sync.WaitGroup
	var mu sync.Mutex
	replies := make(map[string]reply)
	for n := range unframedClients {
		clients.Go(func() {
			// The clients begin one after the other, so that the crash meets events at different places.
			p.pause(time.Duration(n) * halfGap * 2 / unframedClients)
			c, err := connect(gateways[n%len(gateways)].http)
			if err != nil {
				p.note("no connection: %v", err)
				return
			}
			defer c.Close()
			attempt := fmt.Sprintf("u-%d", n)
			got := c.do(call{id: attempt, path: "/chat/" + attempt, deadline: 8 * time.Second})
			mu.Lock()
			defer mu.Unlock()
			replies[attempt] = got
		})
	}
	if !p.calm {
		p.pause(crashAfter)
		p.note("SIGKILL to the sampler")
		if err := sampler.Process.Signal(syscall.SIGKILL); err != nil {
			return false, err
		}
	}
	clients.Wait()
	return p.judgeUnframed(replies), nil
}

// keepListed writes a sampler's entry with each heartbeat while it runs.
func (p *play) keepListed(id, address string, ended <-chan struct{}) {
	for beat := 1; p.ctx.Err() == nil; beat++ {
		select {
		case <-ended:
			return
		default:
		}
		// The entry is written again with the next heartbeat.
		_ = p.store.write(p.ctx, "servers", id, map[string]any{
			"service": "pool", "address": address, "zone": zones[0], "version": "v1", "slots": 2 * unframedClients, "state": "ready", "seq": beat,
		})
		p.pause(heartbeatInterval)
	}
}

// judgeUnframed counts the answers that look complete and end within an event. An answer that is cut off between two events is noted only: nothing of
// it tells that there is more.
func (p *play) judgeUnframed(replies map[string]reply) (held bool) {
	broken, between, whole := 0, 0, 0
	for attempt, got := range replies {
		text := string(got.body)
		events := strings.Count(text, "\n\n")
		p.note("%s is answered %d with %d whole events of %d (complete %v, err %v)", attempt, got.status, events, unframedEvents, got.whole, got.err)
		switch {
		case got.status != http.StatusOK || !got.whole:
		case !strings.HasSuffix(text, "\n\n"):
			broken++
			p.note("ORDER: the answer to %s is complete to its client, and ends with %q", attempt, text[strings.LastIndex(text, "\n\n")+2:])
		case events < unframedEvents:
			between++
		default:
			whole++
		}
	}
	p.note("%d streams, %d whole, %d complete to the client and cut off within an event, %d between two events", len(replies), whole, broken, between)
	return broken == 0
}
