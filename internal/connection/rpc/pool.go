package rpc

import (
	"context"
	"sync"

	"github.com/teaselrack/teaselrack/internal/connection/mesh"
	"github.com/teaselrack/teaselrack/internal/fault"
)

// Pool keeps one link to each address and replaces the broken ones.
type Pool struct {
	id *mesh.Identity

	mu     sync.Mutex
	slots  map[string]*poolSlot
	closed bool
}

// poolSlot holds the link to one address; its lock is held while dialing, so
// that callers of the same address share one attempt.
type poolSlot struct {
	mu     sync.Mutex
	client *Client
}

// NewPool returns an empty pool.
func NewPool(id *mesh.Identity) *Pool {
	return &Pool{id: id, slots: make(map[string]*poolSlot)}
}

// Call sends one request to address; see Client.Call. It fails with
// ConnectFailed where no link could be made: then nothing was sent.
func (p *Pool) Call(ctx context.Context, address, method string, params, reply any) error {
	client, err := p.client(ctx, address)
	if err != nil {
		return err
	}
	return client.Call(ctx, method, params, reply)
}

func (p *Pool) client(ctx context.Context, address string) (*Client, error) {
	slot, err := p.slot(address)
	if err != nil {
		return nil, err
	}
	slot.mu.Lock()
	defer slot.mu.Unlock()
	if slot.client != nil && !slot.client.Closed() {
		return slot.client, nil
	}
	client, err := Dial(ctx, address, p.id)
	if err != nil {
		return nil, err
	}
	slot.client = client
	return client, nil
}

func (p *Pool) slot(address string) (*poolSlot, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, fault.New(fault.ConnectFailed, "the pool is closed")
	}
	slot, ok := p.slots[address]
	if !ok {
		slot = &poolSlot{}
		p.slots[address] = slot
	}
	return slot, nil
}

// Close closes every link.
func (p *Pool) Close() error {
	p.mu.Lock()
	p.closed = true
	slots := p.slots
	p.slots = nil
	p.mu.Unlock()
	for _, slot := range slots {
		slot.mu.Lock()
		if slot.client != nil {
			_ = slot.client.Close()
		}
		slot.mu.Unlock()
	}
	return nil
}
