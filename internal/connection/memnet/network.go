// Package memnet is a network in memory for tests: connections with a latency
// in virtual time, which can go silent or be reset. Use it in the bubble of
// testing/synctest.
package memnet

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"
)

// Network connects dialers with listeners by address.
type Network struct {
	latency time.Duration

	mu        sync.Mutex
	listeners map[string]*listener
	conns     []*Conn // the dialing ends, in order
	dials     int
}

// New returns a network on which data takes latency one way.
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
	n.conns = append(n.conns, client)
	return client, nil
}

// Dials returns how often Dial was called.
func (n *Network) Dials() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dials
}

// Silence makes every connection opened so far, or only those to the listeners
// at addresses, swallow what is written to it, in both directions, without an
// error. New connections work.
func (n *Network) Silence(addresses ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		if len(addresses) > 0 && !slices.Contains(addresses, string(c.address)) {
			continue
		}
		c.in.silence()
		c.out.silence()
	}
}

// Close resets every connection at both ends, silent ones too.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		c.in.closeRead(errReset)
		c.out.closeRead(errReset)
		c.in.closeWrite(errReset)
		c.out.closeWrite(errReset)
	}
}

// ErrRefused is returned by Dial where nobody listens.
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
