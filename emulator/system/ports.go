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
	// Ports are chosen at random below the ephemeral port range, so that no
	// outgoing connection takes one before its process listens on it.
	lowestPort      = 12000
	highestPort     = 30000
	maxPortAttempts = 2000
)

// freeAddresses returns n loopback addresses on which nothing listens.
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
