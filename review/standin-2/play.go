package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// host is the host of all routes.
	host = "review.example"
	// heartbeatInterval is heartbeat-ms of the settings of a small deployment.
	heartbeatInterval = 1200 * time.Millisecond
	// defaultRetention is status-s of the sites, in seconds.
	defaultRetention = 120
	// startPatience bounds the wait for the processes to be ready.
	startPatience = 20 * time.Second
	// stopPatience bounds the wait for a process to end after it was killed.
	stopPatience = 5 * time.Second
)

// zones are those of the deployment.
var zones = []string{"zone-a", "zone-b", "zone-c"}

// play is one run of a case: a deployment and its record.
type play struct {
	program string
	calm    bool
	folder  string
	began   time.Time
	ctx     context.Context
	cancel  context.CancelFunc
	store   *storeServer
	running sync.WaitGroup
	// retention is status-s of the settings, in seconds.
	retention int

	mu       sync.Mutex
	record   *bufio.Writer
	file     *os.File
	daemons  []*daemon
	samplers []*sampler
}

// daemon is one covelinkd.
type daemon struct {
	name, zone  string
	http, ready string
	file        string
	command     *exec.Cmd
	log         *os.File
	ended       chan struct{}
}

func newPlay(program, recordFile string, calm bool) (*play, error) {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	p := &play{program: program, calm: calm, folder: folder, began: time.Now(), file: file, record: bufio.NewWriter(file), store: newStoreServer(), retention: defaultRetention}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	if calm {
		p.note("without the disruption")
	}
	return p, nil
}

// note writes a line with the time since the start into the record.
func (p *play) note(format string, values ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(p.record, "%9.3f  %s\n", time.Since(p.began).Seconds(), fmt.Sprintf(format, values...))
}

// close ends all that the play has started.
func (p *play) close() {
	p.cancel()
	for _, d := range p.daemons {
		d.kill()
	}
	for _, s := range p.samplers {
		s.close()
	}
	p.store.CloseClientConnections()
	p.store.Close()
	p.running.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.record.Flush()
	p.file.Close()
	os.RemoveAll(p.folder)
}

// configure writes the operator's configuration.
func (p *play) configure(version int, routes, services []map[string]any) error {
	return p.configureWith(version, 15000, routes, services)
}

// configureWith is configure with an idle time-out, in milliseconds.
func (p *play) configureWith(version, idle int, routes, services []map[string]any) error {
	return p.store.write(p.ctx, "config", "main", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 33554432, "header-timeout-ms": 3000, "idle-timeout-ms": idle},
	})
}

const (
	// firstPort and portCount are the ports that a play chooses from: below those that the kernel gives to outgoing connections, one of which could take
	// a port before the process that is to listen there has started.
	firstPort = 20000
	portCount = 12000
	portTries = 100
)

// freeAddress returns a loopback address that nobody listens on.
func freeAddress() (string, error) {
	var failure error
	for range portTries {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount)))
		if err != nil {
			failure = err
			continue
		}
		defer listener.Close()
		return listener.Addr().String(), nil
	}
	return "", failure
}

// startDaemons starts one coordinator a zone and some gateways, in turn by zone, with the settings of the deploy file's templates, and waits until the
// gateways are ready. It returns the gateways and the coordinators.
func (p *play) startDaemons(gatewayCount int) (gateways, coordinators []*daemon, err error) {
	seeds := make([]string, len(zones))
	for i := range seeds {
		if seeds[i], err = freeAddress(); err != nil {
			return nil, nil, err
		}
	}
	for i, zone := range zones {
		listen := fmt.Sprintf("  internal: %q\n", seeds[i])
		d, err := p.startDaemon(fmt.Sprintf("storage-%d", i+1), zone, "coordinator", listen, "")
		if err != nil {
			return nil, nil, err
		}
		coordinators = append(coordinators, d)
	}
	for i := range gatewayCount {
		d, err := p.startGateway(fmt.Sprintf("edge-%d", i+1), zones[i%len(zones)], seeds)
		if err != nil {
			return nil, nil, err
		}
		gateways = append(gateways, d)
	}
	for _, d := range gateways {
		if err := d.awaitReady(startPatience); err != nil {
			return nil, nil, err
		}
	}
	p.note("%d gateways are ready, %d coordinators run", len(gateways), len(coordinators))
	return gateways, coordinators, nil
}

func (p *play) startGateway(name, zone string, seeds []string) (*daemon, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	ready, err := freeAddress()
	if err != nil {
		return nil, err
	}
	listen := fmt.Sprintf("  http: %q\n  ready: %q\n", address, ready)
	d, err := p.startDaemon(name, zone, "gateway", listen, "coordinators:\n  seeds: ["+strings.Join(seeds, ",")+"]\n")
	if err != nil {
		return nil, err
	}
	d.http, d.ready = address, ready
	return d, nil
}

func (p *play) startDaemon(name, zone, role, listen, more string) (*daemon, error) {
	data := filepath.Join(p.folder, name)
	if err := os.Mkdir(data, 0o700); err != nil {
		return nil, err
	}
	settings := fmt.Sprintf("node:\n  name: %s\n  zone: %s\n  role: %s\n  memoryMegabytes: 284\nlisten:\n%sstore:\n  address: %q\n%s", name, zone, role,
		listen, p.store.address(), more)
	if role == "coordinator" {
		settings += fmt.Sprintf("data:\n  folder: %q\n", data)
	}
	settings += "topology:\n  zones:\n"
	for _, known := range zones {
		settings += fmt.Sprintf("    - name: %s\n      region: region-a\n", known)
	}
	settings += "timing:\n  stopTimeout: 8s\n  leaseLength: 3000ms\n  drainTime: 2000ms\n"
	if role == "gateway" {
		settings += "  catchUpTime: 2000ms\n"
	} else {
		settings += fmt.Sprintf("  batchRetention: %ds\n", p.retention)
	}
	settings += "log:\n  level: debug\n"
	file := filepath.Join(p.folder, name+".yaml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(p.folder, name+".log"))
	if err != nil {
		return nil, err
	}
	d := &daemon{name: name, zone: zone, file: file, log: log}
	p.daemons = append(p.daemons, d)
	return d, d.start(p.program)
}

// start starts the process, with the command of the deploy file.
func (d *daemon) start(program string) error {
	command, ended := exec.Command(program, "run", "--config", d.file), make(chan struct{})
	command.Stdout, command.Stderr = d.log, d.log
	if err := command.Start(); err != nil {
		return err
	}
	d.command, d.ended = command, ended
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	return nil
}

// restart starts a process again that was killed, with the same settings and the same disk.
func (d *daemon) restart() error {
	<-d.ended
	return d.start(d.command.Path)
}

// termField finds the terms that a process has led, in its log.
var termField = regexp.MustCompile(`msg=leading token=(\d+)`)

// leaderOf returns the process that coordinates, as the logs tell; nil if there is none.
func (p *play) leaderOf(coordinators []*daemon) *daemon {
	var leader *daemon
	newest := 0
	for _, d := range coordinators {
		content, err := os.ReadFile(d.log.Name())
		if err != nil {
			continue
		}
		for _, found := range termField.FindAllSubmatch(content, -1) {
			if term, err := strconv.Atoi(string(found[1])); err == nil && term > newest {
				leader, newest = d, term
			}
		}
	}
	return leader
}

// noteLog notes the newest line with a text in the log of the process that coordinates last.
func (p *play) noteLog(daemons []*daemon, text string) {
	for _, d := range daemons {
		content, err := os.ReadFile(d.log.Name())
		if err != nil {
			continue
		}
		lines := strings.Split(string(content), "\n")
		for _, line := range slices.Backward(lines) {
			if strings.Contains(line, text) {
				p.note("log of %s: %s", d.name, line)
				break
			}
		}
	}
}

func (d *daemon) signal(signal syscall.Signal) error {
	return d.command.Process.Signal(signal)
}

func (d *daemon) kill() {
	if d.command == nil {
		return
	}
	// The process may have ended.
	_ = d.signal(syscall.SIGCONT)
	_ = d.signal(syscall.SIGKILL)
	select {
	case <-d.ended:
	case <-time.After(stopPatience):
	}
	d.log.Close()
}

// isReady asks the readiness address once, as the platform does.
func (d *daemon) isReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + d.ready + "/v1/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

var errNotReady = errors.New("a gateway did not become ready")

func (d *daemon) awaitReady(patience time.Duration) error {
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if d.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%w: %s", errNotReady, d.name)
}

// pause waits, or until the play ends.
func (p *play) pause(length time.Duration) {
	select {
	case <-time.After(length):
	case <-p.ctx.Done():
	}
}
