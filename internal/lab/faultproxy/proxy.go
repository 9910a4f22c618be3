package faultproxy

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/telemetry"
)

// dialTimeout bounds the connection to the target.
const dialTimeout = 5 * time.Second

// Config describes one link.
type Config struct {
	// Listen is the loopback address to listen on; empty means a free port.
	Listen string `yaml:"listen"`
	// Target is the host:port that connections are carried to; while it is empty, new connections are reset.
	Target string `yaml:"target"`
	// Delay is the one-way latency of both directions at the start.
	Delay time.Duration `yaml:"delay"`
}

// Proxy carries TCP connections to one target.
type Proxy struct {
	config   Config
	logger   log.Logger
	faults   [directions]*faultState
	listener net.Listener
	running  sync.WaitGroup
	stopped  chan struct{}
	// dialed, if set, is called once the target has taken a connection. It is for tests.
	dialed func()

	mu      sync.Mutex
	target  string
	refused bool
	closing bool
	// cuts counts the calls of Cut: a connection that was being set up meanwhile is cut too.
	cuts  int
	links map[*link]struct{}
}

// New returns a proxy that is not started.
func New(config Config, logger log.Logger) *Proxy {
	if config.Listen == "" {
		config.Listen = "127.0.0.1:0"
	}
	p := &Proxy{
		config:  config,
		target:  config.Target,
		logger:  telemetry.For(logger, telemetry.PartLab),
		stopped: make(chan struct{}),
		links:   map[*link]struct{}{},
	}
	for direction := range p.faults {
		p.faults[direction] = newFaultState(Faults{Delay: config.Delay})
	}
	return p
}

// Start listens and carries connections until Stop.
func (p *Proxy) Start() error {
	listener, err := net.Listen("tcp", p.config.Listen)
	if err != nil {
		return fmt.Errorf("fault proxy to %s: %w", p.config.Target, err)
	}
	p.listener = listener
	p.running.Go(p.accept)
	return nil
}

// Address returns the host:port the proxy listens on.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetFaults replaces the faults of one direction, for connections that are open and those to come.
func (p *Proxy) SetFaults(direction Direction, faults Faults) { p.faults[direction].set(faults) }

// Retarget makes the proxy carry new connections to another target, such as a process that came back on another port.
func (p *Proxy) Retarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// Target returns where new connections are carried to.
func (p *Proxy) Target() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.target
}

// Faults returns the faults of one direction.
func (p *Proxy) Faults(direction Direction) Faults {
	faults, _ := p.faults[direction].get()
	return faults
}

// Refuse makes the proxy reset new connections, or take them again.
func (p *Proxy) Refuse(refuse bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refused = refuse
}

// Cut resets every connection that is open or being set up.
func (p *Proxy) Cut() {
	p.mu.Lock()
	p.cuts++
	p.mu.Unlock()
	for _, link := range p.openLinks() {
		link.reset()
	}
}

// Silence makes every connection that is open drop what it is given from now on, both ways and for good, without a reset. New ones work.
func (p *Proxy) Silence() {
	for _, link := range p.openLinks() {
		link.silent.Store(true)
	}
}

// Heal ends every fault; the latency of the configuration stays.
func (p *Proxy) Heal() {
	p.Refuse(false)
	for direction := range p.faults {
		p.faults[direction].set(Faults{Delay: p.config.Delay})
	}
}

// Stop closes the listener and every connection and waits until nothing of the proxy runs or ctx ends.
func (p *Proxy) Stop(ctx context.Context) {
	p.mu.Lock()
	first := !p.closing
	p.closing = true
	p.mu.Unlock()
	if p.listener == nil {
		return
	}
	if first {
		close(p.stopped)
		_ = p.listener.Close()
		p.Cut()
	}
	done := make(chan struct{})
	go func() {
		p.running.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (p *Proxy) openLinks() []*link {
	p.mu.Lock()
	defer p.mu.Unlock()
	links := make([]*link, 0, len(p.links))
	for link := range p.links {
		links = append(links, link)
	}
	return links
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		cuts, refuses := p.gate()
		if refuses {
			abort(client)
			continue
		}
		p.running.Go(func() { p.carry(client, cuts) })
	}
}

// gate returns the number of cuts so far, and whether new connections are refused.
func (p *Proxy) gate() (cuts int, refuses bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cuts, p.refused || p.closing
}

// carry serves a connection that was accepted after so many cuts.
func (p *Proxy) carry(client net.Conn, cuts int) {
	address := p.Target()
	if address == "" {
		abort(client)
		return
	}
	target, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		_ = level.Debug(p.logger).Log("msg", "target refused", "target", address, "err", err)
		abort(client)
		return
	}
	link := newLink(client, target)
	if p.dialed != nil {
		p.dialed()
	}
	if !p.register(link, cuts) {
		link.reset()
		return
	}
	defer p.unregister(link)
	link.run(p.faults)
}

// register notes an open link, unless it must end at once: the proxy stops or was cut since.
func (p *Proxy) register(link *link, cuts int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closing || p.cuts != cuts {
		return false
	}
	p.links[link] = struct{}{}
	return true
}

func (p *Proxy) unregister(link *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.links, link)
}

// abort closes a connection with a reset instead of an orderly end.
func abort(connection net.Conn) {
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = connection.Close()
}
