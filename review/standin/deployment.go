package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// zones of the deployment, all in one region.
var zones = []string{"zone-a", "zone-b", "zone-c"}

const (
	region = "region-1"
	host   = "review.example"
	model  = "model-a"
	// readyTimeout bounds the wait until the deployment serves.
	readyTimeout = 30 * time.Second
)

// gatewaySettings and coordinatorSettings are deploy/gateway.yaml.tmpl and deploy/coordinator.yaml.tmpl, filled in with the bounds of the site.
const (
	gatewaySettings = `node:
  name: %[1]s
  zone: %[2]s
  role: gateway
  memoryMegabytes: 284
listen:
  http: "%[3]s"
  ready: "%[4]s"
  metrics: "127.0.0.1:0"
store:
  address: "%[5]s"
coordinators:
  seeds: [%[6]s]
topology:
  zones:
%[7]stiming:
  stopTimeout: 8s
  leaseLength: 3000ms
  drainTime: 2000ms
  catchUpTime: 2000ms
log:
  level: debug
`
	coordinatorSettings = `node:
  name: %[1]s
  zone: %[2]s
  role: coordinator
  memoryMegabytes: 294
listen:
  internal: "%[3]s"
  metrics: "127.0.0.1:0"
store:
  address: "%[4]s"
data:
  folder: "%[5]s"
topology:
  zones:
%[6]stiming:
  stopTimeout: 8s
  leaseLength: 3000ms
  drainTime: 2000ms
  batchRetention: 120s
log:
  level: debug
`
)

// process is one covelinkd.
type process struct {
	name    string
	zone    string
	command *exec.Cmd
	ended   chan struct{}
	// http, ready and internal are the addresses that the process serves.
	http, ready, internal string
}

// deployment is a small deployment: the store and the engines are stand-ins, the gateways and coordinators processes of the project.
type deployment struct {
	program string
	folder  string
	record  *recorder
	store   *store
	// storeAddress is where the processes reach the store.
	storeAddress string
	engines      []*engine
	coordinators []*process
	gateways     []*process

	mu sync.Mutex
	// started are all starts of processes.
	started []started
	closed  bool
}

// started is one start of a process.
type started struct {
	command *exec.Cmd
	ended   chan struct{}
}

// errClosed reports a deployment that has ended.
var errClosed = errors.New("the deployment has ended")

func newDeployment(program, folder string, record *recorder) *deployment {
	s := newStore()
	return &deployment{program: program, folder: folder, record: record, store: s, storeAddress: s.Listener.Addr().String()}
}

// put writes an object of the operator.
func (d *deployment) put(kind, name string, spec any) error {
	return d.store.put(kind, name, spec)
}

// freeAddress returns a loopback address that nothing listens on.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

func zoneList() string {
	var list strings.Builder
	for _, zone := range zones {
		fmt.Fprintf(&list, "    - name: %s\n      region: %s\n", zone, region)
	}
	return list.String()
}

// start starts coordinators, one gateway in each of the zones, and waits until all gateways are ready.
func (d *deployment) start(coordinators int, gatewayZones ...string) error {
	var seeds []string
	for i := range coordinators {
		address, err := freeAddress()
		if err != nil {
			return err
		}
		name := fmt.Sprintf("storage-%d", i+1)
		p := &process{name: name, internal: address}
		data := filepath.Join(d.folder, name)
		if err := os.MkdirAll(data, 0o700); err != nil {
			return err
		}
		settings := fmt.Sprintf(coordinatorSettings, name, zones[i%len(zones)], address, d.storeAddress, data, zoneList())
		if err := d.launch(p, settings); err != nil {
			return err
		}
		d.coordinators = append(d.coordinators, p)
		seeds = append(seeds, `"`+address+`"`)
	}
	for i, zone := range gatewayZones {
		p := &process{name: fmt.Sprintf("edge-%d", i+1), zone: zone}
		var err error
		if p.http, err = freeAddress(); err != nil {
			return err
		}
		if p.ready, err = freeAddress(); err != nil {
			return err
		}
		settings := fmt.Sprintf(gatewaySettings, p.name, zone, p.http, p.ready, d.storeAddress, strings.Join(seeds, ", "), zoneList())
		if err := d.launch(p, settings); err != nil {
			return err
		}
		d.gateways = append(d.gateways, p)
	}
	deadline := time.Now().Add(readyTimeout)
	for _, p := range d.gateways {
		for !p.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready after %v", p.name, readyTimeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// launch writes the settings of a process and starts it with the command of the deploy file.
func (d *deployment) launch(p *process, settings string) error {
	file := filepath.Join(d.folder, p.name+".yaml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return err
	}
	return d.run(p)
}

// run starts a process whose settings are written.
func (d *deployment) run(p *process) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return errClosed
	}
	p.command = exec.Command(d.program, "run", "--config", filepath.Join(d.folder, p.name+".yaml"))
	output, err := p.command.StdoutPipe()
	if err != nil {
		return err
	}
	p.command.Stderr = p.command.Stdout
	logFile, err := os.OpenFile(filepath.Join(d.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.ended = make(chan struct{})
	if err := p.command.Start(); err != nil {
		return err
	}
	ended := p.ended
	command := p.command
	go func() {
		defer logFile.Close()
		_, _ = io.Copy(logFile, bufio.NewReader(output))
		_ = command.Wait()
		close(ended)
	}()
	d.started = append(d.started, started{command: command, ended: ended})
	return nil
}

func (p *process) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + p.ready + "/v1/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// close ends everything that the deployment started.
func (d *deployment) close() {
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	for _, p := range d.started {
		_ = p.command.Process.Kill()
		<-p.ended
	}
	for _, e := range d.engines {
		e.close()
	}
	d.store.Close()
}
