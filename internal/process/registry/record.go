// Package registry keeps track of the targets that announce themselves: on
// control replicas as soft state, on daemons as a table of usable targets.
package registry

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
)

// Lifetimes of the registry.
const (
	// RecordLife is how long a daemon stays in the registry after a renewal.
	RecordLife = 3 * time.Second
	// RenewalInterval is the time between two renewals of a daemon.
	RenewalInterval = time.Second
	// tombstoneLife is how long a removed target is remembered for deltas.
	tombstoneLife = 30 * time.Second
)

// Record is what one daemon has said of itself and of the targets beside it.
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

// equal reports whether both records say the same.
func (r Record) equal(o Record) bool {
	return r.Instance == o.Instance &&
		r.Session == o.Session &&
		r.PeerAddress == o.PeerAddress &&
		r.FailureDomain == o.FailureDomain &&
		r.Version == o.Version &&
		r.Leaving == o.Leaving &&
		slices.Equal(r.Targets, o.Targets)
}

// sum returns a checksum of everything that the record says.
func (r Record) sum() uint64 {
	b, err := json.Marshal(r)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(b)
}

// targets returns the usable targets of the record by service. Where a service
// is announced twice the last one counts.
func (r Record) targets() map[string]protocol.TargetRecord {
	m := make(map[string]protocol.TargetRecord, len(r.Targets))
	for _, a := range r.Targets {
		m[a.Service] = protocol.TargetRecord{
			Service:       a.Service,
			Instance:      r.Instance,
			PeerAddress:   r.PeerAddress,
			FailureDomain: r.FailureDomain,
			State:         a.State,
			Slots:         a.Slots,
			Incarnation:   a.Incarnation,
			DaemonLeaving: r.Leaving,
		}
	}
	return m
}
