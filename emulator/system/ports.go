package system

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
)

const (
	// portsEach is the number of listeners of one instance.
	portsEach = 8
	// Ports are drawn below the range that systems use for outgoing
	// connections, so that none is taken between the draw and the start.
	lowestPort  = 12000
	highestPort = 30000
	portTries   = 2000
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
	for range portTries {
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
	return nil, errors.New("too few free ports")
}
