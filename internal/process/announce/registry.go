// Package announce implements the registry of local targets. A target renews
// its announcement before it expires. A target whose announcement expires is
// considered gone.
package announce

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
)

const (
	// TTL is how long an announcement is valid.
	TTL = 5 * time.Second
	// sweepInterval is the time between two scans for expired announcements.
	sweepInterval = 250 * time.Millisecond
	// maxTargets is the maximum number of local targets of a daemon.
	maxTargets = 64
)

// Hooks are called on each change, one at a time and in order. They must not
// call the registry, which holds its lock during the call.
type Hooks struct {
	// OnAnnounce is called for a new target and for a changed announcement.
	// before is nil for a new target.
	OnAnnounce func(before *protocol.Announcement, after protocol.Announcement)
	// OnExpire is called when the announcement of a target has expired.
	OnExpire func(last protocol.Announcement)
}

// Registry holds the valid announcements. It is safe for concurrent use.
type Registry struct {
	hooks Hooks

	mu      sync.RWMutex
	entries map[string]entry // by address
}

type entry struct {
	announcement protocol.Announcement
	expires      time.Time
}

// New returns an empty registry.
func New(hooks Hooks) *Registry {
	return &Registry{hooks: hooks, entries: make(map[string]entry)}
}

// Run removes expired announcements until ctx ends.
func (r *Registry) Run(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			r.Sweep(now)
		case <-ctx.Done():
			return nil
		}
	}
}

// Announce adds or renews an announcement, which then expires TTL after now.
// Errors: BadRequest or Forbidden for an invalid announcement, BadRequest for an
// address that is announced for another service, Overloaded for a new target
// above maxTargets.
func (r *Registry) Announce(a protocol.Announcement, now time.Time) error {
	if err := validate(a); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	current, known := r.entries[a.Address]
	if !known && len(r.entries) >= maxTargets {
		return fault.New(fault.Overloaded, "limit of %d local targets reached", maxTargets)
	}
	if known && current.announcement.Service != a.Service {
		return fault.New(fault.BadRequest, "the address is already announced for service %q", current.announcement.Service)
	}
	r.entries[a.Address] = entry{a, now.Add(TTL)}
	if known && current.announcement == a {
		return nil
	}
	if r.hooks.OnAnnounce != nil {
		var before *protocol.Announcement
		if known {
			before = &current.announcement
		}
		r.hooks.OnAnnounce(before, a)
	}
	return nil
}

// Sweep removes the announcements that have expired at now.
func (r *Registry) Sweep(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for address, e := range r.entries {
		if now.Before(e.expires) {
			continue
		}
		delete(r.entries, address)
		if r.hooks.OnExpire != nil {
			r.hooks.OnExpire(e.announcement)
		}
	}
}

// List returns the valid announcements, sorted by service and address.
func (r *Registry) List() []protocol.Announcement {
	r.mu.RLock()
	defer r.mu.RUnlock()
	list := make([]protocol.Announcement, 0, len(r.entries))
	for _, e := range r.entries {
		list = append(list, e.announcement)
	}
	slices.SortFunc(list, func(a, b protocol.Announcement) int {
		return strings.Compare(a.Service+" "+a.Address, b.Service+" "+b.Address)
	})
	return list
}

// Check returns nil if the target of the service at the address may get new
// requests. Errors: NoTarget if it is not announced, TargetLeaving if it is
// leaving.
func (r *Registry) Check(service, address string) error {
	r.mu.RLock()
	e, ok := r.entries[address]
	r.mu.RUnlock()
	switch {
	case !ok || e.announcement.Service != service || !time.Now().Before(e.expires):
		return fault.New(fault.NoTarget, "no local target of service %q is announced at the address", service)
	case e.announcement.State == protocol.Leaving:
		return fault.New(fault.TargetLeaving, "the target is leaving")
	}
	return nil
}
