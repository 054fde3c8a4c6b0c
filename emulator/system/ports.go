package system

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
)

const (
	// portsPerInstance is the number of ports reserved for one instance: six
	// listeners of a daemon that is a control replica, and two of its target.
	portsPerInstance = 8
	// Ports are chosen at random from lowestPort up to, but not including,
	// highestPort. This range is below the ephemeral ports, so that no outgoing
	// connection takes a port before its process listens on it.
	lowestPort  = 12000
	highestPort = 30000
	// maxPortAttempts limits the number of ports that freeAddresses tries in total.
	maxPortAttempts = 2000
)

// freeAddresses returns n loopback addresses, as IP:port, on which no process
// listens. It returns an error if it has not found them after maxPortAttempts.
func freeAddresses(n int) ([]string, error) {
	var listeners []net.Listener
	defer func() {
		for _, ln := range listeners {
			_ = ln.Close()
		}
	}()
	addresses := make([]string, 0, n)
	for range maxPortAttempts {
		if len(addresses) == n {
			return addresses, nil
		}
		port := lowestPort + rand.IntN(highestPort-lowestPort)
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		listeners = append(listeners, ln)
		addresses = append(addresses, ln.Addr().String())
	}
	return nil, errors.New("not enough free loopback ports")
}
