package configuration

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/version"
)

// FreshnessLease is how long a quorum-confirmed renewal allows new keyed work,
// counted from when the renewal was sent.
const FreshnessLease = 3 * time.Second

// Floor names the highest state that a daemon has held, as Save stored it.
// The zero Floor is that of a daemon without a disk, or of its first start.
type Floor struct {
	Number uint64
	Digest string
}

// HolderOptions are the ports of a Holder.
type HolderOptions struct {
	// Now reads a clock that moves at the rate of real time, such as time.Now.
	Now func() time.Time
	// Save stores the floor durably; nil for a daemon without a disk.
	Save func(number uint64, digest string) error
	// Floor is what Save stored before the daemon's last end.
	Floor Floor
}

// Holder holds the configuration on a daemon. It implements hop.Configuration.
//
// It never goes back: a state is replaced only by one with a higher number
// whose parent digest fits, or by a whole state with a higher number. A daemon
// that has just started holds no state. With a Floor it takes only states that
// are not below the floor. Without one it takes its first state only from a
// reply that a quorum confirmed, which therefore holds everything accepted
// before the renewal was sent, so also whatever the daemon held before.
//
// Its methods may be called from any goroutine.
type Holder struct {
	now   func() time.Time
	save  func(uint64, string) error
	floor Floor
	start time.Time

	current atomic.Pointer[version.State]
	// renewed is when the last confirmed renewal was sent, as nanoseconds since
	// start plus one; zero means never.
	renewed atomic.Int64

	mu sync.Mutex
	// anchored is true once the state held is known not to be older than what
	// this daemon held before its start.
	anchored bool
}

// NewHolder returns a holder with the initial state and no lease.
func NewHolder(o HolderOptions) *Holder {
	h := &Holder{now: o.Now, save: o.Save, floor: o.Floor, start: o.Now()}
	h.current.Store(version.Initial())
	return h
}

// Current returns the newest state held; it is never nil.
func (h *Holder) Current() *version.State { return h.current.Load() }

// Accept takes the reply to a renewal that was sent at sentAt: the state it
// carries, and the lease where the reply is confirmed. The lease is renewed
// only where the state held is at least the one that was confirmed.
func (h *Holder) Accept(sentAt time.Time, reply protocol.RenewReply) error {
	if err := h.Advance(reply); err != nil {
		return err
	}
	if reply.Confirmed && h.covers(reply) {
		h.Renewed(sentAt)
	}
	return nil
}

// covers reports whether the state held is the one that reply names, or newer.
func (h *Holder) covers(reply protocol.RenewReply) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.anchored {
		return false
	}
	s := h.Current()
	if s.Number() == reply.Version {
		return s.Digest() == reply.Digest
	}
	return s.Number() > reply.Version
}

// Advance takes the state that reply carries where it is newer. Errors:
// Damaged where the notes or the snapshot don't fit, StorageFailed where the
// floor could not be stored; in both cases the state held stays.
func (h *Holder) Advance(reply protocol.RenewReply) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.mayTake(reply) {
		return nil
	}
	s := h.Current()
	if reply.Version > s.Number() {
		next, err := follow(s, reply)
		if err != nil {
			return err
		}
		if err := h.store(next); err != nil {
			return err
		}
	}
	h.anchored = true
	return nil
}

// mayTake keeps a restarted daemon from a state older than the one it held.
func (h *Holder) mayTake(reply protocol.RenewReply) bool {
	if reply.Version < h.floor.Number {
		return false
	}
	if reply.Version == h.floor.Number && h.floor.Number > 0 && reply.Digest != h.floor.Digest {
		return false
	}
	return h.anchored || reply.Confirmed || h.floor.Number > 0
}

// store makes next the state held, its floor first.
func (h *Holder) store(next *version.State) error {
	if h.save != nil {
		if err := h.save(next.Number(), next.Digest()); err != nil {
			return fault.Wrap(fault.StorageFailed, err, "store the number of the configuration")
		}
	}
	h.current.Store(next)
	return nil
}

// follow returns the state that reply leads to from s.
func follow(s *version.State, reply protocol.RenewReply) (*version.State, error) {
	next, err := resolve(s, reply)
	if err != nil {
		return nil, err
	}
	if next.Number() != reply.Version || next.Digest() != reply.Digest {
		return nil, fault.New(fault.Damaged, "the reply leads to state %d (%s), it names %d (%s)", next.Number(), next.Digest(), reply.Version, reply.Digest)
	}
	return next, nil
}

func resolve(s *version.State, reply protocol.RenewReply) (*version.State, error) {
	if len(reply.Snapshot) > 0 {
		return version.DecodeState(reply.Snapshot)
	}
	return applyNotes(s, reply.Notes)
}

// applyNotes applies notes in order. A first note that is not the successor of
// s is refused, so a delta with another parent never mixes in: the digest of
// the state that comes out covers everything before it.
func applyNotes(s *version.State, notes [][]byte) (*version.State, error) {
	for _, b := range notes {
		n, err := version.DecodeNote(b)
		if err != nil {
			return nil, err
		}
		s, err = s.Apply(n)
		if err != nil {
			return nil, fault.Wrap(fault.Damaged, err, "apply note %d", n.Number)
		}
	}
	return s, nil
}

// Renewed renews the lease from when a confirmed renewal was sent. A lease
// that reaches further stays. It is for callers that checked themselves that
// the state held is the one that was confirmed; Accept does both.
func (h *Holder) Renewed(sentAt time.Time) {
	at := int64(sentAt.Sub(h.start)) + 1
	for {
		old := h.renewed.Load()
		if at <= old || h.renewed.CompareAndSwap(old, at) {
			return
		}
	}
}

// Fresh returns nil while the lease holds, LeaseExpired after. Callers check
// it again just before they dispatch, since the process may have been frozen.
func (h *Holder) Fresh() error {
	at := h.renewed.Load()
	if at == 0 {
		return fault.New(fault.LeaseExpired, "no control replica has confirmed the configuration yet")
	}
	age := h.now().Sub(h.start) - time.Duration(at-1)
	if age >= FreshnessLease {
		return fault.New(fault.LeaseExpired, "the configuration was last confirmed %s ago", age.Round(time.Millisecond))
	}
	return nil
}
