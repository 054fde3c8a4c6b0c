package peer

import (
	"context"
	"slices"
	"sync"

	"github.com/teaselrack/teaselrack/internal/fault"
)

// host holds the links to one address.
type host struct {
	client  *Client
	address string

	mu     sync.Mutex
	links  []*link
	dialed *dial // the dial under way, or nil
	closed bool
}

// dial is one attempt to open a link, on which any number of requests wait.
type dial struct {
	done chan struct{}
	err  error
}

// acquire returns a link with a reserved place for one request. Errors:
// ConnectFailed, DeadlineNotRun and CallerGone; nothing was sent.
func (h *host) acquire(ctx context.Context) (*link, error) {
	for {
		l, d := h.pick()
		if l != nil {
			return l, nil
		}
		select {
		case <-d.done:
			if d.err != nil {
				return nil, d.err
			}
		case <-ctx.Done():
			return nil, notSent(ctx)
		}
	}
}

// pick reserves a place on a link that is alive, or returns the dial to wait
// for.
func (h *host) pick() (*link, *dial) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.links = slices.DeleteFunc(h.links, (*link).dead)
	for _, l := range h.links {
		if !l.silent() && l.reserve() {
			return l, nil
		}
	}
	if h.dialed != nil {
		return nil, h.dialed
	}
	if l := h.lastResort(); l != nil {
		return l, nil
	}
	h.dialed = &dial{done: make(chan struct{})}
	go h.open(h.dialed)
	return nil, h.dialed
}

// lastResort returns a silent link where no further link may be opened.
func (h *host) lastResort() *link {
	if len(h.links) < maxLinks {
		return nil
	}
	for _, l := range h.links {
		if l.reserve() {
			return l
		}
	}
	return nil
}

func (h *host) open(d *dial) {
	l, err := h.client.dial(h.address)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dialed = nil
	switch {
	case err != nil:
		d.err = err
	case h.closed:
		l.close()
		d.err = fault.New(fault.ShuttingDown, "the process is stopping")
	default:
		h.links = slices.Insert(h.links, 0, l)
	}
	close(d.done)
}

func (h *host) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	for _, l := range h.links {
		l.close()
	}
	h.links = nil
}
