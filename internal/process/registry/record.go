// Package registry tracks the targets that announce themselves: on control
// replicas as soft state, on daemons as a table of the targets of the services
// that the daemon subscribes to.
package registry

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
)

// Renewal interval and lifetimes of the registry.
const (
	// RecordTTL is how long a daemon stays in the registry after its last
	// renewal.
	RecordTTL = 3 * time.Second
	// RenewalInterval is the time between two renewals of a daemon.
	RenewalInterval = time.Second
	// tombstoneTTL is how long a removed target is remembered, so that deltas
	// can list its removal.
	tombstoneTTL = 30 * time.Second
)

// Record is what one daemon has reported in a renewal about itself and its local
// targets.
type Record struct {
	Instance      string                  `json:"i"`
	Session       string                  `json:"x"`
	PeerAddress   string                  `json:"a"`
	FailureDomain string                  `json:"d"`
	Version       uint64                  `json:"v"`
	Leaving       bool                    `json:"l,omitempty"`
	Targets       []protocol.Announcement `json:"t,omitempty"`
}

func recordOf(r protocol.RenewRequest) Record {
	return Record{
		Instance:      r.Instance,
		Session:       r.Session,
		PeerAddress:   r.PeerAddress,
		FailureDomain: r.FailureDomain,
		Version:       r.Version,
		Leaving:       r.DaemonLeaving,
		Targets:       r.Targets,
	}
}

// equal reports whether both records have the same content. The configuration
// version is left out: it changes on all daemons at the same time, and heartbeats
// carry it.
func (r Record) equal(o Record) bool {
	return r.Instance == o.Instance &&
		r.Session == o.Session &&
		r.PeerAddress == o.PeerAddress &&
		r.FailureDomain == o.FailureDomain &&
		r.Leaving == o.Leaving &&
		slices.Equal(r.Targets, o.Targets)
}

// sum returns a checksum of the record without its configuration version.
func (r Record) sum() uint64 {
	r.Version = 0
	b, err := json.Marshal(r)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(b)
}

// targets returns the announced targets of the record that are usable, by service. If a
// service is announced twice, the last announcement is used. The record itself stays as
// its daemon sent it: the checksums that replicas compare cover it.
func (r Record) targets(usable func(protocol.TargetRecord) bool) map[string]protocol.TargetRecord {
	m := make(map[string]protocol.TargetRecord, len(r.Targets))
	for _, a := range r.Targets {
		target := protocol.TargetRecord{
			Service:       a.Service,
			Instance:      r.Instance,
			PeerAddress:   r.PeerAddress,
			FailureDomain: r.FailureDomain,
			State:         a.State,
			Slots:         a.Slots,
			Incarnation:   a.Incarnation,
			DaemonLeaving: r.Leaving,
		}
		if usable(target) {
			m[a.Service] = target
		}
	}
	return m
}
