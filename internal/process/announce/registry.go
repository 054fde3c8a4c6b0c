// Package announce takes the announcements of the targets beside this process.
// A target announces itself again before its announcement expires; one that
// stops doing so is taken to be gone.
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
	// Life is how long an announcement is good.
	Life = 5 * time.Second
	// sweepInterval is the time between two looks for expired announcements.
	sweepInterval = 250 * time.Millisecond
	// maxTargets bounds the targets beside one process.
	maxTargets = 64
)

// Hooks are called on each change, one at a time and in order. They must not
// call the registry.
type Hooks struct {
	// OnAnnounce is called for a new target and for a changed announcement;
	// before is nil for a new one.
	OnAnnounce func(before *protocol.Announcement, now protocol.Announcement)
	// OnExpire is called for a target that is gone.
	OnExpire func(last protocol.Announcement)
}

// Registry holds the announcements in force. It may be used by any number of
// goroutines.
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

// Run takes out expired announcements until ctx ends.
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

// Announce puts a in force until Life after now. Errors: BadRequest and
// Forbidden for an announcement that is not valid.
func (r *Registry) Announce(a protocol.Announcement, now time.Time) error {
	if err := validate(a); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	old, known := r.entries[a.Address]
	if !known && len(r.entries) >= maxTargets {
		return fault.New(fault.Overloaded, "%d targets are announced already", maxTargets)
	}
	if known && old.announcement.Service != a.Service {
		return fault.New(fault.BadRequest, "the address is announced for service %q", old.announcement.Service)
	}
	r.entries[a.Address] = entry{a, now.Add(Life)}
	if known && old.announcement == a {
		return nil
	}
	if r.hooks.OnAnnounce != nil {
		var before *protocol.Announcement
		if known {
			before = &old.announcement
		}
		r.hooks.OnAnnounce(before, a)
	}
	return nil
}

// Sweep takes out what has expired at now.
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

// List returns the announcements in force, sorted by service and address.
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

// Check returns nil where the target of service at address may be given new
// work. Errors: NoTarget where it is not announced, TargetLeaving.
func (r *Registry) Check(service, address string) error {
	r.mu.RLock()
	e, ok := r.entries[address]
	r.mu.RUnlock()
	switch {
	case !ok || e.announcement.Service != service || !time.Now().Before(e.expires):
		return fault.New(fault.NoTarget, "no target of service %q is announced here", service)
	case e.announcement.State == protocol.Leaving:
		return fault.New(fault.TargetLeaving, "the target is leaving")
	}
	return nil
}
