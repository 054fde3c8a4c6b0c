package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
)

const (
	// maxProbes is the number of probes of one verdict. Each may crash a target.
	maxProbes = 2
	// probeDelay is the time from a verdict to its first probe: targets that crashed for
	// another reason are back. probeInterval is the time between two probes.
	probeDelay    = 10 * time.Second
	probeInterval = time.Minute
	// probeTTL is how long a probe may be used.
	probeTTL = 10 * time.Second
)

// verdict is the quarantine of one request.
type verdict struct {
	// Since is when it began.
	Since time.Duration `cbor:"1,keyasint"`
	// Probes is the number of probes that were granted, the last one at ProbedAt to Holder.
	Probes   int           `cbor:"2,keyasint,omitempty"`
	ProbedAt time.Duration `cbor:"3,keyasint,omitempty"`
	Holder   string        `cbor:"4,keyasint,omitempty"`
}

// mayProbe reports whether another probe may be granted.
func (v verdict) mayProbe(now time.Duration) bool {
	if v.Probes == 0 {
		return now-v.Since >= probeDelay
	}
	return v.Probes < maxProbes && now-v.ProbedAt >= probeInterval
}

// Probe grants probes to holders that ask for them: each may send a quarantined request to
// one target, once. If it completes, the request was not at fault, or is no longer. Probe is a
// method of the replicated state machine.
func (t *Table) Probe(now time.Duration, requests []protocol.ProbeRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range requests {
		v, listed := t.verdicts[r.Content]
		if !listed || !v.mayProbe(now) {
			continue
		}
		v.Probes++
		v.ProbedAt, v.Holder = now, r.Holder
		t.verdicts[r.Content] = v
		t.listVersion++
	}
	t.revision++
}

// probesOf returns the probes that a holder may use.
func (t *Table) probesOf(now time.Duration, holder string) []protocol.Probe {
	var probes []protocol.Probe
	for _, content := range slices.Sorted(maps.Keys(t.verdicts)) {
		if v := t.verdicts[content]; v.Holder == holder && v.Probes > 0 && now-v.ProbedAt < probeTTL {
			probes = append(probes, protocol.Probe{Content: content, Number: v.Probes})
		}
	}
	return probes
}

// probe is what a daemon holds for one quarantined request.
type probe struct {
	// number is that of the last probe that was granted.
	number  int
	expires time.Time
	unused  bool
}

// addProbes adds the probes that were granted to this daemon.
func (l *List) addProbes(probes []protocol.Probe) {
	for _, p := range probes {
		content := Fingerprint(p.Content)
		if l.entries[content] && l.probes[content].number != p.Number {
			l.probes[content] = probe{p.Number, l.now().Add(probeTTL), true}
		}
	}
}

// TakeProbe reports whether this quarantined request may be sent to one target as a probe.
func (l *List) TakeProbe(content Fingerprint) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.probes[content]
	if !p.unused || l.now().After(p.expires) {
		return false
	}
	p.unused = false
	l.probes[content] = p
	return true
}

// ReturnProbe gives back a probe with which nothing was sent.
func (l *List) ReturnProbe(content Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p, ok := l.probes[content]; ok {
		p.unused = true
		l.probes[content] = p
	}
}
