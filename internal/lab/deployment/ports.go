package deployment

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
)

const (
	// firstPort and lastPort bound the ports that a plan takes. They lie below those that the system gives to outgoing
	// connections, so that a port found free stays free until its process starts.
	firstPort = 15000
	lastPort  = 31000
	// portTries bounds the search for one port.
	portTries = 1000
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
			if given[port] || !isFree(port) {
				continue
			}
			given[port] = true
			return loopback(port), nil
		}
		return "", fmt.Errorf("%w between %d and %d", ErrNoPort, firstPort, lastPort)
	}
}

func loopback(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }

func isFree(port int) bool {
	listener, err := net.Listen("tcp", loopback(port))
	if err != nil {
		return false
	}
	return listener.Close() == nil
}
