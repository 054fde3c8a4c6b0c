package configuration

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/version"
)

// FreshnessLease is how long new keyed requests may be accepted after a renewal that a
// quorum confirmed, counted from when the renewal was sent. A keyed request is one to
// a route that requires the key of a team.
const FreshnessLease = 3 * time.Second

// Floor identifies the highest state that a daemon has held, as stored by Save. A
// daemon without a disk, or on its first start, has the zero Floor.
type Floor struct {
	Number uint64
	Digest string
}

// HolderOptions configures a Holder.
type HolderOptions struct {
	// Now reads a clock that runs at the rate of real time, such as time.Now.
	Now func() time.Time
	// Save stores the floor durably. It is nil for a daemon without a disk.
	Save func(number uint64, digest string) error
	// Floor is the floor that Save last stored before the daemon was restarted.
	Floor Floor
	// ContentOnly makes the daemon request the content of the configuration only. It
	// must not be combined with Save: a floor holds digests of complete states.
	ContentOnly bool
}

// Holder holds the configuration on a daemon. It implements hop.Configuration.
//
// It never goes back to an older state. A state is replaced only by one with a
// higher number, which comes either as notes whose parent digest matches or as a
// complete state. A daemon that has just started holds only the initial state. With
// a Floor, it accepts only states that are not below the floor. Without one, it
// accepts its first state only from a reply that a quorum confirmed. Such a state
// contains everything that was accepted before the renewal was sent, and so also
// everything that the daemon held before its restart.
//
// Its methods may be called from any goroutine.
type Holder struct {
	now   func() time.Time
	save  func(uint64, string) error
	floor Floor
	// contentOnly is set by HolderOptions.
	contentOnly bool
	// start is when the holder was created; renewedAt is relative to it.
	start time.Time

	current atomic.Pointer[version.State]
	// renewedAt is when the last confirmed renewal was sent, in nanoseconds since
	// start plus one; zero means never.
	renewedAt atomic.Int64

	mu sync.Mutex
	// caughtUp is true once the current state is known to be at least as new as
	// the one that this daemon held before its start.
	caughtUp bool
}

// NewHolder returns a holder with the initial state and without a lease.
func NewHolder(o HolderOptions) *Holder {
	h := &Holder{now: o.Now, save: o.Save, floor: o.Floor, contentOnly: o.ContentOnly, start: o.Now()}
	h.current.Store(version.Initial())
	return h
}

// Current returns the current state; it is never nil.
func (h *Holder) Current() *version.State { return h.current.Load() }

// Position sets the fields of a renewal that identify the current state.
func (h *Holder) Position(request *protocol.RenewRequest) {
	s := h.Current()
	request.Version = s.Number()
	request.ContentOnly = h.contentOnly
	request.Digest = digestFor(s, h.contentOnly)
}

// digestFor returns the digest by which renewals identify a state.
func digestFor(s *version.State, contentOnly bool) string {
	if contentOnly {
		return s.ContentDigest()
	}
	return s.Digest()
}

// Accept processes the reply to a renewal that was sent at sentAt. It advances the
// state, and renews the lease if the reply is confirmed and the current state is
// the confirmed one or newer. Errors: as Advance.
func (h *Holder) Accept(sentAt time.Time, reply protocol.RenewReply) error {
	if err := h.Advance(reply); err != nil {
		return err
	}
	if reply.Confirmed && h.covers(reply) {
		h.RenewLease(sentAt)
	}
	return nil
}

// covers reports whether the current state is the one that reply names, or newer.
func (h *Holder) covers(reply protocol.RenewReply) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.caughtUp {
		return false
	}
	s := h.Current()
	if s.Number() == reply.Version {
		return digestFor(s, reply.ContentOnly) == reply.Digest
	}
	return s.Number() > reply.Version
}

// Advance switches to the state that reply carries if it is newer and acceptable.
// Errors: Damaged if the notes or the snapshot do not lead to the state that the
// reply names, NoteInvalid if a note cannot be decoded, StorageFailed if the floor
// could not be stored. After an error, the current state is unchanged.
func (h *Holder) Advance(reply protocol.RenewReply) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.acceptable(reply) {
		return nil
	}
	s := h.Current()
	if reply.Version > s.Number() {
		next, err := nextState(s, reply)
		if err != nil {
			return err
		}
		if err := h.install(next); err != nil {
			return err
		}
	}
	h.caughtUp = true
	return nil
}

// acceptable reports whether reply cannot take a restarted daemon back to a state
// older than the one it held.
func (h *Holder) acceptable(reply protocol.RenewReply) bool {
	if reply.Version < h.floor.Number {
		return false
	}
	if reply.Version == h.floor.Number && h.floor.Number > 0 && reply.Digest != h.floor.Digest {
		return false
	}
	return h.caughtUp || reply.Confirmed || h.floor.Number > 0
}

// install stores the floor of next, then makes next the current state.
func (h *Holder) install(next *version.State) error {
	if h.save != nil {
		if err := h.save(next.Number(), next.Digest()); err != nil {
			return fault.Wrap(fault.StorageFailed, err, "store the floor of the configuration")
		}
	}
	h.current.Store(next)
	return nil
}

// nextState returns the state that results from applying the notes of reply to s, or
// the one in its snapshot. Errors: Damaged, NoteInvalid.
func nextState(s *version.State, reply protocol.RenewReply) (*version.State, error) {
	next, err := decodeNext(s, reply)
	if err != nil {
		return nil, err
	}
	if digest := digestFor(next, reply.ContentOnly); next.Number() != reply.Version || digest != reply.Digest {
		return nil, fault.New(fault.Damaged, "the content of the reply leads to state %d (%s), but the reply names state %d (%s)", next.Number(), digest, reply.Version, reply.Digest)
	}
	return next, nil
}

func decodeNext(s *version.State, reply protocol.RenewReply) (*version.State, error) {
	switch {
	case len(reply.Snapshot) > 0:
		return version.DecodeState(reply.Snapshot)
	case len(reply.Content) > 0:
		return version.DecodeState(reply.Content)
	case reply.ContentOnly:
		return applyUpdates(s, reply.Updates)
	}
	return applyNotes(s, reply.Notes)
}

// applyUpdates applies updates in order. The digest of the result shows whether they
// belong to s.
func applyUpdates(s *version.State, updates [][]byte) (*version.State, error) {
	for _, b := range updates {
		u, err := version.DecodeUpdate(b)
		if err != nil {
			return nil, err
		}
		s = s.ApplyUpdate(u)
	}
	return s, nil
}

// applyNotes applies notes in order. It rejects a first note that is not the
// successor of s. Notes that follow another parent state never get into the result,
// because the digest of the resulting state covers everything before it.
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

// RenewLease renews the lease, counted from the time at which a confirmed renewal
// was sent. A lease that lasts longer is kept. The caller must have checked that the
// current state is the confirmed one; Accept does both.
func (h *Holder) RenewLease(sentAt time.Time) {
	at := int64(sentAt.Sub(h.start)) + 1
	for {
		old := h.renewedAt.Load()
		if at <= old || h.renewedAt.CompareAndSwap(old, at) {
			return
		}
	}
}

// ConfirmedAgo returns the time since the last confirmed renewal was sent; ok is false if
// there was none.
func (h *Holder) ConfirmedAgo() (age time.Duration, ok bool) {
	at := h.renewedAt.Load()
	return h.now().Sub(h.start) - time.Duration(at-1), at != 0
}

// Fresh returns nil while the lease is valid, and LeaseExpired afterwards. Callers
// check it again immediately before they dispatch a request, because the process
// may have been frozen.
func (h *Holder) Fresh() error {
	age, ok := h.ConfirmedAgo()
	if !ok {
		return fault.New(fault.LeaseExpired, "no control replica has confirmed the configuration yet")
	}
	if age >= FreshnessLease {
		return fault.New(fault.LeaseExpired, "the configuration was last confirmed %s ago", age.Round(time.Millisecond))
	}
	return nil
}
