package peer

import (
	"context"
	"slices"
	"sync"

	"github.com/teaselrack/teaselrack/internal/fault"
)

// host contains the links to one address.
type host struct {
	client  *Client
	address string

	mu      sync.Mutex
	links   []*link
	dialing *dial // the dial in progress, or nil
	closed  bool
}

// dial is one attempt to open a link. Any number of requests may wait for it. err must
// be read only after done has been closed.
type dial struct {
	done chan struct{}
	err  error
}

// acquire returns a link on which a stream is reserved for one request. It waits for a
// dial if necessary. Errors: ConnectFailed, ShuttingDown, DeadlineNotRun and CallerGone;
// nothing has been sent then.
func (h *host) acquire(ctx context.Context) (*link, error) {
	for {
		l, d := h.reserveOrDial()
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

// reserveOrDial reserves a stream on a link that is not silent, or returns the dial to
// wait for. It starts a dial if none is in progress. If no further link may be opened,
// it falls back to a silent link.
func (h *host) reserveOrDial() (*link, *dial) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.links = slices.DeleteFunc(h.links, (*link).dead)
	for _, l := range h.links {
		if !l.silent() && l.reserve() {
			return l, nil
		}
	}
	if h.dialing != nil {
		return nil, h.dialing
	}
	if l := h.reserveSilent(); l != nil {
		return l, nil
	}
	h.dialing = &dial{done: make(chan struct{})}
	go h.open(h.dialing)
	return nil, h.dialing
}

// reserveSilent reserves a stream on any link, even a silent one, if no further link may
// be opened.
func (h *host) reserveSilent() *link {
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
	h.dialing = nil
	switch {
	case err != nil:
		d.err = err
	case h.closed:
		l.close()
		d.err = fault.New(fault.ShuttingDown, "process is shutting down")
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
