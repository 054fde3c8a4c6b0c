package control_test

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/mesh"
	"github.com/teaselrack/teaselrack/internal/connection/rpc"
	"github.com/teaselrack/teaselrack/internal/fault"
)

const (
	// oneWayLatency is the latency of a call or of a reply.
	oneWayLatency = 500 * time.Microsecond
	// silenceTimeout is how long a call waits before it regards the connection as
	// lost.
	silenceTimeout = 700 * time.Millisecond
)

// network simulates calls between the processes of a test in virtual time. A cut
// connection drops calls and replies without an error.
type network struct {
	mu       sync.Mutex
	handlers map[string]map[string]rpc.Handler
	cuts     map[[2]string]bool
	frozen   map[string]chan struct{}
	random   *rand.Rand
	loss     float64
	// jobs hands calls to idle workers. A synctest bubble that starts tens of
	// thousands of goroutines crashes the race detector, so calls share a few
	// goroutines.
	jobs chan func()
	stop chan struct{}
}

func newNetwork(seed uint64) *network {
	return &network{
		handlers: make(map[string]map[string]rpc.Handler),
		cuts:     make(map[[2]string]bool),
		frozen:   make(map[string]chan struct{}),
		random:   rand.New(rand.NewPCG(seed, seed)),
		jobs:     make(chan func()),
		stop:     make(chan struct{}),
	}
}

// networkClient is the network client of one process. It implements
// control.Caller and renewal.Caller.
type networkClient struct {
	net     *network
	address string
	peer    mesh.Peer
}

// serve registers the handlers of the process at address; nil removes them.
func (n *network) serve(address string, handlers map[string]rpc.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if handlers == nil {
		delete(n.handlers, address)
		return
	}
	n.handlers[address] = handlers
}

// cut drops, or no longer drops, the messages in one direction between two
// processes.
func (n *network) cut(from, to string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]string{from, to}] = on
}

// isolate cuts or restores both directions between a process and others.
func (n *network) isolate(name string, others []string, on bool) {
	for _, other := range others {
		if other != name {
			n.cut(name, other, on)
			n.cut(other, name, on)
		}
	}
}

// setLoss sets the fraction of messages that are lost.
func (n *network) setLoss(fraction float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loss = fraction
}

// freeze delays every message to and from a process until unfreeze.
func (n *network) freeze(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.frozen[name] == nil {
		n.frozen[name] = make(chan struct{})
	}
}

func (n *network) unfreeze(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if resumed := n.frozen[name]; resumed != nil {
		close(resumed)
		delete(n.frozen, name)
	}
}

// transfer waits for the latency of a message and reports whether the message
// arrives.
func (n *network) transfer(from, to string) bool {
	time.Sleep(oneWayLatency)
	for _, name := range []string{from, to} {
		n.mu.Lock()
		resumed := n.frozen[name]
		n.mu.Unlock()
		if resumed != nil {
			<-resumed
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.cuts[[2]string{from, to}] && n.random.Float64() >= n.loss
}

func (n *network) handler(address, method string) (rpc.Handler, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	handlers, ok := n.handlers[address]
	if !ok {
		return nil, false
	}
	return handlers[method], true
}

// run runs job in an idle worker, or in a new one if none is idle.
func (n *network) run(job func()) {
	select {
	case n.jobs <- job:
	default:
		go n.work(job)
	}
}

// work runs job and then further jobs until close is called.
func (n *network) work(job func()) {
	for {
		job()
		select {
		case job = <-n.jobs:
		case <-n.stop:
			return
		}
	}
}

// close stops the workers.
func (n *network) close() { close(n.stop) }

// callResult is the outcome of a call.
type callResult struct {
	result []byte
	err    error
}

// Call implements control.Caller.
func (c *networkClient) Call(ctx context.Context, address, method string, params, reply any) error {
	encoded, err := json.Marshal(params)
	if err != nil {
		return err
	}
	done := make(chan callResult, 1)
	c.net.run(func() {
		if result, ok := c.deliver(address, method, encoded); ok {
			done <- result
		}
	})
	silent := time.NewTimer(silenceTimeout)
	defer silent.Stop()
	select {
	case result := <-done:
		if result.err != nil {
			return result.err
		}
		return json.Unmarshal(result.result, reply)
	case <-silent.C:
		return fault.New(fault.ConnectionLost, "no reply on the connection")
	case <-ctx.Done():
		return fault.Wrap(fault.ConnectionLost, ctx.Err(), "the caller's context ended")
	}
}

// deliver runs the call at the process at address. It returns false if the call or
// its reply was lost.
func (c *networkClient) deliver(address, method string, params []byte) (callResult, bool) {
	if !c.net.transfer(c.address, address) {
		return callResult{}, false
	}
	handler, ok := c.net.handler(address, method)
	if !ok {
		return callResult{err: fault.New(fault.ConnectFailed, "refused")}, true
	}
	value, err := handler(context.Background(), c.peer, params)
	if !c.net.transfer(address, c.address) {
		return callResult{}, false
	}
	if err != nil {
		return callResult{err: err}, true
	}
	result, err := json.Marshal(value)
	return callResult{result, err}, true
}
