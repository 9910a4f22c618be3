package deployment

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
)

const (
	// firstPort and lastPort bound the ports that a plan takes. They lie below those that the system gives to outgoing
	// connections, so that a port found free stays free until its process starts.
	firstPort = 15000
	lastPort  = 31000
	// portTries bounds the search for one port.
	portTries = 1000
	// reservationFolder holds a locked file for each port that a process of this machine has taken.
	reservationFolder = "covelink-ports"
)

// ErrNoPort reports that no free port was found.
var ErrNoPort = errors.New("deployment: no free port")

// PortFinder returns a loopback address with a free port, another one at each call.
type PortFinder func() (string, error)

// FreePorts returns a PortFinder that tries ports of this machine in random order.
func FreePorts() PortFinder {
	given := map[int]bool{}
	return func() (string, error) {
		for range portTries {
			port := firstPort + rand.IntN(lastPort-firstPort)
			if given[port] || !reserve(port) || !isFree(port) {
				continue
			}
			given[port] = true
			return loopback(port), nil
		}
		return "", fmt.Errorf("%w between %d and %d", ErrNoPort, firstPort, lastPort)
	}
}

func loopback(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }

// reserve keeps a port for this process until it ends, and reports false if another process has it. Two test processes that looked for ports
// at the same time were given the same one: each had found it free before either listened.
func reserve(port int) bool {
	folder := filepath.Join(os.TempDir(), reservationFolder)
	if os.MkdirAll(folder, 0o755) != nil {
		return false
	}
	file, err := os.OpenFile(filepath.Join(folder, strconv.Itoa(port)), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return false
	}
	if syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) != nil {
		_ = file.Close()
		return false
	}
	reserved.Lock()
	defer reserved.Unlock()
	reserved.files = append(reserved.files, file)
	return true
}

// reserved are the locked files of the ports that this process has: a file that is closed is not locked any more.
var reserved struct {
	sync.Mutex
	files []*os.File
}

func isFree(port int) bool {
	listener, err := net.Listen("tcp", loopback(port))
	if err != nil {
		return false
	}
	return listener.Close() == nil
}
