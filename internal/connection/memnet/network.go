// Package memnet is an in-memory network for tests. Its connections have a latency
// in virtual time and can be made silent or reset. Use it in a testing/synctest
// bubble.
package memnet

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"
)

// Network connects clients to listeners by address.
type Network struct {
	latency time.Duration

	mu          sync.Mutex
	listeners   map[string]*listener
	clientConns []*Conn // in the order in which they were dialed
	dials       int
}

// New returns a network with the given one-way latency.
func New(latency time.Duration) *Network {
	return &Network{latency: latency, listeners: make(map[string]*listener)}
}

// Listen opens a listener at address.
func (n *Network) Listen(address string) net.Listener {
	l := &listener{
		network: n,
		address: addr(address),
		queue:   make(chan net.Conn),
		done:    make(chan struct{}),
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = l
	return l
}

// Dial connects to the listener at address.
func (n *Network) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.dials++
	n.mu.Unlock()
	if l == nil {
		return nil, ErrRefused
	}
	client, server := newPair(n.latency, addr(address))
	select {
	case l.queue <- server:
	case <-l.done:
		return nil, ErrRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.clientConns = append(n.clientConns, client)
	return client, nil
}

// Dials returns the number of calls of Dial.
func (n *Network) Dials() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dials
}

// Blackhole makes all connections opened so far drop data in both directions
// without an error. If addresses are given, only connections to these listeners
// are affected. New connections work.
func (n *Network) Blackhole(addresses ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.clientConns {
		if len(addresses) > 0 && !slices.Contains(addresses, string(c.address)) {
			continue
		}
		c.in.blackhole()
		c.out.blackhole()
	}
}

// Close resets all connections at both ends, including silent ones.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.clientConns {
		c.in.closeRead(errReset)
		c.out.closeRead(errReset)
		c.in.closeWrite(errReset)
		c.out.closeWrite(errReset)
	}
}

// ErrRefused is returned by Dial if there is no open listener at the address.
var ErrRefused = errors.New("connection refused")

type addr string

func (a addr) Network() string { return "tcp" }
func (a addr) String() string  { return string(a) }

type listener struct {
	network *Network
	address addr
	queue   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *listener) Addr() net.Addr { return l.address }
