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
	// oneWay is the time a call or an answer travels.
	oneWay = 500 * time.Microsecond
	// silenceFound is how long a call waits on a link that went silent.
	silenceFound = 700 * time.Millisecond
)

// network carries calls between the processes of a test in virtual time. A cut
// link accepts calls and forgets them.
type network struct {
	mu       sync.Mutex
	handlers map[string]map[string]rpc.Handler
	cuts     map[[2]string]bool
	frozen   map[string]chan struct{}
	random   *rand.Rand
	loss     float64
	// jobs are taken by idle workers. A bubble that starts tens of thousands of
	// goroutines crashes the race detector, so calls share a few.
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

// port is the network as one process sees it. It implements Caller.
type port struct {
	net  *network
	from string
	peer mesh.Peer
}

func (n *network) serve(address string, handlers map[string]rpc.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if handlers == nil {
		delete(n.handlers, address)
		return
	}
	n.handlers[address] = handlers
}

// cut cuts or heals one direction between two processes.
func (n *network) cut(from, to string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]string{from, to}] = on
}

// isolate cuts or heals both directions between a process and all others.
func (n *network) isolate(name string, others []string, on bool) {
	for _, other := range others {
		if other != name {
			n.cut(name, other, on)
			n.cut(other, name, on)
		}
	}
}

// setLoss sets the share of messages that are lost.
func (n *network) setLoss(share float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loss = share
}

// freeze holds every call to and from a process until thaw.
func (n *network) freeze(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.frozen[name] == nil {
		n.frozen[name] = make(chan struct{})
	}
}

func (n *network) thaw(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if gate := n.frozen[name]; gate != nil {
		close(gate)
		delete(n.frozen, name)
	}
}

// travels waits until a message has crossed, and reports whether it arrived.
func (n *network) travels(from, to string) bool {
	time.Sleep(oneWay)
	for _, name := range []string{from, to} {
		n.mu.Lock()
		gate := n.frozen[name]
		n.mu.Unlock()
		if gate != nil {
			<-gate
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

// run runs job in an idle worker, or in a new one where none is idle.
func (n *network) run(job func()) {
	select {
	case n.jobs <- job:
	default:
		go n.work(job)
	}
}

// work runs job and then others, until close.
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

// close ends the workers.
func (n *network) close() { close(n.stop) }

type answer struct {
	result []byte
	err    error
}

// Call implements control.Caller.
func (p *port) Call(ctx context.Context, address, method string, params, reply any) error {
	encoded, err := json.Marshal(params)
	if err != nil {
		return err
	}
	done := make(chan answer, 1)
	p.net.run(func() {
		if result, ok := p.deliver(address, method, encoded); ok {
			done <- result
		}
	})
	silent := time.NewTimer(silenceFound)
	defer silent.Stop()
	select {
	case a := <-done:
		if a.err != nil {
			return a.err
		}
		return json.Unmarshal(a.result, reply)
	case <-silent.C:
		return fault.New(fault.ConnectionLost, "the link is silent")
	case <-ctx.Done():
		return fault.Wrap(fault.ConnectionLost, ctx.Err(), "the call was given up")
	}
}

// deliver runs the call at the other end; false means that call or answer were
// lost on the way.
func (p *port) deliver(address, method string, params []byte) (answer, bool) {
	if !p.net.travels(p.from, address) {
		return answer{}, false
	}
	handler, ok := p.net.handler(address, method)
	if !ok {
		return answer{err: fault.New(fault.ConnectFailed, "refused")}, true
	}
	value, err := handler(context.Background(), p.peer, params)
	if !p.net.travels(address, p.from) {
		return answer{}, false
	}
	if err != nil {
		return answer{err: err}, true
	}
	result, err := json.Marshal(value)
	return answer{result, err}, true
}
