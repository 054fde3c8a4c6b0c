package rpc

import (
	"context"
	"sync"

	"github.com/teaselrack/teaselrack/internal/connection/mesh"
	"github.com/teaselrack/teaselrack/internal/fault"
)

// Pool maintains one link to each address. It replaces a closed link on the next call.
type Pool struct {
	id       *mesh.Identity
	compress bool
	// sent is called for each message on a link that the pool opened; see Measure.
	sent MessageFunc

	mu      sync.Mutex
	entries map[string]*poolEntry
	closed  bool
}

// poolEntry contains the link to one address. mu is held while dialing, so that
// concurrent callers of one address do not dial more than once.
type poolEntry struct {
	mu     sync.Mutex
	client *Client
}

// NewPool returns an empty pool whose links authenticate with id.
func NewPool(id *mesh.Identity) *Pool {
	return &Pool{id: id, entries: make(map[string]*poolEntry)}
}

// CompressLinks makes the pool compress the links that it opens, unless they use
// TLS. A compressed link takes about 1 MiB of memory at each end. It must be called
// before the pool is used.
func (p *Pool) CompressLinks() { p.compress = p.id.Plain() }

// MessageFunc gets a message on the link to an address, in either direction: the
// method of its call, its parameters or result, and its size on the link in bytes.
type MessageFunc func(address, method string, payload []byte, size int)

// Measure makes the pool pass the messages of all calls to f. It must be called
// before the pool is used.
func (p *Pool) Measure(f MessageFunc) { p.sent = f }

// Call calls a method of the process at address; see Client.Call. It returns
// ConnectFailed if no link could be opened; nothing was sent then.
func (p *Pool) Call(ctx context.Context, address, method string, params, reply any) error {
	client, err := p.client(ctx, address)
	if err != nil {
		return err
	}
	return client.Call(ctx, method, params, reply)
}

func (p *Pool) client(ctx context.Context, address string) (*Client, error) {
	entry, err := p.entry(address)
	if err != nil {
		return nil, err
	}
	entry.mu.Lock()
	defer entry.mu.Unlock()
	if entry.client != nil && !entry.client.Closed() {
		return entry.client, nil
	}
	client, err := dialClient(ctx, address, p.id, p.sent)
	if err != nil {
		return nil, err
	}
	if p.compress {
		client.compress(ctx)
	}
	entry.client = client
	return client, nil
}

func (p *Pool) entry(address string) (*poolEntry, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, fault.New(fault.ConnectFailed, "link pool is closed")
	}
	entry, ok := p.entries[address]
	if !ok {
		entry = &poolEntry{}
		p.entries[address] = entry
	}
	return entry, nil
}

// Close closes all links. Later calls fail.
func (p *Pool) Close() error {
	p.mu.Lock()
	p.closed = true
	entries := p.entries
	p.entries = nil
	p.mu.Unlock()
	for _, entry := range entries {
		entry.mu.Lock()
		if entry.client != nil {
			_ = entry.client.Close()
		}
		entry.mu.Unlock()
	}
	return nil
}
